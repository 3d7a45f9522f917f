"""Rate limit of the log lines of each event."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


MAX_LINES_PER_SECOND = 10
WINDOW_SECONDS = 1.0


class EventRateLimit:
    """Admit up to ``max_lines`` lines of each event per second; count the rest.

    ``now`` returns monotonic seconds. When the first line after a window of
    ``WINDOW_SECONDS`` arrives and lines were dropped in the window,
    ``on_dropped`` is called with their count for each event number.
    """

    def __init__(
        self,
        now: Callable[[], float],
        on_dropped: Callable[[Counter[int]], None],
        max_lines: int = MAX_LINES_PER_SECOND,
    ) -> None:
        self.now = now
        self.on_dropped = on_dropped
        self.max_lines = max_lines
        self.window_started_at = now()
        self.written: Counter[int] = Counter()
        self.dropped: Counter[int] = Counter()

    def try_admit(self, number: int) -> bool:
        """Count a line of an event; return whether it may be written."""
        if self.now() - self.window_started_at >= WINDOW_SECONDS:
            self._start_window()
        if self.written[number] >= self.max_lines:
            self.dropped[number] += 1
            return False
        self.written[number] += 1
        return True

    def _start_window(self) -> None:
        dropped, self.dropped = self.dropped, Counter()
        self.written.clear()
        self.window_started_at = self.now()
        if dropped:
            self.on_dropped(dropped)


__all__ = ["MAX_LINES_PER_SECOND", "EventRateLimit"]
