"""Tests of the headers in which backend servers state their own condition."""

from __future__ import annotations

import unittest

from result import Err
from result import Ok

from briarslip.connection.http_head import parse_response_head
from briarslip.platform.header_conventions import PLATFORM_CONVENTIONS
from briarslip.request.call import ServerStatus


def parse(*lines: bytes) -> object:
    """Return the status, or the kind of error, of a response with header lines."""
    head = b"HTTP/1.1 200 OK\r\n" + b"".join(line + b"\r\n" for line in lines)
    status = parse_response_head(head, PLATFORM_CONVENTIONS).unwrap().server_status
    return Err if isinstance(status, Err) else status


class ServerStatusTest(unittest.TestCase):
    """The limit of requests a second: readable, absent, given twice, malformed."""

    def test_limit_is_read_with_its_fraction(self) -> None:
        self.assertEqual(Ok(ServerStatus(21.25)), parse(b"Server-Limit: 21.25"))
        self.assertEqual(Ok(ServerStatus(0.0)), parse(b"server-limit: 0"))
        self.assertEqual(Ok(ServerStatus(1e300)), parse(b"Server-Limit: 1e300"))

    def test_response_without_a_limit_states_none(self) -> None:
        self.assertEqual(Ok(ServerStatus()), parse(b"Content-Length: 0"))

    def test_lowest_of_several_limits_counts(self) -> None:
        lines = (b"Server-Limit: 50", b"Server-Limit: 5")
        self.assertEqual(Ok(ServerStatus(5.0)), parse(*lines))

    def test_limit_that_is_no_number_of_requests_is_unreadable(self) -> None:
        for value in (b"-1", b"nan", b"inf", b"", b"ten", b"5, 6", b"0x10"):
            with self.subTest(value=value):
                self.assertIs(Err, parse(b"Server-Limit: " + value))


if __name__ == "__main__":
    unittest.main()
