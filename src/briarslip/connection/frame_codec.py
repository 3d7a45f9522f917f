"""The Cap'n Proto codec of the frames of a peer link."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import capnp
from result import Err
from result import Ok
from result import Result

from briarslip.connection.frame import BodyFrame
from briarslip.connection.frame import CancelFrame
from briarslip.connection.frame import ControlFrame
from briarslip.connection.frame import Credit
from briarslip.connection.frame import FailureFrame
from briarslip.connection.frame import Frame
from briarslip.connection.frame import GoAway
from briarslip.connection.frame import Hello
from briarslip.connection.frame import Ping
from briarslip.connection.frame import Pong
from briarslip.connection.frame import RequestFrame
from briarslip.connection.frame import ResponseFrame
from briarslip.connection.frame import Topic
from briarslip.connection.frame import WithdrawFrame
from briarslip.request.outcome import Outcome


SCHEMA = capnp.load(str(Path(__file__).with_name("peer.capnp")))
OUTCOMES = (Outcome.RAN, Outcome.NOT_RUN, Outcome.UNKNOWN)
OUTCOME_NUMBERS = {outcome: number for number, outcome in enumerate(OUTCOMES)}


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
    if frame.organisation:
        body.organisation = frame.organisation
    if frame.may_move_on:
        body.mayMoveOn = True
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
        organisation=body.organisation,
        may_move_on=body.mayMoveOn,
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


__all__ = ["decode_frame", "encode_frame"]
