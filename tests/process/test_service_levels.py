"""Tests of the service level counters."""

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


WITHOUT_LATENCY = Objective("holds", "holds", "", 0.99, timedelta(0))
WITH_LATENCY = Objective("fast", "holds", "create", 0.9, timedelta(milliseconds=50))


def attempt(
    route: str = "create",
    failed: bool = False,
    latency: float = 0.01,
    version: str = "1",
) -> AttemptResult:
    """Return the result of an attempt."""
    server = Address("10.0.0.1", 1)
    return AttemptResult("holds", version, route, server, Outcome.RAN, failed, latency)


class ServiceLevelsTest(unittest.TestCase):
    """Bad calls, sliding windows, and the limit on keys."""

    def setUp(self) -> None:
        self.time = VirtualTime()
        self.levels = ServiceLevels(self.time)
        self.objectives = {"holds": WITHOUT_LATENCY, "fast": WITH_LATENCY}

    def window_counts(self, objective: str, seconds: int) -> tuple[int, int]:
        for level in self.levels.report()["levels"]:
            if level["objective"] == objective:
                calls, bad = level["windows"][str(seconds)]
                return calls, bad
        return 0, 0

    def test_calls_above_the_latency_of_an_objective_are_bad(self) -> None:
        self.levels.record(attempt(latency=0.06), self.objectives)
        self.levels.record(attempt(failed=True), self.objectives)
        self.levels.record(attempt(route="list", latency=0.06), self.objectives)
        self.assertEqual(self.window_counts("fast", 300), (2, 2))
        counts = [x["windows"]["300"] for x in self.levels.report()["levels"]]
        self.assertIn((1, 0), counts)

    def test_each_window_forgets_after_its_own_length(self) -> None:
        self.levels.record(attempt(failed=True), self.objectives)
        for passed_seconds, expected in (
            (600, (0, 1, 1, 1)),
            (3600, (0, 0, 1, 1)),
            (21_600, (0, 0, 0, 1)),
        ):
            self.time.advance(passed_seconds)
            counted = tuple(self.window_counts("holds", w)[1] for w in WINDOWS_SECONDS)
            self.assertEqual(counted, expected)
        self.time.advance(300_000)
        self.assertEqual(self.window_counts("holds", WINDOWS_SECONDS[-1]), (0, 0))

    def test_calls_without_an_objective_are_counted(self) -> None:
        self.levels.record(attempt(failed=True), {})
        self.assertEqual(self.window_counts("", 300), (1, 1))

    def test_number_of_keys_is_bounded(self) -> None:
        for number in range(MAX_LEVELS + 100):
            self.levels.record(attempt(version=str(number)), {"holds": WITHOUT_LATENCY})
        self.assertEqual(len(self.levels.levels), MAX_LEVELS + 1)
        total = sum(x["windows"]["300"][0] for x in self.levels.report()["levels"])
        self.assertEqual(total, MAX_LEVELS + 100)

    def test_ring_after_a_long_time_without_calls(self) -> None:
        ring = Ring(60, 5)
        ring.add(True, 0)
        ring.add(False, 1_000_000)
        self.assertEqual(ring.series(5)[-1], (1, 0))
        self.assertEqual(sum(bad for _, bad in ring.series(5)), 0)
