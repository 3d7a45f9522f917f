"""Tests of requests that a daemon itself ends as wrong although they are proper."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

from result import Ok

from briarslip.connection.caller_limits import CallerLimits
from briarslip.connection.header_conventions import DEFAULT_CONVENTIONS
from briarslip.connection.request_reader import RequestReader
from briarslip.request.claim import MAX_KEY_BYTES
from tests.request.support import ROUTE
from tests.request.support import ForwarderHarness
from tests.request.support import member


class OwnVerdictTest(unittest.TestCase):
    """Each test guards against a 4xx of the daemon's own."""

    def test_long_key_is_wrong_on_a_route_without_claims(self) -> None:
        """Nothing reads the key there, and callers may send any header."""
        harness = ForwarderHarness(member(1), route=replace(ROUTE, claims="none"))
        for size in (MAX_KEY_BYTES, MAX_KEY_BYTES + 1, 4096):
            with self.subTest(size=size):
                key = b"Idempotency-Key: %b\r\n" % (b"k" * size)
                sink, _ = harness.request(headers=key)
                self.assertIsNone(sink.failure)

    def test_head_is_too_large_after_the_limit_was_lowered_meanwhile(self) -> None:
        """A body that is half received may keep to the old limit, a head may not."""
        reader: Any = RequestReader()
        text = b"GET /a HTTP/1.1\r\nHost: a\r\nX-A: " + b"x" * 700 + b"\r\n\r\n"
        reader.add(text[:600])
        read = reader.read(CallerLimits(head_bytes=1000), DEFAULT_CONVENTIONS)
        self.assertEqual(Ok(None), read)
        reader.add(text[600:])
        read = reader.read(CallerLimits(head_bytes=500), DEFAULT_CONVENTIONS)
        self.assertIsInstance(read, Ok, read)


if __name__ == "__main__":
    unittest.main()
