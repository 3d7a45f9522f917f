"""Virtual time for tests and benches: a clock that the caller advances."""

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
    """A scheduled function; None once it has run or was cancelled."""

    function: Callable[[], None] | None

    def cancel(self) -> None:
        """Cancel the function, if it has not run."""
        self.function = None


class VirtualTime:
    """A clock with timers; those due at the same time run in the order of setting."""

    def __init__(self, seconds: float = 1000.0) -> None:
        self.seconds = seconds
        self.heap: list[tuple[float, int, VirtualTimer]] = []
        self.sequence_numbers = itertools.count()

    def now(self) -> datetime:
        """Return the virtual date and time."""
        return START + timedelta(seconds=self.seconds)

    def monotonic(self) -> float:
        """Return the virtual monotonic time in seconds."""
        return self.seconds

    def call_later(
        self, delay: float, function: Callable[..., None], *arguments: object
    ) -> VirtualTimer:
        """Run a function after a delay in seconds."""

        def run() -> None:
            function(*arguments)

        timer = VirtualTimer(run if arguments else function)
        due_seconds = self.seconds + max(0.0, delay)
        heapq.heappush(self.heap, (due_seconds, next(self.sequence_numbers), timer))
        return timer

    def advance(self, seconds: float) -> None:
        """Advance the clock by seconds, running the timers that fall due."""
        end_seconds = self.seconds + seconds
        while self.heap and self.heap[0][0] <= end_seconds:
            self._step()
        self.seconds = end_seconds

    def run(self) -> None:
        """Advance the clock until no timer is left."""
        while self.heap:
            self._step()

    def _step(self) -> None:
        due_seconds, _, timer = heapq.heappop(self.heap)
        function, timer.function = timer.function, None
        if function is not None:
            self.seconds = max(self.seconds, due_seconds)
            function()


__all__ = ["VirtualTime", "VirtualTimer"]
