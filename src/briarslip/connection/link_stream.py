"""The two ends of a stream of a peer link."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.connection.frame import Credit
from briarslip.connection.frame import FailureFrame
from briarslip.connection.frame import ResponseFrame
from briarslip.connection.heartbeat import ping_delay
from briarslip.connection.outgoing_body import PART_BYTES
from briarslip.connection.outgoing_body import WINDOW_BYTES
from briarslip.connection.outgoing_body import OutgoingBody
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.request.call import FINAL_STATUSES
from briarslip.request.call import Load
from briarslip.request.call import ResponseHead
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.connection.buffer_budget import Holding
    from briarslip.connection.frame import Frame
    from briarslip.connection.frame import RequestFrame
    from briarslip.connection.peer_link import PeerLink
    from briarslip.request.call import Call
    from briarslip.request.call import ResponseSink


MICROSECONDS_PER_SECOND = 1_000_000
# The largest value of the 32-bit field of the frame, about 71 minutes.
MAX_SERVICE_MICROS = 2**32 - 1


class ClientStream:
    """The opener's end: receives the response and grants credit for more.

    ``credit_bytes`` is what the server may still send, ``uncredited_bytes`` what
    was received since credit was last granted.
    """

    __slots__ = (
        "call",
        "credit_bytes",
        "head_received",
        "link",
        "number",
        "sink",
        "uncredited_bytes",
    )

    def __init__(
        self, link: PeerLink, number: int, call: Call, sink: ResponseSink
    ) -> None:
        self.link = link
        self.number = number
        self.call = call
        self.sink = sink
        self.head_received = False
        self.credit_bytes = WINDOW_BYTES
        self.uncredited_bytes = 0

    def receive_response(self, frame: ResponseFrame) -> bool:
        """Receive the first frame of a response; return whether it is in order."""
        if self.head_received:
            return False
        if frame.status not in FINAL_STATUSES:
            self._reject_status(frame.status)
            return True
        self.head_received = True
        if not frame.last:
            self.call.flow.on_change = self._on_flow_change
        service_time = frame.service_micros / MICROSECONDS_PER_SECOND
        self.link.ping_after_seconds = ping_delay(service_time)
        load = Load(frame.in_flight, frame.slots, service_time)
        self.sink.head(
            ResponseHead(
                frame.status,
                frame.headers,
                frame.outcome,
                load,
                leaving_incarnation=frame.leaving_incarnation,
            )
        )
        self._forward(frame.body, frame.last)
        return True

    def _reject_status(self, status: int) -> None:
        """End the call alone: an older release passes on what its server sends."""
        emit(
            Event.MESSAGE_REJECTED,
            peer=self.link.peer,
            reason=f"got the status {status} of a response, expected 200 to 599",
        )
        self.link.cancel(self.number)
        self.fail(Failure(Outcome.UNKNOWN, Reason.TRUNCATED), None)

    def receive_body(self, data: bytes, last: bool) -> bool:
        """Receive a further part; return whether it is in order and within credit."""
        if not self.head_received or len(data) > self.credit_bytes:
            return False
        self._forward(data, last)
        return True

    def _forward(self, data: bytes, last: bool) -> None:
        if last:
            self._end()
        self.sink.body(data, last)
        if last:
            return
        self.credit_bytes -= len(data)
        self.uncredited_bytes += len(data)
        self._grant_credit()

    def fail(self, failure: Failure, load: Load | None) -> None:
        """End the response with a failure."""
        self._end()
        self.sink.failed(failure, load)

    def _end(self) -> None:
        """Break the reference cycle with the call."""
        if self.call.flow.on_change == self._on_flow_change:
            self.call.flow.on_change = None

    def _on_flow_change(self, paused: bool) -> None:
        if not paused:
            self._grant_credit()

    def _grant_credit(self) -> None:
        if self.call.flow.paused or self.uncredited_bytes < WINDOW_BYTES // 2:
            return
        if self.number not in self.link.client_streams:
            return
        size_bytes, self.uncredited_bytes = self.uncredited_bytes, 0
        self.credit_bytes += size_bytes
        self.link.send(Credit(self.number, size_bytes))


class ServerStream:
    """The server's end: a running call and the sink of its response.

    ``holding`` counts the bytes of its request.
    """

    def __init__(
        self, link: PeerLink, number: int, call: Call, holding: Holding | None = None
    ) -> None:
        self.link = link
        self.number = number
        self.call = call
        self.holding = holding
        self.cancel: Callable[[], None] | None = None
        self.pending_head: ResponseHead | None = None
        self.outgoing_body: OutgoingBody | None = None
        self.ended = False

    def head(self, head: ResponseHead) -> None:
        """Buffer the head, to send it in one frame with the first body part."""
        self.pending_head = head

    def body(self, data: bytes, last: bool) -> None:
        """Send a body part, or queue it until credit and transport allow."""
        outgoing_body = self.outgoing_body
        if self.ended or (outgoing_body is not None and outgoing_body.ended):
            return
        if (
            outgoing_body is None
            and last
            and len(data) <= PART_BYTES
            and self._can_bypass_queue
        ):
            self.end()
            self.link.send(self._first_frame(data, True))
            return
        if outgoing_body is None:
            outgoing_body = self.outgoing_body = OutgoingBody(
                self.number,
                self.call.urgent,
                self._first_frame,
                WINDOW_BYTES,
                self.call.flow,
            )
            outgoing_body.on_sent = self.end
        outgoing_body.push(data, last)
        if last:
            self.cancel = None
        self.link.writer.enqueue(outgoing_body)

    @property
    def _can_bypass_queue(self) -> bool:
        """Whether a short response may be sent ahead of queued bodies."""
        return self.call.urgent or not self.link.writer.congested

    def add_credit(self, size_bytes: int) -> None:
        """Add credit granted by the opener and send more of the body."""
        outgoing_body = self.outgoing_body
        if outgoing_body is not None and outgoing_body.credit_bytes is not None:
            outgoing_body.credit_bytes += size_bytes
            self.link.writer.enqueue(outgoing_body)

    def cancel_call(self) -> None:
        """Cancel the call, since the link is lost."""
        self.ended = True
        self._close_holding()
        if self.cancel is not None:
            self.cancel()

    def _close_holding(self) -> None:
        holding, self.holding = self.holding, None
        if holding is not None:
            holding.close()

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Send the failure."""
        if self.ended:
            return
        self.end()
        frame = FailureFrame.from_failure(self.number, failure, load or Load(0, 0))
        self.link.send(frame)

    def end(self) -> None:
        """Remove the stream and break its reference cycles."""
        self.ended = True
        self.cancel = None
        self._close_holding()
        outgoing_body, self.outgoing_body = self.outgoing_body, None
        if outgoing_body is not None:
            outgoing_body.on_sent = None
        self.link.served.streams.pop(self.number, None)
        self.link.writer.discard(self.number)

    def _first_frame(self, data: bytes, last: bool) -> Frame:
        head = self.pending_head
        assert head is not None  # Each response starts with its head.
        return ResponseFrame(
            stream=self.number,
            status=head.status,
            outcome=head.outcome,
            in_flight=head.load.in_flight,
            slots=head.load.slots,
            headers=head.headers,
            body=data,
            last=last,
            service_micros=_service_micros(head.load),
            leaving_incarnation=head.leaving_incarnation,
        )


class PartialRequest:
    """A request whose body is being received; ``holding`` counts its bytes."""

    def __init__(
        self, frame: RequestFrame, received_at: float, holding: Holding
    ) -> None:
        self.frame = frame
        self.received_at = received_at
        self.holding = holding
        self.size_bytes = len(frame.headers)
        self.parts: list[bytes] = []

    def add(self, data: bytes) -> None:
        """Add a part of the body; the request is released if there is no room."""
        self.parts.append(data)
        self.size_bytes += len(data)
        self.holding.resize(self.size_bytes)

    def keep(self) -> Holding:
        """Return the holding of a request that can't be released any more."""
        self.holding.release = None
        return self.holding


def _service_micros(load: Load) -> int:
    return min(
        int(load.service_time_seconds * MICROSECONDS_PER_SECOND), MAX_SERVICE_MICROS
    )


__all__ = ["ClientStream", "PartialRequest", "ServerStream"]
