"""Time for tests and benches: a clock that moves when it is told to."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


START = datetime(2026, 1, 1, tzinfo=UTC)


@dataclass(slots=True, eq=False)
class VirtualTimer:
    """A function that runs at a time, unless cancelled."""

    function: Callable[[], None] | None

    def cancel(self) -> None:
        """Never run the function."""
        self.function = None


class VirtualTime:
    """A clock with timers; equal times run in the order they were set."""

    def __init__(self, seconds: float = 1000.0) -> None:
        self.seconds = seconds
        self.heap: list[tuple[float, int, VirtualTimer]] = []
        self.numbers = itertools.count()

    def now(self) -> datetime:
        """Return the wall time."""
        return START + timedelta(seconds=self.seconds)

    def monotonic(self) -> float:
        """Return the seconds of this clock."""
        return self.seconds

    def call_later(
        self, delay: float, function: Callable[..., None], *arguments: object
    ) -> VirtualTimer:
        """Run a function after a delay in seconds."""

        def run() -> None:
            function(*arguments)

        timer = VirtualTimer(run if arguments else function)
        at = self.seconds + max(0.0, delay)
        heapq.heappush(self.heap, (at, next(self.numbers), timer))
        return timer

    def advance(self, seconds: float) -> None:
        """Move on, running what falls due."""
        end = self.seconds + seconds
        while self.heap and self.heap[0][0] <= end:
            self._step()
        self.seconds = end

    def run(self) -> None:
        """Move on until no timer is left."""
        while self.heap:
            self._step()

    def _step(self) -> None:
        at, _, timer = heapq.heappop(self.heap)
        function, timer.function = timer.function, None
        if function is not None:
            self.seconds = max(self.seconds, at)
            function()


__all__ = ["VirtualTime", "VirtualTimer"]
