"""The operators' configuration in the platform's store, converted to records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from briarslip.finding import format_findings
from briarslip.platform.json_object import JsonObject
from briarslip.platform.json_object import read_json_object
from briarslip.platform.rollouts import ROLLOUT_ORDER_PREFIX
from briarslip.platform.rollouts import read_rollout_order
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.version.record import Record
from briarslip.version.record import RecordKey
from briarslip.version.routing_table import CALLER_LIMITS_NAME
from briarslip.version.snapshot import Snapshot


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from result import Result

    from briarslip.finding import Finding
    from briarslip.process.store.client import KeyValue


OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
SAFE_KIND = "safe"
ROUTE_KINDS = frozenset((SAFE_KIND, "non_idempotent"))
# Route priorities up to this number are urgent; 0 is the highest.
MAX_URGENT_PRIORITY = 1

Records = dict[RecordKey, Record]


def read_configuration(
    items: Mapping[str, KeyValue],
) -> Result[Snapshot | None, tuple[Finding, ...]]:
    """Convert the operators' items to a snapshot; None without a configuration.

    The version of the snapshot is the revision of its newest item. A rollout order
    that is invalid is logged and skipped.
    """
    item = items.get(CONFIGURATION_KEY)
    if item is None:
        return Ok(None)
    parsed = read_json_object(item.value, CONFIGURATION_KEY, _read_records)
    if isinstance(parsed, Err):
        return parsed
    records = parsed.ok_value
    version = item.mod_revision
    for key, order in items.items():
        if key.startswith(ROLLOUT_ORDER_PREFIX):
            version = max(version, order.mod_revision)
            _add_rollout(records, order)
    return Ok(Snapshot.from_records(version, records))


def _add_rollout(records: Records, item: KeyValue) -> None:
    """Add the record of a rollout order; log and skip an invalid order."""
    order = read_rollout_order(item)
    if isinstance(order, Err):
        emit(
            Event.MESSAGE_REJECTED,
            peer=item.key,
            reason=format_findings(order.err_value),
        )
        return
    record = order.ok_value
    if RecordKey("service", record.fields["service"], 1) not in records:
        reason = f"unknown service {record.fields['service']!r}"
        emit(Event.MESSAGE_REJECTED, peer=item.key, reason=reason)
        return
    records[record.key] = record


def _read_records(document: JsonObject) -> Records:
    records: Records = {}
    for name in document.nested_map("services"):
        _add_record(records, "service", name, 1, {})
    for name, route in document.nested_map("routes").items():
        _add_record(records, "route", name, 3, dict(_route_fields(route)))
    limits = document.nested("limits")
    fields = {
        "head_bytes": str(limits.integer("header-bytes", minimum=1)),
        "body_bytes": str(limits.integer("max-body-bytes")),
        "read_ms": str(limits.integer("header-timeout-ms", minimum=1)),
        "idle_ms": str(limits.integer("idle-timeout-ms", minimum=1)),
    }
    _add_record(records, "limits", CALLER_LIMITS_NAME, 1, fields)
    return records


def _add_record(
    records: Records, kind: str, name: str, schema: int, fields: dict[str, str]
) -> None:
    key = RecordKey(kind, name, schema)
    records[key] = Record(key, fields)


def _route_fields(route: JsonObject) -> Iterator[tuple[str, str]]:
    parts = [
        (part.text("service"), part.integer("weight"))
        for part in route.nested_list("traffic-split")
    ]
    service = parts[0][0] if parts else route.text("service")
    yield "service", service
    if parts:
        yield "parts", ", ".join(f"{name} {weight}" for name, weight in parts)
    yield "host", route.text("host")
    yield "path_prefix", route.text("prefix")
    is_safe = route.choice("kind", ROUTE_KINDS) == SAFE_KIND
    yield "idempotent", "true" if is_safe else "false"
    yield "timeout_ms", str(route.integer("timeout-ms", minimum=1))
    yield "target_ms", str(route.integer("target-latency-ms", minimum=1))
    yield "attempts", str(route.integer("attempts", default=1, minimum=1))
    is_urgent = (
        route.integer("priority", default=MAX_URGENT_PRIORITY) <= MAX_URGENT_PRIORITY
    )
    yield "priority", "urgent" if is_urgent else "bulk"
    yield "claims", "none"


__all__ = ["CONFIGURATION_KEY", "OPERATOR_PREFIX", "read_configuration"]
