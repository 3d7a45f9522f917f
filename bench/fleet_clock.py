"""Virtual time for a fleet of daemons."""

from __future__ import annotations

import heapq
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from itertools import count
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock as TwistedClock


EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class HeapClock(TwistedClock):
    """Twisted's clock for tests with a heap, which is fast with many delayed calls."""

    def __init__(self) -> None:
        super().__init__()
        self.rightNow = 0.0
        self.heap: list[tuple[float, int, DelayedCall]] = []
        self.sequence_numbers = count()

    def callLater(self, delay: float, run: Any, *args: Any, **kw: Any) -> DelayedCall:
        """Schedule a call; calls due at the same time run in scheduling order."""
        due = self.seconds() + delay
        call = DelayedCall(due, run, args, kw, lambda _: None, self._push, self.seconds)
        self._push(call)
        return call

    def _push(self, call: DelayedCall) -> None:
        heapq.heappush(self.heap, (call.getTime(), next(self.sequence_numbers), call))

    def advance(self, amount: float) -> None:
        """Advance the time by some seconds and run the calls due by then, in order."""
        end = self.rightNow + amount
        while self.heap and self.heap[0][0] <= end:
            due, _, call = heapq.heappop(self.heap)
            if call.cancelled or call.called:
                continue
            if call.getTime() > due:
                self._push(call)
                continue
            self.rightNow = max(self.rightNow, due)
            call.called = 1
            call.func(*call.args, **call.kw)
        self.rightNow = end


class FleetClock:
    """A daemon's clock on virtual time; ``skew`` is added to the wall time."""

    def __init__(self, clock: HeapClock) -> None:
        self.clock = clock
        self.skew = timedelta(0)

    def now(self) -> datetime:
        """Return the wall time, skewed."""
        return EPOCH + timedelta(seconds=self.clock.seconds()) + self.skew

    def monotonic(self) -> float:
        """Return the seconds of virtual time."""
        seconds: float = self.clock.seconds()
        return seconds


__all__ = ["FleetClock", "HeapClock"]
