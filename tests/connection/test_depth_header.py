"""Tests of the header with the depth of a nested request."""

from __future__ import annotations

import unittest

from briarslip.connection.http_head import parse_request_head


HEAD = b"GET /a HTTP/1.1\r\nHost: a\r\n"
LINE = b"Briarslip-Depth:%b\r\n"


class DepthHeaderTest(unittest.TestCase):
    """Heads with lines that a server copied from the request that it serves."""

    def test_depth_makes_the_request_malformed(self) -> None:
        cases: tuple[tuple[int, tuple[bytes, ...]], ...] = (
            (2, (b"2",)),
            (2, (b"2", b"2")),
            (3, (b" 2", b"3 ")),
            (3, (b"2, 3",)),
            (2, (b"2", b"x")),
            (0, (b"",)),
            (0, (b"-1",)),
            (0, (b"9" * 5000,)),
        )
        for depth, values in cases:
            with self.subTest(values[0][:9]):
                lines = b"".join(LINE % value for value in values)
                parsed = parse_request_head(HEAD + lines).unwrap()
                self.assertEqual(
                    (depth, b"Host: a\r\n"), (parsed.depth, parsed.headers)
                )


if __name__ == "__main__":
    unittest.main()
