"""Tests of the parsers of typed fields."""

from __future__ import annotations

import unittest

from briarslip.fields import address
from briarslip.fields import timestamp


class TimestampTest(unittest.TestCase):
    """Times with an offset from UTC."""

    def test_a_time_out_of_range_is_rejected(self) -> None:
        for value in ("0001-01-01T00:00:00+14:00", "9999-12-31T23:00:00-14:00"):
            self.assertIn("not an ISO 8601 time", timestamp(value).unwrap_err())


class AddressTest(unittest.TestCase):
    """An IP number and a port."""

    def test_an_invalid_port_is_rejected(self) -> None:
        for port in ("9" * 5000, "65536", "0", ""):
            self.assertIn("not a port", address(f"127.0.0.1:{port}").unwrap_err())
