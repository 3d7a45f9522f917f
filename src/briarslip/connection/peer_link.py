"""Peer link: a connection between two daemons that multiplexes streams."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

from result import Err
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import Int32StringReceiver

from briarslip.address import parse_address
from briarslip.connection.frame import MAX_FRAME_BYTES
from briarslip.connection.frame import MS_PER_SECOND
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
from briarslip.connection.frame import WithdrawFrame
from briarslip.connection.frame_codec import decode_frame
from briarslip.connection.heartbeat import IDLE_TIMEOUT_SECONDS
from briarslip.connection.heartbeat import PING_AFTER_SECONDS
from briarslip.connection.heartbeat import LinkActivity
from briarslip.connection.link_stream import ClientStream
from briarslip.connection.link_stream import PartialRequest
from briarslip.connection.link_stream import ServerStream
from briarslip.connection.link_writer import LinkWriter
from briarslip.connection.outgoing_body import PART_BYTES
from briarslip.connection.outgoing_body import OutgoingBody
from briarslip.connection.socket_options import set_socket_options
from briarslip.process.error_log import record_error
from briarslip.process.error_log import run_each
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
    """One end of a link; only the end that connected opens streams.

    ``on_received`` is called once when bytes arrive next, ``on_go_away`` when the
    peer starts to drain.
    """

    MAX_LENGTH = MAX_FRAME_BYTES
    transport: Any

    def __init__(
        self,
        clock: Clock,
        dispatch: Dispatch,
        on_control: Callable[[Address, ControlFrame], None],
        on_lost: Callable[[PeerLink], None],
        on_connected: Callable[[PeerLink], None] | None = None,
    ) -> None:
        self.clock = clock
        self.dispatch = dispatch
        self.on_control = on_control
        self.on_lost = on_lost
        self.on_connected = on_connected
        self.on_received: Callable[[PeerLink], None] | None = None
        self.on_go_away: Callable[[PeerLink], None] | None = None
        self.peer: Address | None = None
        self.next_stream_number = 1
        self.client_streams: dict[int, ClientStream] = {}
        self.server_streams: dict[int, ServerStream] = {}
        self.partial_requests: dict[int, PartialRequest] = {}
        self.received_at = self.used_at = clock.monotonic()
        self.pinged_at: float | None = None
        self.ping_after_seconds = PING_AFTER_SECONDS
        self.loss_reason = Reason.CONNECTION_LOST
        self.going_away = False

    @property
    def activity(self) -> LinkActivity:
        """The state of the link that decides its next heartbeat action."""
        return LinkActivity(
            received_at=self.received_at,
            used_at=self.used_at,
            pinged_at=self.pinged_at,
            has_pending_calls=bool(self.client_streams),
            ping_after_seconds=self.ping_after_seconds,
        )

    def is_at_rest(self, now: float) -> bool:
        """Return whether no heartbeat action can be due: most links carry no call."""
        return (
            self.pinged_at is None
            and not self.client_streams
            and now - self.received_at < IDLE_TIMEOUT_SECONDS
        )

    def connectionMade(self) -> None:
        """Set up writing and call ``on_connected``."""
        set_socket_options(self.transport)
        self.writer = LinkWriter(self.transport)
        self.transport.registerProducer(self.writer, True)
        if self.on_connected is not None:
            self.on_connected(self)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Fail the pending calls of this end and cancel the calls it serves."""
        client_streams, self.client_streams = self.client_streams, {}
        server_streams, self.server_streams = self.server_streams, {}
        self.partial_requests.clear()
        self.writer.stopProducing()
        self.on_lost(self)
        failure = Failure(Outcome.UNKNOWN, self.loss_reason)
        run_each((s.fail for s in client_streams.values()), failure, None)
        run_each(s.cancel_call for s in server_streams.values())

    def send(self, frame: Frame) -> None:
        """Send one frame, or nothing if the link is lost."""
        if self.connected:
            self.writer.send(frame)

    def ping(self) -> None:
        """Send a heartbeat unless one is unanswered."""
        if self.pinged_at is None:
            self.pinged_at = self.clock.monotonic()
            self.send(Ping(0))

    def abort_as_stalled(self) -> None:
        """Abort the link and fail its calls as stalled."""
        self.loss_reason = Reason.STALLED
        self.transport.abortConnection()

    def go_away(self) -> None:
        """Ask the opener to open no more streams."""
        self.send(GoAway())

    def close(self) -> None:
        """Close the link after everything written has been sent."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Receive bytes; frames sent in response leave in one write."""
        self.received_at = self.clock.monotonic()
        self.pinged_at = None
        self.writer.start_batch()
        try:
            super().dataReceived(data)
        finally:
            self.writer.send_batch()
        if self.on_received is not None:
            on_received, self.on_received = self.on_received, None
            on_received(self)

    def stringReceived(self, data: bytes) -> None:
        """Decode and handle one frame; abort the link if it is malformed."""
        result = decode_frame(data)
        if isinstance(result, Err) or not self._handle_frame(result.ok_value):
            self.transport.abortConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        """Abort the link, since a frame is too long."""
        self.transport.abortConnection()

    def _handle_frame(self, frame: Frame) -> bool:
        """Handle one frame; return whether it is valid in the current state."""
        match frame:
            case RequestFrame():
                return self._receive_request(frame)
            case ResponseFrame():
                stream = self._find_client_stream(frame.stream, frame.last)
                if stream is not None and not stream.receive_response(frame):
                    return self._reject_frame(stream)
            case BodyFrame():
                return self._receive_body(frame)
            case FailureFrame():
                return self._receive_failure(frame)
            case CancelFrame():
                self._receive_cancel(frame)
            case Credit():
                server_stream = self.server_streams.get(frame.stream)
                if server_stream is not None:
                    server_stream.add_credit(frame.byte_count)
            case Ping():
                self.send(Pong(frame.token))
            case _:
                return self._handle_other_frame(frame)
        return True

    def _handle_other_frame(self, frame: Frame) -> bool:
        match frame:
            case WithdrawFrame():
                self._receive_withdrawal(frame)
            case ControlFrame():
                if self.peer is not None:
                    # The calls on this link do not depend on the control message.
                    run_each((self.on_control,), self.peer, frame)
            case Hello():
                return self._receive_hello(frame)
            case GoAway():
                self.going_away = True
                if self.on_go_away is not None:
                    self.on_go_away(self)
                self._close_if_done()
        return True

    def open_stream(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Send a call to the peer and return the function that cancels it."""
        number = self._allocate_stream_number()
        now = self.clock.monotonic()
        if not self.client_streams:
            self.used_at = now
        self.client_streams[number] = ClientStream(self, number, call, sink)
        remaining_seconds = max(0.0, call.deadline - now)
        target_ms = None
        if call.latency_target_at != math.inf:
            target_ms = max(0, int((call.latency_target_at - now) * MS_PER_SECOND))

        def first_frame(data: bytes, last: bool) -> RequestFrame:
            return RequestFrame(
                stream=number,
                timeout_ms=int(remaining_seconds * 1000),
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
                suspect=call.is_suspect,
            )

        if len(call.body) <= PART_BYTES:
            self.send(first_frame(call.body, True))
        else:
            body = OutgoingBody(number, call.urgent, first_frame, None, FlowControl())
            body.push(call.body, True)
            self.writer.enqueue(body)
        call.withdrawal.on_request = partial(self._withdraw, number)
        return lambda: self._cancel(number)

    def _allocate_stream_number(self) -> int:
        """Return a number that no open stream has."""
        number = self.next_stream_number
        while number in self.client_streams:
            number = number % MAX_STREAM + 1
        self.next_stream_number = number % MAX_STREAM + 1
        return number

    def _cancel(self, number: int) -> None:
        if self.client_streams.pop(number, None) is not None:
            self.writer.discard(number)
            self.send(CancelFrame(number))
            self._close_if_done()

    def _withdraw(self, number: int) -> None:
        stream = self.client_streams.get(number)
        if stream is not None and not stream.head_received:
            self.send(WithdrawFrame(number))

    def withdraw_served_calls(self) -> None:
        """Fail the peer's calls as not run, except those that a server runs."""
        for number in [*self.partial_requests, *self.server_streams]:
            self._receive_withdrawal(WithdrawFrame(number))

    def _find_client_stream(self, number: int, last: bool) -> ClientStream | None:
        """Return the stream, removed if ``last``; None if it has ended."""
        if not last:
            return self.client_streams.get(number)
        stream = self.client_streams.pop(number, None)
        self._close_if_done()
        return stream

    def _close_if_done(self) -> None:
        if self.going_away and not self.client_streams:
            self.close()

    def _receive_request(self, frame: RequestFrame) -> bool:
        if frame.stream in self.server_streams or frame.stream in self.partial_requests:
            return False
        if frame.last:
            self._serve(frame, frame.body, self.received_at)
        else:
            self.partial_requests[frame.stream] = PartialRequest(
                frame, self.received_at
            )
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
            is_suspect=frame.suspect,
        )
        stream = ServerStream(self, frame.stream, call)
        self.server_streams[frame.stream] = stream
        try:
            cancel = self.dispatch(call, stream)
        except Exception as error:
            # The other calls on this link must not fail with this one.
            record_error(error)
            stream.failed(Failure(Outcome.UNKNOWN, Reason.INTERNAL_ERROR), None)
            return
        if frame.stream in self.server_streams:
            stream.cancel = cancel

    def _receive_body(self, frame: BodyFrame) -> bool:
        partial_request = self.partial_requests.get(frame.stream)
        if partial_request is not None:
            partial_request.parts.append(frame.data)
            if frame.last:
                del self.partial_requests[frame.stream]
                body = b"".join(partial_request.parts)
                self._serve(partial_request.frame, body, partial_request.received_at)
            return True
        stream = self._find_client_stream(frame.stream, frame.last)
        if stream is not None and not stream.receive_body(frame.data, frame.last):
            return self._reject_frame(stream)
        return True

    def _reject_frame(self, stream: ClientStream) -> bool:
        """Fail a stream whose response can't be complete; return False."""
        self.client_streams.pop(stream.number, None)
        stream.fail(Failure(Outcome.UNKNOWN, Reason.TRUNCATED), None)
        return False

    def _receive_failure(self, frame: FailureFrame) -> bool:
        try:
            reason = Reason(frame.reason)
        except ValueError:
            return False
        stream = self._find_client_stream(frame.stream, True)
        if stream is not None:
            self.writer.discard(frame.stream)
            load = Load(frame.in_flight, frame.slots)
            seconds = frame.retry_after_ms / MS_PER_SECOND or None
            stream.fail(Failure(frame.outcome, reason, seconds), load)
        return True

    def _receive_cancel(self, frame: CancelFrame) -> None:
        self.partial_requests.pop(frame.stream, None)
        stream = self.server_streams.get(frame.stream)
        if stream is not None:
            cancel = stream.cancel
            stream.end()
            if cancel is not None:
                cancel()

    def _receive_withdrawal(self, frame: WithdrawFrame) -> None:
        if self.partial_requests.pop(frame.stream, None) is not None:
            failure = Failure(Outcome.NOT_RUN, Reason.DRAINING)
            self.send(FailureFrame.from_failure(frame.stream, failure, Load(0, 0)))
        stream = self.server_streams.get(frame.stream)
        if stream is not None:
            stream.call.withdrawal.request()

    def _receive_hello(self, frame: Hello) -> bool:
        result = parse_address(frame.peer)
        if isinstance(result, Err):
            return False
        self.peer = result.ok_value
        return True


__all__ = ["PeerLink"]
