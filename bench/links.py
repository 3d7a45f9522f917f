"""Work that the connections do for a call, counted, not timed.

A caller's connection, a peer link and a backend connection over transports in
memory: frames, writes and function calls are the same on every machine.
"""

from __future__ import annotations

import gc
import sys
import time
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.testing import MemoryReactorClock

from bench.measurement import Measurement
from briarslip.address import Address
from briarslip.connection.backend_pool import BackendPool
from briarslip.connection.caller_http import CallerHttpFactory
from briarslip.connection.outgoing_body import HIGH_WATER_BYTES
from briarslip.connection.outgoing_body import PART_BYTES
from briarslip.connection.outgoing_body import WINDOW_BYTES
from tests.connection.support import OK
from tests.connection.support import FakeSink
from tests.connection.support import FakeTransport
from tests.connection.support import LinkPair
from tests.connection.support import call


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.call import ResponseSink


CALLS = 2000
QUICK_CALLS = 200
# The request leaves two daemons and so does the answer, in one write each.
WRITES_PER_CALL = 4
LARGE_BODY_BYTES = 8 << 20
REQUEST = b"GET /holds/17 HTTP/1.1\r\nHost: a\r\nRequest-Id: abc-123\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 150\r\n\r\n"


class CountingTransport(FakeTransport):
    """Counts its writes."""

    writes = 0

    def write(self, data: bytes) -> None:
        """Count a write."""
        self.writes += 1
        super().write(data)


class Path:
    """A caller, two daemons' connections and a backend server, in memory."""

    def __init__(self) -> None:
        self.pair = LinkPair()
        self.reactor: Any = MemoryReactorClock()
        pool = BackendPool(self.reactor, Address("127.0.0.1", 8000), 10)
        self.pair.server.dispatch = pool
        factory = CallerHttpFactory(self.reactor, self._forward)
        self.caller: Any = factory.buildProtocol(None)
        self.backend: Any = None
        self.transports = [CountingTransport() for _ in range(4)]
        self.caller.makeConnection(self.transports[0])
        self.pair.opener.makeConnection(self.transports[1])
        self.pair.server.makeConnection(self.transports[2])

    @property
    def writes(self) -> int:
        """The writes so far."""
        return sum(transport.writes for transport in self.transports)

    def _forward(self, request: Any, sink: ResponseSink) -> Callable[[], None]:
        return self.pair.opener.open_stream(
            call(flow=request.flow, headers=request.headers), sink
        )

    def call(self) -> int:
        """Carry one call; return the bytes that the caller got."""
        caller, opener, server, backend = self.transports
        self.caller.dataReceived(REQUEST)
        self.pair.server.dataReceived(opener.take_written())
        if self.backend is None:
            self.backend = self.reactor.tcpClients[0][2].buildProtocol(None)
            self.backend.makeConnection(backend)
        backend.take_written()
        self.backend.dataReceived(ANSWER + bytes(150))
        self.pair.opener.dataReceived(server.take_written())
        return len(caller.take_written())


def run(quick: bool) -> list[Measurement]:
    """Count the work of calls and what large bodies hold up."""
    path = Path()
    path.call()
    calls = QUICK_CALLS if quick else CALLS
    before = path.writes
    began = time.process_time()
    for _ in range(calls):
        path.call()
    seconds = time.process_time() - began
    writes = (path.writes - before) / calls
    measurements = [
        Measurement("writes of two daemons per call", writes, "", WRITES_PER_CALL),
        Measurement("function calls per call", _function_calls(path), ""),
        Measurement("objects left to the collector", _garbage(path), "", 0),
        Measurement(
            "bytes ahead of an urgent answer",
            _bytes_ahead(),
            "B",
            # A transport asks for a pause at 64 KB, and one part is on its way.
            PART_BYTES + HIGH_WATER_BYTES,
        ),
        Measurement("bytes sent to a stopped reader", _bytes_sent(), "B", WINDOW_BYTES),
    ]
    if not quick:
        measurements.append(
            Measurement("processor time per call", seconds / calls * 1e6, "us")
        )
    return measurements


def _function_calls(path: Path) -> int:
    counted = 0

    def count(frame: object, event: str, argument: object) -> None:
        nonlocal counted
        counted += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        path.call()
    finally:
        sys.setprofile(None)
    return counted


def _garbage(path: Path) -> int:
    """Return the objects in reference cycles after some calls."""
    gc.collect()
    gc.disable()
    try:
        for _ in range(QUICK_CALLS):
            path.call()
        return gc.collect()
    finally:
        gc.enable()


def _open(pair: LinkPair, urgent: bool, paused: bool = False) -> FakeSink:
    sink = FakeSink()
    request = call(urgent=urgent)
    request.flow.paused = paused
    pair.opener.open_stream(request, sink)
    pair.deliver()
    return sink


def _bytes_ahead() -> int:
    """Answer urgently while a transport drains a large bulk body."""
    pair = LinkPair()
    _open(pair, urgent=False)
    _open(pair, urgent=True)
    bulk, urgent = (sink for _, sink in pair.dispatched.calls)
    transport: Any = pair.server.transport
    written = 0

    def write(data: bytes) -> None:
        nonlocal written
        written += len(data)
        if written >= HIGH_WATER_BYTES:
            pair.server.writer.pauseProducing()

    transport.write = write
    bulk.head(OK)
    bulk.body(bytes(LARGE_BODY_BYTES), True)
    ahead = written
    urgent.head(OK)
    urgent.body(b"alert", True)
    # It has left at once, ahead of what the bulk body still has to send.
    assert written > ahead
    return ahead


def _bytes_sent() -> int:
    pair = LinkPair()
    sink = _open(pair, urgent=False, paused=True)
    answer = pair.dispatched.calls[0][1]
    answer.head(OK)
    answer.body(bytes(LARGE_BODY_BYTES), True)
    pair.deliver()
    return len(sink.data)


__all__ = ["run"]
