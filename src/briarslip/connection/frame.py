"""Frames of a peer link and their Cap'n Proto codec."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import capnp
from result import Err
from result import Ok
from result import Result

from briarslip.request.outcome import Outcome


if TYPE_CHECKING:
    from briarslip.request.call import Load
    from briarslip.request.outcome import Failure


SCHEMA = capnp.load(str(Path(__file__).with_name("peer.capnp")))
MAX_FRAME_BYTES = 16 << 20
MS_PER_SECOND = 1000

OUTCOMES = (Outcome.RAN, Outcome.NOT_RUN, Outcome.UNKNOWN)
OUTCOME_NUMBERS = {outcome: number for number, outcome in enumerate(OUTCOMES)}


class Topic(IntEnum):
    """The component of the daemon that a control frame is addressed to."""

    CONFIGURATION = 0
    MEMBERSHIP = 1
    EVIDENCE = 2
    QUARANTINE = 3


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
    the request was under way when a server crashed.
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


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame, without the length prefix."""
    message = SCHEMA.Frame.new_message()
    ENCODERS[type(frame)](message, frame)
    data: bytes = message.to_bytes()
    return data


def _encode_hello(message: Any, frame: Hello) -> None:
    body = message.init("hello")
    body.peer = frame.peer
    body.availabilityZone = frame.availability_zone


def _encode_request(message: Any, frame: RequestFrame) -> None:
    body = message.init("request")
    body.stream = frame.stream
    body.timeoutMs = frame.timeout_ms
    body.urgent = frame.urgent
    body.idempotent = frame.idempotent
    body.depth = frame.depth
    body.last = frame.last
    if frame.target_ms is not None:
        body.targetMs = frame.target_ms + 1
    if frame.suspect:
        body.suspect = True
    body.lines = (
        f"{frame.service}\n{frame.service_version}\n{frame.route}\n"
        f"{frame.method}\n{frame.target}"
    )
    body.headers = frame.headers
    if frame.body:
        body.body = frame.body


def _encode_response(message: Any, frame: ResponseFrame) -> None:
    body = message.init("response")
    body.stream = frame.stream
    body.status = frame.status
    body.outcome = OUTCOME_NUMBERS[frame.outcome]
    body.inFlight = frame.in_flight
    body.slots = frame.slots
    body.headers = frame.headers
    body.body = frame.body
    body.last = frame.last
    body.serviceMicros = frame.service_micros
    if frame.leaving_incarnation:
        body.leavingIncarnation = frame.leaving_incarnation


def _encode_body(message: Any, frame: BodyFrame) -> None:
    body = message.init("body")
    body.stream = frame.stream
    body.data = frame.data
    body.last = frame.last


def _encode_credit(message: Any, frame: Credit) -> None:
    body = message.init("credit")
    body.stream = frame.stream
    body.bytes = frame.byte_count


def _encode_go_away(message: Any, frame: GoAway) -> None:
    message.goAway = None


def _encode_failure(message: Any, frame: FailureFrame) -> None:
    body = message.init("failure")
    body.stream = frame.stream
    body.outcome = OUTCOME_NUMBERS[frame.outcome]
    body.reason = frame.reason
    body.inFlight = frame.in_flight
    body.slots = frame.slots
    body.retryAfterMs = frame.retry_after_ms


def _encode_control(message: Any, frame: ControlFrame) -> None:
    body = message.init("control")
    body.topic = int(frame.topic)
    body.payload = frame.payload


def _encode_cancel(message: Any, frame: CancelFrame) -> None:
    message.cancel = frame.stream


def _encode_withdraw(message: Any, frame: WithdrawFrame) -> None:
    message.withdraw = frame.stream


def _encode_ping(message: Any, frame: Ping) -> None:
    message.ping = frame.token


def _encode_pong(message: Any, frame: Pong) -> None:
    message.pong = frame.token


ENCODERS: dict[type[Any], Any] = {
    Hello: _encode_hello,
    RequestFrame: _encode_request,
    ResponseFrame: _encode_response,
    BodyFrame: _encode_body,
    FailureFrame: _encode_failure,
    CancelFrame: _encode_cancel,
    WithdrawFrame: _encode_withdraw,
    Credit: _encode_credit,
    GoAway: _encode_go_away,
    ControlFrame: _encode_control,
    Ping: _encode_ping,
    Pong: _encode_pong,
}


def decode_frame(data: bytes) -> Result[Frame, str]:
    """Decode a frame, or return why the bytes are malformed."""
    try:
        with SCHEMA.Frame.from_bytes(data) as message:
            return Ok(DECODERS[message.which()](message))
    except (capnp.KjException, KeyError, IndexError, ValueError) as error:
        return Err(f"malformed frame: {error}")


def _decode_hello(message: Any) -> Hello:
    body = message.hello
    return Hello(body.peer, body.availabilityZone)


def _decode_request(message: Any) -> RequestFrame:
    body = message.request
    service, service_version, route, method, target = body.lines.split("\n")
    return RequestFrame(
        stream=body.stream,
        timeout_ms=body.timeoutMs,
        urgent=body.urgent,
        idempotent=body.idempotent,
        depth=body.depth,
        service=service,
        service_version=service_version,
        route=route,
        method=method,
        target=target,
        headers=body.headers,
        body=body.body,
        last=body.last,
        target_ms=body.targetMs - 1 if body.targetMs else None,
        suspect=body.suspect,
    )


def _decode_response(message: Any) -> ResponseFrame:
    body = message.response
    return ResponseFrame(
        stream=body.stream,
        status=body.status,
        outcome=OUTCOMES[body.outcome.raw],
        in_flight=body.inFlight,
        slots=body.slots,
        headers=body.headers,
        body=body.body,
        last=body.last,
        service_micros=body.serviceMicros,
        leaving_incarnation=body.leavingIncarnation,
    )


def _decode_body(message: Any) -> BodyFrame:
    body = message.body
    return BodyFrame(body.stream, body.data, body.last)


def _decode_failure(message: Any) -> FailureFrame:
    body = message.failure
    outcome = OUTCOMES[body.outcome.raw]
    return FailureFrame(
        body.stream,
        outcome,
        body.reason,
        body.inFlight,
        body.slots,
        body.retryAfterMs,
    )


def _decode_control(message: Any) -> ControlFrame:
    body = message.control
    return ControlFrame(Topic(body.topic.raw), body.payload)


DECODERS: dict[str, Any] = {
    "hello": _decode_hello,
    "request": _decode_request,
    "response": _decode_response,
    "body": _decode_body,
    "failure": _decode_failure,
    "cancel": lambda message: CancelFrame(message.cancel),
    "withdraw": lambda message: WithdrawFrame(message.withdraw),
    "credit": lambda message: Credit(message.credit.stream, message.credit.bytes),
    "goAway": lambda _: GoAway(),
    "control": _decode_control,
    "ping": lambda message: Ping(message.ping),
    "pong": lambda message: Pong(message.pong),
}


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
    "decode_frame",
    "encode_frame",
]
