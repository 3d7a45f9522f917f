"""Rollout orders and rollout statuses in the formats of the platform's store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from result import Err

from briarslip.platform.json_object import JsonObject
from briarslip.platform.json_object import read_json_object
from briarslip.version.record import Record
from briarslip.version.record import RecordKey
from briarslip.version.rollout import State
from briarslip.version.rollout_document import RolloutDocumentCodec
from briarslip.version.rollout_document import check_document


if TYPE_CHECKING:
    from result import Result

    from briarslip.finding import Finding
    from briarslip.process.store.client import KeyValue
    from briarslip.version.rollout_document import Document as StatusDocument


ROLLOUT_ORDER_PREFIX = "op/rollout/"
STATUS_PREFIX = "status/rollout/"
ROLLOUT_SCHEMA = 2
# The status document in the daemon's own format, which starting daemons read back.
REPORT_FIELD = "report"
RUNNING = "running"
MAX_DURATION_MS = 2**53
PLATFORM_STATES = {
    State.PENDING.value: RUNNING,
    State.WAITING_FOR_SERVERS.value: RUNNING,
    State.SMALL_SHARE.value: RUNNING,
    State.RAMPING.value: RUNNING,
    State.HELD.value: RUNNING,
    State.DONE.value: "completed",
    State.ROLLED_BACK.value: "rolled_back",
}


def read_rollout_order(item: KeyValue) -> Result[Record, tuple[Finding, ...]]:
    """Convert an operator's rollout order to a record.

    The record's ``order`` is the revision that last wrote the item.
    """

    def to_record(document: JsonObject) -> Record:
        # An odd duration is refused with the other fields of the record.
        milliseconds = round(min(document.number("duration-s") * 1000, MAX_DURATION_MS))
        service = document.text("service")
        fields = {
            "service": service,
            "version": document.text("target-version"),
            "window_ms": str(max(1000, milliseconds)),
            "order": str(item.mod_revision),
        }
        return Record(RecordKey("rollout", service, ROLLOUT_SCHEMA), fields)

    return read_json_object(item.value, item.key, to_record)


def encode_status(report: StatusDocument) -> bytes | None:
    """Encode the status for operators; None for a state unknown to the platform."""
    state = PLATFORM_STATES.get(report["state"])
    if state is None:
        return None
    document = {
        "service": report["service"],
        "target-version": report["version"],
        "state": state,
        REPORT_FIELD: report,
    }
    return json.dumps(document, sort_keys=True).encode()


def decode_status(value: bytes) -> Result[StatusDocument, str]:
    """Return the status document that is embedded in a stored status."""
    parsed = read_json_object(
        value, STATUS_PREFIX, lambda d: d.nested(REPORT_FIELD).values
    )
    if isinstance(parsed, Err):
        return Err("; ".join(map(str, parsed.err_value)))
    return check_document(parsed.ok_value)


PLATFORM_ROLLOUT_CODEC = RolloutDocumentCodec(
    STATUS_PREFIX, encode_status, decode_status
)

__all__ = ["PLATFORM_ROLLOUT_CODEC", "ROLLOUT_ORDER_PREFIX", "read_rollout_order"]
