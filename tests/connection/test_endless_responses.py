"""Tests of servers that send bytes which are no response, without end.

The connection must be closed after a bounded number of bytes, with a bounded part of
them in memory, and the caller must get a failure at once.
"""

from __future__ import annotations

import unittest
from typing import Any

from twisted.internet.error import ConnectionAborted
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure as TwistedFailure

from briarslip.address import Address
from briarslip.connection.backend_pool import BackendPool
from briarslip.request.outcome import Outcome
from tests.connection.support import FakeSink
from tests.connection.support import FakeTransport
from tests.connection.support import call
from tests.connection.support import run_turn
from tests.connection.test_header_conventions import CONVENTIONS
from tests.connection.test_header_conventions import REQUEST_ID_LINE
from tests.connection.test_header_conventions import response


MAX_ACCEPTED_BYTES = 2 << 20
READ_BYTES = 64 << 10
OWN_HEAD = b"HTTP/1.1 200 X\r\nCall-Id: 77\r\nSigned: x\r\n"
OTHER_HEAD = b"HTTP/1.1 200 X\r\nCall-Id: 76\r\nSigned: x\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "no head": (b"", b"\x00\x01noise"),
    "header line": (OWN_HEAD, b"x"),
    "header lines": (OWN_HEAD, b"X-Y: 1\r\n"),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "interim responses with headers": (b"", b"HTTP/1.1 103 X\r\nA: b\r\n\r\n"),
    "chunk extension": (OWN_HEAD + CHUNKED + b"2;x=", b"y"),
    "trailers": (OWN_HEAD + CHUNKED + b"2\r\nok\r\n0\r\n", b"X: y\r\n"),
    "trailer line": (OWN_HEAD + CHUNKED + b"2\r\nok\r\n0\r\nX: ", b"y"),
    "other response without length": (OTHER_HEAD + b"\r\n", b"z"),
    "other response in chunks": (OTHER_HEAD + CHUNKED, b"3\r\nabc\r\n"),
    "other response, long": (OTHER_HEAD + b"Content-Length: 9999999\r\n\r\n", b"z"),
    "other responses": (b"", response(request_id=76)),
}


class EndlessResponseTest(unittest.TestCase):
    """A server that sends such bytes costs little and fails its request at once."""

    def setUp(self) -> None:
        self.reactor: Any = MemoryReactorClock()
        self.pool = BackendPool(
            self.reactor, Address("127.0.0.1", 8000), 10, conventions=CONVENTIONS
        )
        self.sink = FakeSink()
        self.pool(call(headers=REQUEST_ID_LINE), self.sink)
        self.connection = self.reactor.tcpClients[-1][2].buildProtocol(None)
        self.connection.makeConnection(FakeTransport())

    def feed(self, start: bytes, repeated: bytes) -> int:
        """Send bytes until the connection is aborted; return how many."""
        self.connection.dataReceived(start)
        data = repeated * (READ_BYTES // len(repeated))
        sent_bytes = 0
        while not self.connection.transport.aborted:
            if sent_bytes > MAX_ACCEPTED_BYTES:
                break
            self.connection.dataReceived(data)
            sent_bytes += len(data)
            while self.connection.transport.producerState == "paused":
                run_turn(self.reactor)
        return sent_bytes

    def test_connection_is_closed_and_the_request_fails(self) -> None:
        for name, (start, repeated) in ENDLESS.items():
            with self.subTest(name):
                self.setUp()
                self.assertLessEqual(self.feed(start, repeated), MAX_ACCEPTED_BYTES)
                self.assertLessEqual(len(self.connection.buffer), MAX_ACCEPTED_BYTES)
                self.connection.connectionLost(TwistedFailure(ConnectionAborted()))
                self.assertEqual(0, self.sink.ended)
                outcomes = [failure.outcome for failure in self.sink.failures]
                self.assertEqual([Outcome.UNKNOWN], outcomes)
                self.assertEqual(0, self.pool.in_flight)

    def test_few_interim_responses_are_skipped(self) -> None:
        interim = b"HTTP/1.1 100 Continue\r\n\r\n" * 3
        self.connection.dataReceived(interim + response())
        self.assertEqual((b"ok", 1), (self.sink.data, self.sink.ended))

    def test_late_copy_without_a_body_does_not_hide_the_response(self) -> None:
        late = b"HTTP/1.1 304 X\r\nCall-Id: 76\r\nContent-Length: 2\r\n\r\n"
        data = late + response()
        for number in range(len(data)):
            self.connection.dataReceived(data[number : number + 1])
        self.assertEqual((b"ok", 1), (self.sink.data, self.sink.ended))


if __name__ == "__main__":
    unittest.main()
