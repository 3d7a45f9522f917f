"""Tests of agreeing on the deadline of an ordered rollout."""

from __future__ import annotations

import random
import unittest
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from typing import Any

from briarslip.process.rollouts.deadlines import RolloutDeadlines
from briarslip.version.record import DEADLINE_NOT_AGREED
from briarslip.version.record import Rollout
from standins.virtual_platform import VirtualPlatform


START = datetime(2026, 1, 1, tzinfo=UTC)
WINDOW = timedelta(seconds=16)
ROLLOUT = Rollout("holds", "holds", "v2", DEADLINE_NOT_AGREED, WINDOW, 0.05, order=9)


class DaemonClock:
    """The wall clock of one daemon, off by some seconds."""

    def __init__(self, clock: Any, off: float = 0.0) -> None:
        self.clock = clock
        self.off = off

    def now(self) -> datetime:
        """Return the wall time."""
        return START + timedelta(seconds=self.clock.seconds() + self.off)

    def monotonic(self) -> float:
        """Return the reactor's time."""
        return float(self.clock.seconds())


class RolloutDeadlinesTest(unittest.TestCase):
    """All daemons have one deadline, also those that come later."""

    def setUp(self) -> None:
        self.world = VirtualPlatform()

    def daemon(self, seed: int, off: float = 0.0) -> RolloutDeadlines:
        """Return one daemon's part."""
        clock = DaemonClock(self.world.clock, off)
        rng = random.Random(seed)
        return RolloutDeadlines(self.world.clock, clock, rng, self.world.client)

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.world.clock.pump([0.1] * round(seconds * 10))

    def test_all_agree_and_the_operators_deadline_is_kept(self) -> None:
        daemons = [self.daemon(seed, off=seed * 0.2) for seed in range(6)]
        for daemon in daemons:
            self.assertEqual(
                DEADLINE_NOT_AGREED, daemon.with_deadline(ROLLOUT).deadline
            )
        self.wait(2)
        late = self.daemon(9, off=1.0)
        late.with_deadline(ROLLOUT)
        self.wait(2)
        found = {d.with_deadline(ROLLOUT).deadline for d in (*daemons, late)}
        self.assertEqual(1, len(found))
        deadline = found.pop()
        self.assertLess(deadline, START + WINDOW + timedelta(seconds=1))
        self.assertGreater(deadline, START + WINDOW / 2)

    def test_another_order_has_its_own_deadline(self) -> None:
        daemon = self.daemon(1)
        daemon.with_deadline(ROLLOUT)
        self.wait(3)
        again = Rollout(
            "holds", "holds", "v2", DEADLINE_NOT_AGREED, WINDOW, 0.05, order=12
        )
        daemon.with_deadline(again)
        self.wait(3)
        first = daemon.with_deadline(ROLLOUT).deadline
        self.assertGreater(daemon.with_deadline(again).deadline, first)

    def test_an_outage_delays_it(self) -> None:
        daemon = self.daemon(1)
        self.world.store.outage = "close"
        daemon.with_deadline(ROLLOUT)
        self.wait(4)
        self.assertEqual(DEADLINE_NOT_AGREED, daemon.with_deadline(ROLLOUT).deadline)
        self.world.store.outage = ""
        self.wait(4)
        self.assertNotEqual(DEADLINE_NOT_AGREED, daemon.with_deadline(ROLLOUT).deadline)

    def test_a_deadline_in_the_record_stays(self) -> None:
        given = Rollout("r", "holds", "2", START, WINDOW, 0.05)
        self.assertIs(given, self.daemon(1).with_deadline(given))


if __name__ == "__main__":
    unittest.main()
