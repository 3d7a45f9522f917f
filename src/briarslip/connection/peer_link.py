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
from briarslip.connection.link_writer import LinkWriter
from briarslip.connection.outgoing_body import PART_BYTES
from briarslip.connection.outgoing_body import OutgoingBody
from briarslip.connection.reading import Reading
from briarslip.connection.served_requests import ServedRequests
from briarslip.connection.socket_options import set_socket_options
from briarslip.connection.stepwise_input import StepwiseInput
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
    from briarslip.connection.buffer_budget import BufferBudget
    from briarslip.connection.frame import Frame
    from briarslip.connection.input_scheduler import InputScheduler
    from briarslip.process.clock import Clock
    from briarslip.request.call import Dispatch
    from briarslip.request.call import ResponseSink


MAX_STREAM = (1 << 32) - 1
# Frames that are handled in one step.
MAX_FRAMES_PER_STEP = 32


class PeerLink(Int32StringReceiver):
    """One end of a link; only the end that connected opens streams.

    ``budget`` limits what is buffered of the peer's requests.
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
        scheduler: InputScheduler,
        on_connected: Callable[[PeerLink], None] | None = None,
        budget: BufferBudget | None = None,
    ) -> None:
        self.clock = clock
        self.scheduler = scheduler
        self.on_control = on_control
        self.on_lost = on_lost
        self.on_connected = on_connected
        self.on_received: Callable[[PeerLink], None] | None = None
        self.on_go_away: Callable[[PeerLink], None] | None = None
        self.peer: Address | None = None
        self.next_stream_number = 1
        self.client_streams: dict[int, ClientStream] = {}
        self.served = ServedRequests(self, dispatch, budget)
        self.received_at = self.used_at = clock.monotonic()
        self.pinged_at: float | None = None
        self.ping_after_seconds = PING_AFTER_SECONDS
        self.loss_reason = Reason.CONNECTION_LOST
        self.going_away = False
        self.has_ended = False
        self.unhandled_data = b""
        self.frames_in_step = 0

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
        self.input = StepwiseInput(
            self.scheduler, Reading(self.transport), self._handle_step
        )
        self.writer = LinkWriter(self.transport)
        self.transport.registerProducer(self.writer, True)
        if self.on_connected is not None:
            self.on_connected(self)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Fail the pending calls of this end and cancel the calls it serves."""
        self.has_ended = True
        client_streams, self.client_streams = self.client_streams, {}
        self.writer.stopProducing()
        self.on_lost(self)
        failure = Failure(Outcome.UNKNOWN, self.loss_reason)
        run_each((s.fail for s in client_streams.values()), failure, None)
        self.served.cancel_all()

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
        """Receive bytes, whose frames are handled in steps."""
        self.received_at = self.clock.monotonic()
        self.pinged_at = None
        self.unhandled_data += data
        self.input.process()
        if self.on_received is not None:
            on_received, self.on_received = self.on_received, None
            on_received(self)

    def _handle_step(self) -> bool:
        """Handle some frames; return whether more may be there.

        Frames sent in response leave in one write.
        """
        if self.has_ended:
            return False
        data, self.unhandled_data = self.unhandled_data, b""
        self.frames_in_step = 0
        self.paused = False
        self.writer.start_batch()
        try:
            super().dataReceived(data)
        finally:
            self.writer.send_batch()
        return self.paused and not self.has_ended

    def stringReceived(self, data: bytes) -> None:
        """Decode and handle one frame; abort the link if it is malformed."""
        self.frames_in_step += 1
        self.paused = self.frames_in_step >= MAX_FRAMES_PER_STEP
        result = decode_frame(data)
        if isinstance(result, Err) or not self._handle_frame(result.ok_value):
            self._abort()

    def lengthLimitExceeded(self, length: int) -> None:
        """Abort the link, since a frame is too long."""
        self._abort()

    def _abort(self) -> None:
        """Abort the link; the frames that are left are not handled."""
        self.has_ended = self.paused = True
        self.transport.abortConnection()

    def _handle_frame(self, frame: Frame) -> bool:
        """Handle one frame; return whether it is valid in the current state."""
        match frame:
            case RequestFrame():
                return self.served.receive(frame)
            case ResponseFrame():
                stream = self._find_client_stream(frame.stream, frame.last)
                if stream is not None and not stream.receive_response(frame):
                    return self._reject_frame(stream)
            case BodyFrame():
                return self._receive_body(frame)
            case FailureFrame():
                return self._receive_failure(frame)
            case CancelFrame():
                self.served.cancel(frame.stream)
            case Credit():
                server_stream = self.served.streams.get(frame.stream)
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
                self.served.withdraw(frame.stream)
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
                organisation=call.organisation,
                may_move_on=call.may_move_on,
            )

        if call.body.size_bytes <= PART_BYTES:
            self.send(first_frame(call.body.to_bytes(), True))
        else:
            body = OutgoingBody(number, call.urgent, first_frame, None, FlowControl())
            for part in call.body.parts:
                body.push(part, False)
            body.push(b"", True)
            self.writer.enqueue(body)
        call.withdrawal.on_request = partial(self._withdraw, number)
        return lambda: self.cancel(number)

    def _allocate_stream_number(self) -> int:
        """Return a number that no open stream has."""
        number = self.next_stream_number
        while number in self.client_streams:
            number = number % MAX_STREAM + 1
        self.next_stream_number = number % MAX_STREAM + 1
        return number

    def cancel(self, number: int) -> None:
        """Cancel the call of a stream that this end has opened."""
        if self.client_streams.pop(number, None) is not None:
            self.writer.discard(number)
            self.send(CancelFrame(number))
            self._close_if_done()

    def _withdraw(self, number: int) -> None:
        stream = self.client_streams.get(number)
        if stream is not None and not stream.head_received:
            self.send(WithdrawFrame(number))

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

    def _receive_body(self, frame: BodyFrame) -> bool:
        if self.served.receive_body(frame):
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

    def _receive_hello(self, frame: Hello) -> bool:
        result = parse_address(frame.peer)
        if isinstance(result, Err):
            return False
        self.peer = result.ok_value
        return True


__all__ = ["PeerLink"]
