"""Status documents that report rollouts to operators.

There is one document for each rollout in the store, at ``status/rollouts/<name>``.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

from briarslip.malformed_json import MALFORMED_JSON_ERRORS
from briarslip.version.decision import Decision
from briarslip.version.decision import Fault
from briarslip.version.decision import RolloutId
from briarslip.version.evidence_codec import from_milliseconds
from briarslip.version.evidence_codec import to_milliseconds
from briarslip.version.rollout import State


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from datetime import datetime

    from briarslip.version.decision import Decisions
    from briarslip.version.rollout import RolloutStatus


ROLLOUT_STATUS_PREFIX = "status/rollouts/"
REMOVED = "removed"
STATE_RANKS = {
    State.PENDING.value: 0,
    State.SYNCING.value: 0,
    State.WAITING_FOR_SERVERS.value: 1,
    State.SMALL_SHARE.value: 2,
    State.SUPERSEDED.value: 3,
    State.RAMPING.value: 3,
    State.HELD.value: 3,
    State.DONE.value: 4,
    State.DEADLINE_MISSED.value: 4,
    REMOVED: 4,
    State.ROLLED_BACK.value: 5,
}

Document = dict[str, Any]

# The end of the year 9998 in milliseconds since 1970: the last that is a date anywhere.
MAX_TIME_MS = 253_370_764_800_000
MAX_FIGURE = 1e9


def rollout_document(
    status: RolloutStatus,
    decisions: Decisions,
    state_since: datetime,
    configuration_version: int,
    zones_without_members: Iterable[str],
) -> Document:
    """Return this daemon's report on a rollout.

    ``state_since`` is the time from which the rollout has been in its state. For a
    rolled back rollout the document has the time of the decision instead.
    """
    rollout = status.rollout
    started = decisions.started.get(status.id)
    document: Document = {
        "rollout": rollout.name,
        "digest": status.id.digest,
        "service": rollout.service,
        "version": rollout.version,
        "deadline": rollout.deadline.isoformat(),
        "state": status.state.value,
        "reason": status.reason,
        "since": state_since.isoformat(timespec="milliseconds"),
        "started_ms": to_milliseconds(started) if started else 0,
        "configuration_version": configuration_version,
        "zones_not_heard": list(zones_without_members),
    }
    decision = decisions.rolled_back.get(status.id)
    if decision is not None:
        document["since"] = decision.decided.isoformat(timespec="milliseconds")
        document["fault"] = _fault_document(decision)
    return document


def _fault_document(decision: Decision) -> Document:
    return {
        "route": decision.fault.route,
        "figure": decision.fault.figure,
        "new_value": decision.fault.new_value,
        "old_value": decision.fault.old_value,
        "decided_ms": to_milliseconds(decision.decided),
        "availability_zone": decision.availability_zone,
        "after_done": decision.after_done,
    }


def removed_document(
    previous: Document, now: datetime, configuration_version: int
) -> Document:
    """Return the report of a rollout whose record was removed before its end."""
    return {
        **previous,
        "state": REMOVED,
        "reason": f"the record was removed in state {previous['state']}",
        "since": now.isoformat(timespec="milliseconds"),
        "configuration_version": configuration_version,
    }


def document_to_write(current: Document | None, own: Document) -> Document | None:
    """Return the document to write, None if the store's ``current`` one stands.

    The state of a rollout is replaced by a later state only, so that just one
    terminal state is reported, except that "rolled back" replaces every other state.
    Another rollout of the same name replaces the document only if it comes with a
    newer configuration version.
    """
    if current is None:
        return own
    if current["digest"] != own["digest"]:
        is_newer = own["configuration_version"] > current["configuration_version"]
        return own if is_newer else None
    current_rank, own_rank = STATE_RANKS[current["state"]], STATE_RANKS[own["state"]]
    if own_rank <= current_rank:
        return None
    if (
        own["state"] == State.ROLLED_BACK.value
        and current_rank == STATE_RANKS[State.DONE.value]
    ):
        return {**own, "after": current["state"], "after_since": current["since"]}
    return own


@dataclass(frozen=True, slots=True)
class RolloutDocumentCodec:
    """Key prefix and encoding of the documents that report rollouts in the store.

    ``encode`` returns None for documents that are not reported. The error of
    ``decode`` is the reason why a value cannot be decoded.
    """

    prefix: str
    encode: Callable[[Document], bytes | None]
    decode: Callable[[bytes], Result[Document, str]]


def decode_document(value: bytes) -> Result[Document, str]:
    """Decode a document; the error is the reason why it cannot be decoded."""
    try:
        document = json.loads(value)
    except MALFORMED_JSON_ERRORS as error:
        return Err(f"rollout status cannot be decoded: {error!r}")
    return check_document(document)


def check_document(document: Any) -> Result[Document, str]:
    """Return the document if it has every field that is read, with a usable value.

    The error is the reason why it can't be used.
    """
    if not isinstance(document, dict):
        return Err("rollout status is not a JSON object")
    reason = _reason_unusable(document, DOCUMENT_CHECKS)
    fault = document.get("fault")
    if reason or fault is None:
        return Err(reason) if reason else Ok(document)
    if not isinstance(fault, dict):
        return Err("fault of a rollout status is not a JSON object")
    reason = _reason_unusable(fault, FAULT_CHECKS)
    return Err(f"fault: {reason}") if reason else Ok(document)


def _reason_unusable(
    document: Document, checks: Mapping[str, Callable[[Any], bool]]
) -> str:
    """Return which field can't be used, empty if all can."""
    for name, is_usable in checks.items():
        if not is_usable(document.get(name)):
            return f"field {name!r} of a rollout status is missing or can't be used"
    return ""


def _is_text(value: Any) -> bool:
    # Text may have been written with half of a surrogate pair, which has no encoding.
    return isinstance(value, str) and value.isprintable()


def _is_time(value: Any) -> bool:
    return _is_whole(value) and value <= MAX_TIME_MS


def _is_whole(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _is_figure(value: Any) -> bool:
    return isinstance(value, int | float) and 0 <= value <= MAX_FIGURE


def _is_state(value: Any) -> bool:
    return isinstance(value, str) and value in STATE_RANKS


DOCUMENT_CHECKS: dict[str, Callable[[Any], bool]] = {
    "rollout": _is_text,
    "digest": _is_text,
    "service": _is_text,
    "version": _is_text,
    "since": _is_text,
    "state": _is_state,
    "started_ms": _is_time,
    "configuration_version": _is_whole,
}
FAULT_CHECKS: dict[str, Callable[[Any], bool]] = {
    "route": _is_text,
    "figure": _is_text,
    "new_value": _is_figure,
    "old_value": _is_figure,
    "decided_ms": _is_time,
    "availability_zone": _is_text,
    "after_done": lambda value: isinstance(value, bool),
}


def encode_document(document: Document) -> bytes:
    """Encode a document as JSON."""
    return json.dumps(document, sort_keys=True).encode()


def decision_from_document(document: Document) -> Decision | None:
    """Return the rollback decision that a document reports, None without one."""
    fault = document.get("fault")
    if document["state"] != State.ROLLED_BACK.value or fault is None:
        return None
    return Decision(
        rollout=RolloutId(document["rollout"], document["digest"]),
        service=document["service"],
        version=document["version"],
        fault=Fault(
            fault["route"], fault["figure"], fault["new_value"], fault["old_value"]
        ),
        decided=from_milliseconds(fault["decided_ms"]),
        availability_zone=fault["availability_zone"],
        after_done=fault["after_done"],
    )


DEFAULT_ROLLOUT_CODEC = RolloutDocumentCodec(
    ROLLOUT_STATUS_PREFIX, encode_document, decode_document
)

__all__ = [
    "DEFAULT_ROLLOUT_CODEC",
    "REMOVED",
    "ROLLOUT_STATUS_PREFIX",
    "Document",
    "RolloutDocumentCodec",
    "check_document",
    "decision_from_document",
    "decode_document",
    "document_to_write",
    "encode_document",
    "removed_document",
    "rollout_document",
]
