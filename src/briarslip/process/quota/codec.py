"""Cap'n Proto codec of the messages on quotas."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import capnp
from result import Err
from result import Ok
from result import Result

from briarslip.request.quota.messages import Answer
from briarslip.request.quota.messages import Count
from briarslip.request.quota.messages import Mode
from briarslip.request.quota.messages import QuotaMessage
from briarslip.request.quota.messages import Report
from briarslip.request.quota.messages import Verdict


SCHEMA = capnp.load(str(Path(__file__).with_name("quota.capnp")))
UNKNOWN_SHARE = -1.0
MAX_COUNT = 2**32 - 1


def encode_message(message: QuotaMessage) -> bytes:
    """Return a message as packed Cap'n Proto bytes."""
    target = SCHEMA.Message.new_message()
    match message:
        case Report():
            _encode_report(target.init("report"), message)
        case Answer():
            _encode_answer(target.init("answer"), message)
    encoded: bytes = target.to_bytes_packed()
    return encoded


def _encode_report(target: Any, report: Report) -> None:
    target.group = report.group
    target.toHome = report.to_home
    target.sequence = report.sequence
    target.complete = report.is_complete
    target.last = report.is_last
    counts = target.init("counts", len(report.counts))
    for entry, count in zip(counts, report.counts, strict=True):
        entry.organisation = count.organisation
        entry.offered = min(MAX_COUNT, count.offered)
        entry.admitted = min(MAX_COUNT, count.admitted)
        entry.share = UNKNOWN_SHARE if count.share is None else count.share
        if count.level is not None:
            entry.hasLevel = True
            entry.level = count.level


def _encode_answer(target: Any, answer: Answer) -> None:
    target.group = answer.group
    target.fromHome = answer.from_home
    target.acknowledged = answer.acknowledged
    target.needsAll = answer.needs_all
    target.complete = answer.is_complete
    verdicts = target.init("verdicts", len(answer.verdicts))
    for entry, verdict in zip(verdicts, answer.verdicts, strict=True):
        entry.organisation = verdict.organisation
        entry.mode = verdict.mode.value
        entry.level = verdict.level
        entry.rate = verdict.rate
        entry.share = UNKNOWN_SHARE if verdict.share is None else verdict.share


def decode_message(data: bytes) -> Result[QuotaMessage, str]:
    """Decode a message; the error is the reason why it cannot be decoded."""
    try:
        source = SCHEMA.Message.from_bytes_packed(data)
        if source.which() == "report":
            return Ok(_decode_report(source.report))
        return Ok(_decode_answer(source.answer))
    except (capnp.KjException, ValueError, OverflowError) as error:
        return Err(f"quota message cannot be decoded: {error}")


def _decode_report(source: Any) -> Report:
    return Report(
        source.group,
        source.toHome,
        source.sequence,
        source.complete,
        tuple(
            Count(
                entry.organisation,
                entry.offered,
                entry.admitted,
                _share(entry.share),
                _finite(entry.level) if entry.hasLevel else None,
            )
            for entry in source.counts
        ),
        source.last,
    )


def _decode_answer(source: Any) -> Answer:
    return Answer(
        source.group,
        source.fromHome,
        source.acknowledged,
        source.needsAll,
        source.complete,
        tuple(
            Verdict(
                entry.organisation,
                Mode(entry.mode),
                _finite(entry.level),
                max(0.0, _finite(entry.rate)),
                _share(entry.share),
            )
            for entry in source.verdicts
        ),
    )


def _share(value: float) -> float | None:
    return None if _finite(value) < 0.0 else min(1.0, value)


def _finite(value: float) -> float:
    if not math.isfinite(value):
        raise ValueError(f"got {value}, expected a finite number")
    return value


__all__ = ["decode_message", "encode_message"]
