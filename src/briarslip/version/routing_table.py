"""The compiled form of a snapshot that requests are routed by."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from briarslip.finding import Finding
from briarslip.version.record import Objective
from briarslip.version.record import Rollout
from briarslip.version.record import Route
from briarslip.version.record import Service
from briarslip.version.record import parse_record


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from briarslip.version.record import Form
    from briarslip.version.record import Record
    from briarslip.version.record import RecordKey
    from briarslip.version.snapshot import Snapshot


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """Routes, services, rollouts and objectives of one version.

    A table is closed: every service that a route, rollout or objective names
    is in it. ``routes`` stand with the longest path prefix first.
    """

    version: int
    services: Mapping[str, Service]
    routes: tuple[Route, ...]
    rollouts: Mapping[str, Rollout]
    objectives: Mapping[str, Objective]

    def match(self, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, if any."""
        for route in self.routes:
            if path.startswith(route.path_prefix):
                return route
        return None


EMPTY_TABLE = RoutingTable(0, {}, (), {}, {})


def compile_snapshot(
    snapshot: Snapshot,
) -> Result[RoutingTable, tuple[Finding, ...]]:
    """Compile a snapshot whole; the error holds all findings."""
    forms, findings = _newest_forms(snapshot.records)
    services = {form.name: form for form in forms if isinstance(form, Service)}
    findings.extend(_unresolved(forms, services))
    if findings:
        return Err(tuple(findings))
    routes = [form for form in forms if isinstance(form, Route)]
    routes.sort(key=lambda route: (-len(route.path_prefix), route.name))
    return Ok(
        RoutingTable(
            version=snapshot.version,
            services=services,
            routes=tuple(routes),
            rollouts={f.name: f for f in forms if isinstance(f, Rollout)},
            objectives={f.name: f for f in forms if isinstance(f, Objective)},
        )
    )


def _newest_forms(
    records: Mapping[RecordKey, Record],
) -> tuple[list[Form], list[Finding]]:
    """Read each record once, in the newest schema that can be read."""
    readable: dict[tuple[str, str], Form] = {}
    findings: dict[tuple[str, str], tuple[Finding, ...]] = {}
    for key in sorted(records):
        result = parse_record(records[key])
        identity = (key.kind, key.name)
        if isinstance(result, Err):
            findings[identity] = result.err_value
        else:
            readable[identity] = result.ok_value
    missing = [
        finding
        for identity, group in findings.items()
        if identity not in readable
        for finding in group
    ]
    return list(readable.values()), missing


def _unresolved(
    forms: Iterable[Form], services: Mapping[str, Service]
) -> Iterable[Finding]:
    for form in forms:
        if isinstance(form, Service) or form.service in services:
            continue
        kind = type(form).__name__.lower()
        reason = f"names service {form.service!r}, which does not exist"
        yield Finding(f"{kind} {form.name}", 0, "", "service", reason)


__all__ = ["EMPTY_TABLE", "RoutingTable", "compile_snapshot"]
