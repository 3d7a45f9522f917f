"""A peer link: one connection between two daemons with many streams."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from result import Err
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import Int32StringReceiver

from briarslip.address import parse_address
from briarslip.connection.frame import MAX_FRAME_BYTES
from briarslip.connection.frame import BodyFrame
from briarslip.connection.frame import CancelFrame
from briarslip.connection.frame import ControlFrame
from briarslip.connection.frame import Credit
from briarslip.connection.frame import FailureFrame
from briarslip.connection.frame import GoAway
from briarslip.connection.frame import Hello
from briarslip.connection.frame import Ping
from briarslip.connection.frame import Pong
from briarslip.connection.frame import RequestFrame
from briarslip.connection.frame import ResponseFrame
from briarslip.connection.frame import decode_frame
from briarslip.connection.heartbeat import Activity
from briarslip.connection.link_stream import MS_PER_SECOND
from briarslip.connection.link_stream import AwaitedStream
from briarslip.connection.link_stream import IncomingRequest
from briarslip.connection.link_stream import ServedStream
from briarslip.connection.link_writer import LinkWriter
from briarslip.connection.outgoing_body import PART_BYTES
from briarslip.connection.outgoing_body import OutgoingBody
from briarslip.connection.socket_options import set_options
from briarslip.request.call import Call
from briarslip.request.call import Load
from briarslip.request.flow_control import FlowControl
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from twisted.python.failure import Failure as TwistedFailure

    from briarslip.address import Address
    from briarslip.connection.frame import Frame
    from briarslip.process.clock import Clock
    from briarslip.request.call import Dispatch
    from briarslip.request.call import ResponseSink


MAX_STREAM = (1 << 32) - 1


class PeerLink(Int32StringReceiver):
    """One end of a link. Only the end that connected opens streams."""

    MAX_LENGTH = MAX_FRAME_BYTES
    transport: Any

    def __init__(
        self,
        clock: Clock,
        dispatch: Dispatch,
        on_control: Callable[[Address, ControlFrame], None],
        on_lost: Callable[[PeerLink], None],
        on_made: Callable[[PeerLink], None] | None = None,
    ) -> None:
        self.clock = clock
        self.dispatch = dispatch
        self.on_control = on_control
        self.on_lost = on_lost
        self.on_made = on_made
        self.on_alive: Callable[[PeerLink], None] | None = None
        self.on_go_away: Callable[[PeerLink], None] | None = None
        self.peer: Address | None = None
        self.next_stream = 1
        self.awaiting: dict[int, AwaitedStream] = {}
        self.serving: dict[int, ServedStream] = {}
        self.incoming: dict[int, IncomingRequest] = {}
        self.received_at = self.used_at = clock.monotonic()
        self.pinged_at: float | None = None
        self.loss_reason = Reason.CONNECTION_LOST
        self.going_away = False

    @property
    def activity(self) -> Activity:
        """What the heartbeat is decided by."""
        return Activity(
            received_at=self.received_at,
            used_at=self.used_at,
            pinged_at=self.pinged_at,
            awaiting=bool(self.awaiting),
        )

    def connectionMade(self) -> None:
        """Report the connection."""
        set_options(self.transport)
        self.writer = LinkWriter(self.transport)
        self.transport.registerProducer(self.writer, True)
        if self.on_made is not None:
            self.on_made(self)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Fail what was awaited here and give up what was served here."""
        awaiting, self.awaiting = self.awaiting, {}
        serving, self.serving = self.serving, {}
        self.incoming.clear()
        self.writer.stopProducing()
        self.on_lost(self)
        failure = Failure(Outcome.UNKNOWN, self.loss_reason)
        for awaited in awaiting.values():
            awaited.fail(failure, None)
        for served in serving.values():
            served.ended = True
            if served.cancel is not None:
                served.cancel()

    def send(self, frame: Frame) -> None:
        """Send one frame; nothing is sent once the link is lost."""
        if self.connected:
            self.writer.send(frame)

    def ping(self) -> None:
        """Send a heartbeat unless one waits for its answer."""
        if self.pinged_at is None:
            self.pinged_at = self.clock.monotonic()
            self.send(Ping(0))

    def stall(self) -> None:
        """Give the link up, since it has gone silent."""
        self.loss_reason = Reason.STALLED
        self.transport.abortConnection()

    def go_away(self) -> None:
        """Tell the opener to open no more streams."""
        self.send(GoAway())

    def close(self) -> None:
        """Close after what is written."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Take bytes; the frames sent meanwhile leave in one write."""
        self.received_at = self.clock.monotonic()
        self.pinged_at = None
        self.writer.hold()
        try:
            super().dataReceived(data)
        finally:
            self.writer.release()
        if self.on_alive is not None:
            on_alive, self.on_alive = self.on_alive, None
            on_alive(self)

    def stringReceived(self, data: bytes) -> None:
        """Decode and act on one frame; a malformed one ends the link."""
        result = decode_frame(data)
        if isinstance(result, Err) or not self.receive(result.ok_value):
            self.transport.abortConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        """End the link when a frame is too long."""
        self.transport.abortConnection()

    def receive(self, frame: Frame) -> bool:
        """Act on one frame; return whether the sender may send it."""
        match frame:
            case RequestFrame():
                return self._take_request(frame)
            case ResponseFrame():
                awaited = self._awaited(frame.stream, frame.last)
                if awaited is not None and not awaited.take_response(frame):
                    return self._out_of_order(awaited)
            case BodyFrame():
                return self._take_body(frame)
            case FailureFrame():
                return self._take_failure(frame)
            case CancelFrame():
                self._take_cancel(frame)
            case Credit():
                served = self.serving.get(frame.stream)
                if served is not None:
                    served.add_credit(frame.size)
            case Ping():
                self.send(Pong(frame.token))
            case _:
                return self._receive_other(frame)
        return True

    def _receive_other(self, frame: Frame) -> bool:
        match frame:
            case ControlFrame():
                if self.peer is not None:
                    self.on_control(self.peer, frame)
            case Hello():
                return self._take_hello(frame)
            case GoAway():
                self.going_away = True
                if self.on_go_away is not None:
                    self.on_go_away(self)
                self._close_if_done()
        return True

    def open_stream(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Send a call to the peer; the returned function cancels it."""
        number = self._new_stream()
        now = self.clock.monotonic()
        if not self.awaiting:
            self.used_at = now
        self.awaiting[number] = AwaitedStream(self, number, call, sink)
        remaining = max(0.0, call.deadline - now)
        target_ms = None
        if call.latency_target_at != math.inf:
            target_ms = max(0, int((call.latency_target_at - now) * MS_PER_SECOND))

        def first(data: bytes, last: bool) -> RequestFrame:
            return RequestFrame(
                stream=number,
                timeout_ms=int(remaining * 1000),
                urgent=call.urgent,
                idempotent=call.idempotent,
                depth=call.depth,
                service=call.service,
                service_version=call.service_version,
                route=call.route,
                method=call.method,
                target=call.target,
                headers=call.headers,
                body=data,
                last=last,
                target_ms=target_ms,
            )

        if len(call.body) <= PART_BYTES:
            self.send(first(call.body, True))
        else:
            body = OutgoingBody(number, call.urgent, first, None, FlowControl())
            body.push(call.body, True)
            self.writer.take(body)
        return lambda: self._cancel(number)

    def _new_stream(self) -> int:
        """Return a number that no stream under way has."""
        number = self.next_stream
        while number in self.awaiting:
            number = number % MAX_STREAM + 1
        self.next_stream = number % MAX_STREAM + 1
        return number

    def _cancel(self, number: int) -> None:
        if self.awaiting.pop(number, None) is not None:
            self.writer.drop(number)
            self.send(CancelFrame(number))
            self._close_if_done()

    def _awaited(self, number: int, last: bool) -> AwaitedStream | None:
        """Return a stream, None for a frame that comes too late for it."""
        if not last:
            return self.awaiting.get(number)
        awaited = self.awaiting.pop(number, None)
        self._close_if_done()
        return awaited

    def _close_if_done(self) -> None:
        if self.going_away and not self.awaiting:
            self.close()

    def _take_request(self, frame: RequestFrame) -> bool:
        if frame.stream in self.serving or frame.stream in self.incoming:
            return False
        if frame.last:
            self._serve(frame, frame.body, self.received_at)
        else:
            self.incoming[frame.stream] = IncomingRequest(frame, self.received_at)
        return True

    def _serve(self, frame: RequestFrame, body: bytes, received_at: float) -> None:
        call = Call(
            method=frame.method,
            target=frame.target,
            headers=frame.headers,
            body=body,
            service=frame.service,
            service_version=frame.service_version,
            route=frame.route,
            urgent=frame.urgent,
            idempotent=frame.idempotent,
            depth=frame.depth,
            deadline=received_at + frame.timeout_ms / MS_PER_SECOND,
            latency_target_at=math.inf
            if frame.target_ms is None
            else received_at + frame.target_ms / MS_PER_SECOND,
        )
        stream = ServedStream(self, frame.stream, call)
        self.serving[frame.stream] = stream
        cancel = self.dispatch(call, stream)
        if frame.stream in self.serving:
            stream.cancel = cancel

    def _take_body(self, frame: BodyFrame) -> bool:
        incoming = self.incoming.get(frame.stream)
        if incoming is not None:
            incoming.parts.append(frame.data)
            if frame.last:
                del self.incoming[frame.stream]
                body = b"".join(incoming.parts)
                self._serve(incoming.frame, body, incoming.received_at)
            return True
        awaited = self._awaited(frame.stream, frame.last)
        if awaited is not None and not awaited.take_body(frame.data, frame.last):
            return self._out_of_order(awaited)
        return True

    def _out_of_order(self, awaited: AwaitedStream) -> bool:
        """Fail a stream whose answer can't be whole, and refuse the frame."""
        self.awaiting.pop(awaited.number, None)
        awaited.fail(Failure(Outcome.UNKNOWN, Reason.TRUNCATED), None)
        return False

    def _take_failure(self, frame: FailureFrame) -> bool:
        try:
            reason = Reason(frame.reason)
        except ValueError:
            return False
        awaited = self._awaited(frame.stream, True)
        if awaited is not None:
            self.writer.drop(frame.stream)
            load = Load(frame.in_flight, frame.slots)
            seconds = frame.retry_after_ms / MS_PER_SECOND or None
            awaited.fail(Failure(frame.outcome, reason, seconds), load)
        return True

    def _take_cancel(self, frame: CancelFrame) -> None:
        self.incoming.pop(frame.stream, None)
        served = self.serving.get(frame.stream)
        if served is not None:
            cancel = served.cancel
            served.end()
            if cancel is not None:
                cancel()

    def _take_hello(self, frame: Hello) -> bool:
        result = parse_address(frame.peer)
        if isinstance(result, Err):
            return False
        self.peer = result.ok_value
        return True


__all__ = ["PeerLink"]
