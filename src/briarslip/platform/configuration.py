"""The operators' configuration in the platform's store, converted to records."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from result import Err
from result import Ok

from briarslip import fields
from briarslip.finding import Finding
from briarslip.platform.json_object import JsonObject
from briarslip.platform.rollouts import ROLLOUT_ORDER_PREFIX
from briarslip.platform.rollouts import read_rollout_order
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.version.record import MAX_CONFIGURABLE_ATTEMPTS
from briarslip.version.record import MAX_TIMEOUT_MS
from briarslip.version.record import MAX_WEIGHT
from briarslip.version.record import Record
from briarslip.version.record import RecordKey
from briarslip.version.record import Route
from briarslip.version.record import parse_record
from briarslip.version.routing_table import CALLER_LIMITS_NAME
from briarslip.version.snapshot import Snapshot


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from result import Result

    from briarslip.process.store.client import KeyValue


OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
# Requests of these kinds may be repeated; those of an unknown kind may not.
IDEMPOTENT_KINDS = frozenset(("safe", "download"))
ROUTE_KINDS = IDEMPOTENT_KINDS | {"non_idempotent"}
# Route priorities up to this number are urgent; 0 is the highest.
MAX_URGENT_PRIORITY = 1
# A service without servers. Requests of a route whose service can't be read go there,
# so they are rejected as not run.
UNSERVED = "briarslip.unserved"

Records = dict[RecordKey, Record]


class ConfigurationReader:
    """Converts the operators' items to snapshots.

    A route or an order that is invalid in part is logged and leaves the others in
    force. ``reported`` holds the findings of the items read last, which are logged
    once.
    """

    def __init__(self) -> None:
        self.reported: frozenset[Finding] = frozenset()

    def __call__(
        self, items: Mapping[str, KeyValue]
    ) -> Result[Snapshot | None, tuple[Finding, ...]]:
        """Convert items to a snapshot; None without a configuration.

        The version of the snapshot is the revision of its newest item. The error
        holds the findings of a document without readable routes and services.
        """
        item = items.get(CONFIGURATION_KEY)
        if item is None:
            return Ok(None)
        document = JsonObject.from_bytes(item.value, CONFIGURATION_KEY)
        if isinstance(document, Err):
            return Err((document.err_value,))
        services = document.ok_value.nested("services")
        routes = document.ok_value.nested("routes")
        findings = document.ok_value.findings
        if findings:
            return Err(tuple(findings))
        records = _read_records(document.ok_value, services, routes)
        version = item.mod_revision
        for key, order in items.items():
            if key.startswith(ROLLOUT_ORDER_PREFIX):
                version = max(version, order.mod_revision)
                findings.extend(_add_rollout(records, order))
        self._report(frozenset(findings))
        return Ok(Snapshot.from_records(version, records))

    def _report(self, findings: frozenset[Finding]) -> None:
        for finding in sorted(findings - self.reported):
            emit(
                Event.MESSAGE_REJECTED,
                peer=finding.source,
                reason=str(finding),
            )
        self.reported = findings


def _add_rollout(records: Records, item: KeyValue) -> tuple[Finding, ...]:
    """Add the record of a rollout order; return the findings of an invalid one."""
    order = read_rollout_order(item)
    if isinstance(order, Err):
        return order.err_value
    record = order.ok_value
    service = record.fields["service"]
    if RecordKey("service", service, 1) not in records:
        return (Finding(item.key, 0, "", "service", f"{service!r} is unknown"),)
    parsed = parse_record(record)
    if isinstance(parsed, Err):
        return parsed.err_value
    records[record.key] = record
    return ()


def _read_records(
    document: JsonObject, services: JsonObject, routes: JsonObject
) -> Records:
    records: Records = {}
    for name in services.values:
        _add_record(records, "service", name, 1, {})
    targets: dict[tuple[str, str], RecordKey] = {}
    for name, route in routes.objects().items():
        _add_route(records, targets, name, route)
    if any(finding.section == routes.path for finding in document.findings):
        _add_unreadable_route(records)
    _add_limits(records, document)
    return records


def _add_route(
    records: Records,
    targets: dict[tuple[str, str], RecordKey],
    name: str,
    route: JsonObject,
) -> None:
    """Add the record of a route; requests of an unreadable one will be rejected.

    ``targets`` has the key of each route that was added before by host and prefix.
    """
    key = RecordKey("route", name, 3)
    record = Record(key, dict(_route_fields(route)))
    parsed = parse_record(record)
    if isinstance(parsed, Err):
        for finding in parsed.err_value:
            route.add_finding(finding.field, finding.reason)
        _add_unreadable_route(records)
        return
    target = (record.fields["host"].lower(), record.fields["path_prefix"])
    other = targets.setdefault(target, key)
    if other != key:
        route.add_finding("prefix", f"matches the same requests as {other.name!r}")
        values = {**records[other].fields, "service": UNSERVED}
        values.pop("parts", None)
        records[other] = Record(other, values)
        _add_record(records, "service", UNSERVED, 1, {})
        return
    records[key] = record
    typed_record = parsed.ok_value
    assert isinstance(typed_record, Route)
    for service in typed_record.services:
        if RecordKey("service", service, 1) not in records:
            if service != UNSERVED:
                route.add_finding("service", f"{service!r} is not among the services")
            _add_record(records, "service", service, 1, {})


def _add_unreadable_route(records: Records) -> None:
    """Reject requests that no route matches as not run, instead of as unknown.

    They may belong to a route whose host or prefix can't be read.
    """
    _add_record(records, "service", UNSERVED, 1, {})
    values = {"service": UNSERVED, "path_prefix": "/", "claims": "none"}
    _add_record(records, "route", UNSERVED, 1, values)


def _add_limits(records: Records, document: JsonObject) -> None:
    """Add the limits for callers; without readable ones the defaults apply."""
    known = len(document.findings)
    limits = document.nested("limits")
    values = {
        "head_bytes": str(limits.whole_part("header-bytes", minimum=1)),
        "body_bytes": str(limits.whole_part("max-body-bytes")),
        "read_ms": str(limits.whole_part("header-timeout-ms", minimum=1)),
        "idle_ms": str(limits.whole_part("idle-timeout-ms", minimum=1)),
    }
    record = Record(RecordKey("limits", CALLER_LIMITS_NAME, 1), values)
    parsed = parse_record(record)
    if isinstance(parsed, Err):
        for finding in parsed.err_value:
            limits.add_finding(finding.field, finding.reason)
    if len(document.findings) == known:
        records[record.key] = record


def _add_record(
    records: Records, kind: str, name: str, schema: int, values: dict[str, str]
) -> None:
    key = RecordKey(kind, name, schema)
    records[key] = Record(key, values)


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
    "OPERATOR_PREFIX",
    "ConfigurationReader",
    "whole_weights",
]
