"""Tests of servers that send many heads before the response."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from twisted.internet.testing import MemoryReactorClock

from briarslip.address import Address
from briarslip.connection.backend_pool import BackendPool
from briarslip.connection.http_head import parse_response_head
from tests.connection.support import FakeSink
from tests.connection.support import FakeTransport
from tests.connection.support import call
from tests.connection.support import run_turn
from tests.connection.test_header_conventions import CONVENTIONS
from tests.connection.test_header_conventions import REQUEST_ID_LINE
from tests.connection.test_header_conventions import response


READ_BYTES = 64 << 10
INTERIM = b"HTTP/1.1 100 X\r\n\r\n"
OTHER = b"HTTP/1.1 204 X\r\nCall-Id: 1\r\nSigned: x\r\n\r\n"
MAX_HEADS_PER_READ = 16


class ManyHeadsTest(unittest.TestCase):
    """A connection whose reads hold thousands of heads."""

    def setUp(self) -> None:
        self.reactor: Any = MemoryReactorClock()
        self.pool = BackendPool(
            self.reactor, Address("127.0.0.1", 8000), 10, conventions=CONVENTIONS
        )
        self.sink = FakeSink()
        self.pool(call(headers=REQUEST_ID_LINE), self.sink)
        self.connection = self.reactor.tcpClients[-1][2].buildProtocol(None)
        self.connection.makeConnection(FakeTransport())
        self.parse = self.enterContext(
            mock.patch(
                "briarslip.connection.backend_connection.parse_response_head",
                wraps=parse_response_head,
            )
        )

    def test_one_read_takes_the_reactor_for_all_of_its_heads(self) -> None:
        """Guards against a daemon that hangs on interim responses without end."""
        for head in (INTERIM, OTHER):
            with self.subTest(head):
                self.setUp()
                self.connection.dataReceived(head * (READ_BYTES // len(head)))
                self.assertLessEqual(self.parse.call_count, MAX_HEADS_PER_READ)

    def test_response_behind_many_heads_is_lost(self) -> None:
        """Guards against the loss of what is processed in later turns."""
        self.connection.dataReceived(INTERIM * 100 + OTHER * 50 + response())
        for _ in range(50):
            run_turn(self.reactor)
        self.assertEqual((b"ok", 1), (self.sink.data, self.sink.ended))


if __name__ == "__main__":
    unittest.main()
