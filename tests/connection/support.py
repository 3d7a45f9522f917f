"""Fakes at the edges of the connections: transports, clock, sinks."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from briarslip.connection.peer_link import PeerLink
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
    """A reactor's clock that is also the daemon's."""

    def monotonic(self) -> float:
        """Return the seconds so far."""
        return float(self.seconds())

    def now(self) -> Any:
        """Not used by connections."""
        raise NotImplementedError


class FakeTransport(StringTransport):
    """Collects what is written and notes how it is closed."""

    aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802 (Twisted)
        """Accept the option."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802 (Twisted)
        """Accept the option."""

    def abortConnection(self) -> None:  # noqa: N802 (Twisted)
        """Note the cut."""
        self.aborted = True
        self.disconnecting = True

    def take_written(self) -> bytes:
        """Return what was written since the last time."""
        data: bytes = self.value()
        self.clear()
        return data


class FakeSink:
    """Collects an answer."""

    def __init__(self) -> None:
        self.heads: list[ResponseHead] = []
        self.data = b""
        self.ended = 0
        self.failures: list[Failure] = []

    def head(self, head: ResponseHead) -> None:
        """Take a head."""
        self.heads.append(head)

    def body(self, data: bytes, last: bool) -> None:
        """Take a part."""
        self.data += data
        self.ended += last

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Take a failure."""
        self.failures.append(failure)


class RecordingDispatch:
    """A dispatch that keeps its calls for the test to answer."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ResponseSink]] = []
        self.cancelled: list[Any] = []

    def __call__(self, call: Any, sink: ResponseSink) -> Callable[[], None]:
        """Keep a call."""
        self.calls.append((call, sink))
        return lambda: self.cancelled.append(call)


def call(body: bytes = b"", urgent: bool = True, **fields: Any) -> Call:
    """Return a call of no particular interest."""
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
    return Call(body=body, urgent=urgent, **(values | fields))


class LinkPair:
    """Two ends of a link; bytes pass when the test says so."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.dispatched = RecordingDispatch()
        self.lost: list[PeerLink] = []
        self.opener = self._end()
        self.server = self._end()

    def _end(self) -> PeerLink:
        link = PeerLink(self.clock, self.dispatched, lambda *_: None, self.lost.append)
        link.makeConnection(FakeTransport())
        return link

    def deliver(self, to_opener: bool = True, to_server: bool = True) -> None:
        """Pass bytes on until both ends are quiet."""
        moved = True
        while moved:
            moved = False
            if to_server and (data := self.opener.transport.take_written()):
                self.server.dataReceived(data)
                moved = True
            if to_opener and (data := self.server.transport.take_written()):
                self.opener.dataReceived(data)
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
]
