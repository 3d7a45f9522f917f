"""Claims: a non-idempotent request with a key is handed over once.

A claim is written before the hand-over and tells later copies of the request
that it was handed over, and which daemon knows what became of it. Its value is
one JSON object.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import asdict
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from briarslip.malformed import MALFORMED_ERRORS


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.call import Call


CLAIMS_PREFIX = "claims/"
MAX_KEY_BYTES = 255
MAX_STORED_RESPONSE_BYTES = 16 << 10
# No service of an operator can have this name.
CLAIMS_SERVICE = ".claims"


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
class StoredResponse:
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
    """A claim as it stands on the platform.

    ``holder`` is the peer address of the daemon that handed the request over.
    """

    nonce: str
    digest: str
    holder: str


@dataclass(frozen=True, slots=True)
class AcquiredClaim:
    """A claim that this daemon has written, and its revision."""

    key: str
    claim: Claim
    revision: int
    lease_id: int


@dataclass(frozen=True, slots=True)
class Replay:
    """An earlier copy of the request ran; this is its answer."""

    response: StoredResponse


@dataclass(frozen=True, slots=True)
class AlreadyForwarded:
    """An earlier copy was handed over; what became of it is not known."""


@dataclass(frozen=True, slots=True)
class Released:
    """The request was not run and its claim is gone."""


@dataclass(frozen=True, slots=True)
class KeyMismatch:
    """The key belongs to another request."""


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The platform did not tell whether there is a claim.

    ``uncertain_claim`` is a claim that may have been written, None if none was tried.
    Its revision is 0, which stands for unknown.
    """

    uncertain_claim: AcquiredClaim | None = None


ClaimResult = Replay | AlreadyForwarded | Released
ClaimDecision = (
    AcquiredClaim | Replay | AlreadyForwarded | KeyMismatch | StoreUnavailable
)


class Claims(Protocol):
    """Makes claims and ends them."""

    def acquire(
        self, request: ClaimRequest, then: Callable[[ClaimDecision], None]
    ) -> None:
        """Make a claim; ``then`` gets the decision, before the deadline."""

    def store(self, held: AcquiredClaim, answer: StoredResponse) -> None:
        """Keep the answer for later copies, if it is small enough."""

    def abandon(self, held: AcquiredClaim) -> None:
        """Take note that there is no answer; the request may have run."""

    def release(self, held: AcquiredClaim) -> None:
        """Take back a claim whose request has surely not run."""


def encode_claim(claim: Claim) -> bytes:
    """Return the claim's value on the platform."""
    return json.dumps(asdict(claim)).encode()


def decode_claim(value: bytes) -> Claim | None:
    """Read a claim's value; None if it is none."""
    try:
        document = json.loads(value)
        return Claim(*(str(document[name]) for name in ("nonce", "digest", "holder")))
    except MALFORMED_ERRORS:
        return None


__all__ = [
    "CLAIMS_SERVICE",
    "MAX_KEY_BYTES",
    "MAX_STORED_RESPONSE_BYTES",
    "AcquiredClaim",
    "AlreadyForwarded",
    "Claim",
    "ClaimDecision",
    "ClaimRequest",
    "ClaimResult",
    "Claims",
    "KeyMismatch",
    "Released",
    "Replay",
    "StoreUnavailable",
    "StoredResponse",
    "decode_claim",
    "encode_claim",
]
