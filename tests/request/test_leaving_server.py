"""Tests of requests to a server that has said in a response that it is leaving."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from bench.fleet_clock import FleetClock
from bench.fleet_clock import HeapClock
from briarslip.address import Address
from briarslip.process.announcements import Announcement
from briarslip.process.local_servers import LocalServers
from briarslip.request.call import Load
from briarslip.request.call import ResponseHead
from briarslip.request.call import ServerStatus
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from tests.request.support import ForwarderHarness
from tests.request.support import RecordingSink
from tests.request.support import SentCall
from tests.request.support import address
from tests.request.support import make_call
from tests.request.support import member
from tests.support.members import endpoint


if TYPE_CHECKING:
    from briarslip.process.membership.member import Member
    from briarslip.request.admission import Admission


STARTED_MS = 5
LEAVING = ServerStatus(leaving=True)


class DaemonBesideServerTest(unittest.TestCase):
    """The daemon beside the server stops its calls with the first such response."""

    def setUp(self) -> None:
        self.time = HeapClock()
        self.published: list[tuple[bool, ...]] = []
        self.servers = LocalServers(
            self.time,
            FleetClock(self.time),
            60.0,
            self.record_change,
            lambda service: frozenset(),
            lambda server, dispatch: dispatch,
        )
        self.report(1)

    def record_change(self) -> None:
        """Record which servers are published as draining."""
        self.published.append(tuple(e.draining for e in self.servers.endpoints))

    def report(
        self, sequence: int, incarnation: int = STARTED_MS, slots: int = 10
    ) -> None:
        """Receive a report of the server that it is ready."""
        announced = replace(endpoint("holds"), incarnation=incarnation, slots=slots)
        self.servers.receive(
            Announcement(
                announced, Address("127.0.0.1", 9000), "i", incarnation, sequence
            )
        )

    def admission(self) -> Admission | None:
        """Return the admission for new calls, None if the server gets none."""
        return self.servers.admission_for("holds", "1")

    def say_leaving(self) -> None:
        """Let the server say that it is leaving."""
        admission = self.admission()
        assert admission is not None
        admission.receive_status(LEAVING, make_call())

    def test_request_reaches_a_server_after_it_said_that_it_is_leaving(self) -> None:
        admission = self.admission()
        assert admission is not None
        admission.in_flight = admission.slots
        waiting = RecordingSink()
        admission(make_call(now=admission.clock.monotonic()), waiting)
        self.assertFalse(waiting.ended)
        self.say_leaving()
        self.assertIsNone(self.admission())
        assert waiting.failure is not None
        self.assertIs(Reason.DRAINING, waiting.failure.reason)
        self.assertIs(Outcome.NOT_RUN, waiting.failure.outcome)
        self.assertEqual((True,), self.published[-1])

    def test_server_that_reports_ready_after_it_said_so_gets_no_calls(self) -> None:
        self.say_leaving()
        for slots in (10, 11):
            self.report(2 + slots, slots=slots)
            self.assertIsNone(self.admission())
        self.assertEqual((True,), self.published[-1])

    def test_late_response_to_a_call_from_before_a_new_registration_counts(
        self,
    ) -> None:
        before = self.admission()
        assert before is not None
        self.report(2, slots=11)
        self.assertIsNotNone(self.admission())
        before.receive_status(LEAVING, make_call())
        self.assertIsNone(self.admission())

    def test_server_that_starts_anew_at_the_address_gets_calls(self) -> None:
        self.say_leaving()
        self.report(1, incarnation=STARTED_MS + 1)
        self.assertIsNotNone(self.admission())

    def test_response_tells_the_other_daemons_which_start_is_leaving(self) -> None:
        admission = self.admission()
        assert admission is not None
        sent: list[SentCall] = []

        def backend(call: object, sink: RecordingSink) -> object:
            sent.append(SentCall(address(0), make_call(), sink))
            return lambda: None

        admission.backend = backend  # type: ignore[assignment]  # a fake server
        sink = RecordingSink()
        admission(make_call(now=admission.clock.monotonic()), sink)
        head = ResponseHead(200, b"", Outcome.RAN, Load(0, 1), LEAVING)
        sent[0].sink.head(head)
        self.assertEqual(STARTED_MS, sink.heads[0].leaving_incarnation)


class CallersDaemonTest(unittest.TestCase):
    """A caller's daemon remembers a leaving server by itself.

    The daemon beside the server may have been restarted and know nothing of it.
    """

    def setUp(self) -> None:
        self.harness = ForwarderHarness(self.started(STARTED_MS))

    def started(self, incarnation: int) -> Member:
        """Return the member with a server that started then."""
        plain = member(1)
        endpoints = tuple(replace(e, incarnation=incarnation) for e in plain.endpoints)
        return replace(plain, endpoints=endpoints)

    def answer(self, leaving_incarnation: int) -> None:
        """Answer the last request that was sent."""
        sent = self.harness.sent[-1]
        load = Load(0, 10)
        sent.sink.head(
            ResponseHead(
                200,
                b"",
                Outcome.RAN,
                load,
                leaving_incarnation=leaving_incarnation,
            )
        )
        sent.sink.body(b"", True)

    def test_caller_sends_to_a_leaving_server_whose_daemon_was_restarted(self) -> None:
        self.harness.request("GET")
        self.answer(STARTED_MS)
        sink, _ = self.harness.request("GET")
        self.assertEqual(Failure(Outcome.NOT_RUN, Reason.NO_SERVER), sink.failure)
        self.harness.time.advance(600.0)
        self.harness.members = (self.started(STARTED_MS),)
        self.harness.request("GET")
        self.assertEqual(1, len(self.harness.sent))

    def test_next_start_of_the_server_gets_requests(self) -> None:
        self.harness.request("GET")
        self.answer(STARTED_MS)
        self.harness.time.advance(1.0)
        self.harness.members = (self.started(STARTED_MS + 1),)
        self.harness.request("GET")
        self.assertEqual(2, len(self.harness.sent))

    def test_late_response_of_an_earlier_start_stops_nothing(self) -> None:
        self.harness.members = (self.started(STARTED_MS + 1),)
        self.harness.request("GET")
        self.answer(STARTED_MS)
        self.harness.request("GET")
        self.assertEqual(2, len(self.harness.sent))


if __name__ == "__main__":
    unittest.main()
