"""A peer link: one connection between two daemons with many streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import Int32StringReceiver

from briarslip.address import parse_address
from briarslip.connection.frame import MAX_FRAME_BYTES
from briarslip.connection.frame import BodyFrame
from briarslip.connection.frame import CancelFrame
from briarslip.connection.frame import ControlFrame
from briarslip.connection.frame import FailureFrame
from briarslip.connection.frame import Hello
from briarslip.connection.frame import Ping
from briarslip.connection.frame import Pong
from briarslip.connection.frame import RequestFrame
from briarslip.connection.frame import ResponseFrame
from briarslip.connection.frame import decode_frame
from briarslip.connection.frame import encode_frame
from briarslip.request.call import Call
from briarslip.request.call import Load
from briarslip.request.call import ResponseHead
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
        self.peer: Address | None = None
        self.next_stream = 1
        self.awaiting: dict[int, ResponseSink] = {}
        self.serving: dict[int, Callable[[], None]] = {}

    def connectionMade(self) -> None:
        """Report the connection."""
        self.transport.setTcpNoDelay(True)
        if self.on_made is not None:
            self.on_made(self)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Fail what was awaited here and give up what was served here."""
        awaiting, self.awaiting = self.awaiting, {}
        serving, self.serving = self.serving, {}
        failure = Failure(Outcome.UNKNOWN, Reason.CONNECTION_LOST)
        for sink in awaiting.values():
            sink.failed(failure, None)
        for cancel in serving.values():
            cancel()
        self.on_lost(self)

    def send(self, frame: Frame) -> None:
        """Send one frame."""
        self.sendString(encode_frame(frame))

    def stringReceived(self, data: bytes) -> None:
        """Decode and act on one frame; a malformed one ends the link."""
        result = decode_frame(data)
        if isinstance(result, Err):
            self.transport.abortConnection()
            return
        self.receive(result.ok_value)

    def lengthLimitExceeded(self, length: int) -> None:
        """End the link when a frame is too long."""
        self.transport.abortConnection()

    def receive(self, frame: Frame) -> None:
        """Act on one frame."""
        match frame:
            case RequestFrame():
                self._serve(frame)
            case ResponseFrame():
                self._take_response(frame)
            case BodyFrame():
                self._take_body(frame)
            case FailureFrame():
                self._take_failure(frame)
            case CancelFrame():
                self._take_cancel(frame)
            case _:
                self._receive_link_frame(frame)

    def _receive_link_frame(self, frame: Frame) -> None:
        match frame:
            case ControlFrame() if self.peer is not None:
                self.on_control(self.peer, frame)
            case Hello():
                self._take_hello(frame)
            case Ping():
                self.send(Pong(frame.token))

    def open_stream(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Send a call to the peer; the returned function cancels it."""
        stream = self.next_stream
        self.next_stream += 1
        self.awaiting[stream] = sink
        remaining = max(0.0, call.deadline - self.clock.monotonic())
        self.send(
            RequestFrame(
                stream=stream,
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
                body=call.body,
            )
        )
        return lambda: self._cancel(stream)

    def _cancel(self, stream: int) -> None:
        if self.awaiting.pop(stream, None) is not None:
            self.send(CancelFrame(stream))

    def _serve(self, frame: RequestFrame) -> None:
        call = Call(
            method=frame.method,
            target=frame.target,
            headers=frame.headers,
            body=frame.body,
            service=frame.service,
            service_version=frame.service_version,
            route=frame.route,
            urgent=frame.urgent,
            idempotent=frame.idempotent,
            depth=frame.depth,
            deadline=self.clock.monotonic() + frame.timeout_ms / 1000,
        )
        sink = StreamSink(self, frame.stream)
        cancel = self.dispatch(call, sink)
        if not sink.ended:
            self.serving[frame.stream] = cancel

    def _take_hello(self, frame: Hello) -> None:
        result = parse_address(frame.peer)
        if isinstance(result, Err):
            self.transport.abortConnection()
            return
        self.peer = result.ok_value

    def _take_response(self, frame: ResponseFrame) -> None:
        sink = self.awaiting.get(frame.stream)
        if sink is None:
            return
        if frame.last:
            del self.awaiting[frame.stream]
        load = Load(frame.in_flight, frame.slots)
        sink.head(ResponseHead(frame.status, frame.headers, frame.outcome, load))
        sink.body(frame.body, frame.last)

    def _take_body(self, frame: BodyFrame) -> None:
        sink = self.awaiting.get(frame.stream)
        if sink is None:
            return
        if frame.last:
            del self.awaiting[frame.stream]
        sink.body(frame.data, frame.last)

    def _take_failure(self, frame: FailureFrame) -> None:
        sink = self.awaiting.pop(frame.stream, None)
        if sink is None:
            return
        load = Load(frame.in_flight, frame.slots)
        sink.failed(Failure(frame.outcome, Reason(frame.reason)), load)

    def _take_cancel(self, frame: CancelFrame) -> None:
        cancel = self.serving.pop(frame.stream, None)
        if cancel is not None:
            cancel()


class StreamSink:
    """Sends the answer of one served stream over its link."""

    def __init__(self, link: PeerLink, stream: int) -> None:
        self.link = link
        self.stream = stream
        self.pending_head: ResponseHead | None = None
        self.ended = False

    def head(self, head: ResponseHead) -> None:
        """Hold the head until the first body part, to share its frame."""
        self.pending_head = head

    def body(self, data: bytes, last: bool) -> None:
        """Send a body part."""
        self._end_if(last)
        head = self.pending_head
        if head is None:
            self._send(BodyFrame(self.stream, data, last))
            return
        self.pending_head = None
        self._send(
            ResponseFrame(
                stream=self.stream,
                status=head.status,
                outcome=head.outcome,
                in_flight=head.load.in_flight,
                slots=head.load.slots,
                headers=head.headers,
                body=data,
                last=last,
            )
        )

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Send the failure."""
        self._end_if(True)
        load = load or Load(0, 0)
        self._send(
            FailureFrame(
                self.stream,
                failure.outcome,
                failure.reason.value,
                load.in_flight,
                load.slots,
            )
        )

    def _end_if(self, last: bool) -> None:
        if last:
            self.ended = True
            self.link.serving.pop(self.stream, None)

    def _send(self, frame: Frame) -> None:
        if self.link.connected:
            self.link.send(frame)


__all__ = ["PeerLink", "StreamSink"]
