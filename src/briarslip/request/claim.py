"""Claims: a non-idempotent request with a key is handed over once.

A claim is written before the hand-over and tells later copies of the request
that it was handed over. Its value is one JSON object.
"""

from __future__ import annotations

import base64
import hashlib
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.call import Call


CLAIMS_PREFIX = "claims/"
MAX_KEY_BYTES = 255
MAX_ANSWER_BYTES = 2048


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """What a claim is asked for.

    ``digest`` tells requests apart that use one key. ``deadline`` is a reading
    of the monotonic clock in seconds.
    """

    key: str
    digest: str
    deadline: float

    @classmethod
    def from_call(cls, call: Call, caller_key: bytes) -> ClaimRequest:
        """Return the claim of a call that carries a caller's key."""
        name = hashlib.sha256(caller_key).hexdigest()
        content = hashlib.sha256()
        for part in (call.method, call.route, call.target):
            content.update(part.encode("utf-8", "surrogateescape") + b"\0")
        content.update(call.body)
        key = f"{CLAIMS_PREFIX}{call.service}/{name}"
        return cls(key, content.hexdigest(), call.deadline)


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer of a request that ran."""

    status: int
    headers: bytes
    body: bytes

    @property
    def size(self) -> int:
        """The bytes that count against the limit."""
        return len(self.headers) + len(self.body)


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim as it stands on the platform; ``answer`` is None at first."""

    nonce: str
    digest: str
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """A claim that this daemon has written, and its revision."""

    key: str
    claim: Claim
    revision: int
    lease_id: int


@dataclass(frozen=True, slots=True)
class Replay:
    """An earlier copy of the request ran; this is its answer."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class HandedOver:
    """An earlier copy was handed over; what became of it is not known."""


@dataclass(frozen=True, slots=True)
class KeyMismatch:
    """The key belongs to another request."""


@dataclass(frozen=True, slots=True)
class NoPlatform:
    """The platform did not tell whether there is a claim.

    ``unclear`` is a claim that may have been written, None if none was tried.
    Its revision is 0, which stands for unknown.
    """

    unclear: HeldClaim | None = None


Decision = HeldClaim | Replay | HandedOver | KeyMismatch | NoPlatform


class Claims(Protocol):
    """Makes claims and ends them."""

    def acquire(self, request: ClaimRequest, then: Callable[[Decision], None]) -> None:
        """Make a claim; ``then`` gets the decision, before the deadline."""

    def store(self, held: HeldClaim, answer: StoredAnswer) -> None:
        """Keep the answer for later copies, if it is small enough."""

    def release(self, held: HeldClaim) -> None:
        """Take back a claim whose request has surely not run."""


def decide(existing: Claim, digest: str) -> Replay | HandedOver | KeyMismatch:
    """Decide what a copy of a request gets where a claim stands."""
    if existing.digest != digest:
        return KeyMismatch()
    if existing.answer is not None:
        return Replay(existing.answer)
    return HandedOver()


def encode_claim(claim: Claim) -> bytes:
    """Return the claim's value on the platform."""
    document: dict[str, object] = {"nonce": claim.nonce, "digest": claim.digest}
    answer = claim.answer
    if answer is not None:
        document["status"] = answer.status
        document["headers"] = base64.b64encode(answer.headers).decode()
        document["body"] = base64.b64encode(answer.body).decode()
    return json.dumps(document).encode()


def decode_claim(value: bytes) -> Claim | None:
    """Read a claim's value; None if it is none."""
    try:
        document = json.loads(value)
        answer = None
        if "status" in document:
            answer = StoredAnswer(
                int(document["status"]),
                base64.b64decode(document["headers"], validate=True),
                base64.b64decode(document["body"], validate=True),
            )
        return Claim(str(document["nonce"]), str(document["digest"]), answer)
    except (ValueError, KeyError, TypeError):
        return None


__all__ = [
    "MAX_ANSWER_BYTES",
    "MAX_KEY_BYTES",
    "Claim",
    "ClaimRequest",
    "Claims",
    "Decision",
    "HandedOver",
    "HeldClaim",
    "KeyMismatch",
    "NoPlatform",
    "Replay",
    "StoredAnswer",
    "decide",
    "decode_claim",
    "encode_claim",
]
