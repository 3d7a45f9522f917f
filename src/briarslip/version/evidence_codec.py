"""Messages on rollouts between daemons and their Cap'n Proto codec."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from pathlib import Path
from typing import Any

import capnp
from result import Err
from result import Ok
from result import Result

from briarslip.version.decision import Decision
from briarslip.version.decision import Fault
from briarslip.version.decision import RolloutId
from briarslip.version.evidence import BUCKET_COUNT
from briarslip.version.evidence import CounterKey
from briarslip.version.evidence import Counters
from briarslip.version.evidence import Report


SCHEMA = capnp.load(str(Path(__file__).with_name("evidence.capnp")))
MS_PER_SECOND = 1000
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
MICROSECOND = timedelta(microseconds=1)

RolloutTimes = tuple[tuple[RolloutId, datetime], ...]
OrderDeadlines = tuple[tuple[str, datetime], ...]


@dataclass(frozen=True, slots=True)
class Reports:
    """Evidence reports of one or more daemons."""

    reports: tuple[Report, ...]


@dataclass(frozen=True, slots=True)
class StateDigest:
    """The digest of the sender's decisions and start times."""

    digest: bytes


@dataclass(frozen=True, slots=True)
class DecisionsState:
    """Decisions, start times, ends of holds and deadlines: a daemon's, or new ones.

    ``is_complete`` means that the sender is synchronized and this is its full state.
    ``deadlines`` has the agreed deadline of each order by its key.
    """

    is_complete: bool
    decisions: tuple[Decision, ...]
    started: RolloutTimes
    held_until: RolloutTimes
    deadlines: OrderDeadlines = ()


EvidenceMessage = Reports | StateDigest | DecisionsState


def encode_message(message: EvidenceMessage) -> bytes:
    """Return a message as packed Cap'n Proto bytes."""
    target = SCHEMA.Message.new_message()
    match message:
        case Reports(reports):
            entries = target.init("reports", len(reports))
            for entry, report in zip(entries, reports, strict=True):
                _encode_report(entry, report)
        case StateDigest(digest):
            target.digest = digest
        case DecisionsState():
            _encode_state(target.init("state"), message)
    encoded: bytes = target.to_bytes_packed()
    return encoded


def _encode_report(target: Any, report: Report) -> None:
    target.reporter = report.reporter
    target.availabilityZone = report.availability_zone
    target.service = report.service
    target.incarnation = report.incarnation
    target.timeSlice = report.time_slice
    entries = target.init("entries", len(report.entries))
    for entry, (key, counters) in zip(entries, report.entries, strict=True):
        entry.version = key.version
        entry.route = key.route
        entry.calls = counters.calls
        entry.failures = counters.failures
        entry.rejections = counters.rejections
        first_bucket, counts = _trim_empty_buckets(counters.latencies)
        entry.firstBucket = first_bucket
        entry.latencies = counts


def _trim_empty_buckets(latencies: tuple[int, ...]) -> tuple[int, list[int]]:
    nonempty = [bucket for bucket, count in enumerate(latencies) if count]
    if not nonempty:
        return 0, []
    return nonempty[0], list(latencies[nonempty[0] : nonempty[-1] + 1])


def _encode_state(target: Any, state: DecisionsState) -> None:
    target.whole = state.is_complete
    decisions = target.init("decisions", len(state.decisions))
    for entry, decision in zip(decisions, state.decisions, strict=True):
        _encode_decision(entry, decision)
    _encode_times(target.init("started", len(state.started)), state.started)
    _encode_times(target.init("heldUntil", len(state.held_until)), state.held_until)
    deadlines = target.init("deadlines", len(state.deadlines))
    for entry, (order, deadline) in zip(deadlines, state.deadlines, strict=True):
        entry.order = order
        # The identity of a rollout covers its deadline to the microsecond.
        entry.atUs = (deadline - EPOCH) // MICROSECOND


def _encode_decision(target: Any, decision: Decision) -> None:
    _encode_id(target.rollout, decision.rollout)
    target.service = decision.service
    target.version = decision.version
    target.route = decision.fault.route
    target.figure = decision.fault.figure
    target.newValue = decision.fault.new_value
    target.oldValue = decision.fault.old_value
    target.decidedMs = to_milliseconds(decision.decided)
    target.availabilityZone = decision.availability_zone
    target.afterDone = decision.after_done


def _encode_id(target: Any, rollout: RolloutId) -> None:
    target.name = rollout.name
    target.digest = rollout.digest


def _encode_times(target: Any, times: RolloutTimes) -> None:
    for entry, (rollout, time) in zip(target, times, strict=True):
        _encode_id(entry.rollout, rollout)
        entry.atMs = to_milliseconds(time)


def decode_message(data: bytes) -> Result[EvidenceMessage, str]:
    """Decode a message; the error is the reason why it cannot be decoded."""
    try:
        source = SCHEMA.Message.from_bytes_packed(data)
        match source.which():
            case "reports":
                return Ok(Reports(tuple(_decode_report(r) for r in source.reports)))
            case "digest":
                return Ok(StateDigest(source.digest))
            case _:
                return Ok(_decode_state(source.state))
    except (capnp.KjException, ValueError, OverflowError) as error:
        return Err(f"rollout message cannot be decoded: {error}")


def _decode_report(source: Any) -> Report:
    return Report(
        reporter=source.reporter,
        availability_zone=source.availabilityZone,
        service=source.service,
        incarnation=source.incarnation,
        time_slice=source.timeSlice,
        entries=tuple(
            (CounterKey(entry.version, entry.route), _decode_counters(entry))
            for entry in source.entries
        ),
    )


def _decode_counters(source: Any) -> Counters:
    counts = list(source.latencies)
    empty_before = source.firstBucket
    empty_after = BUCKET_COUNT - empty_before - len(counts)
    if empty_after < 0:
        raise ValueError(
            f"latency counts from bucket {empty_before} exceed {BUCKET_COUNT} buckets"
        )
    latencies = (0,) * empty_before + tuple(counts) + (0,) * empty_after
    return Counters(source.calls, source.failures, latencies, source.rejections)


def _decode_state(source: Any) -> DecisionsState:
    return DecisionsState(
        is_complete=source.whole,
        decisions=tuple(_decode_decision(entry) for entry in source.decisions),
        started=_decode_times(source.started),
        held_until=_decode_times(source.heldUntil),
        deadlines=tuple(
            (entry.order, EPOCH + entry.atUs * MICROSECOND)
            for entry in source.deadlines
        ),
    )


def _decode_decision(source: Any) -> Decision:
    return Decision(
        rollout=RolloutId(source.rollout.name, source.rollout.digest),
        service=source.service,
        version=source.version,
        fault=Fault(source.route, source.figure, source.newValue, source.oldValue),
        decided=from_milliseconds(source.decidedMs),
        availability_zone=source.availabilityZone,
        after_done=source.afterDone,
    )


def _decode_times(source: Any) -> RolloutTimes:
    return tuple(
        (
            RolloutId(entry.rollout.name, entry.rollout.digest),
            from_milliseconds(entry.atMs),
        )
        for entry in source
    )


def to_milliseconds(time: datetime) -> int:
    """Return a time in milliseconds since 1970."""
    return round(time.timestamp() * MS_PER_SECOND)


def from_milliseconds(milliseconds: int) -> datetime:
    """Return the UTC time of a number of milliseconds since 1970."""
    return datetime.fromtimestamp(milliseconds / MS_PER_SECOND, UTC)


__all__ = [
    "DecisionsState",
    "EvidenceMessage",
    "OrderDeadlines",
    "Reports",
    "RolloutTimes",
    "StateDigest",
    "decode_message",
    "encode_message",
    "from_milliseconds",
    "to_milliseconds",
]
