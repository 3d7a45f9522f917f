"""Outcome of a request and the reason of a failure."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum


class Outcome(Enum):
    """Whether the backend server ran the request."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Why a request got no response from a backend server."""

    NO_ROUTE = "no route matches"
    UNKNOWN_KEY = "the request has no valid key"
    NO_CONFIGURATION = "no configuration yet"
    NO_SERVER = "no backend server of the service is available"
    DRAINING = "the server is draining"
    QUEUE_FULL = "the server's queue is full"
    SERVER_BUSY = "all slots of the server are occupied"
    DEADLINE = "the deadline has passed"
    SHED = "the backend server shed the request"
    CONNECT_FAILED = "no connection could be made"
    CONNECTION_LOST = "the connection was lost"
    STALLED = "the connection went silent"
    TRUNCATED = "the answer was cut short"
    CANCELLED = "the caller went away"
    BODY_TOO_LARGE = "the body is too large"
    BAD_REQUEST = "the request is malformed"
    VERSION_EXCLUDED = "the server's version gets no work"
    BUFFERS_FULL = "the buffers for requests are full"
    TOO_MANY_OUTSTANDING = "too many requests of the service are under way"
    NO_CLAIM = "no claim could be made for the idempotency key"
    KEY_MISMATCH = "the idempotency key belongs to another request"
    SHUT_DOWN = "the daemon was stopped before the response"
    INTERNAL_ERROR = "an unexpected error of the daemon"
    SERVER_CRASHED = "the server crashed"
    CRASHED_BY_SUSPECT = "the server crashed again while a suspect request ran"
    QUARANTINED = "the request crashes the servers that run it"
    QUOTA_EXCEEDED = "the organisation exceeds its limit of requests"
    ALREADY_FORWARDED = "already handed over, outcome unknown"


# Verdicts on the request itself, which only the daemon that received it from its caller
# gives. Sent again, it would fail again.
VERDICT_REASONS = frozenset(
    (
        Reason.NO_ROUTE,
        Reason.UNKNOWN_KEY,
        Reason.BAD_REQUEST,
        Reason.BODY_TOO_LARGE,
        Reason.ALREADY_FORWARDED,
        Reason.KEY_MISMATCH,
    )
)


@dataclass(frozen=True, slots=True)
class Failure:
    """The failure of a request that got no complete response.

    ``retry_after_seconds`` is the time after which the request may be
    accepted, None if the rejecting daemon gave no estimate.
    """

    outcome: Outcome
    reason: Reason
    retry_after_seconds: float | None = field(default=None, compare=False)


__all__ = ["VERDICT_REASONS", "Failure", "Outcome", "Reason"]
