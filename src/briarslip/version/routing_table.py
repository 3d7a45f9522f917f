"""The compiled form of a snapshot that requests are routed by."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from briarslip.finding import Finding
from briarslip.version.record import RECORD_SCHEMAS
from briarslip.version.record import Limits
from briarslip.version.record import Objective
from briarslip.version.record import Rollout
from briarslip.version.record import Route
from briarslip.version.record import Service
from briarslip.version.record import parse_record
from briarslip.version.route_index import RouteIndex
from briarslip.version.route_index import find_overlaps
from briarslip.version.route_index import index_routes


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

    from briarslip.version.record import Record
    from briarslip.version.record import RecordKey
    from briarslip.version.record import TypedRecord
    from briarslip.version.snapshot import Snapshot


# The name of the record that bounds what callers send.
CALLER_LIMITS_NAME = "callers"


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """Routes, services, rollouts and objectives of one version.

    A table is closed: every service that a route, rollout or objective names
    is in it. ``retained`` tells which records stand in an earlier form, because
    this program knows no schema that the version gives them in.
    """

    version: int
    services: Mapping[str, Service]
    routes: tuple[Route, ...]
    rollouts: Mapping[str, Rollout]
    objectives: Mapping[str, Objective]
    limits: Mapping[str, Limits] = field(default_factory=dict)
    index: RouteIndex = field(default_factory=RouteIndex)
    retained: tuple[Finding, ...] = ()

    @classmethod
    def from_typed_records(
        cls,
        version: int,
        typed_records: Iterable[TypedRecord],
        retained: tuple[Finding, ...] = (),
    ) -> RoutingTable:
        """Build a table of forms that are known to be closed."""
        known = tuple(typed_records)
        routes = [form for form in known if isinstance(form, Route)]
        return cls(
            version=version,
            services={f.name: f for f in known if isinstance(f, Service)},
            routes=tuple(sorted(routes, key=lambda route: route.name)),
            rollouts={f.name: f for f in known if isinstance(f, Rollout)},
            objectives={f.name: f for f in known if isinstance(f, Objective)},
            limits={f.name: f for f in known if isinstance(f, Limits)},
            index=index_routes(routes),
            retained=retained,
        )

    def match(self, target: str, method: str, host: str = "") -> Route | None:
        """Return the route of a request, if there is one."""
        return self.index.find(host, target, method)

    @property
    def caller_limits(self) -> Limits | None:
        """The bounds on callers, None where the operators set none."""
        return self.limits.get(CALLER_LIMITS_NAME)

    @property
    def typed_records(self) -> Mapping[tuple[str, str], TypedRecord]:
        """The forms by kind and name."""
        groups = (
            ("service", self.services.values()),
            ("route", self.routes),
            ("rollout", self.rollouts.values()),
            ("objective", self.objectives.values()),
            ("limits", self.limits.values()),
        )
        return {
            (kind, form.name): form
            for kind, typed_records in groups
            for form in typed_records
        }


EMPTY_TABLE = RoutingTable(0, {}, (), {}, {})


def compile_snapshot(
    snapshot: Snapshot, previous: RoutingTable = EMPTY_TABLE
) -> Result[RoutingTable, tuple[Finding, ...]]:
    """Compile a snapshot whole; the error holds all findings.

    A record of which no schema is known keeps the form it has in the
    ``previous`` table; without one there the snapshot is refused.
    """
    typed_records, findings, retained = _newest_forms(snapshot.records, previous)
    findings.extend(_unresolved(typed_records.values()))
    routes = [form for form in typed_records.values() if isinstance(form, Route)]
    findings.extend(find_overlaps(routes))
    if findings:
        return Err(tuple(findings))
    return Ok(
        RoutingTable.from_typed_records(
            snapshot.version, typed_records.values(), tuple(retained)
        )
    )


def check_records(records: Mapping[RecordKey, Record]) -> tuple[Finding, ...]:
    """Return what keeps these records from being a configuration.

    Every form has to be closed, also one that stands beside a newer schema:
    programs that do not know the newer one go by it. Of a record of which no
    schema is known only the service is looked at: another publisher knew the
    schema and has accepted it.
    """
    known = {k: r for k, r in records.items() if (k.kind, k.schema) in RECORD_SCHEMAS}
    typed_records, findings, _ = _newest_forms(known, EMPTY_TABLE)
    findings.extend(
        find_overlaps(f for f in typed_records.values() if isinstance(f, Route))
    )
    services = service_names(records)
    for key, record in records.items():
        findings.extend(check_service_reference(key, record, services))
    return tuple(dict.fromkeys(findings))


def service_names(records: Iterable[RecordKey]) -> frozenset[str]:
    """Return the names of the services among some records."""
    return frozenset(key.name for key in records if key.kind == "service")


def check_service_reference(
    key: RecordKey, record: Record, services: Collection[str]
) -> tuple[Finding, ...]:
    """Return a finding if a record names a service that does not exist."""
    service = record.fields.get("service")
    if service is None or service in services:
        return ()
    return (_no_service(f"{key.kind} {key.name}", service),)


def _newest_forms(
    records: Mapping[RecordKey, Record], previous: RoutingTable
) -> tuple[dict[tuple[str, str], TypedRecord], list[Finding], list[Finding]]:
    """Read each record once, in the newest schema that is known.

    Return the forms, the findings, and the records kept in an earlier form.
    """
    newest: dict[tuple[str, str], RecordKey] = {}
    for key in sorted(records):
        identity = (key.kind, key.name)
        if (key.kind, key.schema) in RECORD_SCHEMAS or identity not in newest:
            newest[identity] = key
    typed_records: dict[tuple[str, str], TypedRecord] = {}
    findings: list[Finding] = []
    retained: list[Finding] = []
    for identity, key in newest.items():
        parsed = parse_record(records[key])
        known = (key.kind, key.schema) in RECORD_SCHEMAS
        if not isinstance(parsed, Err):
            typed_records[identity] = parsed.ok_value
        elif not known and (form := previous.typed_records.get(identity)):
            typed_records[identity] = form
            retained.append(Finding(str(key), 0, "", "", "unknown schema; form kept"))
        else:
            findings.extend(parsed.err_value)
    return typed_records, findings, retained


def _unresolved(typed_records: Iterable[TypedRecord]) -> Iterable[Finding]:
    typed_records = tuple(typed_records)
    services = {form.name for form in typed_records if isinstance(form, Service)}
    for form in typed_records:
        if isinstance(form, Service | Limits):
            continue
        named = form.services if isinstance(form, Route) else (form.service,)
        for service in named:
            if service not in services:
                kind = type(form).__name__.lower()
                yield _no_service(f"{kind} {form.name}", service)


def _no_service(source: str, service: str) -> Finding:
    reason = f"names service {service!r}, which does not exist"
    return Finding(source, 0, "", "service", reason)


__all__ = [
    "EMPTY_TABLE",
    "RoutingTable",
    "check_records",
    "check_service_reference",
    "compile_snapshot",
    "service_names",
]
