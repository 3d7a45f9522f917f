"""Tests of bodies in many small chunks.

The work of one reactor turn is counted in chunks of one byte, which are as many as the
bytes that are passed on.
"""

from __future__ import annotations

import unittest
from typing import Any

from twisted.internet.testing import MemoryReactorClock

from briarslip.address import Address
from briarslip.connection.backend_pool import BackendPool
from briarslip.connection.caller_http import CallerHttpFactory
from briarslip.connection.caller_limits import CallerLimits
from briarslip.connection.caller_timeouts import close_if_inactive
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from tests.connection.support import FakeClock
from tests.connection.support import FakeSink
from tests.connection.support import FakeTransport
from tests.connection.support import RecordingDispatch
from tests.connection.support import call
from tests.connection.support import run_turn


HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
READ_BYTES = 64 << 10
REQUEST_HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
MAX_BODY_BYTES = 1 << 20
READ_TIMEOUT_SECONDS = 3.0
CHUNK = b"1\r\nx\r\n"
CHUNKS_PER_READ = READ_BYTES // len(CHUNK)
MAX_CHUNKS_PER_READ = 64
MAX_CHUNKS_PER_TURN = 1024
CONNECTIONS = 20


class CountingSink(FakeSink):
    """Records a response and the number of its parts."""

    parts = 0

    def body(self, data: bytes, last: bool) -> None:
        """Record a part of the body."""
        self.parts += 1
        super().body(data, last)


class SmallChunksTest(unittest.TestCase):
    """Connections to a server that sends chunks of one byte."""

    def setUp(self) -> None:
        self.reactor: Any = MemoryReactorClock()
        self.pool = BackendPool(self.reactor, Address("127.0.0.1", 8000), 10)

    def open(self) -> tuple[Any, CountingSink]:
        """Return a connection that has received a head, and the sink of its call."""
        sink = CountingSink()
        self.pool(call(), sink)
        connection = self.reactor.tcpClients[-1][2].buildProtocol(None)
        connection.makeConnection(FakeTransport())
        connection.dataReceived(HEAD)
        return connection, sink

    def test_one_read_takes_the_reactor_for_all_of_its_chunks(self) -> None:
        """Guards against a daemon that hangs while its server sends tiny chunks."""
        connection, sink = self.open()
        connection.dataReceived(CHUNK * CHUNKS_PER_READ)
        self.assertLessEqual(len(sink.data), MAX_CHUNKS_PER_READ)
        self.assertEqual(1, sink.parts)
        self.assertEqual("paused", connection.transport.producerState)

    def test_many_connections_together_take_a_turn_of_the_reactor(self) -> None:
        """Guards against hanging on many such connections, each of them limited."""
        opened = [self.open() for _ in range(CONNECTIONS)]
        for connection, _ in opened:
            connection.dataReceived(CHUNK * CHUNKS_PER_READ)
        sinks = [sink for _, sink in opened]
        decoded = sum(len(sink.data) for sink in sinks)
        self.assertLessEqual(decoded, CONNECTIONS * MAX_CHUNKS_PER_READ)
        while decoded < CONNECTIONS * CHUNKS_PER_READ:
            run_turn(self.reactor)
            total = sum(len(sink.data) for sink in sinks)
            self.assertLessEqual(total - decoded, MAX_CHUNKS_PER_TURN)
            self.assertGreater(total, decoded)
            decoded = total
        lengths = [len(sink.data) for sink in sinks]
        self.assertEqual([CHUNKS_PER_READ] * CONNECTIONS, lengths)

    def test_other_connections_wait_for_one_with_many_chunks(self) -> None:
        """Guards against one connection that takes all steps of a turn."""
        opened = [self.open() for _ in range(3)]
        for connection, _ in opened:
            connection.dataReceived(CHUNK * CHUNKS_PER_READ)
        run_turn(self.reactor)
        lengths = [len(sink.data) for _, sink in opened]
        self.assertLessEqual(max(lengths) - min(lengths), MAX_CHUNKS_PER_READ)

    def test_body_that_ends_is_cut_short(self) -> None:
        """Guards against the loss of what is decoded in later turns."""
        connection, sink = self.open()
        connection.dataReceived(CHUNK * 1000)
        connection.dataReceived(CHUNK * 500 + b"0\r\n\r\n")
        for _ in range(100):
            run_turn(self.reactor)
        self.assertEqual((b"x" * 1500, 1), (sink.data, sink.ended))
        self.assertEqual("producing", connection.transport.producerState)
        self.assertEqual([connection], self.pool.idle)

    def test_cancelled_call_goes_on_in_later_turns(self) -> None:
        """Guards against work for a caller that has left."""
        connection, sink = self.open()
        connection.dataReceived(CHUNK * 1000)
        connection.cancel()
        received = len(sink.data)
        for _ in range(3):
            run_turn(self.reactor)
        self.assertEqual(received, len(sink.data))
        self.assertEqual([], self.reactor.getDelayedCalls())

    def test_large_chunks_wait_for_later_turns(self) -> None:
        """Guards against a limit that slows down ordinary bodies."""
        connection, sink = self.open()
        connection.dataReceived(b"8000\r\n" + bytes(0x8000) + b"\r\n" + b"0\r\n\r\n")
        self.assertEqual((0x8000, 1), (len(sink.data), sink.ended))


class SmallRequestChunksTest(unittest.TestCase):
    """Callers that send bodies in chunks of one byte."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.forwarded = RecordingDispatch()
        limits = CallerLimits(
            body_bytes=MAX_BODY_BYTES, read_timeout_seconds=READ_TIMEOUT_SECONDS
        )
        self.factory = CallerHttpFactory(self.clock, self.forwarded, lambda: limits)

    def open(self) -> Any:
        """Return a connection that has received a head."""
        connection: Any = self.factory.buildProtocol(None)
        connection.makeConnection(FakeTransport())
        connection.dataReceived(REQUEST_HEAD)
        return connection

    def test_reads_of_a_crowd_take_the_reactor_for_all_of_their_chunks(self) -> None:
        """Guards against a daemon that hangs on bodies sent in tiny chunks."""
        connections = [self.open() for _ in range(CONNECTIONS)]
        for connection in connections:
            connection.dataReceived(CHUNK * CHUNKS_PER_READ)
            read = connection.reader.body.size_bytes
            self.assertLessEqual(read, MAX_CHUNKS_PER_READ)
            self.assertEqual("paused", connection.transport.producerState)
        decoded = sum(c.reader.body.size_bytes for c in connections)
        while decoded < CONNECTIONS * CHUNKS_PER_READ:
            run_turn(self.clock)
            total = sum(c.reader.body.size_bytes for c in connections)
            self.assertLessEqual(total - decoded, MAX_CHUNKS_PER_TURN)
            self.assertGreater(total, decoded)
            decoded = total

    def test_body_that_ends_is_cut_short(self) -> None:
        """Guards against the loss of what is decoded in later turns."""
        connection = self.open()
        data = CHUNK * 1000 + b"0\r\n\r\n" + REQUEST_HEAD + CHUNK * 300
        connection.dataReceived(data)
        for _ in range(10):
            run_turn(self.clock)
        request, sink = self.forwarded.calls[0]
        self.assertEqual(b"x" * 1000, request.body.to_bytes())
        sink.failed(Failure(Outcome.NOT_RUN, Reason.NO_SERVER), None)
        connection.dataReceived(b"0\r\n\r\n")
        for _ in range(10):
            run_turn(self.clock)
        self.assertEqual(b"x" * 300, self.forwarded.calls[1][0].body.to_bytes())
        self.assertEqual("producing", connection.transport.producerState)

    def test_body_under_way_is_ended_as_too_slow(self) -> None:
        """Guards against 408 for a caller whose bytes wait for their turn."""
        connection = self.open()
        connection.dataReceived(CHUNK * CHUNKS_PER_READ)
        for _ in range(6):
            self.clock.rightNow += 0.6 * READ_TIMEOUT_SECONDS
            run_turn(self.clock)
            limits = self.factory.limits()
            close_if_inactive(connection, limits, self.factory.now, False)
        self.assertEqual(b"", connection.transport.take_written())

    def test_connection_is_lost_while_a_body_waits(self) -> None:
        """Guards against work for a caller that has left."""
        connection = self.open()
        connection.dataReceived(CHUNK * CHUNKS_PER_READ)
        connection.connectionLost()
        run_turn(self.clock)
        run_turn(self.clock)
        self.assertEqual([], self.clock.getDelayedCalls())


if __name__ == "__main__":
    unittest.main()
