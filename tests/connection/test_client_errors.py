"""Tests of the count and the log of requests that are ended with 3xx or 4xx."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from briarslip.connection import client_errors
from briarslip.connection.caller_http import CallerHttpFactory
from briarslip.connection.client_errors import ClientErrors
from briarslip.connection.client_errors import ConfigurationState
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from tests.connection.support import FakeClock
from tests.connection.support import FakeTransport
from tests.connection.support import RecordingDispatch


GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"


class ClientErrorsTest(unittest.TestCase):
    """Requests that a caller's connection ends with a status of its own."""

    def setUp(self) -> None:
        self.forwarded = RecordingDispatch()
        self.errors = ClientErrors(lambda: ConfigurationState(7, 2.5, 3))
        self.factory = CallerHttpFactory(
            FakeClock(), self.forwarded, client_errors=self.errors
        )
        self.connection: Any = self.factory.buildProtocol(None)
        self.connection.makeConnection(FakeTransport())
        patcher = mock.patch.object(client_errors, "emit")
        self.emit = patcher.start()
        self.addCleanup(patcher.stop)

    def logged(self) -> tuple[str, int, float, int, int]:
        """Return the line and the state in the only event."""
        self.emit.assert_called_once()
        fields = self.emit.call_args.kwargs
        return (
            fields["line"],
            fields["configuration"],
            fields["age_s"],
            fields["copy"],
            fields["earlier_requests"],
        )

    def test_second_request_without_a_route(self) -> None:
        for reason in (Reason.SHED, Reason.NO_ROUTE):
            self.connection.dataReceived(GET)
            sink = self.forwarded.calls[-1][1]
            sink.failed(Failure(Outcome.NOT_RUN, reason), None)
        self.assertEqual({(404, "no route matches"): 1}, self.errors.counts)
        self.assertEqual(("GET /a", 7, 2.5, 3, 1), self.logged())

    def test_request_that_is_misread(self) -> None:
        self.connection.dataReceived(b"GET /a b HTTP/1.1\r\nX: secret\r\n\r\n")
        self.assertEqual({(400, "the head is malformed"): 1}, self.errors.counts)
        self.assertEqual(("GET /a b HTTP/1.1", 7, 2.5, 3, 0), self.logged())

    def test_request_that_took_too_long_is_only_counted(self) -> None:
        self.connection.dataReceived(GET[:5])
        self.connection.reject(408, "the request took too long")
        self.assertEqual({(408, "the request took too long"): 1}, self.errors.counts)
        self.emit.assert_not_called()


if __name__ == "__main__":
    unittest.main()
