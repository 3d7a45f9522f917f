"""Replays of load that is more than a server can do, on admission alone."""

from __future__ import annotations

import math
import random
import unittest
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarslip.request.admission import Admission
from briarslip.request.call import Call
from briarslip.request.call import Load
from briarslip.request.call import ResponseHead
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from standins.virtual_time import VirtualTime


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.call import ResponseSink
    from briarslip.request.outcome import Failure


SLOTS = 9
WORK_SECONDS = 0.06
DEADLINE_SECONDS = 1.2
TARGET_SECONDS = 0.2
CAPACITY_PER_SECOND = SLOTS / WORK_SECONDS
RUN_SECONDS = 10.0
SEED = 5
# Of what the server can do, this much is answered within the target.
LEAST_TIMELY_SHARE = 0.75
# A refusal that is certain comes within this share of a caller's time.
LONGEST_HELD_SHARE = 0.55


@dataclass
class Outcomes:
    """What became of the calls of one route."""

    timely: int = 0
    late: int = 0
    refused: int = 0
    longest_held: float = 0.0
    retry_after: list[float] = field(default_factory=list)
    reasons: set[Reason] = field(default_factory=set)


class Answer:
    """Takes one answer and notes when it came."""

    def __init__(self, time: VirtualTime, outcomes: Outcomes) -> None:
        self.time = time
        self.outcomes = outcomes
        self.began = time.monotonic()

    def head(self, head: ResponseHead) -> None:
        """Take the head."""

    def body(self, data: bytes, last: bool) -> None:
        """Note a whole answer."""
        if self.time.monotonic() - self.began <= TARGET_SECONDS:
            self.outcomes.timely += 1
        else:
            self.outcomes.late += 1

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Note a refusal; a call that has run is never called not run."""
        held = self.time.monotonic() - self.began
        if failure.outcome is Outcome.NOT_RUN:
            self.outcomes.refused += 1
            self.outcomes.reasons.add(failure.reason)
            self.outcomes.longest_held = max(self.outcomes.longest_held, held)
            self.outcomes.retry_after.append(failure.retry_after or 0.0)


class Replay:
    """A server of nine slots and the calls that arrive at it."""

    def __init__(self) -> None:
        self.time = VirtualTime()
        self.rng = random.Random(SEED)
        self.admission = Admission(self.time, SLOTS, self.backend, self.time.call_later)

    def backend(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Answer after a time that varies as the users' servers do."""
        work = WORK_SECONDS * self.rng.lognormvariate(-0.125, 0.5)
        work *= 0.25 if call.route == "nested" else 1.0

        def answer() -> None:
            sink.head(ResponseHead(200, b"", Outcome.RAN, Load(0, SLOTS)))
            sink.body(b"", True)

        return self.time.call_later(work, answer).cancel

    def arrive(
        self,
        route: str,
        per_second: float,
        urgent: bool = False,
        target: float = TARGET_SECONDS,
        deadline: float = DEADLINE_SECONDS,
    ) -> Outcomes:
        """Let calls of a route arrive at random for the whole run."""
        outcomes = Outcomes()
        at = 0.0
        while True:
            at += self.rng.expovariate(per_second)
            if at >= RUN_SECONDS:
                return outcomes
            self.time.call_later(
                at, self.offer, route, urgent, target, deadline, outcomes
            )

    def offer(
        self,
        route: str,
        urgent: bool,
        target: float,
        deadline: float,
        outcomes: Outcomes,
    ) -> None:
        """Offer one call."""
        now = self.time.monotonic()
        call = Call(
            "GET",
            "/",
            b"",
            b"",
            "s",
            "1",
            route,
            urgent,
            True,
            1,
            now + deadline,
            latency_target_at=now + target,
        )
        self.admission(call, Answer(self.time, outcomes))

    def run(self) -> None:
        """Play the load to its end."""
        self.time.advance(RUN_SECONDS + DEADLINE_SECONDS)


class OverloadTest(unittest.TestCase):
    """More arrives than the server can do."""

    def test_half_as_much_again_as_the_server_can_do(self) -> None:
        replay = Replay()
        found = replay.arrive("r", 1.5 * CAPACITY_PER_SECOND)
        replay.run()
        timely = found.timely / (CAPACITY_PER_SECOND * RUN_SECONDS)
        self.assertGreaterEqual(timely, LEAST_TIMELY_SHARE)
        self.assertLessEqual(found.longest_held, LONGEST_HELD_SHARE * DEADLINE_SECONDS)

    def test_without_a_target_nearly_all_come_late(self) -> None:
        replay = Replay()
        found = replay.arrive("r", 1.5 * CAPACITY_PER_SECOND, target=math.inf)
        replay.run()
        self.assertLess(found.timely, found.late)

    def test_nested_calls_go_before_the_calls_that_wait_for_others(self) -> None:
        replay = Replay()
        outer = replay.arrive("outer", 1.3 * CAPACITY_PER_SECOND, True, 0.25, 0.8)
        nested = replay.arrive("nested", 100, True, 0.06, 0.2)
        replay.run()
        answered = nested.timely + nested.late
        self.assertGreaterEqual(answered / (answered + nested.refused), 0.95)
        self.assertGreater(outer.timely, 0)

    def test_bulk_calls_may_use_every_slot_that_urgent_ones_can_wait_for(self) -> None:
        replay = Replay()
        bulk = replay.arrive("bulk", 1.5 * CAPACITY_PER_SECOND)
        urgent = replay.arrive("nested", 50, True, 0.06, 0.2)
        replay.run()
        done = bulk.timely + bulk.late + 0.25 * (urgent.timely + urgent.late)
        self.assertGreaterEqual(done / (CAPACITY_PER_SECOND * RUN_SECONDS), 0.9)
        self.assertGreaterEqual(urgent.timely / (50 * RUN_SECONDS), 0.85)
        self.assertEqual(0, urgent.refused)

    def test_refusals_say_when_there_may_be_room(self) -> None:
        replay = Replay()
        found = replay.arrive("r", 3 * CAPACITY_PER_SECOND)
        replay.run()
        self.assertTrue(found.retry_after)
        self.assertGreater(sum(found.retry_after) / len(found.retry_after), 0.0)
        self.assertLess(max(found.retry_after), DEADLINE_SECONDS)

    def test_a_call_that_has_waited_long_enough_is_told_that_there_is_no_room(
        self,
    ) -> None:
        replay = Replay()
        found = replay.arrive("r", 1.5 * CAPACITY_PER_SECOND)
        replay.run()
        self.assertEqual({Reason.QUEUE_FULL}, found.reasons)

    def test_all_are_timely_while_there_is_room(self) -> None:
        replay = Replay()
        found = replay.arrive("r", 0.5 * CAPACITY_PER_SECOND)
        replay.run()
        self.assertEqual(0, found.refused)
        self.assertLess(found.late, 0.05 * found.timely)


if __name__ == "__main__":
    unittest.main()
