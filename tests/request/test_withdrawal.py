"""Tests of requests that wait for a server while their daemon is stopped."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from briarslip.request.admission import Admission
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from briarslip.request.suspect_isolation import SuspectIsolation
from briarslip.request.withdrawal import Withdrawal
from standins.virtual_time import VirtualTime
from tests.request.support import TIMEOUT
from tests.request.support import FakeClaims
from tests.request.support import ForwarderHarness
from tests.request.support import RecordingSink
from tests.request.support import SentCall
from tests.request.support import address
from tests.request.support import make_call
from tests.request.support import member


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.call import Call
    from briarslip.request.call import ResponseSink


DRAINING = Failure(Outcome.NOT_RUN, Reason.DRAINING)
LAST_RUN_SECONDS = 0.8


class StoppingDaemonTest(unittest.TestCase):
    """Every request that a stopping daemon has accepted gets a true response."""

    def setUp(self) -> None:
        self.harness = ForwarderHarness(member(1), member(2))
        self.time = self.harness.time

    def end_waiting(self) -> None:
        """Let the daemon end the waiting of its requests."""
        end = self.time.monotonic() + LAST_RUN_SECONDS
        self.harness.forwarder.end_waiting(end)

    def test_request_that_waits_at_another_daemon_is_cut_off_without_a_response(
        self,
    ) -> None:
        sink, _ = self.harness.request()
        (sent,) = self.harness.sent
        sent.call.withdrawal.on_request = lambda: sent.sink.failed(DRAINING, None)
        self.end_waiting()
        self.assertEqual(DRAINING, sink.failure)
        # No time is left to wait at another server.
        self.assertEqual(1, len(self.harness.sent))

    def test_request_that_a_server_runs_keeps_its_time(self) -> None:
        sink, _ = self.harness.request()
        self.end_waiting()
        self.time.advance(LAST_RUN_SECONDS / 2)
        self.assertFalse(sink.ended)
        self.harness.sent[0].answer()
        self.assertEqual((Outcome.RAN, b"ok"), (sink.outcome, sink.data))

    def test_request_that_a_server_runs_too_long_is_cut_off_without_a_response(
        self,
    ) -> None:
        sink, _ = self.harness.request()
        self.end_waiting()
        self.time.advance(LAST_RUN_SECONDS + 0.1)
        self.assertEqual(Failure(Outcome.UNKNOWN, Reason.SHUT_DOWN), sink.failure)
        self.assertTrue(self.harness.sent[0].cancelled)

    def test_request_that_waits_for_its_claim_is_rejected(self) -> None:
        self.harness = ForwarderHarness(member(1), claims=FakeClaims())
        route = self.harness.forwarder.dependencies.routing_table().routes[0]
        self.harness = ForwarderHarness(
            member(1), route=replace(route, claims="required"), claims=FakeClaims()
        )
        sink, _ = self.harness.request(headers=b"Idempotency-Key: k\r\n")
        self.end_waiting()
        self.assertEqual(DRAINING, sink.failure)

    def test_request_that_comes_late_may_not_wait_beyond_the_end(self) -> None:
        forwarder = self.harness.forwarder
        latest = self.time.monotonic() + TIMEOUT / 2
        forwarder.dependencies = replace(
            forwarder.dependencies, latest_deadline=lambda: latest
        )
        self.harness.request()
        self.assertEqual(latest, self.harness.sent[0].call.deadline)

    def test_ended_requests_are_forgotten(self) -> None:
        self.harness.request()
        self.harness.sent[0].answer()
        _, cancel = self.harness.request()
        cancel()
        self.assertEqual(set(), self.harness.forwarder.exchanges)


class QueueTest(unittest.TestCase):
    """A withdrawn call leaves its queue; one that runs goes on."""

    def setUp(self) -> None:
        self.time = VirtualTime()
        self.sent: list[SentCall] = []
        self.admission = Admission(self.time, 1, self.backend, self.time.call_later)

    def backend(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Record a call that reaches the server."""
        sent = SentCall(address(0), call, sink)
        self.sent.append(sent)
        return sent.cancel

    def submit(self, call: Call) -> RecordingSink:
        """Submit a call; return its sink."""
        sink = RecordingSink()
        self.admission(call, sink)
        return sink

    def make_call(self) -> Call:
        return replace(make_call(now=self.time.monotonic()), withdrawal=Withdrawal())

    def test_only_queued_calls_are_withdrawn(self) -> None:
        calls = [self.make_call() for _ in range(3)]
        sinks = [self.submit(call) for call in calls]
        for call in calls[:2]:
            call.withdrawal.request()
        self.assertEqual([None, DRAINING, None], [s.failure for s in sinks])
        self.sent[0].answer()
        self.assertEqual(b"ok", sinks[0].data)
        self.assertEqual(2, len(self.sent))
        calls[2].withdrawal.request()
        self.assertFalse(sinks[2].ended)

    def test_call_that_has_left_the_queue_is_not_withdrawn(self) -> None:
        call = self.make_call()
        self.submit(self.make_call())
        sink = RecordingSink()
        cancel = self.admission(call, sink)
        cancel()
        call.withdrawal.request()
        self.assertFalse(sink.ended)
        self.assertEqual(1, self.admission.load.in_flight)

    def test_suspect_call_that_waits_for_its_turn_is_withdrawn(self) -> None:
        isolation = SuspectIsolation(self.admission, lambda: "1", lambda call: None)
        calls = [replace(self.make_call(), is_suspect=True) for _ in range(3)]
        sinks = [RecordingSink() for _ in calls]
        for call, sink in zip(calls, sinks, strict=True):
            isolation(call, sink)
        calls[1].withdrawal.request()
        self.assertEqual([None, DRAINING, None], [s.failure for s in sinks])
        self.sent[0].answer()
        self.assertIs(calls[2].withdrawal, self.sent[1].call.withdrawal)


if __name__ == "__main__":
    unittest.main()
