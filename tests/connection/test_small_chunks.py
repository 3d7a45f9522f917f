"""Tests of responses in many small chunks.

The work of one reactor turn is counted in chunks of one byte, which are as many as the
bytes that are passed on.
"""

from __future__ import annotations

import unittest
from typing import Any

from twisted.internet.testing import MemoryReactorClock

from briarslip.address import Address
from briarslip.connection.backend_pool import BackendPool
from tests.connection.support import FakeSink
from tests.connection.support import FakeTransport
from tests.connection.support import call
from tests.connection.support import run_turn


HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
READ_BYTES = 64 << 10
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


if __name__ == "__main__":
    unittest.main()
