"""Tests of admission: urgency, deadlines, truth of refusals."""

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
    """An admission before a fake backend server."""

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

    def offer(self, urgent: bool = True, timeout: float = 2.0) -> RecordingSink:
        sink = RecordingSink()
        now = self.time.monotonic()
        self.admission(make_call(urgent, timeout, now), sink)
        return sink

    def fill(self) -> list[RecordingSink]:
        """Fill the slots with urgent calls."""
        return [self.offer() for _ in range(SLOTS)]


class TruthTest(AdmissionCase):
    """Refusals by the daemon beside the server."""

    def test_waiting_call_is_refused_at_its_deadline_though_slots_hang(self) -> None:
        self.fill()
        waiting = self.offer(timeout=0.5)
        self.time.advance(0.6)
        self.assertEqual(waiting.failure, Failure(Outcome.NOT_RUN, Reason.DEADLINE))
        self.assertEqual(len(self.sent), SLOTS)

    def test_running_call_is_unknown_at_its_deadline_and_frees_its_slot(self) -> None:
        sinks = self.fill()
        self.time.advance(2.1)
        self.assertEqual(sinks[0].failure, Failure(Outcome.UNKNOWN, Reason.DEADLINE))
        self.assertTrue(self.sent[0].cancelled)
        self.assertEqual(self.admission.load, Load(0, SLOTS))
        self.sent[0].answer(b"late")
        self.assertEqual(sinks[0].heads, [])

    def test_call_cancelled_while_it_waits_never_starts(self) -> None:
        self.fill()
        now = self.time.monotonic()
        cancel = self.admission(make_call(now=now), RecordingSink())
        cancel()
        for sent in self.sent[:]:
            sent.answer()
        self.assertEqual(len(self.sent), SLOTS)
        self.assertEqual(self.admission.load.in_flight, 0)

    def test_excluded_version_gets_nothing_even_from_the_queue(self) -> None:
        self.fill()
        waiting = self.offer()
        self.excluded_versions = frozenset(("1",))
        refused = self.offer()
        self.sent[0].answer()
        expected = Failure(Outcome.NOT_RUN, Reason.VERSION_EXCLUDED)
        self.assertEqual((waiting.failure, refused.failure), (expected, expected))
        self.assertEqual(len(self.sent), SLOTS)

    def test_answer_carries_the_waiting_calls_too(self) -> None:
        sinks = self.fill()
        self.offer()
        self.sent[0].sink.head(ResponseHead(200, b"", Outcome.RAN, Load(1, 1)))
        self.assertEqual(sinks[0].heads[0].load, Load(SLOTS + 1, SLOTS))


class DeadlineTest(AdmissionCase):
    """Calls that can't end in time are refused before the hand-over."""

    def learn(self, seconds: float) -> None:
        """Let calls take a while."""
        for _ in range(3):
            self.offer()
            self.time.advance(seconds)
            self.sent[-1].answer()

    def test_call_that_can_not_end_in_time_is_shed(self) -> None:
        self.learn(0.1)
        self.fill()
        late = self.offer(timeout=0.11)
        self.assertEqual(late.failure, Failure(Outcome.NOT_RUN, Reason.QUEUE_FULL))
        in_time = self.offer(timeout=0.5)
        self.assertFalse(in_time.ended)

    def test_call_whose_time_ran_short_in_the_queue_is_not_started(self) -> None:
        self.learn(0.1)
        self.fill()
        waiting = self.offer(timeout=0.3)
        self.time.advance(0.25)
        self.sent[-1].answer()
        self.assertEqual(waiting.failure, Failure(Outcome.NOT_RUN, Reason.DEADLINE))

    def test_wrong_estimate_does_not_keep_all_calls_out(self) -> None:
        self.learn(1.0)
        sink = self.offer(timeout=0.5)
        self.assertFalse(sink.ended)

    def test_deadline_is_told_to_the_server(self) -> None:
        self.offer(timeout=0.25)
        self.assertIn(b"Briarslip-Deadline-Ms: 250\r\n", self.sent[0].call.headers)


class UrgencyTest(AdmissionCase):
    """Bulk calls and urgent ones at one server."""

    def test_bulk_leaves_a_reserve(self) -> None:
        self.time.advance(60.0)
        for _ in range(2 * SLOTS):
            self.offer(urgent=False)
        self.assertEqual(len(self.sent), SLOTS - 1)
        self.offer()
        self.assertTrue(self.sent[-1].call.urgent)

    def test_bulk_gets_less_before_the_urgent_need_is_known(self) -> None:
        for _ in range(2 * SLOTS):
            self.offer(urgent=False)
        self.assertEqual(len(self.sent), 1)

    def test_urgent_overtakes_and_is_not_refused_for_bulk(self) -> None:
        self.time.advance(60.0)
        bulk = [self.offer(urgent=False) for _ in range(10 * SLOTS)]
        self.assertTrue(any(sink.ended for sink in bulk))
        urgent = [self.offer() for _ in range(2 * SLOTS)]
        self.assertFalse(any(sink.ended for sink in urgent))
        for number in range(2 * SLOTS):
            self.sent[number].answer()
        after = self.sent[SLOTS : 2 * SLOTS]
        self.assertTrue(all(sent.call.urgent for sent in after))

    def test_urgent_call_with_little_time_is_not_refused_for_bulk(self) -> None:
        for _ in range(20):
            self.offer()
            self.time.advance(0.1)
            self.sent[-1].answer()
        self.time.advance(60.0)
        for _ in range(SLOTS):
            self.offer(urgent=False)
        self.offer()
        self.assertEqual(self.admission.in_flight, SLOTS)
        self.assertFalse(self.offer(timeout=0.11).ended)

    def test_reserve_follows_what_urgent_calls_need(self) -> None:
        for _ in range(40):
            self.offer()
            self.offer()
            self.time.advance(0.2)
            self.sent[-1].answer()
            self.sent[-2].answer()
        before = len(self.sent)
        for _ in range(SLOTS):
            self.offer(urgent=False)
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
