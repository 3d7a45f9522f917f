"""Tests of responses that a faulty server repeats or breaks off."""

from __future__ import annotations

import unittest
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure as TwistedFailure

from briarslip.address import Address
from briarslip.connection.backend_pool import BackendPool
from briarslip.platform.header_conventions import PLATFORM_CONVENTIONS
from briarslip.request.outcome import Outcome
from tests.connection.support import FakeSink
from tests.connection.support import FakeTransport
from tests.connection.support import LinkPair
from tests.connection.support import call


FRAMINGS = (b"Content-Length: 5\r\n", b"Transfer-Encoding: chunked\r\n", b"")
FIRST, SECOND = b"aaaa1111", b"bbbb2222"


def refusal(request_id: bytes) -> bytes:
    """Return the response of a server that did not run a request."""
    return (
        b"HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + request_id + b"\r\n"
        b"Not-Executed: full\r\nServer-Signature: s\r\nContent-Length: 4\r\n\r\nfull"
    )


def success(request_id: bytes, framing: bytes = b"Content-Length: 5\r\n") -> bytes:
    """Return a server's response to a request that it ran."""
    return (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: " + request_id + b"\r\n"
        b"Server-Signature: s\r\n" + framing + b"\r\nwhole"
    )


class FaultyServerCase(unittest.TestCase):
    """A pool of connections to a server that the test plays."""

    def setUp(self) -> None:
        self.open_pool()

    def open_pool(self) -> None:
        """Start with a pool without connections."""
        self.reactor: Any = MemoryReactorClock()
        self.pool = BackendPool(
            self.reactor,
            Address("127.0.0.1", 8000),
            10,
            conventions=PLATFORM_CONVENTIONS,
        )
        self.opened: list[Any] = []

    def send(self, request_id: bytes) -> tuple[FakeSink, Any]:
        """Send a call that may not be repeated; return its connection too."""
        sink = FakeSink()
        headers = b"Attempt-Id: " + request_id + b"\r\n"
        self.pool(call(body=b"x", headers=headers), sink)
        if len(self.reactor.tcpClients) > len(self.opened):
            connection = self.reactor.tcpClients[-1][2].buildProtocol(None)
            self.opened.append(connection)
            connection.makeConnection(FakeTransport())
        return sink, self.opened[-1]

    def lose(self, connection: Any, reset: bool = False) -> None:
        """Let the connection end by the server's close or by a reset."""
        error = ConnectionLost() if reset else ConnectionDone()
        connection.connectionLost(TwistedFailure(error))


class RepeatedResponseTest(FaultyServerCase):
    """An earlier response is written once more on a kept connection."""

    def outcome_of_second(self, earlier: bytes, parts: list[bytes]) -> FakeSink:
        """Get the first response, then these bytes as the server's next ones.

        Empty bytes stand for the moment when the second request is sent.
        """
        self.open_pool()
        _, connection = self.send(FIRST)
        connection.dataReceived(earlier)
        sink = FakeSink()
        for part in parts:
            if not part:
                sink, used = self.send(SECOND)
                if used is not connection:
                    # The first connection was given up: no byte of it counts.
                    used.dataReceived(success(SECOND))
                    return sink
            elif not connection.transport.aborted:
                connection.dataReceived(part)
        if not sink.ended and not sink.failures:
            self.lose(connection)
        return sink

    def test_repeated_refusal_is_taken_for_the_response_to_the_next_request(
        self,
    ) -> None:
        for earlier in (refusal(FIRST), success(FIRST)):
            for split in range(len(earlier) + 1):
                before, after = earlier[:split], earlier[split:]
                parts = [before] if before else []
                parts += [b"", *([after] if after else []), success(SECOND)]
                with self.subTest(split=split, earlier=earlier[:12]):
                    sink = self.outcome_of_second(earlier, parts)
                    self.assert_own_response_or_unknown(sink)

    def test_refusal_is_repeated_before_or_after_the_server_runs_the_next_request(
        self,
    ) -> None:
        for earlier in (refusal(FIRST), success(FIRST)):
            for parts in (
                [b"", earlier + success(SECOND)],
                [b"", earlier, success(SECOND)],
                [b"", earlier],
                [b"", earlier * 3 + success(SECOND)],
                [b"", success(SECOND) + earlier],
            ):
                with self.subTest(parts=len(parts), earlier=earlier[:12]):
                    sink = self.outcome_of_second(earlier, parts)
                    self.assert_own_response_or_unknown(sink)

    def test_refusal_without_an_id_is_no_response(self) -> None:
        anonymous = refusal(FIRST).replace(b"Attempt-Id: aaaa1111\r\n", b"")
        sink = self.outcome_of_second(refusal(FIRST), [b"", anonymous, success(SECOND)])
        self.assert_own_response_or_unknown(sink)

    def assert_own_response_or_unknown(self, sink: FakeSink) -> None:
        """Check that the caller is not told that the second request was not run."""
        if sink.failures:
            self.assertIs(Outcome.UNKNOWN, sink.failures[0].outcome)
            return
        self.assertEqual([Outcome.RAN], [head.outcome for head in sink.heads])
        self.assertEqual((b"whole", 1), (sink.data, sink.ended))


class BrokenOffHeadTest(FaultyServerCase):
    """A server stops in the middle of its response and closes the connection."""

    def test_response_broken_off_in_its_head_is_complete_for_the_caller(self) -> None:
        for framing in (
            b"Content-Length: 5\r\n",
            b"",
            b"Transfer-Encoding: chunked\r\n",
        ):
            response = success(FIRST, framing)
            head_length = response.index(b"\r\n\r\n") + 4
            for reset in (False, True):
                for length in range(head_length):
                    with self.subTest(framing=framing, length=length, reset=reset):
                        self.open_pool()
                        sink, connection = self.send(FIRST)
                        connection.dataReceived(response[:length])
                        self.lose(connection, reset)
                        self.assertEqual(([], 0), (sink.heads, sink.ended))
                        self.assertIs(Outcome.UNKNOWN, sink.failures[0].outcome)

    def test_broken_off_body_is_complete_only_without_a_length_and_after_a_close(
        self,
    ) -> None:
        response = success(FIRST)
        for length in range(response.index(b"\r\n\r\n") + 4, len(response)):
            for reset in (False, True):
                with self.subTest(length=length, reset=reset):
                    self.open_pool()
                    sink, connection = self.send(FIRST)
                    connection.dataReceived(response[:length])
                    self.lose(connection, reset)
                    self.assertEqual((0, 1), (sink.ended, len(sink.failures)))
        self.open_pool()
        sink, connection = self.send(FIRST)
        connection.dataReceived(success(FIRST, b""))
        self.lose(connection, reset=True)
        self.assertEqual((0, 1), (sink.ended, len(sink.failures)))

    def test_broken_off_response_is_complete_at_the_other_end_of_a_peer_link(
        self,
    ) -> None:
        response = success(FIRST)
        for length in range(len(response)):
            with self.subTest(length=length):
                self.open_pool()
                pair = LinkPair()
                sink = FakeSink()
                pair.opener.open_stream(call(headers=b"Attempt-Id: aaaa1111\r\n"), sink)
                pair.deliver()
                received, stream = pair.dispatched.calls[0]
                self.pool(received, stream)
                connection = self.reactor.tcpClients[-1][2].buildProtocol(None)
                connection.makeConnection(FakeTransport())
                connection.dataReceived(response[:length])
                self.lose(connection)
                pair.deliver()
                self.assertEqual((0, 1), (sink.ended, len(sink.failures)))
                self.assertIs(Outcome.UNKNOWN, sink.failures[0].outcome)


if __name__ == "__main__":
    unittest.main()
