"""Load plans, read from INI files."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

from briarslip import fields
from briarslip.fields import FieldSpec
from briarslip.fields import read_fields
from briarslip.finding import Finding
from briarslip.ini import parse_ini


if TYPE_CHECKING:
    from datetime import timedelta

    from briarslip.address import Address
    from briarslip.ini import IniSection


MAX_RATE = 1_000_000
MAX_DURATION_MS = 24 * 3_600_000
MAX_BODY_BYTES = 1 << 30
MAX_CONNECTIONS = 60_000
MAX_SEED = 1 << 62


@dataclass(frozen=True, slots=True)
class Target:
    """A server that receives requests; arrivals are assigned to targets round-robin."""

    name: str
    address: Address


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request in the mix.

    Its share of all requests is ``weight`` divided by the sum of the weights.
    """

    name: str
    weight: int
    method: str
    path: str
    body_bytes: int


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """The parameters of a load run.

    ``rate`` is in requests per second, over all targets. ``arrivals`` is ``poisson``
    or ``even`` for an open loop, or ``closed`` for a closed loop, in which every
    connection sends its next request after the response to the previous one.
    """

    seed: int
    rate: int
    arrivals: str
    warm_up: timedelta
    measured: timedelta
    timeout: timedelta
    connections: int
    targets: tuple[Target, ...]
    kinds: tuple[RequestKind, ...]

    @classmethod
    def from_ini(cls, text: str, source: str) -> Result[LoadPlan, tuple[Finding, ...]]:
        """Parse a plan; the error holds all findings."""
        return parse_ini(text, source).and_then(
            lambda document: _plan_from_sections(source, document.sections)
        )


RUN_FIELDS = (
    FieldSpec("seed", fields.integer(0, MAX_SEED), 1),
    FieldSpec("rate", fields.integer(1, MAX_RATE), 100),
    FieldSpec("arrivals", fields.choice(("poisson", "even", "closed")), "poisson"),
    FieldSpec("warm_up_ms", fields.milliseconds(0, MAX_DURATION_MS)),
    FieldSpec("measured_ms", fields.milliseconds(1, MAX_DURATION_MS)),
    FieldSpec("timeout_ms", fields.milliseconds(1, MAX_DURATION_MS)),
    FieldSpec("connections", fields.integer(1, MAX_CONNECTIONS), 32),
)
TARGET_FIELDS = (FieldSpec("address", fields.address),)
REQUEST_FIELDS = (
    FieldSpec("weight", fields.integer(1, MAX_RATE), 1),
    FieldSpec("method", fields.name, "GET"),
    FieldSpec("path", fields.text),
    FieldSpec("body_bytes", fields.integer(0, MAX_BODY_BYTES), 0),
)


def _plan_from_sections(
    source: str, sections: tuple[IniSection, ...]
) -> Result[LoadPlan, tuple[Finding, ...]]:
    findings: list[Finding] = []
    run: dict[str, Any] = {}
    targets: list[Target] = []
    kinds: list[RequestKind] = []
    for section in sections:
        kind, _, name = section.name.partition(" ")
        specs = {
            "run": RUN_FIELDS,
            "target": TARGET_FIELDS,
            "request": REQUEST_FIELDS,
        }.get(kind)
        if specs is None or bool(name) == (kind == "run"):
            reason = "must be [run], [target NAME] or [request NAME]"
            findings.append(Finding(source, section.line, section.name, "", reason))
            continue
        result = read_fields(source, section, specs)
        if isinstance(result, Err):
            findings.extend(result.err_value)
        elif kind == "run":
            run = result.ok_value
        elif kind == "target":
            targets.append(Target(name, **result.ok_value))
        else:
            kinds.append(RequestKind(name, **result.ok_value))
    present = {section.name.partition(" ")[0] for section in sections}
    findings.extend(
        Finding(source, 0, kind, "", "section is missing")
        for kind in ("run", "target", "request")
        if kind not in present
    )
    if findings:
        return Err(tuple(findings))
    return Ok(LoadPlan(targets=tuple(targets), kinds=tuple(kinds), **run))


__all__ = ["LoadPlan", "RequestKind", "Target"]
