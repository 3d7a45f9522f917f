"""Tests of the HTTP client of stores."""

from __future__ import annotations

import unittest
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure as TwistedFailure

from briarslip.address import Address
from briarslip.process.store.etcd_watch import GatewayWatch
from briarslip.process.store.http import MAX_IDLE_SECONDS
from briarslip.process.store.http import MAX_RESPONSE_BYTES
from briarslip.process.store.http import HttpResponseSink
from briarslip.process.store.http import StoreHttpClient
from briarslip.request.outcome import Reason
from tests.connection.support import FakeTransport
from tests.connection.support import run_turn


if TYPE_CHECKING:
    from briarslip.process.store.client import WatchClosed


HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
STREAM = b"HTTP/1.1 200 OK\r\n\r\n"
SILENCE_TIMEOUT = timedelta(seconds=5)
MAX_CHUNKS_PER_READ = 64


class StoreHttpClientTest(unittest.TestCase):
    """Requests and watches over connections in memory."""

    def setUp(self) -> None:
        self.reactor: Any = MemoryReactorClock()
        self.http = StoreHttpClient(self.reactor, Address("127.0.0.1", 2379), 0.5)
        self.closed: list[WatchClosed] = []

    def accept(self, number: int = -1) -> Any:
        """Establish a connection that the client has requested."""
        connection = self.reactor.tcpClients[number][2].buildProtocol(None)
        connection.makeConnection(FakeTransport())
        return connection

    def watch(self) -> Any:
        """Open a watch and return its connection."""
        watch = GatewayWatch(
            self.reactor, SILENCE_TIMEOUT, lambda _: None, self.closed.append
        )
        watch.start(lambda: self.http.open_stream("POST", "/v3/watch", {}, watch))
        return self.accept()

    def test_response_without_end_is_not_kept(self) -> None:
        """The store sends a body without end, with or without chunks."""
        for head, part in (
            (STREAM, b"x" * 65536),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"10000\r\n" + b"x" * 65536 + b"\r\n",
            ),
        ):
            with self.subTest(head):
                results: list[Any] = []
                self.http.send("GET", "/k", None).addCallback(results.append)
                connection = self.accept()
                connection.dataReceived(head)
                received_bytes = 0
                while not results and received_bytes < 2 * MAX_RESPONSE_BYTES:
                    connection.dataReceived(part)
                    received_bytes += len(part)
                self.assertLessEqual(received_bytes, MAX_RESPONSE_BYTES + 2 * len(part))
                self.assertEqual(Reason.BODY_TOO_LARGE, results[0].err_value.reason)
                self.assertTrue(connection.transport.aborted)

    def test_one_read_of_a_poll_takes_the_reactor_for_all_of_its_chunks(self) -> None:
        """Guards against a daemon that hangs on a store which sends tiny chunks."""
        sink = HttpResponseSink()
        self.http.open_stream("GET", "/-/kv-watch", None, sink)
        connection = self.accept()
        connection.dataReceived(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        connection.dataReceived(b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n")
        self.assertLessEqual(len(sink.received), MAX_CHUNKS_PER_READ)
        while connection.transport.producerState == "paused":
            run_turn(self.reactor)
        self.assertEqual(10_000, len(sink.received))

    def test_connection_is_reused(self) -> None:
        self.http.send("POST", "/v3/kv/range", {})
        connection = self.accept()
        self.assertEqual(0.5, self.reactor.tcpClients[0][3])
        for _ in range(2):
            connection.dataReceived(HEAD + b"{}")
            self.http.send("POST", "/v3/kv/txn", {})
        sent = connection.transport.take_written()
        self.assertIn(b"POST /v3/kv/txn HTTP/1.1\r\nHost: 127.0.0.1:2379\r\n", sent)
        self.assertEqual(1, len(self.reactor.tcpClients))

    def test_idle_connections_of_a_burst_are_closed(self) -> None:
        for _ in range(20):
            self.http.send("POST", "/v3/kv/range", {})
        connections = [self.accept(number) for number in range(20)]
        for connection in connections:
            connection.dataReceived(HEAD + b"{}")
        self.reactor.advance(MAX_IDLE_SECONDS / 2)
        self.http.send("POST", "/v3/kv/range", {})
        connections[-1].dataReceived(HEAD + b"{}")
        self.reactor.advance(MAX_IDLE_SECONDS * 0.75)
        self.http.send("POST", "/v3/kv/range", {})
        self.assertEqual([], self.http.pool.idle)
        self.assertEqual(20, len(self.reactor.tcpClients))

    def test_watch_ends_with_its_connection(self) -> None:
        ends = {
            "closed": (ConnectionDone(), "the response has ended"),
            "lost": (ConnectionLost(), "the answer was cut short"),
        }
        for name, (cause, reason) in ends.items():
            with self.subTest(name):
                self.setUp()
                connection = self.watch()
                connection.dataReceived(STREAM)
                connection.connectionLost(TwistedFailure(cause))
                self.assertEqual([reason], [c.reason for c in self.closed])

    def test_watch_ends_once(self) -> None:
        connection = self.watch()
        connection.dataReceived(STREAM + b'{"error": "no"}\n{"error": "again"}\n')
        connection.connectionLost(TwistedFailure(ConnectionDone()))
        self.reactor.advance(2 * SILENCE_TIMEOUT.total_seconds())
        self.assertEqual(["watch rejected: no"], [c.reason for c in self.closed])
