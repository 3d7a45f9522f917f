"""Tests of the measurement of the reactor's delay."""

from __future__ import annotations

import unittest
from unittest import mock

from briarslip.process.events import Event
from briarslip.process.reactor_delay import TIMER_INTERVAL
from briarslip.process.reactor_delay import WINDOW
from briarslip.process.reactor_delay import ReactorDelay
from tests.connection.support import FakeClock
from tests.connection.support import run_turn


class ReactorDelayTest(unittest.TestCase):
    """A timer on a reactor whose turns take as long as the test says."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.delay = ReactorDelay(self.clock, self.clock)
        self.delay.start()
        self.emit = self.enterContext(
            mock.patch("briarslip.process.reactor_delay.emit")
        )

    def take_turn(self, seconds: float) -> None:
        """Run the timers that are due after ``seconds``."""
        self.clock.rightNow += seconds
        run_turn(self.clock)

    def test_long_turn_is_not_seen(self) -> None:
        """Guards against a daemon that hangs without a sign in logs or metrics."""
        interval_seconds = TIMER_INTERVAL.total_seconds()
        self.take_turn(interval_seconds)
        self.assertAlmostEqual(0.0, self.delay.longest_recent_seconds)
        self.take_turn(interval_seconds + 0.7)
        self.take_turn(interval_seconds + 0.2)
        self.assertAlmostEqual(0.7, self.delay.longest_recent_seconds)
        self.emit.assert_called_once_with(Event.REACTOR_HELD_UP, seconds=0.7)

    def test_long_turn_is_reported_for_ever(self) -> None:
        """Guards against a gauge that tells nothing of the present."""
        interval_seconds = TIMER_INTERVAL.total_seconds()
        self.take_turn(interval_seconds + 0.7)
        turns_per_window = round(WINDOW / TIMER_INTERVAL)
        for _ in range(turns_per_window):
            self.take_turn(interval_seconds)
        self.assertAlmostEqual(0.7, self.delay.longest_recent_seconds)
        for _ in range(turns_per_window + 2):
            self.take_turn(interval_seconds)
        self.assertAlmostEqual(0.0, self.delay.longest_recent_seconds)


if __name__ == "__main__":
    unittest.main()
