"""Routes of the operators' configuration, converted to records."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok

from briarslip import fields
from briarslip.platform.json_object import JsonObject
from briarslip.platform.organisations import MAX_URGENT_PRIORITY
from briarslip.version.record import Record
from briarslip.version.record import RecordKey
from briarslip.version.record import Route
from briarslip.version.record_schema import MAX_CONFIGURABLE_ATTEMPTS
from briarslip.version.record_schema import MAX_TIMEOUT_MS
from briarslip.version.route_fields import MAX_WEIGHT


if TYPE_CHECKING:
    from collections.abc import Iterator

    from briarslip.finding import Finding


CONFIGURATION_KEY = "op/config"
ROUTES_FIELD = "routes"
# Requests of these kinds may be repeated; those of an unknown kind may not.
IDEMPOTENT_KINDS = frozenset(("safe", "download"))
# An upload has a large body and is otherwise like a non-idempotent request.
ROUTE_KINDS = IDEMPOTENT_KINDS | {"non_idempotent", "upload"}
# A service without servers. Requests of a route whose service can't be read go there,
# so they are rejected as not run.
UNSERVED = "briarslip.unserved"


@dataclass(frozen=True, slots=True)
class ReadRoute:
    """A route as the operator wrote it, and what was read from it.

    ``record`` is None if the host or the prefix can't be read.
    """

    values: dict[str, Any]
    record: Record | None
    services: tuple[str, ...]
    findings: tuple[Finding, ...]

    @classmethod
    def from_values(
        cls, name: str, values: dict[str, Any], needs_keys: bool
    ) -> ReadRoute:
        """Read a route from the fields of its JSON object."""
        route = JsonObject(values, CONFIGURATION_KEY, f"{ROUTES_FIELD}.{name}")
        route_fields = dict(_route_fields(route))
        if needs_keys:
            # Older daemons reject records with this field.
            route_fields["public"] = "true" if route.boolean("public") else "false"
        record = Record(RecordKey("route", name, 3), route_fields)
        parsed = record.parsed
        if isinstance(parsed, Err):
            for finding in parsed.err_value:
                route.add_finding(finding.field, finding.reason)
            return cls(values, None, (), tuple(route.findings))
        typed_record = parsed.ok_value
        assert isinstance(typed_record, Route)
        return cls(values, record, typed_record.services, tuple(route.findings))


def _route_fields(route: JsonObject) -> Iterator[tuple[str, str]]:
    """Yield the fields of a route's record; an unreadable value has its default."""
    yield "host", route.text("host")
    yield "path_prefix", route.text("prefix")
    yield from _service_fields(route)
    kind = route.text("kind")
    if kind not in ROUTE_KINDS:
        route.add_finding("kind", f"{kind!r} is unknown; requests are not repeated")
    yield "idempotent", "true" if kind in IDEMPOTENT_KINDS else "false"
    for field, name in (
        ("timeout_ms", "timeout-ms"),
        ("target_ms", "target-latency-ms"),
    ):
        milliseconds = math.ceil(route.number(name))
        if milliseconds:
            yield field, str(min(milliseconds, MAX_TIMEOUT_MS))
    attempts = route.whole_part("attempts", default=1, minimum=1)
    yield "attempts", str(min(attempts, MAX_CONFIGURABLE_ATTEMPTS))
    priority = route.number("priority", default=MAX_URGENT_PRIORITY)
    yield "priority", "urgent" if priority <= MAX_URGENT_PRIORITY else "bulk"
    yield "claims", "none"


def _service_fields(route: JsonObject) -> Iterator[tuple[str, str]]:
    """Yield the fields with the route's service or its parts."""
    known = len(route.findings)
    parts = [
        (part.text("service"), part.number("weight"))
        for part in route.nested_list("traffic-split")
    ]
    service = parts[0][0] if parts else route.text("service")
    is_readable = len(route.findings) == known and all(
        isinstance(fields.name(name), Ok) for name, _ in parts or [(service, 0)]
    )
    if not is_readable:
        route.add_finding("service", "can't be read; requests are rejected")
        yield "service", UNSERVED
        return
    yield "service", service
    if parts:
        weights = whole_weights([weight for _, weight in parts])
        pairs = zip(parts, weights, strict=True)
        yield "parts", ", ".join(f"{name} {weight}" for (name, _), weight in pairs)


def whole_weights(weights: list[float]) -> list[int]:
    """Return whole weights in the same proportions, at most ``MAX_WEIGHT`` each."""
    largest = max(weights)
    if largest <= MAX_WEIGHT and all(weight.is_integer() for weight in weights):
        return [int(weight) for weight in weights]
    return [math.ceil(weight / largest * MAX_WEIGHT) for weight in weights]


__all__ = [
    "CONFIGURATION_KEY",
    "ROUTES_FIELD",
    "UNSERVED",
    "ReadRoute",
    "whole_weights",
]
