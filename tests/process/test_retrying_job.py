"""Tests of the retrying job."""

from __future__ import annotations

import random
import unittest

from briarslip.process.retrying_job import RetryingJob
from standins.simulated_store import SimulatedStore


class RetryingJobTest(unittest.TestCase):
    """A job is retried after failures and exceptions."""

    def test_failures_and_exceptions_are_retried(self) -> None:
        world = SimulatedStore()
        # The result of each run; None for a run that raises.
        results: list[bool | None] = [False, None, True]
        run_times: list[float] = []

        async def work() -> bool:
            run_times.append(world.clock.seconds())
            result = results[len(run_times) - 1]
            if result is None:
                raise ValueError
            return result

        job = RetryingJob(world.clock, random.Random(1), work)
        job.run()
        world.clock.pump([0.1] * 100)
        self.assertEqual(len(run_times), 3)
        self.assertFalse(job.is_running)
