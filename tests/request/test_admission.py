"""Tests of admission: priorities, deadlines and outcomes of rejected calls."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from briarslip.request.admission import Admission
from briarslip.request.call import Load
from briarslip.request.call import ResponseHead
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from standins.virtual_time import VirtualTime
from tests.request.support import UNKNOWN
from tests.request.support import RecordingSink
from tests.request.support import SentCall
from tests.request.support import address
from tests.request.support import make_call


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.call import Call
    from briarslip.request.call import ResponseSink


SLOTS = 4


class AdmissionCase(unittest.TestCase):
    """An admission with a fake backend server."""

    def setUp(self) -> None:
        self.time = VirtualTime()
        self.sent: list[SentCall] = []
        self.excluded_versions: frozenset[str] = frozenset()
        self.admission = Admission(
            self.time,
            SLOTS,
            self.backend,
            self.time.call_later,
            lambda service: self.excluded_versions,
        )

    def backend(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        sent = SentCall(address(0), call, sink)
        self.sent.append(sent)
        return sent.cancel

    def submit(self, urgent: bool = True, timeout: float = 2.0) -> RecordingSink:
        sink = RecordingSink()
        now = self.time.monotonic()
        self.admission(make_call(urgent, timeout, now), sink)
        return sink

    def fill_slots(self) -> list[RecordingSink]:
        """Occupy all slots with urgent calls."""
        return [self.submit() for _ in range(SLOTS)]


class TruthTest(AdmissionCase):
    """Outcomes that the server's daemon reports."""

    def test_queued_call_is_rejected_at_its_deadline_while_all_slots_hang(self) -> None:
        self.fill_slots()
        waiting = self.submit(timeout=0.5)
        self.time.advance(0.6)
        self.assertEqual(waiting.failure, Failure(Outcome.NOT_RUN, Reason.DEADLINE))
        self.assertEqual(len(self.sent), SLOTS)

    def test_running_call_ends_as_unknown_at_its_deadline_and_frees_its_slot(
        self,
    ) -> None:
        sinks = self.fill_slots()
        self.time.advance(2.1)
        self.assertEqual(sinks[0].failure, Failure(Outcome.UNKNOWN, Reason.DEADLINE))
        self.assertTrue(self.sent[0].cancelled)
        self.assertEqual(self.admission.load, Load(0, SLOTS))
        self.sent[0].answer(b"late")
        self.assertEqual(sinks[0].heads, [])

    def test_call_cancelled_in_the_queue_never_starts(self) -> None:
        self.fill_slots()
        now = self.time.monotonic()
        cancel = self.admission(make_call(now=now), RecordingSink())
        cancel()
        for sent in self.sent[:]:
            sent.answer()
        self.assertEqual(len(self.sent), SLOTS)
        self.assertEqual(self.admission.load.in_flight, 0)

    def test_excluded_version_gets_no_new_and_no_queued_calls(self) -> None:
        self.fill_slots()
        waiting = self.submit()
        self.excluded_versions = frozenset(("1",))
        rejected = self.submit()
        self.sent[0].answer()
        expected = Failure(Outcome.NOT_RUN, Reason.VERSION_EXCLUDED)
        self.assertEqual((waiting.failure, rejected.failure), (expected, expected))
        self.assertEqual(len(self.sent), SLOTS)

    def test_reported_load_includes_queued_calls(self) -> None:
        sinks = self.fill_slots()
        self.submit()
        self.sent[0].sink.head(ResponseHead(200, b"", Outcome.RAN, Load(1, 1)))
        self.assertEqual(sinks[0].heads[0].load, Load(SLOTS + 1, SLOTS))


class DeadlineTest(AdmissionCase):
    """Calls that can't finish by their deadline are rejected before they are sent."""

    def measure_service_time(self, seconds: float) -> None:
        """Run calls that each take some seconds."""
        for _ in range(3):
            self.submit()
            self.time.advance(seconds)
            self.sent[-1].answer()

    def test_call_that_can_not_meet_its_deadline_is_rejected(self) -> None:
        self.measure_service_time(0.1)
        self.fill_slots()
        late = self.submit(timeout=0.11)
        self.assertEqual(late.failure, Failure(Outcome.NOT_RUN, Reason.QUEUE_FULL))
        in_time = self.submit(timeout=0.5)
        self.assertFalse(in_time.ended)

    def test_call_with_too_little_time_left_after_queueing_is_not_started(self) -> None:
        self.measure_service_time(0.1)
        self.fill_slots()
        waiting = self.submit(timeout=0.3)
        self.time.advance(0.25)
        self.sent[-1].answer()
        self.assertEqual(waiting.failure, Failure(Outcome.NOT_RUN, Reason.DEADLINE))

    def test_idle_server_gets_calls_despite_a_high_estimate(self) -> None:
        self.measure_service_time(1.0)
        sink = self.submit(timeout=0.5)
        self.assertFalse(sink.ended)

    def test_deadline_header_is_sent_to_the_server(self) -> None:
        self.submit(timeout=0.25)
        self.assertIn(b"Briarslip-Deadline-Ms: 250\r\n", self.sent[0].call.headers)


class UrgencyTest(AdmissionCase):
    """Urgent and bulk calls at one server."""

    def test_bulk_calls_leave_a_reserve_for_urgent_calls(self) -> None:
        self.time.advance(60.0)
        for _ in range(2 * SLOTS):
            self.submit(urgent=False)
        self.assertEqual(len(self.sent), SLOTS - 1)
        self.submit()
        self.assertTrue(self.sent[-1].call.urgent)

    def test_bulk_calls_get_fewer_slots_before_urgent_demand_is_measured(self) -> None:
        for _ in range(2 * SLOTS):
            self.submit(urgent=False)
        self.assertEqual(len(self.sent), 1)

    def test_urgent_calls_overtake_bulk_and_are_not_rejected_because_of_it(
        self,
    ) -> None:
        self.time.advance(60.0)
        bulk = [self.submit(urgent=False) for _ in range(10 * SLOTS)]
        self.assertTrue(any(sink.ended for sink in bulk))
        urgent = [self.submit() for _ in range(2 * SLOTS)]
        self.assertFalse(any(sink.ended for sink in urgent))
        for number in range(2 * SLOTS):
            self.sent[number].answer()
        after = self.sent[SLOTS : 2 * SLOTS]
        self.assertTrue(all(sent.call.urgent for sent in after))

    def test_urgent_call_with_little_time_is_not_rejected_because_of_bulk(self) -> None:
        for _ in range(20):
            self.submit()
            self.time.advance(0.1)
            self.sent[-1].answer()
        self.time.advance(60.0)
        for _ in range(SLOTS):
            self.submit(urgent=False)
        self.submit()
        self.assertEqual(self.admission.in_flight, SLOTS)
        self.assertFalse(self.submit(timeout=0.11).ended)

    def test_reserve_follows_the_number_of_urgent_calls(self) -> None:
        for _ in range(40):
            self.submit()
            self.submit()
            self.time.advance(0.2)
            self.sent[-1].answer()
            self.sent[-2].answer()
        before = len(self.sent)
        for _ in range(SLOTS):
            self.submit(urgent=False)
        self.assertEqual(len(self.sent) - before, 1)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from("ubxafct"), st.integers(0, 50))))
    def test_any_order_of_events_keeps_the_bounds(
        self, steps: list[tuple[str, int]]
    ) -> None:
        self.setUp()
        cancels = []
        for step, number in steps:
            if step in "ub":
                now = self.time.monotonic()
                offered = make_call(step == "u", 0.1 + number / 20, now)
                cancels.append(self.admission(offered, RecordingSink()))
            elif step == "t":
                self.time.advance(number / 10)
            elif step == "x" and cancels:
                cancels[number % len(cancels)]()
            elif self.sent:
                sent = self.sent.pop(number % len(self.sent))
                if step == "f":
                    sent.sink.failed(UNKNOWN, None)
                else:
                    sent.answer()
            self.assertLessEqual(self.admission.in_flight, SLOTS)
            self.assertLess(self.admission.bulk_in_flight, SLOTS)
        self.time.run()
        self.assertEqual(self.admission.load.in_flight, 0)
        self.assertEqual(self.admission.bulk_in_flight, 0)
