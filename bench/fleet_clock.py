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
    """Twisted's clock for tests, with a heap so that it stays fast."""

    def __init__(self) -> None:
        super().__init__()
        self.rightNow = 0.0
        self.heap: list[tuple[float, int, DelayedCall]] = []
        self.numbers = count()

    def callLater(self, delay: float, run: Any, *args: Any, **kw: Any) -> DelayedCall:
        """Run a call later."""
        due = self.seconds() + delay
        call = DelayedCall(due, run, args, kw, lambda _: None, self._push, self.seconds)
        self._push(call)
        return call

    def _push(self, call: DelayedCall) -> None:
        heapq.heappush(self.heap, (call.getTime(), next(self.numbers), call))

    def advance(self, amount: float) -> None:
        """Run what falls due within some seconds, in order."""
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
    """The clock interface on virtual time; ``skew`` sets the wall time off."""

    def __init__(self, clock: HeapClock) -> None:
        self.clock = clock
        self.skew = timedelta(0)

    def now(self) -> datetime:
        """Return the wall time."""
        return EPOCH + timedelta(seconds=self.clock.seconds()) + self.skew

    def monotonic(self) -> float:
        """Return the seconds of virtual time."""
        seconds: float = self.clock.seconds()
        return seconds


__all__ = ["FleetClock", "HeapClock"]
