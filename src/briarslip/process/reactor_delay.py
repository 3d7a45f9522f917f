"""Measurement of how long the reactor is held up by one of its turns."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING
from typing import Any

from briarslip.process.events import Event
from briarslip.process.events import emit


if TYPE_CHECKING:
    from briarslip.process.clock import Clock


TIMER_INTERVAL = timedelta(milliseconds=100)
# The longest delay is reported for at least one window and at most two.
WINDOW = timedelta(minutes=1)
# Heartbeats and readiness checks are late by half of their timeouts.
LOGGED_DELAY = timedelta(milliseconds=500)


class ReactorDelay:
    """The delay of a timer, which waits for the turn of the reactor that is under way.

    A turn is up to one timer interval longer than the delay. Work of this process, a
    lack of processor time and a suspended machine all show as a delay.
    """

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self.reactor = reactor
        self.clock = clock
        self.due_at = 0.0
        self.window_ends_at = 0.0
        self.longest_seconds = 0.0
        self.previous_longest_seconds = 0.0

    def start(self) -> None:
        """Start the timer."""
        self.window_ends_at = self.clock.monotonic() + WINDOW.total_seconds()
        self._schedule()

    @property
    def longest_recent_seconds(self) -> float:
        """The longest delay in this window and the one before it."""
        return max(self.longest_seconds, self.previous_longest_seconds)

    def _schedule(self) -> None:
        seconds = TIMER_INTERVAL.total_seconds()
        self.due_at = self.clock.monotonic() + seconds
        self.reactor.callLater(seconds, self._measure)

    def _measure(self) -> None:
        now = self.clock.monotonic()
        delay_seconds = max(0.0, now - self.due_at)
        if now >= self.window_ends_at:
            self.window_ends_at = now + WINDOW.total_seconds()
            self.previous_longest_seconds = self.longest_seconds
            self.longest_seconds = 0.0
        self.longest_seconds = max(self.longest_seconds, delay_seconds)
        if delay_seconds >= LOGGED_DELAY.total_seconds():
            emit(Event.REACTOR_HELD_UP, seconds=round(delay_seconds, 3))
        self._schedule()


__all__ = ["ReactorDelay"]
