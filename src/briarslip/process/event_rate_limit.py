"""A bound on the log lines of each event."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


LINES_PER_SECOND = 10
SPAN_SECONDS = 1.0


class EventRateLimit:
    """Lets each event through so many times a second and counts the rest.

    ``now`` returns monotonic seconds. ``on_left_out`` is told, after each span,
    how often each event was left out, by its number.
    """

    def __init__(
        self,
        now: Callable[[], float],
        on_left_out: Callable[[Counter[int]], None],
        lines: int = LINES_PER_SECOND,
    ) -> None:
        self.now = now
        self.on_left_out = on_left_out
        self.lines = lines
        self.began = now()
        self.written: Counter[int] = Counter()
        self.left_out: Counter[int] = Counter()

    def admits(self, number: int) -> bool:
        """Count a line of an event and tell whether it may be written."""
        if self.now() - self.began >= SPAN_SECONDS:
            self._next_span()
        if self.written[number] >= self.lines:
            self.left_out[number] += 1
            return False
        self.written[number] += 1
        return True

    def _next_span(self) -> None:
        left_out, self.left_out = self.left_out, Counter()
        self.written.clear()
        self.began = self.now()
        if left_out:
            self.on_left_out(left_out)


__all__ = ["LINES_PER_SECOND", "EventRateLimit"]
