"""Tests of large requests while a daemon does not know the operators' limits."""

from __future__ import annotations

import json
import random
import unittest
from typing import Any

from twisted.internet.testing import MemoryReactorClock

from bench.fleet_clock import FleetClock
from briarslip.connection.caller_limits import UNKNOWN_LIMITS
from briarslip.platform.adapters import platform_adapters
from briarslip.platform.configuration import CONFIGURATION_KEY
from briarslip.platform.configuration import ConfigurationReader
from briarslip.platform.settings import read_settings
from briarslip.process.daemon import Daemon
from tests.connection.support import FakeTransport
from tests.platform.support import configuration
from tests.platform.support import item
from tests.platform.support import items
from tests.platform.support import settings


REQUEST = b"POST /puka111/x HTTP/1.1\r\nHost: jepu9.example\r\n"
LARGE_HEAD = REQUEST + b"X-A: " + b"x" * 40_000 + b"\r\n\r\n"
HUGE_HEAD = REQUEST + b"X-A: " + b"x" * UNKNOWN_LIMITS.head_bytes
HUGE_BODY = REQUEST + b"Content-Length: 2000000000\r\n\r\n"
HUGE_CHUNK = REQUEST + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
LIMITS = configuration()["limits"]


class UnknownLimitsTest(unittest.TestCase):
    """One daemon on the platform, which receives the bytes of callers."""

    def setUp(self) -> None:
        reactor: Any = MemoryReactorClock()
        rng = random.Random(1)
        file = read_settings(json.dumps(settings()).encode(), "s").unwrap()
        adapters = platform_adapters(file, reactor, rng)
        clock = FleetClock(reactor)
        self.daemon = Daemon(file.settings, reactor, clock, rng, adapters)
        self.reader = ConfigurationReader()

    def configure(self, version: int, limits: Any) -> None:
        """Put a configuration with these limits into force."""
        document = configuration(version=version, limits=limits)
        snapshot = self.reader(items(item(CONFIGURATION_KEY, document))).unwrap()
        assert snapshot is not None
        self.daemon.distribution._activate_newest(snapshot)

    def connect(self) -> Any:
        """Return the connection of a caller."""
        connection: Any = self.daemon.callers.buildProtocol(None)
        connection.makeConnection(FakeTransport())
        return connection

    def send(self, data: bytes) -> bytes:
        """Return the response to a request."""
        connection = self.connect()
        connection.dataReceived(data)
        written: bytes = connection.transport.take_written()
        return written

    def assert_not_run(self, response: bytes) -> None:
        self.assertEqual(b"503", response[9:12], response)
        self.assertIn(b"\r\nRetry-After: ", response)

    def test_large_request_before_the_first_configuration_is_too_large(self) -> None:
        for data in (LARGE_HEAD, HUGE_HEAD, HUGE_BODY):
            with self.subTest(data[-50:]):
                self.assert_not_run(self.send(data))

    def test_large_request_is_too_large_for_limits_that_can_not_be_read(self) -> None:
        unreadable: tuple[Any, ...] = (
            None,
            {},
            LIMITS | {"header-bytes": "65536"},
            LIMITS | {"max-body-bytes": 1 << 40},
        )
        for version, limits in enumerate(unreadable, 8):
            self.configure(version, limits)
            for data in (LARGE_HEAD, HUGE_HEAD, HUGE_BODY):
                with self.subTest(limits=limits, data=data[-50:]):
                    self.assert_not_run(self.send(data))

    def test_long_timeout_makes_the_limits_unreadable(self) -> None:
        """Guards against the default limits instead of the operators' larger ones."""
        sizes = {"header-bytes": 65536, "max-body-bytes": 0}
        times = {"header-timeout-ms": 900_000, "idle-timeout-ms": 1e7}
        self.configure(8, sizes | times)
        self.assert_not_run(self.send(LARGE_HEAD))
        too_large = REQUEST + b"Content-Length: 1\r\n\r\n"
        self.assertEqual(b"413", self.send(too_large)[9:12])

    def test_chunked_request_is_read_before_and_after_the_limits_are_known(
        self,
    ) -> None:
        connection = self.connect()
        connection.dataReceived(HUGE_CHUNK)
        self.configure(8, LIMITS | {"max-body-bytes": 1 << 20})
        connection.dataReceived(b"8\r\n12345678\r\n0\r\n\r\n")
        self.assert_not_run(connection.transport.take_written())

    def test_request_beyond_known_limits_is_too_large(self) -> None:
        self.configure(8, LIMITS)
        for data, status in ((LARGE_HEAD, b"431"), (HUGE_BODY, b"413")):
            response = self.send(data)
            self.assertEqual(status, response[9:12])
            self.assertNotIn(b"Retry-After", response)


if __name__ == "__main__":
    unittest.main()
