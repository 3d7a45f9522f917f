"""The one document that tells operators of a rollout: ``status/rollouts/<name>``."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

from briarslip.malformed import MALFORMED_ERRORS
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
RANKS = {
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
    since: datetime,
    configuration_version: int,
    zones_not_heard: Iterable[str],
) -> Document:
    """Return what a daemon has to report of a rollout in a state ``since`` then."""
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
        "since": since.isoformat(timespec="milliseconds"),
        "started_ms": to_milliseconds(started) if started else 0,
        "configuration_version": configuration_version,
        "zones_not_heard": list(zones_not_heard),
    }
    decision = decisions.rolled_back.get(status.id)
    if decision is not None:
        document["since"] = decision.decided.isoformat(timespec="milliseconds")
        document["fault"] = _fault(decision)
    return document


def _fault(decision: Decision) -> Document:
    return {
        "route": decision.fault.route,
        "figure": decision.fault.figure,
        "new_value": decision.fault.new_value,
        "old_value": decision.fault.old_value,
        "decided_ms": to_milliseconds(decision.decided),
        "availability_zone": decision.availability_zone,
        "after_done": decision.after_done,
    }


def removed_document(known: Document, now: datetime, version: int) -> Document:
    """Return the report of a rollout whose record was removed midway."""
    return {
        **known,
        "state": REMOVED,
        "reason": f"the record was removed in state {known['state']}",
        "since": now.isoformat(timespec="milliseconds"),
        "configuration_version": version,
    }


def document_to_write(current: Document | None, mine: Document) -> Document | None:
    """Return what has to be written, None if the platform's is as good.

    A state of a rollout gives way to a later one only, so that it has one
    terminal word; that it is rolled back wins over every other word. Another
    record of the same name takes over with a newer configuration only.
    """
    if current is None:
        return mine
    if current["digest"] != mine["digest"]:
        newer = mine["configuration_version"] > current["configuration_version"]
        return mine if newer else None
    before, after = RANKS[current["state"]], RANKS[mine["state"]]
    if after <= before:
        return None
    if mine["state"] == State.ROLLED_BACK.value and before == RANKS[State.DONE.value]:
        return {**mine, "after": current["state"], "after_since": current["since"]}
    return mine


@dataclass(frozen=True, slots=True)
class RolloutDocumentCodec:
    """How operators are told of rollouts: where, and in which form.

    ``encode`` returns None for what they are not told.
    """

    prefix: str
    encode: Callable[[Document], bytes | None]
    decode: Callable[[bytes], Result[Document, str]]


def decode_document(value: bytes) -> Result[Document, str]:
    """Read a document; the error is a reason."""
    try:
        document: Document = json.loads(value)
        document["rollout"], document["digest"], document["since"]
        document["configuration_version"] + document["started_ms"]
        RANKS[document["state"]]
    except MALFORMED_ERRORS as error:
        return Err(f"is not a rollout's status: {error!r}")
    return Ok(document)


def encode_document(document: Document) -> bytes:
    """Return a document's bytes."""
    return json.dumps(document, sort_keys=True).encode()


def decision_from_document(document: Document) -> Decision | None:
    """Return the decision that a document tells of, if any."""
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
