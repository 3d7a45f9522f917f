"""The two ends of a stream of a peer link."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.connection.frame import Credit
from briarslip.connection.frame import FailureFrame
from briarslip.connection.frame import ResponseFrame
from briarslip.connection.outgoing_body import PART_BYTES
from briarslip.connection.outgoing_body import WINDOW_BYTES
from briarslip.connection.outgoing_body import OutgoingBody
from briarslip.request.call import Load
from briarslip.request.call import ResponseHead


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.connection.frame import Frame
    from briarslip.connection.frame import RequestFrame
    from briarslip.connection.peer_link import PeerLink
    from briarslip.request.call import Call
    from briarslip.request.call import ResponseSink
    from briarslip.request.outcome import Failure


MS_PER_SECOND = 1000
MICROS_PER_SECOND = 1_000_000
# About 71 minutes: what the frame's field holds.
MAX_SERVICE_MICROS = 2**32 - 1


class AwaitedStream:
    """The opener's end: takes the answer and grants credit for more."""

    __slots__ = ("call", "granted", "head_taken", "link", "number", "sink", "unread")

    def __init__(
        self, link: PeerLink, number: int, call: Call, sink: ResponseSink
    ) -> None:
        self.link = link
        self.number = number
        self.call = call
        self.sink = sink
        self.head_taken = False
        self.granted = WINDOW_BYTES
        self.unread = 0

    def take_response(self, frame: ResponseFrame) -> bool:
        """Take the first frame of an answer; return whether it is in order."""
        if self.head_taken:
            return False
        self.head_taken = True
        if not frame.last:
            self.call.flow.on_change = self._flow_changed
        service_time = frame.service_micros / MICROS_PER_SECOND
        load = Load(frame.in_flight, frame.slots, service_time)
        self.sink.head(ResponseHead(frame.status, frame.headers, frame.outcome, load))
        self._pass_on(frame.body, frame.last)
        return True

    def take_body(self, data: bytes, last: bool) -> bool:
        """Take a further part; return whether it is in order and in bounds."""
        if not self.head_taken or len(data) > self.granted:
            return False
        self._pass_on(data, last)
        return True

    def _pass_on(self, data: bytes, last: bool) -> None:
        self.sink.body(data, last)
        if last:
            return
        self.granted -= len(data)
        self.unread += len(data)
        self._grant()

    def fail(self, failure: Failure, load: Load | None) -> None:
        """Take the end of an answer that is not whole."""
        self.sink.failed(failure, load)

    def _flow_changed(self, paused: bool) -> None:
        if not paused:
            self._grant()

    def _grant(self) -> None:
        if self.call.flow.paused or self.unread < WINDOW_BYTES // 2:
            return
        if self.number not in self.link.awaiting:
            return
        size, self.unread = self.unread, 0
        self.granted += size
        self.link.send(Credit(self.number, size))


class ServedStream:
    """The server's end: a call under way and the sink of its answer."""

    def __init__(self, link: PeerLink, number: int, call: Call) -> None:
        self.link = link
        self.number = number
        self.call = call
        self.cancel: Callable[[], None] | None = None
        self.pending_head: ResponseHead | None = None
        self.outgoing: OutgoingBody | None = None
        self.ended = False

    def head(self, head: ResponseHead) -> None:
        """Hold the head until the first body part, to share its frame."""
        self.pending_head = head

    def body(self, data: bytes, last: bool) -> None:
        """Send a body part, or queue it until the opener can take it."""
        outgoing = self.outgoing
        if self.ended or (outgoing is not None and outgoing.ended):
            return
        if outgoing is None and last and len(data) <= PART_BYTES and self._may_jump:
            self.end()
            self.link.send(self._first(data, True))
            return
        if outgoing is None:
            outgoing = self.outgoing = OutgoingBody(
                self.number, self.call.urgent, self._first, WINDOW_BYTES, self.call.flow
            )
            outgoing.on_done = self.end
        outgoing.push(data, last)
        if last:
            self.cancel = None
        self.link.writer.take(outgoing)

    @property
    def _may_jump(self) -> bool:
        """Whether a short answer need not queue."""
        return self.call.urgent or not self.link.writer.congested

    def add_credit(self, size: int) -> None:
        """Send more, since the opener has taken some."""
        outgoing = self.outgoing
        if outgoing is not None and outgoing.credit is not None:
            outgoing.credit += size
            self.link.writer.take(outgoing)

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Send the failure."""
        if self.ended:
            return
        load = load or Load(0, 0)
        retry_after = failure.retry_after_seconds or 0.0
        self.end()
        self.link.send(
            FailureFrame(
                self.number,
                failure.outcome,
                failure.reason.value,
                load.in_flight,
                load.slots,
                int(retry_after * MS_PER_SECOND),
            )
        )

    def end(self) -> None:
        """Forget the stream; leave no reference cycle to collect."""
        self.ended = True
        self.cancel = None
        outgoing, self.outgoing = self.outgoing, None
        if outgoing is not None:
            outgoing.on_done = None
        self.link.serving.pop(self.number, None)
        self.link.writer.drop(self.number)

    def _first(self, data: bytes, last: bool) -> Frame:
        head = self.pending_head
        assert head is not None  # Every source sends its head first.
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
        )


class IncomingRequest:
    """A request whose body is still on its way."""

    def __init__(self, frame: RequestFrame, received_at: float) -> None:
        self.frame = frame
        self.received_at = received_at
        self.parts = [frame.body]


def _service_micros(load: Load) -> int:
    return min(int(load.service_time_seconds * MICROS_PER_SECOND), MAX_SERVICE_MICROS)


__all__ = ["AwaitedStream", "IncomingRequest", "ServedStream"]
