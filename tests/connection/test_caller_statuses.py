"""Tests of the statuses that callers get for proper requests which servers refuse."""

from __future__ import annotations

import re
import unittest
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.error import ConnectionAborted
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure as TwistedFailure

from briarslip.address import Address
from briarslip.connection.backend_pool import BackendPool
from briarslip.connection.caller_http import CallerHttpFactory
from briarslip.connection.header_conventions import DEFAULT_CONVENTIONS
from briarslip.platform.header_conventions import PLATFORM_CONVENTIONS
from briarslip.request.claim import AlreadyForwarded
from briarslip.request.claim import KeyMismatch
from briarslip.request.claim import StoreUnavailable
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from tests.connection.support import FakeClock
from tests.connection.support import FakeTransport
from tests.request.support import ForwarderHarness
from tests.request.support import SentCall
from tests.request.support import member


if TYPE_CHECKING:
    from briarslip.connection.header_conventions import HeaderConventions


SIGNED = b"Server-Signature: s\r\n"
SIGNATURE = re.compile(rb"\r\nServer-Signature:[^\r\n]*[^\r\n \t]")
# 421 says by itself that the request was not run.
UNSIGNED_STATUSES = (200, 204, 301, 304, 400, 401, 404, 409, 413, 422, 500, 503, 504)


def response(status: int, headers: bytes = b"") -> bytes:
    """Return a server's response to the request of these tests."""
    return (
        b"HTTP/1.1 %d X\r\nAttempt-Id: aaaa1111\r\n" % status
        + headers
        + b"Content-Length: 0\r\n\r\n"
    )


class CallerStatusCase(unittest.TestCase):
    """A daemon between a caller and two servers that the test plays."""

    conventions: HeaderConventions = PLATFORM_CONVENTIONS

    def setUp(self) -> None:
        self.harness = ForwarderHarness(member(1), member(2))

    def send(self, method: bytes, *responses: bytes) -> tuple[int, int, bytes]:
        """Return status, attempts and response if the attempts are answered so."""
        reactor: Any = MemoryReactorClock()
        pool = BackendPool(
            reactor, Address("127.0.0.1", 8000), 10, conventions=self.conventions
        )
        remaining = list(responses)

        def respond(sent: SentCall) -> None:
            pool(sent.call, sent.sink)
            connection = reactor.tcpClients[-1][2].buildProtocol(None)
            connection.makeConnection(FakeTransport())
            connection.dataReceived(remaining.pop(0))
            connection.connectionLost(TwistedFailure(ConnectionAborted()))

        # Earlier requests would have used up the tokens for retries.
        self.setUp()
        self.harness.on_send = respond
        return self.request(method)

    def request(self, method: bytes, headers: bytes = b"") -> tuple[int, int, bytes]:
        """Send a request; return status, number of attempts and response."""
        factory = CallerHttpFactory(
            FakeClock(), self.harness.forwarder, conventions=self.conventions
        )
        caller: Any = factory.buildProtocol(None)
        caller.makeConnection(FakeTransport())
        head = b" /x HTTP/1.1\r\nHost: a\r\nAttempt-Id: aaaa1111\r\n"
        caller.dataReceived(method + head + headers + b"\r\n")
        written = caller.transport.take_written()
        return int(written.split()[1]), len(self.harness.sent), written


class UnsignedResponseTest(CallerStatusCase):
    """The response to a request does not have the server's signature."""

    def test_unsigned_response_reaches_the_caller(self) -> None:
        for status in UNSIGNED_STATUSES:
            with self.subTest(status=status):
                self.assertEqual((502, 1), self.send(b"POST", response(status))[:2])

    def test_unsigned_response_ends_a_request_that_may_be_repeated(self) -> None:
        for status in UNSIGNED_STATUSES:
            answers = (response(status), response(200, SIGNED))
            with self.subTest(status=status):
                self.assertEqual((200, 2), self.send(b"GET", *answers)[:2])

    def test_interim_response_or_one_to_another_request_ends_the_request(self) -> None:
        other = response(404, SIGNED).replace(b"aaaa1111", b"bbbb2222")
        for earlier in (response(100), response(103), response(199), other, other * 3):
            with self.subTest(earlier=earlier):
                got = self.send(b"POST", earlier + response(200, SIGNED))
                self.assertEqual((200, 1), got[:2])
                self.assertEqual((502, 1), self.send(b"POST", earlier)[:2])
        self.assertEqual((502, 1), self.send(b"POST", response(101, SIGNED))[:2])

    def test_signed_response_is_discarded(self) -> None:
        for status in UNSIGNED_STATUSES:
            with self.subTest(status=status):
                got, attempts, written = self.send(b"POST", response(status, SIGNED))
                self.assertEqual((status, 1), (got, attempts))
                self.assertIn(SIGNED, written)


class SpoiledSignatureTest(CallerStatusCase):
    """The signature of a response is spoiled or marked as one for this hop."""

    def test_caller_gets_a_response_whose_signature_is_lost_on_the_way(self) -> None:
        for options in (b"Server-Signature", b"close, x, server-signature"):
            headers = b"Connection: " + options + b"\r\n" + SIGNED
            got, _, written = self.send(b"POST", response(404, headers))
            self.assertEqual(404, got)
            self.assertIn(SIGNED, written)

    def test_empty_signature_is_taken_for_one(self) -> None:
        for headers in (b"Server-Signature:\r\n", b"Server-Signature: \t\r\n"):
            self.assertEqual(502, self.send(b"POST", response(404, headers))[0])

    def test_spoiled_head_becomes_a_status_of_the_daemon(self) -> None:
        whole = response(404, SIGNED)
        for position in range(len(whole)):
            for byte in (b"", b"\0", b"\n", b"\r", b" ", b":", b"9", b"\xff"):
                spoiled = whole[:position] + byte + whole[position + 1 :]
                with self.subTest(spoiled=spoiled):
                    got, _, written = self.send(b"POST", spoiled)
                    self.assertTrue(got == 502 or SIGNATURE.search(written), written)


class RefusedRequestTest(CallerStatusCase):
    """The servers did not run the request, and it is not sent to another one."""

    def refuse(self, status: int, headers: bytes, method: bytes = b"POST") -> bytes:
        """Return what the caller gets if both servers refuse with a status."""
        refusal = response(status, b"Not-Executed: x\r\n" + headers)
        got, attempts, written = self.send(method, refusal, refusal)
        self.assertEqual((503, 2), (got, attempts))
        return written

    def test_refusal_tells_the_caller_that_its_request_is_wrong(self) -> None:
        for status in (301, 304, 400, 401, 404, 413, 421, 500, 502, 504):
            for headers in (b"", SIGNED):
                with self.subTest(status=status, headers=headers):
                    self.assertIn(b"\r\nRetry-After: ", self.refuse(status, headers))

    def test_wrong_server_without_a_header_is_told_to_the_caller(self) -> None:
        got = self.send(b"POST", response(421), response(421))
        self.assertEqual((503, 2), got[:2])

    def test_refusal_hides_when_the_server_accepts_requests_again(self) -> None:
        for value in (b"7", b"0.125"):
            written = self.refuse(400, b"Retry-After: " + value + b"\r\n")
            self.assertIn(b"\r\nRetry-After: %.3f\r\n" % float(value), written)
        for value in (b"-1", b"soon", b"Sun, 06 Dec 2026 21:00:00 GMT", b"9" * 30):
            written = self.refuse(400, b"Retry-After: " + value + b"\r\n")
            self.assertNotIn(value, written)

    def test_full_server_loses_what_it_says(self) -> None:
        for status in (429, 503):
            refusal = response(status, b"Not-Executed: x\r\nRetry-After: 7\r\n")
            got, attempts, written = self.send(b"POST", refusal, refusal)
            self.assertEqual((status, 2), (got, attempts))
            self.assertIn(b"Not-Executed: x\r\nRetry-After: 7\r\n", written)


class RefusedRepetitionTest(CallerStatusCase):
    """A request may have run at one server, and another one refuses its repetition."""

    def test_request_that_may_have_run_is_answered_as_not_run(self) -> None:
        for status in (400, 421, 429, 503):
            refusal = response(status, b"Not-Executed: x\r\nRetry-After: 7\r\n")
            with self.subTest(status=status):
                got, attempts, written = self.send(b"GET", response(200), refusal)
                self.assertEqual((502, 2), (got, attempts))
                self.assertNotIn(b"Not-Executed", written)
                self.assertNotIn(b"Retry-After", written)


class VerdictTest(CallerStatusCase):
    """Only the first daemon may say that a request is wrong."""

    def test_daemon_of_another_version_judges_the_request(self) -> None:
        # A busy server ends no request: the call goes to another one.
        for reason in set(Reason) - {Reason.SERVER_BUSY}:
            for outcome in Outcome:
                self.setUp()
                self.harness.fail_all(Failure(outcome, reason))
                not_run = 429 if reason is Reason.QUOTA_EXCEEDED else 503
                expected = (not_run,) if outcome is Outcome.NOT_RUN else (502, 504)
                with self.subTest(reason=reason, outcome=outcome):
                    self.assertIn(self.request(b"POST")[0], expected)

    def test_claim_denies_a_request_of_a_route_without_claims(self) -> None:
        for decision in (AlreadyForwarded(), KeyMismatch(), StoreUnavailable()):
            self.harness.claims.decision = decision
            self.harness.on_send = lambda sent: sent.answer()
            status, _, _ = self.request(b"POST", b"Idempotency-Key: k\r\n")
            self.assertEqual(200, status)


class ConventionsWithoutSignatureTest(CallerStatusCase):
    """Servers of a deployment without signatures need not sign."""

    conventions = DEFAULT_CONVENTIONS

    def test_response_is_discarded_where_servers_do_not_sign(self) -> None:
        for status in UNSIGNED_STATUSES:
            with self.subTest(status=status):
                self.assertEqual((status, 1), self.send(b"GET", response(status))[:2])


if __name__ == "__main__":
    unittest.main()
