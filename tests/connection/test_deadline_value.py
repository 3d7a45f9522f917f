"""Tests of the header in which a caller states how long it will wait."""

from __future__ import annotations

import unittest

from briarslip.connection.header_conventions import HeaderConventions
from briarslip.connection.http_head import parse_request_head


HEAD = b"GET /a HTTP/1.1\r\nHost: a\r\n"


class DeadlineValueTest(unittest.TestCase):
    """Heads of requests with one or several values."""

    def test_deadline_makes_the_request_malformed(self) -> None:
        longest = 10**15
        cases: tuple[tuple[int | None, list[bytes]], ...] = (
            (0, [b"0", b"0.9", b"000", b"+0"]),
            (12, [b"12.5", b"+12", b" \t12 ", b"12.", b"0" * 20 + b"12"]),
            (12, [b"12, 12", b"900,12.5", b"12, soon"]),
            (longest, [b"9223372036854775807", b"9" * 5000]),
            (None, [b"", b"soon", b"-", b"1e3", b"12 ms", b".", b"+", b"0x1f", b"inf"]),
        )
        for expected, values in cases:
            for value in values:
                with self.subTest(value):
                    head = HEAD + b"Briarslip-Deadline-Ms:%b\r\n" % value
                    parsed = parse_request_head(head).unwrap()
                    self.assertEqual(expected, parsed.timeout_ms)
                    self.assertNotIn(b"Deadline", parsed.headers)

    def test_repeated_deadline_makes_the_request_malformed(self) -> None:
        line = b"left-ms: %b\r\n"
        conventions = HeaderConventions(deadline=b"Left-Ms")
        for first, second, expected in (
            (b"12", b"12", 12),
            (b"900", b"12", 12),
            (b"x", b"12", 12),
        ):
            with self.subTest(first):
                head = HEAD + line % first + line % second
                parsed = parse_request_head(head, conventions).unwrap()
                self.assertEqual(expected, parsed.timeout_ms)


if __name__ == "__main__":
    unittest.main()
