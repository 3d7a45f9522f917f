"""Claims, which keep a request with an idempotency key from running twice.

A claim is written to the store before a non-idempotent request is sent to a
server. Later copies of the request find it there, with the daemon that has the
result. Its value is one JSON object.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import asdict
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from briarslip.malformed_json import MALFORMED_JSON_ERRORS


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.call import Call


CLAIMS_PREFIX = "claims/"
MAX_KEY_BYTES = 255
MAX_STORED_RESPONSE_BYTES = 16 << 10
# Not a valid service name in a record, so no service can have it.
CLAIMS_SERVICE = ".claims"


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A request to acquire a claim.

    ``key`` is the key of the claim in the store. ``digest`` distinguishes
    requests with the same idempotency key. ``deadline`` is a reading of the
    monotonic clock in seconds.
    """

    key: str
    digest: str
    deadline: float

    @classmethod
    def from_call(cls, call: Call, idempotency_key: bytes) -> ClaimRequest:
        """Return the claim request of a call with an idempotency key."""
        identity = idempotency_key
        if call.organisation:
            # Other organisations may use the same keys; a header has no null byte.
            identity += b"\0" + call.organisation.encode()
        name = hashlib.sha256(identity).hexdigest()
        content = hashlib.sha256()
        for part in (call.method, call.route, call.target):
            content.update(part.encode("utf-8", "surrogateescape") + b"\0")
        for body_part in call.body.parts:
            content.update(body_part)
        key = f"{CLAIMS_PREFIX}{call.service}/{name}"
        return cls(key, content.hexdigest(), call.deadline)


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """The response of a request that ran, stored for copies of the request."""

    status: int
    headers: bytes
    body: bytes

    @property
    def size_bytes(self) -> int:
        """The size in bytes that counts against the limit."""
        return len(self.headers) + len(self.body)


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim as written to the store.

    ``holder`` is the peer address of the daemon that acquired the claim.
    """

    nonce: str
    digest: str
    holder: str


@dataclass(frozen=True, slots=True)
class AcquiredClaim:
    """A claim that this daemon has written, with its store revision and lease."""

    key: str
    claim: Claim
    revision: int
    lease_id: int


@dataclass(frozen=True, slots=True)
class Replay:
    """Result: an earlier copy of the request ran and gave this response."""

    response: StoredResponse


@dataclass(frozen=True, slots=True)
class AlreadyForwarded:
    """Result: an earlier copy was sent to a server; its outcome is unknown."""


@dataclass(frozen=True, slots=True)
class Released:
    """Result: the request did not run and its claim was released."""


@dataclass(frozen=True, slots=True)
class KeyMismatch:
    """Decision: the idempotency key was used with a different request."""


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """Decision: the store did not say whether there is a claim.

    ``uncertain_claim`` is a claim that may have been written, None if no write
    was tried. Its revision may be 0, which means unknown.
    """

    uncertain_claim: AcquiredClaim | None = None


ClaimResult = Replay | AlreadyForwarded | Released
ClaimDecision = (
    AcquiredClaim | Replay | AlreadyForwarded | KeyMismatch | StoreUnavailable
)


class Claims(Protocol):
    """Acquires and ends claims."""

    def acquire(
        self, request: ClaimRequest, callback: Callable[[ClaimDecision], None]
    ) -> None:
        """Acquire a claim; ``callback`` gets the decision before the deadline."""

    def store(self, acquired: AcquiredClaim, response: StoredResponse) -> None:
        """Store the response for later copies of the request, if small enough."""

    def abandon(self, acquired: AcquiredClaim) -> None:
        """Record that there is no complete response; the request may have run."""

    def release(self, acquired: AcquiredClaim) -> None:
        """Delete a claim whose request certainly did not run."""


def encode_claim(claim: Claim) -> bytes:
    """Return the value of a claim in the store."""
    return json.dumps(asdict(claim)).encode()


def decode_claim(value: bytes) -> Claim | None:
    """Decode the value of a claim; return None if it is malformed."""
    try:
        document = json.loads(value)
        return Claim(*(str(document[name]) for name in ("nonce", "digest", "holder")))
    except MALFORMED_JSON_ERRORS:
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
