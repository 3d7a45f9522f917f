"""Tests of the digits of Content-Length."""

from __future__ import annotations

import unittest

from briarslip.connection.http_head import declared_length
from briarslip.connection.http_head import parse_request_head


HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %b\r\n"


class LengthDigitsTest(unittest.TestCase):
    """Heads of requests with a body by length."""

    def test_zeros_before_a_length_make_the_request_malformed(self) -> None:
        for digits in (b"5", b"0" * 15 + b"5", b"0" * 6000 + b"5"):
            self.assertEqual(5, parse_request_head(HEAD % digits).unwrap().length)
        self.assertEqual(0, parse_request_head(HEAD % (b"0" * 16)).unwrap().length)

    def test_zeros_before_the_length_of_a_response_raise(self) -> None:
        line = b"Content-Length: %b\r\n" % (b"0" * 6000 + b"5")
        self.assertEqual(5, declared_length(line))

    def test_length_that_is_no_number_is_accepted(self) -> None:
        for value in (b"", b"+5", b"-5", b"5.0", b"0x5", b"5 5", b"9" * 16, b"\xb2"):
            self.assertTrue(parse_request_head(HEAD % value).is_err(), value)


if __name__ == "__main__":
    unittest.main()
