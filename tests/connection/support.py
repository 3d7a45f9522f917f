"""Test doubles for connections: transport, clock, sink and dispatch."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from briarslip.connection.input_scheduler import InputScheduler
from briarslip.connection.peer_link import PeerLink
from briarslip.request.body import Body
from briarslip.request.call import Call
from briarslip.request.call import Load
from briarslip.request.call import ResponseHead
from briarslip.request.outcome import Outcome


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.call import ResponseSink
    from briarslip.request.outcome import Failure


LOAD = Load(1, 10)
OK = ResponseHead(200, b"X-A: 1\r\n", Outcome.RAN, LOAD)


class FakeClock(Clock):
    """A clock that serves both as the reactor's and as the daemon's."""

    def monotonic(self) -> float:
        """Return the current time in seconds."""
        return float(self.seconds())

    def now(self) -> Any:
        """Raise, since connections do not read the wall clock."""
        raise NotImplementedError


class FakeTransport(StringTransport):
    """Records the bytes written and whether the connection was aborted."""

    aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802 (Twisted)
        """Accept the option."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802 (Twisted)
        """Accept the option."""

    def abortConnection(self) -> None:  # noqa: N802 (Twisted)
        """Record the abort."""
        self.aborted = True
        self.disconnecting = True

    def loseWriteConnection(self) -> None:  # noqa: N802 (Twisted)
        """Record the end of the stream."""
        self.disconnecting = True

    def take_written(self) -> bytes:
        """Return and clear the bytes written since the last call."""
        data: bytes = self.value()
        self.clear()
        return data


class FakeSink:
    """Records a response."""

    def __init__(self) -> None:
        self.heads: list[ResponseHead] = []
        self.data = b""
        self.ended = 0
        self.failures: list[Failure] = []

    def head(self, head: ResponseHead) -> None:
        """Record a head."""
        self.heads.append(head)

    def body(self, data: bytes, last: bool) -> None:
        """Record a part of the body."""
        self.data += data
        self.ended += last

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Record a failure."""
        self.failures.append(failure)


class RecordingDispatch:
    """A dispatch that records calls and cancellations; the test responds."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ResponseSink]] = []
        self.cancelled: list[Any] = []

    def __call__(self, call: Any, sink: ResponseSink) -> Callable[[], None]:
        """Record a call."""
        self.calls.append((call, sink))
        return lambda: self.cancelled.append(call)


def call(body: bytes = b"", urgent: bool = True, **fields: Any) -> Call:
    """Return a call with default values, overridden by ``fields``."""
    values: dict[str, Any] = {
        "method": "POST" if body else "GET",
        "target": "/holds/1",
        "headers": b"Host: a\r\n",
        "service": "holds",
        "service_version": "1",
        "route": "holds",
        "idempotent": not body,
        "depth": 1,
        "deadline": 30.0,
    }
    return Call(body=Body.from_bytes(body), urgent=urgent, **(values | fields))


def run_turn(clock: Clock) -> None:
    """Run the calls that are due, as one turn of the reactor does.

    Those that they schedule run in the next turn, while ``advance`` runs them too.
    """
    due = [pending for pending in clock.calls if pending.getTime() <= clock.seconds()]
    for pending in due:
        clock.calls.remove(pending)
        pending.called = 1
        pending.func(*pending.args, **pending.kw)


class LinkPair:
    """Two ends of a link; ``deliver`` moves the bytes between them."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.dispatched = RecordingDispatch()
        self.lost: list[PeerLink] = []
        self.opener = self._end()
        self.server = self._end()

    def _end(self) -> PeerLink:
        link = PeerLink(
            self.clock,
            self.dispatched,
            lambda *_: None,
            self.lost.append,
            InputScheduler(self.clock),
        )
        link.makeConnection(FakeTransport())
        return link

    def deliver(self, to_opener: bool = True, to_server: bool = True) -> None:
        """Deliver bytes until neither end has written any more."""
        moved = True
        while moved:
            moved = False
            if to_server and (data := self.opener.transport.take_written()):
                self.server.dataReceived(data)
                moved = True
            if to_opener and (data := self.server.transport.take_written()):
                self.opener.dataReceived(data)
                moved = True
            if self.opener.input.is_waiting or self.server.input.is_waiting:
                run_turn(self.clock)
                moved = True


__all__ = [
    "LOAD",
    "OK",
    "FakeClock",
    "FakeSink",
    "FakeTransport",
    "LinkPair",
    "RecordingDispatch",
    "call",
    "run_turn",
]
