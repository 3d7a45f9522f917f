"""Tests of empty lines that a caller sends before a request."""

from __future__ import annotations

import unittest
from typing import Any

from briarslip.connection.caller_http import SWEEP_SECONDS
from briarslip.connection.caller_http import CallerHttpFactory
from briarslip.connection.caller_limits import CallerLimits
from tests.connection.support import OK
from tests.connection.support import FakeClock
from tests.connection.support import FakeTransport
from tests.connection.support import RecordingDispatch


GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n\r\n\r\n"
CHUNKED = (
    b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\n\r\n\r\n\r\n0\r\n\r\n"
)
LIMITS = CallerLimits(head_bytes=len(CHUNKED), idle_timeout_seconds=5.0)


class EmptyLinesTest(unittest.TestCase):
    """A caller's connection on a fake transport."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.forwarded = RecordingDispatch()
        self.factory = CallerHttpFactory(
            self.clock, self.forwarded, lambda: LIMITS, may_repeat=lambda _: True
        )
        self.connection: Any = self.factory.buildProtocol(None)
        self.connection.makeConnection(FakeTransport())

    def bodies(self) -> list[bytes]:
        """Return the bodies of the forwarded requests."""
        return [request.body.to_bytes() for request, _ in self.forwarded.calls]

    def respond(self) -> None:
        """Respond to all requests, those forwarded meanwhile too."""
        for _, sink in self.forwarded.calls:
            sink.head(OK)
            sink.body(b"", True)

    def test_empty_lines_before_a_request_make_it_malformed(self) -> None:
        for empty in (b"\r\n", b"\r\n" * 2, b"\r\n" * 100):
            text = empty.join((b"", POST, CHUNKED, GET, GET, POST))
            for size in (1, 2, 3, len(text)):
                with self.subTest(empty=empty, size=size):
                    self.setUp()
                    for at in range(0, len(text), size):
                        self.connection.dataReceived(text[at : at + size])
                    self.respond()
                    expected = [b"\r\n\r\n", b"\r\n\r\n", b"", b"", b"\r\n\r\n"]
                    self.assertEqual(expected, self.bodies())
                    written = self.connection.transport.take_written()
                    self.assertEqual(5, written.count(b"HTTP/1.1 200 "))

    def test_empty_line_after_a_request_keeps_its_connection_open(self) -> None:
        """Guards against a connection that counts as reading, and gets 408."""
        self.connection.dataReceived(GET + b"\r\n")
        self.respond()
        self.clock.advance(3.0)
        self.connection.dataReceived(b"\r\n")
        self.assertIn(self.connection, self.factory.table.idle)
        self.connection.transport.clear()
        self.clock.advance(3.0)
        self.factory.startFactory()
        self.clock.advance(SWEEP_SECONDS)
        self.assertEqual(b"", self.connection.transport.take_written())
        self.assertTrue(self.connection.closed)


if __name__ == "__main__":
    unittest.main()
