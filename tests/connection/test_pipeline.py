"""Tests of requests that are sent before the previous one has been answered."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from typing import Any

from briarslip.connection.buffer_budget import BufferBudget
from briarslip.connection.caller_http import CallerHttpFactory
from briarslip.connection.pipeline import MAX_HELD_BYTES
from briarslip.connection.pipeline import MAX_PIPELINED
from briarslip.connection.pipeline import PipelinedResponse
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from tests.connection.support import OK
from tests.connection.support import FakeClock
from tests.connection.support import FakeTransport
from tests.connection.support import RecordingDispatch
from tests.connection.support import run_turn


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.call import ResponseSink
    from briarslip.request.forwarder import CallerRequest


READ_BYTES = 64 << 10
CAPACITY_BYTES = 2 << 20
MAX_REQUESTS_PER_READ = 9
MAX_REQUESTS_PER_TURN = 144


def get(target: str, *lines: str) -> bytes:
    """Return a request without a body."""
    head = "\r\n".join((f"GET {target} HTTP/1.1", "Host: a", *lines, "", ""))
    return head.encode()


class PipelineTest(unittest.TestCase):
    """A caller that sends several requests at once."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.forwarded = RecordingDispatch()
        self.factory = CallerHttpFactory(
            self.clock,
            self.forwarded,
            may_repeat=lambda head: head.target != b"/once",
        )
        self.connection: Any = self.factory.buildProtocol(None)
        self.transport = FakeTransport()
        self.connection.makeConnection(self.transport)

    def send(self, *requests: bytes) -> None:
        """Send requests in one piece."""
        self.connection.dataReceived(b"".join(requests))

    def targets(self) -> list[str]:
        """Return the targets of the forwarded requests."""
        return [request.target for request, _ in self.forwarded.calls]

    def respond(self, number: int, body: bytes) -> bytes:
        """Respond to a forwarded request; return what the caller receives."""
        sink = self.forwarded.calls[number][1]
        sink.head(OK)
        sink.body(body, True)
        return self.transport.take_written()

    def test_later_request_waits_for_the_response_before_it(self) -> None:
        self.send(get("/1"), get("/2"), get("/3"))
        self.assertEqual(["/1", "/2", "/3"], self.targets())
        self.assertEqual(b"", self.respond(1, b"second"))
        received = self.respond(0, b"first")
        self.assertLess(received.index(b"first"), received.index(b"second"))
        self.assertIn(b"third", self.respond(2, b"third"))
        self.assertEqual(0, self.factory.in_flight)

    def test_request_that_must_not_run_twice_is_forwarded_ahead(self) -> None:
        self.send(get("/1"), get("/once"), get("/3"))
        self.assertEqual(["/1"], self.targets())
        self.respond(0, b"first")
        self.assertEqual(["/1", "/once"], self.targets())
        self.respond(1, b"second")
        self.assertEqual(["/1", "/once", "/3"], self.targets())

    def test_one_read_takes_the_reactor_for_all_of_its_requests(self) -> None:
        """Guards against a daemon that hangs on requests that it rejects at once."""
        rejected: list[str] = []

        def reject(request: CallerRequest, sink: ResponseSink) -> Callable[[], None]:
            rejected.append(request.target)
            sink.failed(Failure(Outcome.NOT_RUN, Reason.NO_ROUTE), None)
            return lambda: None

        self.factory.forward = reject
        targets = [f"/{number}" for number in range(1000)]
        self.send(*map(get, targets))
        self.assertLessEqual(len(rejected), MAX_REQUESTS_PER_READ)
        self.assertEqual("paused", self.transport.producerState)
        while len(rejected) < len(targets):
            before = len(rejected)
            run_turn(self.clock)
            self.assertLessEqual(len(rejected) - before, MAX_REQUESTS_PER_TURN)
            self.assertGreater(len(rejected), before)
        run_turn(self.clock)
        self.assertEqual(targets, rejected)
        self.assertEqual(len(targets), self.transport.take_written().count(b" 404 "))
        self.assertEqual("producing", self.transport.producerState)

    def test_held_responses_of_many_connections_fill_the_memory(self) -> None:
        """Guards against responses that wait for their turn beside all budgets."""
        self.factory.budget = BufferBudget(self.clock, CAPACITY_BYTES)
        connections: list[Any] = []
        for _ in range(20):
            connections.append(self.factory.buildProtocol(None))
            connections[-1].makeConnection(FakeTransport())
            requests = [get(f"/{number}") for number in range(9)]
            connections[-1].dataReceived(b"".join(requests))
        held: list[Any] = [
            sink
            for _, sink in self.forwarded.calls
            if isinstance(sink, PipelinedResponse)
        ]
        self.assertGreater(len(held), 0)
        for sink in held:
            sink.head(OK)
            while not sink.exchange.flow.paused:
                sink.body(bytes(READ_BYTES), False)
        held_bytes = sum(sink.held_bytes for sink in held)
        self.assertLessEqual(held_bytes, CAPACITY_BYTES)
        self.assertLessEqual(self.factory.budget.used_bytes, CAPACITY_BYTES)

    def test_request_without_room_ahead_of_its_turn_is_lost(self) -> None:
        """Guards against requests that are never forwarded after a shortage."""
        self.factory.budget = BufferBudget(self.clock, CAPACITY_BYTES)
        shortage = self.factory.budget.open()
        shortage.resize(CAPACITY_BYTES // 2)
        self.send(get("/1"), get("/2"), get("/3"))
        self.assertEqual(["/1"], self.targets())
        self.assertIn(b"first", self.respond(0, b"first"))
        self.assertEqual(["/1", "/2"], self.targets())
        shortage.close()
        self.assertIn(b"second", self.respond(1, b"second"))
        self.assertIn(b"third", self.respond(2, b"third"))
        self.assertEqual(0, self.factory.budget.used_bytes)

    def test_one_connection_takes_any_number_of_slots(self) -> None:
        self.send(*(get(f"/{number}") for number in range(30)))
        self.assertEqual(1 + MAX_PIPELINED, len(self.forwarded.calls))
        for number in range(30):
            self.respond(number, b"x")
        self.assertEqual(0, self.factory.in_flight)

    def test_forwarded_request_is_cut_off_when_the_daemon_drains(self) -> None:
        self.send(get("/1"), get("/2"))
        self.factory.drain()
        first = self.respond(0, b"first")
        self.assertNotIn(b"Connection: close", first)
        self.assertIn(b"Connection: close", self.respond(1, b"second"))
        self.assertTrue(self.transport.disconnecting)

    def test_requests_behind_a_closing_one_are_forwarded(self) -> None:
        self.send(get("/1", "Connection: close"), get("/2"))
        self.assertEqual(["/1"], self.targets())
        self.assertIn(b"Connection: close", self.respond(0, b"first"))
        self.assertEqual(["/1"], self.targets())

    def test_lost_connection_leaves_requests_running(self) -> None:
        self.send(get("/1"), get("/2"))
        self.connection.connectionLost()
        self.assertEqual(2, len(self.forwarded.cancelled))
        self.assertEqual(0, self.factory.in_flight)

    def test_waiting_response_is_read_whole(self) -> None:
        self.send(get("/1"), get("/2"))
        request, sink = self.forwarded.calls[1]
        sink.head(OK)
        sink.body(bytes(MAX_HELD_BYTES), False)
        self.assertFalse(request.flow.paused)
        sink.body(b"x", False)
        self.assertTrue(request.flow.paused)
        self.respond(0, b"first")
        self.assertFalse(request.flow.paused)


if __name__ == "__main__":
    unittest.main()
