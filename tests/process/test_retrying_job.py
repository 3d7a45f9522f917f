"""Tests of work that is repeated."""

from __future__ import annotations

import random
import unittest

from briarslip.process.retrying_job import RetryingJob
from standins.simulated_store import SimulatedStore


class RetryingJobTest(unittest.TestCase):
    """One run at a time; failures are repeated."""

    def test_failures_and_errors_are_repeated(self) -> None:
        world = SimulatedStore()
        ends: list[bool | None] = [False, None, True]
        runs: list[float] = []

        async def work() -> bool:
            runs.append(world.clock.seconds())
            end = ends[len(runs) - 1]
            if end is None:
                raise ValueError
            return end

        job = RetryingJob(world.clock, random.Random(1), work)
        job.run()
        world.clock.pump([0.1] * 100)
        self.assertEqual(len(runs), 3)
        self.assertFalse(job.is_running)
