"""Frames of a peer link."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.request.call import Load
    from briarslip.request.outcome import Failure
    from briarslip.request.outcome import Outcome


MAX_FRAME_BYTES = 16 << 20
MS_PER_SECOND = 1000


class Topic(IntEnum):
    """The component of the daemon that a control frame is addressed to."""

    CONFIGURATION = 0
    MEMBERSHIP = 1
    EVIDENCE = 2
    QUARANTINE = 3
    QUOTA = 4


@dataclass(frozen=True, slots=True)
class Hello:
    """The first frame of a link, which identifies the daemon that opened it."""

    peer: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class RequestFrame:
    """A request with the first part of its body.

    ``timeout_ms`` is the time left until the deadline, ``target_ms`` that until
    the route's latency target, None if the route has none. ``suspect`` is whether
    the request was under way when a server crashed. ``organisation`` is the name of the
    caller's organisation, empty without one. ``may_move_on`` is whether the request
    goes to another server if it would have to queue.
    """

    stream: int
    timeout_ms: int
    urgent: bool
    idempotent: bool
    depth: int
    service: str
    service_version: str
    route: str
    method: str
    target: str
    headers: bytes
    body: bytes
    last: bool
    target_ms: int | None = None
    suspect: bool = False
    organisation: str = ""
    may_move_on: bool = False


@dataclass(frozen=True, slots=True)
class ResponseFrame:
    """The head of a response with the first part of its body.

    ``service_micros`` is the server's mean service time of the route in
    microseconds, 0 if unknown. ``leaving_incarnation`` is the incarnation of a
    server that is leaving, 0 if it is not.
    """

    stream: int
    status: int
    outcome: Outcome
    in_flight: int
    slots: int
    headers: bytes
    body: bytes
    last: bool
    service_micros: int = 0
    leaving_incarnation: int = 0


@dataclass(frozen=True, slots=True)
class BodyFrame:
    """A further part of the body of a request or of a response."""

    stream: int
    data: bytes
    last: bool


@dataclass(frozen=True, slots=True)
class FailureFrame:
    """The failure that ends a stream without a complete response.

    ``retry_after_ms`` is 0 if unknown.
    """

    stream: int
    outcome: Outcome
    reason: str
    in_flight: int
    slots: int
    retry_after_ms: int = 0

    @classmethod
    def from_failure(cls, stream: int, failure: Failure, load: Load) -> FailureFrame:
        """Return the frame that ends a stream with a failure."""
        retry_after_seconds = failure.retry_after_seconds or 0.0
        return cls(
            stream,
            failure.outcome,
            failure.reason.value,
            load.in_flight,
            load.slots,
            int(retry_after_seconds * MS_PER_SECOND),
        )


@dataclass(frozen=True, slots=True)
class CancelFrame:
    """Cancellation of a stream by its opener."""

    stream: int


@dataclass(frozen=True, slots=True)
class WithdrawFrame:
    """Request to fail a stream as not run, unless a server has begun to run it."""

    stream: int


@dataclass(frozen=True, slots=True)
class Credit:
    """Flow control credit: more response bytes that the server may send."""

    stream: int
    byte_count: int


@dataclass(frozen=True, slots=True)
class GoAway:
    """Request of a draining daemon to open no more streams on this link."""


@dataclass(frozen=True, slots=True)
class ControlFrame:
    """A message between the same components of two daemons."""

    topic: Topic
    payload: bytes


@dataclass(frozen=True, slots=True)
class Ping:
    """A heartbeat of the link."""

    token: int


@dataclass(frozen=True, slots=True)
class Pong:
    """The reply to a heartbeat."""

    token: int


Frame = (
    Hello
    | RequestFrame
    | ResponseFrame
    | BodyFrame
    | FailureFrame
    | CancelFrame
    | WithdrawFrame
    | Credit
    | GoAway
    | ControlFrame
    | Ping
    | Pong
)


__all__ = [
    "MAX_FRAME_BYTES",
    "BodyFrame",
    "CancelFrame",
    "ControlFrame",
    "Credit",
    "FailureFrame",
    "Frame",
    "GoAway",
    "Hello",
    "Ping",
    "Pong",
    "RequestFrame",
    "ResponseFrame",
    "Topic",
    "WithdrawFrame",
]
