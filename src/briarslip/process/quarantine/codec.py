"""Messages on crashes between daemons and their Cap'n Proto codec."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp
from result import Err
from result import Ok
from result import Result

from briarslip.address import parse_address
from briarslip.request.crash import Clearance
from briarslip.request.crash import Crash
from briarslip.request.crash import CrashId
from briarslip.request.crash import Suspect
from briarslip.request.fingerprint import DIGEST_BYTES
from briarslip.request.fingerprint import Fingerprint


SCHEMA = capnp.load(str(Path(__file__).with_name("quarantine.capnp")))
MS_PER_SECOND = 1000
MAX_AGE_MS = 2**32 - 1


@dataclass(frozen=True, slots=True)
class QuarantineDigest:
    """The digest of everything that the sender knows."""

    digest: bytes


@dataclass(frozen=True, slots=True)
class ReportedCrash:
    """A crash, and how many seconds ago it happened."""

    crash: Crash
    age_seconds: float


@dataclass(frozen=True, slots=True)
class QuarantineState:
    """Crashes and clearances: new ones, or all that the sender knows."""

    is_complete: bool
    crashes: tuple[ReportedCrash, ...] = ()
    clearances: tuple[Clearance, ...] = ()


QuarantineMessage = QuarantineDigest | QuarantineState


def encode_message(message: QuarantineMessage) -> bytes:
    """Return a message as packed Cap'n Proto bytes."""
    target = SCHEMA.Message.new_message()
    match message:
        case QuarantineDigest(digest):
            target.digest = digest
        case QuarantineState():
            _encode_state(target.init("state"), message)
    encoded: bytes = target.to_bytes_packed()
    return encoded


def _encode_state(target: Any, state: QuarantineState) -> None:
    target.whole = state.is_complete
    crashes = target.init("crashes", len(state.crashes))
    for entry, reported in zip(crashes, state.crashes, strict=True):
        _encode_crash(entry, reported)
    clearances = target.init("clearances", len(state.clearances))
    for entry, clearance in zip(clearances, state.clearances, strict=True):
        _encode_fingerprint(entry.fingerprint, clearance.fingerprint)
        _encode_id(entry.crash, clearance.crash)
        entry.version = clearance.version


def _encode_crash(target: Any, reported: ReportedCrash) -> None:
    crash = reported.crash
    _encode_id(target.id, crash.id)
    target.service = crash.service
    target.version = crash.version
    target.ageMs = min(MAX_AGE_MS, max(0, int(reported.age_seconds * MS_PER_SECOND)))
    suspects = target.init("suspects", len(crash.suspects))
    for entry, suspect in zip(suspects, crash.suspects, strict=True):
        _encode_fingerprint(entry.fingerprint, suspect.fingerprint)
        entry.isolated = suspect.isolated


def _encode_id(target: Any, crash_id: CrashId) -> None:
    target.reporter = str(crash_id.reporter)
    target.startedMs = crash_id.started_ms
    target.number = crash_id.number


def _encode_fingerprint(target: Any, fingerprint: Fingerprint) -> None:
    target.head = fingerprint.head
    target.body = fingerprint.body


def decode_message(data: bytes) -> Result[QuarantineMessage, str]:
    """Decode a message; the error is the reason why it cannot be decoded."""
    try:
        source = SCHEMA.Message.from_bytes_packed(data)
        if source.which() == "digest":
            return Ok(QuarantineDigest(source.digest))
        return Ok(_decode_state(source.state))
    except (capnp.KjException, ValueError, OverflowError) as error:
        return Err(f"quarantine message cannot be decoded: {error}")


def _decode_state(source: Any) -> QuarantineState:
    return QuarantineState(
        is_complete=source.whole,
        crashes=tuple(_decode_crash(entry) for entry in source.crashes),
        clearances=tuple(
            Clearance(
                _decode_fingerprint(entry.fingerprint),
                _decode_id(entry.crash),
                entry.version,
            )
            for entry in source.clearances
        ),
    )


def _decode_crash(source: Any) -> ReportedCrash:
    suspects = tuple(
        Suspect(_decode_fingerprint(entry.fingerprint), entry.isolated)
        for entry in source.suspects
    )
    crash = Crash(_decode_id(source.id), source.service, source.version, suspects)
    return ReportedCrash(crash, source.ageMs / MS_PER_SECOND)


def _decode_id(source: Any) -> CrashId:
    address = parse_address(source.reporter)
    if isinstance(address, Err):
        raise ValueError(address.err_value)
    return CrashId(address.ok_value, source.startedMs, source.number)


def _decode_fingerprint(source: Any) -> Fingerprint:
    for digest in (source.head, source.body):
        if len(digest) != DIGEST_BYTES:
            raise ValueError(
                f"length of a digest: got {len(digest)} bytes, expected {DIGEST_BYTES}"
            )
    return Fingerprint(source.head, source.body)


__all__ = [
    "QuarantineDigest",
    "QuarantineMessage",
    "QuarantineState",
    "ReportedCrash",
    "decode_message",
    "encode_message",
]
