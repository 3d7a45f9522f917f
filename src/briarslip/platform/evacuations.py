"""Orders to evacuate a zone in the format of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from result import Err

from briarslip.finding import Finding
from briarslip.platform.json_object import JsonObject
from briarslip.process.distribution.withdrawals import WithdrawableOrders
from briarslip.version.record import Record
from briarslip.version.record import RecordKey


if TYPE_CHECKING:
    from briarslip.process.store.client import KeyValue
    from briarslip.version.snapshot import Snapshot


EVACUATION_PREFIX = "op/evacuate/"
EVACUATION_KIND = "evacuation"


def add_evacuation(
    records: dict[RecordKey, Record], item: KeyValue
) -> tuple[Finding, ...]:
    """Add the record of an order to evacuate a zone, unless it was withdrawn.

    The key alone is the order: a value that is not that of the format is a finding and
    changes nothing. The record's ``order`` is the revision that last wrote the item.
    """
    if item.removed_at:
        return ()
    zone = item.key.removeprefix(EVACUATION_PREFIX)
    # The name of a zone may have characters that a record's key can't have.
    name = quote(zone, safe="", errors="replace")
    values = {"zone": zone, "order": str(item.mod_revision)}
    record = Record(RecordKey(EVACUATION_KIND, name, 1), values)
    if isinstance(record.parsed, Err):
        return (Finding(item.key, 0, "", "zone", "is not the name of a zone"),)
    records[record.key] = record
    document = JsonObject.from_bytes(item.value, item.key)
    return (document.err_value,) if isinstance(document, Err) else ()


def evacuation_orders(snapshot: Snapshot) -> dict[str, int]:
    """Return the store revision of each order in a snapshot, by its key."""
    return {
        EVACUATION_PREFIX + record.fields["zone"]: int(record.fields["order"])
        for key, record in snapshot.records.items()
        if key.kind == EVACUATION_KIND
        and record.parsed.is_ok()
        and "order" in record.fields
    }


EVACUATION_ORDERS = WithdrawableOrders(EVACUATION_PREFIX, evacuation_orders)

__all__ = [
    "EVACUATION_ORDERS",
    "EVACUATION_PREFIX",
    "add_evacuation",
]
