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
        document: Document = json.loads(value)
        document["rollout"], document["digest"], document["since"]
        document["configuration_version"] + document["started_ms"]
        STATE_RANKS[document["state"]]
    except MALFORMED_JSON_ERRORS as error:
        return Err(f"rollout status cannot be decoded: {error!r}")
    return Ok(document)


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
    "decision_from_document",
    "decode_document",
    "document_to_write",
    "encode_document",
    "removed_document",
    "rollout_document",
]
