"""Tests of the size of a request's head, as it is compared with the limit."""

from __future__ import annotations

import unittest
from typing import Any

from briarslip.connection.caller_http import CallerHttpFactory
from briarslip.connection.caller_limits import CallerLimits
from tests.connection.support import FakeClock
from tests.connection.support import FakeTransport
from tests.connection.support import RecordingDispatch


LIMIT_BYTES = 1000
LIMITS = CallerLimits(head_bytes=LIMIT_BYTES)
HOST = b"Host: a\r\nX-A: "


class HeadSizeTest(unittest.TestCase):
    """A caller's connection on a fake transport."""

    def send(self, *pieces: bytes) -> bytes:
        """Return the status of the response, empty if the request is forwarded."""
        forwarded = RecordingDispatch()
        factory = CallerHttpFactory(FakeClock(), forwarded, lambda: LIMITS)
        connection: Any = factory.buildProtocol(None)
        connection.makeConnection(FakeTransport())
        for piece in pieces:
            connection.dataReceived(piece)
        status: bytes = connection.transport.take_written()[9:12]
        self.assertEqual(not status, bool(forwarded.calls))
        return status

    def test_head_within_the_limit_is_too_large_if_it_arrives_in_pieces(self) -> None:
        line = b"GET /a HTTP/1.1\r\n"
        value = b"x" * (LIMIT_BYTES - len(line + HOST + b"\r\n"))
        head = line + HOST + value + b"\r\n"
        self.assertEqual(LIMIT_BYTES, len(head))
        text = head + b"\r\n"
        for cut in range(1, len(text)):
            self.assertEqual(b"", self.send(text[:cut], text[cut:]), cut)

    def test_long_target_takes_bytes_of_the_headers(self) -> None:
        """Guards against 431 where operators limit the header fields alone."""
        line = b"GET /%b HTTP/1.1\r\n" % (b"a" * (LIMIT_BYTES - 20))
        fields = HOST + b"x" * (LIMIT_BYTES - len(HOST) - 2) + b"\r\n"
        text = line + fields + b"\r\n"
        for cut in (1, len(line) - 1, len(line), LIMIT_BYTES + 10, len(text) - 1):
            self.assertEqual(b"", self.send(text[:cut], text[cut:]), cut)

    def test_next_request_takes_bytes_of_the_headers(self) -> None:
        text = b"GET /a HTTP/1.1\r\n" + HOST + b"x" * 700 + b"\r\n\r\n"
        self.assertEqual(b"", self.send(text + text + text[:800]))

    def test_head_over_the_limit_is_received(self) -> None:
        line = b"GET /a HTTP/1.1\r\n"
        too_long = b"x" * (LIMIT_BYTES + 5)
        for text in (line + HOST + too_long, b"GET /" + too_long):
            for end in (b"", b" HTTP/1.1\r\nHost: a\r\n\r\n", b"\r\n\r\n"):
                self.assertEqual(b"431", self.send(text + end), end)


if __name__ == "__main__":
    unittest.main()
