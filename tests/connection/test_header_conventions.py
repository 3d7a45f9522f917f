"""Tests of header conventions, towards backend servers and callers."""

from __future__ import annotations

import time
import unittest
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure as TwistedFailure

from briarslip.address import Address
from briarslip.connection.backend_pool import BackendPool
from briarslip.connection.caller_http import CallerHttpFactory
from briarslip.connection.caller_limits import CallerLimits
from briarslip.connection.header_conventions import HeaderConventions
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from tests.connection.support import FakeClock
from tests.connection.support import FakeSink
from tests.connection.support import FakeTransport
from tests.connection.support import call


CONVENTIONS = HeaderConventions(
    deadline=b"Left-Ms",
    not_run=b"Untouched",
    not_run_statuses=frozenset((421,)),
    request_id=b"Call-Id",
    signature=b"Signed",
    expected_server=b"Only",
    caller_service=b"From",
    outcome=b"",
    retry_after_decimals=3,
)
REQUEST_ID_LINE = b"Call-Id: 77\r\n"
# Matching in linear time takes less than one thousandth of the limit for so many, in
# quadratic time several times the limit.
BLANKS = 100_000
MAX_CPU_SECONDS = 2.0


def response(
    status: int = 200, headers: bytes = b"Signed: x\r\n", request_id: int = 77
) -> bytes:
    """Return a complete response of a server."""
    head = b"HTTP/1.1 %d X\r\nCall-Id: %d\r\nContent-Length: 2\r\n" % (
        status,
        request_id,
    )
    return head + headers + b"\r\nok"


class HeaderValueTest(unittest.TestCase):
    """Values of single headers."""

    def test_blanks_inside_a_value_take_quadratic_time(self) -> None:
        """Guards against a daemon that hangs on a header of blanks."""
        value = b"a" + b" " * BLANKS + b"b"
        conventions = HeaderConventions(request_id=b"Call-Id", credentials=b"Key")
        started = time.thread_time()
        found = conventions.request_id_of(b"Call-Id: " + value + b"\r\n")
        _, key = conventions.split_credentials(b"Key: " + value + b"\r\n")
        self.assertEqual((value, value), (found, key))
        self.assertLess(time.thread_time() - started, MAX_CPU_SECONDS)


class BackendServerTest(unittest.TestCase):
    """Only a signed response to the request that was sent is forwarded."""

    def setUp(self) -> None:
        self.reactor: Any = MemoryReactorClock()
        self.pool = BackendPool(
            self.reactor, Address("127.0.0.1", 8000), 10, conventions=CONVENTIONS
        )

    def receive(self, data: bytes) -> tuple[FakeSink, Any]:
        """Send a request and receive some bytes."""
        sink = FakeSink()
        self.pool(call(headers=REQUEST_ID_LINE), sink)
        connection = self.reactor.tcpClients[-1][2].buildProtocol(None)
        connection.makeConnection(FakeTransport())
        connection.dataReceived(data)
        return sink, connection

    def test_response(self) -> None:
        sink, connection = self.receive(response())
        self.assertEqual(
            (b"ok", 1, Outcome.RAN), (sink.data, sink.ended, sink.heads[0].outcome)
        )
        self.assertIn(connection, self.pool.idle)

    def test_responses_that_mean_not_run(self) -> None:
        for data in (response(503, b"Untouched: 1\r\n"), response(421, b"")):
            self.setUp()
            sink, _ = self.receive(data)
            self.assertIs(Outcome.NOT_RUN, sink.heads[0].outcome)
        self.setUp()
        sink, _ = self.receive(response(503))
        self.assertIs(Outcome.RAN, sink.heads[0].outcome)

    def test_success_without_signature_is_rejected(self) -> None:
        sink, connection = self.receive(response(headers=b""))
        self.assertEqual([], sink.heads)
        self.assertTrue(connection.transport.aborted)
        connection.connectionLost(TwistedFailure(ConnectionLost()))
        self.assertIs(Outcome.UNKNOWN, sink.failures[0].outcome)

    def test_response_to_another_request_is_skipped(self) -> None:
        sink, connection = self.receive(response(request_id=76) + response())
        self.assertEqual((b"ok", 1), (sink.data, sink.ended))
        self.assertEqual(1, len(sink.heads))
        self.assertNotIn(connection, self.pool.idle)

    def test_only_a_response_to_another_request_is_a_failure(self) -> None:
        sink, connection = self.receive(response(request_id=76))
        self.assertEqual([], sink.heads)
        connection.connectionLost(TwistedFailure(ConnectionDone()))
        self.assertIs(Outcome.UNKNOWN, sink.failures[0].outcome)

    def test_second_response_ends_the_connection(self) -> None:
        sink, connection = self.receive(response() + response())
        self.assertEqual((b"ok", 1), (sink.data, sink.ended))
        self.assertNotIn(connection, self.pool.idle)
        late, connection = self.receive(response())
        connection.dataReceived(response())
        self.assertTrue(connection.transport.aborted)
        self.assertEqual(1, late.ended)

    def test_body_without_length_ends_with_its_connection(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nCall-Id: 77\r\nSigned: x\r\n\r\npart"
        sink, connection = self.receive(head)
        connection.connectionLost(TwistedFailure(ConnectionDone()))
        self.assertEqual((b"part", 1), (sink.data, sink.ended))
        sink, connection = self.receive(head)
        connection.connectionLost(TwistedFailure(ConnectionLost()))
        self.assertEqual((0, 1), (sink.ended, len(sink.failures)))


class CallerTest(unittest.TestCase):
    """Requests and responses of callers use the headers of the deployment."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.requests: list[Any] = []
        self.limits = CallerLimits(100, 50, 3.0, 15.0)
        self.factory = CallerHttpFactory(
            self.clock,
            self.forward,
            lambda: self.limits,
            CONVENTIONS,
            b"From: holds\r\n",
            lambda seconds: seconds or 0.25,
        )
        self.factory.startFactory()
        self.connection = self.factory.buildProtocol(None)
        self.connection.makeConnection(FakeTransport())

    def forward(self, request: Any, sink: Any) -> Any:
        """Record a request."""
        self.requests.append((request, sink))
        return lambda: None

    def test_request(self) -> None:
        head = (
            b"GET /a HTTP/1.1\r\nHost: H.x\r\nLeft-Ms: 1500\r\nOnly: i\r\nFrom: me\r\n"
        )
        self.connection.dataReceived(head + REQUEST_ID_LINE + b"\r\n")
        request, _ = self.requests[0]
        self.assertEqual(("h.x", 1.5), (request.host, request.timeout_seconds))
        self.assertIn(REQUEST_ID_LINE, request.headers)
        self.assertIn(b"From: holds\r\n", request.headers)
        for name in (b"Only", b"me\r\n", b"Left-Ms"):
            self.assertNotIn(name, request.headers)

    def test_absolute_form(self) -> None:
        self.connection.dataReceived(b"GET http://h.x/a?b HTTP/1.1\r\nHost: y\r\n\r\n")
        request, _ = self.requests[0]
        self.assertEqual(("h.x", "/a?b"), (request.host, request.target))

    def test_not_run_failure_has_retry_after(self) -> None:
        self.connection.dataReceived(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        for reason in (Reason.QUEUE_FULL, Reason.DEADLINE, Reason.NO_CONFIGURATION):
            self.requests[-1][1].failed(Failure(Outcome.NOT_RUN, reason), None)
            sent = self.connection.transport.take_written()
            self.assertTrue(sent.startswith(b"HTTP/1.1 503"), sent)
            self.assertIn(b"Retry-After: 0.250\r\n", sent)
            self.connection.dataReceived(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")

    def test_retry_after_of_a_limit_is_not_too_short(self) -> None:
        # A jittered or capped time would bring the caller back before it is admitted.
        for seconds, line in ((12.3456, b"12.346"), (0.01, b"0.010")):
            self.connection.dataReceived(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            failure = Failure(Outcome.NOT_RUN, Reason.QUOTA_EXCEEDED, seconds)
            self.requests[-1][1].failed(failure, None)
            sent = self.connection.transport.take_written()
            self.assertTrue(sent.startswith(b"HTTP/1.1 429 Too Many Requests\r\n"))
            self.assertIn(b"Retry-After: " + line + b"\r\n", sent)

    def test_unknown_outcome_has_no_retry_after(self) -> None:
        for reason, status in (
            (Reason.DEADLINE, b"504"),
            (Reason.CONNECTION_LOST, b"502"),
        ):
            self.connection.dataReceived(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            self.requests[-1][1].failed(Failure(Outcome.UNKNOWN, reason), None)
            sent = self.connection.transport.take_written()
            self.assertTrue(sent.startswith(b"HTTP/1.1 " + status), sent)
            self.assertNotIn(b"Retry-After", sent)

    def test_limits(self) -> None:
        self.connection.dataReceived(b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 100)
        self.assertIn(b" 431 ", self.connection.transport.take_written())
        self.setUp()
        self.connection.dataReceived(
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 51\r\n\r\n"
        )
        self.assertIn(b" 413 ", self.connection.transport.take_written())
        self.setUp()
        self.connection.dataReceived(b"GET /a HTTP/1.1\r\n")
        self.clock.pump([0.5] * 8)
        self.assertIn(b" 408 ", self.connection.transport.take_written())

    def test_idle_connections_are_closed_after_the_idle_timeout(self) -> None:
        self.clock.pump([0.5] * 25)
        self.assertFalse(self.connection.transport.disconnecting)
        self.clock.pump([0.5] * 8)
        self.assertTrue(self.connection.transport.disconnecting)


if __name__ == "__main__":
    unittest.main()
