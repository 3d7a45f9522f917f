"""Counters of service levels."""

from __future__ import annotations

import unittest
from datetime import timedelta

from briarslip.address import Address
from briarslip.process.service_levels import MAX_LEVELS
from briarslip.process.service_levels import WINDOWS_SECONDS
from briarslip.process.service_levels import Ring
from briarslip.process.service_levels import ServiceLevels
from briarslip.request.attempt_result import AttemptResult
from briarslip.request.outcome import Outcome
from briarslip.version.record import Objective
from standins.virtual_time import VirtualTime


WHOLE = Objective("holds", "holds", "", 0.99, timedelta(0))
FAST = Objective("fast", "holds", "create", 0.9, timedelta(milliseconds=50))


def sample(
    route: str = "create",
    failed: bool = False,
    latency: float = 0.01,
    version: str = "1",
) -> AttemptResult:
    """Return the end of a call."""
    server = Address("10.0.0.1", 1)
    return AttemptResult("holds", version, route, server, Outcome.RAN, failed, latency)


class ServiceLevelsTest(unittest.TestCase):
    """What counts as bad, when it is forgotten, and how much is kept."""

    def setUp(self) -> None:
        self.time = VirtualTime()
        self.levels = ServiceLevels(self.time)
        self.objectives = {"holds": WHOLE, "fast": FAST}

    def window(self, objective: str, seconds: int) -> tuple[int, int]:
        for level in self.levels.report()["levels"]:
            if level["objective"] == objective:
                calls, bad = level["windows"][str(seconds)]
                return calls, bad
        return 0, 0

    def test_slow_calls_are_bad_where_an_objective_says_so(self) -> None:
        self.levels.record(sample(latency=0.06), self.objectives)
        self.levels.record(sample(failed=True), self.objectives)
        self.levels.record(sample(route="list", latency=0.06), self.objectives)
        self.assertEqual(self.window("fast", 300), (2, 2))
        found = [x["windows"]["300"] for x in self.levels.report()["levels"]]
        self.assertIn((1, 0), found)

    def test_windows_forget_in_their_own_time(self) -> None:
        self.levels.record(sample(failed=True), self.objectives)
        for passed, seen in (
            (600, (0, 1, 1, 1)),
            (3600, (0, 0, 1, 1)),
            (21_600, (0, 0, 0, 1)),
        ):
            self.time.advance(passed)
            counted = tuple(self.window("holds", w)[1] for w in WINDOWS_SECONDS)
            self.assertEqual(counted, seen)
        self.time.advance(300_000)
        self.assertEqual(self.window("holds", WINDOWS_SECONDS[-1]), (0, 0))

    def test_without_an_objective_calls_are_counted_all_the_same(self) -> None:
        self.levels.record(sample(failed=True), {})
        self.assertEqual(self.window("", 300), (1, 1))

    def test_the_number_of_keys_is_bounded(self) -> None:
        for number in range(MAX_LEVELS + 100):
            self.levels.record(sample(version=str(number)), {"holds": WHOLE})
        self.assertEqual(len(self.levels.levels), MAX_LEVELS + 1)
        total = sum(x["windows"]["300"][0] for x in self.levels.report()["levels"])
        self.assertEqual(total, MAX_LEVELS + 100)

    def test_ring_survives_a_long_silence(self) -> None:
        ring = Ring(60, 5)
        ring.add(True, 0)
        ring.add(False, 1_000_000)
        self.assertEqual(ring.series(5)[-1], (1, 0))
        self.assertEqual(sum(bad for _, bad in ring.series(5)), 0)
