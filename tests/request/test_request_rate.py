"""Tests of the limit of requests a second that a backend server states."""

from __future__ import annotations

import unittest

from briarslip.process.local_server import MAX_FIRST_CALLS
from briarslip.request.call import ServerStatus
from briarslip.request.outcome import Outcome
from briarslip.request.request_rate import RequestRate
from tests.request.limited_fleet import SLOTS
from tests.request.limited_fleet import LimitedFleet
from tests.request.limited_fleet import allowed_requests
from tests.request.support import RecordingSink
from tests.request.support import make_call


# The users' contact-ms: from then on the rule counts.
CONTACT_SECONDS = 3.0
STATED_AT = 2.0
ENDS_AT = 14.0
FLEET_SIZES = (16, 66, 196, 600)
# Least share of the limit that is used while requests exceed it.
MIN_USE = 0.85


class RequestRateLimitTest(unittest.TestCase):
    """Many daemons send to one server that states a limit of requests a second."""

    def assert_limit_kept(self, fleet: LimitedFleet, limit: float) -> None:
        """Check the busiest window, and that the limit is used."""
        begin = 1000.0 + STATED_AT + CONTACT_SECONDS
        end = 1000.0 + ENDS_AT
        for server in fleet.servers.values():
            most = server.busiest_window(begin, end)
            self.assertLessEqual(most, allowed_requests(limit))
            used = server.count(begin, end) / (end - begin)
            self.assertGreaterEqual(used, MIN_USE * limit)

    def test_server_gets_more_requests_than_the_limit_that_it_states(self) -> None:
        for daemons in FLEET_SIZES:
            for limit in (21.2, 5.1):
                with self.subTest(daemons=daemons, limit=limit):
                    fleet = LimitedFleet(daemons)
                    fleet.schedule_requests(60.0, 0.0, ENDS_AT)
                    fleet.time.advance(STATED_AT)
                    for server in fleet.servers.values():
                        server.limit = limit
                    fleet.time.advance(ENDS_AT - STATED_AT)
                    self.assert_limit_kept(fleet, limit)

    def test_limit_is_kept_by_every_server_of_a_service(self) -> None:
        fleet = LimitedFleet(74, servers=4)
        fleet.schedule_requests(120.0, 0.0, ENDS_AT)
        fleet.time.advance(STATED_AT)
        for server in fleet.servers.values():
            server.limit = 9.0
        fleet.time.advance(ENDS_AT - STATED_AT)
        self.assert_limit_kept(fleet, 9.0)

    def test_limit_is_kept_after_a_restart_of_the_daemon_beside_the_server(
        self,
    ) -> None:
        for limit in (21.2, 5.1):
            with self.subTest(limit=limit):
                fleet = LimitedFleet(66)
                (server,) = fleet.servers.values()
                server.restart_daemon(MAX_FIRST_CALLS)
                fleet.schedule_requests(60.0, 0.0, ENDS_AT)
                fleet.time.advance(STATED_AT)
                server.limit = limit
                fleet.time.advance(6.0)
                server.restart_daemon(MAX_FIRST_CALLS)
                fleet.time.advance(ENDS_AT - STATED_AT - 6.0)
                self.assert_limit_kept(fleet, limit)

    def test_limit_is_kept_while_the_traffic_moves_between_daemons(self) -> None:
        fleet = LimitedFleet(16)
        fleet.schedule_requests(60.0, 0.0, 8.0, daemons=1)
        fleet.daemons.reverse()
        fleet.schedule_requests(60.0, 8.0, ENDS_AT, daemons=1)
        fleet.time.advance(STATED_AT)
        for server in fleet.servers.values():
            server.limit = 12.0
        fleet.time.advance(ENDS_AT - STATED_AT)
        self.assert_limit_kept(fleet, 12.0)

    def test_limit_that_drops_rises_and_ends_is_followed(self) -> None:
        fleet = LimitedFleet(66)
        (server,) = fleet.servers.values()
        fleet.schedule_requests(60.0, 0.0, 34.0)
        for limit in (40.0, 4.0, 30.0):
            server.limit = limit
            begin = fleet.time.seconds + CONTACT_SECONDS
            fleet.time.advance(CONTACT_SECONDS + 6.0)
            most = server.busiest_window(begin, fleet.time.seconds)
            self.assertLessEqual(most, allowed_requests(limit))
            self.assertGreaterEqual(
                server.count(begin, fleet.time.seconds), MIN_USE * limit * 6.0
            )
        server.limit = None
        fleet.time.advance(2.0)
        begin = fleet.time.seconds
        fleet.time.advance(4.0)
        self.assertGreater(server.count(begin, fleet.time.seconds), 4.0 * 45.0)

    def test_server_that_accepts_nothing_is_asked_again_and_recovers(self) -> None:
        fleet = LimitedFleet(16)
        (server,) = fleet.servers.values()
        server.limit = 0.0
        fleet.schedule_requests(60.0, 0.0, 20.0)
        fleet.time.advance(10.0)
        most = server.busiest_window(1000.0 + CONTACT_SECONDS, 1010.0)
        self.assertLessEqual(most, allowed_requests(0.0))
        server.limit = None
        fleet.time.advance(4.0)
        begin = fleet.time.seconds
        fleet.time.advance(4.0)
        self.assertGreater(server.count(begin, fleet.time.seconds), 4.0 * 45.0)

    def test_call_beyond_the_limit_is_rejected_at_once_with_the_time_to_wait(
        self,
    ) -> None:
        fleet = LimitedFleet(1)
        (server,) = fleet.servers.values()
        server.limit = 2.0
        server.admission.receive_status(ServerStatus(2.0), make_call())
        sinks = []
        for _ in range(8):
            sink = RecordingSink()
            server.admission(make_call(timeout=1.2, now=fleet.time.seconds), sink)
            sinks.append(sink)
        rejected = [sink for sink in sinks if sink.failure is not None]
        self.assertGreaterEqual(len(rejected), 5)
        for sink in rejected:
            assert sink.failure is not None
            self.assertIs(Outcome.NOT_RUN, sink.failure.outcome)
            assert sink.failure.retry_after_seconds is not None
            self.assertGreaterEqual(sink.failure.retry_after_seconds, 1.0)

    def test_calls_wait_for_the_first_response_only(self) -> None:
        fleet = LimitedFleet(1)
        (server,) = fleet.servers.values()
        server.restart_daemon(MAX_FIRST_CALLS)
        for _ in range(SLOTS):
            server.admission(make_call(now=fleet.time.seconds), RecordingSink())
        self.assertEqual(MAX_FIRST_CALLS, len(server.arrivals))
        server.admission.receive_status(ServerStatus(), make_call())
        self.assertEqual(SLOTS, len(server.arrivals))

    def test_pause_of_the_daemon_saves_up_calls(self) -> None:
        for limit in (5.1, 21.2):
            rate = RequestRate()
            rate.set_limit(limit, 0.0)
            sent = 0
            while not rate.is_exhausted(True, 600.0):
                rate.spend(600.0)
                sent += 1
            self.assertLessEqual(sent, limit / 2)

    def test_limit_beyond_all_traffic_delays_nothing(self) -> None:
        rate = RequestRate()
        rate.set_limit(1e300, 0.0)
        rate.spend(1.0)
        self.assertEqual(0.0, rate.seconds_until_calls(10**6, False, 1.0))

    def test_urgent_calls_use_the_limit_before_bulk_calls(self) -> None:
        fleet = LimitedFleet(1)
        (server,) = fleet.servers.values()
        server.limit = 10.0
        sinks = {True: [], False: []}  # type: dict[bool, list[RecordingSink]]
        for number in range(800):
            urgent = number % 10 == 0

            def submit(urgent: bool = urgent) -> None:
                sink = RecordingSink()
                sinks[urgent].append(sink)
                call = make_call(urgent, now=fleet.time.seconds)
                server.admission(call, sink)

            fleet.time.call_later(number * 0.01, submit)
        fleet.time.advance(10.0)
        self.assertTrue(all(sink.heads for sink in sinks[True]))
        self.assertFalse(all(sink.heads for sink in sinks[False]))


if __name__ == "__main__":
    unittest.main()
