"""The limit on the calls to a backend server that is cold after a start."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


# The rule counts arrivals in any second. A call may arrive up to a quarter of a second
# later than the one before it, relative to their starts, without breaking it.
WINDOW_SECONDS = 1.25
# Calls that a window has less than the rule allows.
MARGIN_CALLS = 1
# Part of a window that is kept for urgent calls, while there are any.
URGENT_SHARE = 0.25
URGENT_MEMORY_SECONDS = 10.0
# Rounding of the clock must not leave a timer that expires just before its call.
TIME_TOLERANCE_SECONDS = 1e-6
# After a sign of a restart, reports that the server sent before may still arrive.
LATE_REPORT_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class ColdRule:
    """What a cold server of a service may get.

    ``calls_per_second`` is the most calls in any one second. ``warm_up_seconds`` is how
    long a server is cold that does not report it.
    """

    calls_per_second: float
    warm_up_seconds: float

    @property
    def max_calls(self) -> int:
        """The most calls that are started in a window."""
        whole = math.floor(self.calls_per_second)
        return whole - MARGIN_CALLS if whole > MARGIN_CALLS else whole


class ColdLimit:
    """Counts the calls started in any window, and knows whether the server is cold.

    Load pattern: a busy server is restarted, and the calls of all daemons reach it
    again before its first report. So the starts are counted also while the server is
    warm, and each sign of a restart counts as cold until a report says otherwise.
    ``rule`` returns the limit in force, None without one. ``closed_until`` is when the
    calls of an earlier process of this daemon no longer count.
    """

    def __init__(
        self, rule: Callable[[], ColdRule | None], now: float, closed_until: float = 0.0
    ) -> None:
        self.rule = rule
        self.closed_until = closed_until
        self.starts: deque[float] = deque()
        self.cold_until = 0.0
        self.unknown_since: float | None = now
        self.is_reported = False
        self.suspected_at = self.urgent_at = -math.inf

    def is_cold(self, now: float) -> bool:
        """Return whether the limit applies now."""
        return self._rule_in_force(now) is not None

    def _rule_in_force(self, now: float) -> ColdRule | None:
        """Return the rule if the server is cold; a warm one does not need it."""
        unknown_since = self.unknown_since
        if unknown_since is None and now >= self.cold_until:
            return None
        rule = self.rule()
        if rule is None or unknown_since is None or self.is_reported:
            return rule
        return rule if now < unknown_since + rule.warm_up_seconds else None

    def report(self, left_seconds: float | None, now: float) -> None:
        """Apply the rest of the warm-up that the server reports, None if it does not.

        A report that may have been sent before a restart is ignored.
        """
        if left_seconds is None or now - self.suspected_at < LATE_REPORT_SECONDS:
            return
        self.is_reported = True
        self.unknown_since = None
        self.cold_until = now + left_seconds

    def suspect_restart(self, now: float) -> bool:
        """Count as cold until the next report; return whether that is a change."""
        was_cold = self.is_cold(now)
        self.unknown_since = self.suspected_at = now
        return not was_cold and self.is_cold(now)

    def calls_per_second(self, now: float) -> float | None:
        """Return the rate that is used while the server is cold, None if it is warm."""
        rule = self._rule_in_force(now)
        return None if rule is None else rule.max_calls / WINDOW_SECONDS

    def seconds_until_calls(self, count: int, urgent: bool, now: float) -> float:
        """Return the seconds until ``count`` calls may have been started."""
        rule = self._rule_in_force(now)
        if rule is None:
            return 0.0
        max_calls = rule.max_calls
        if not urgent and now - self.urgent_at < URGENT_MEMORY_SECONDS:
            max_calls -= int(max_calls * URGENT_SHARE)
        wait = WINDOW_SECONDS
        if max_calls:
            wait = self._seconds_until_free(count, max_calls, now)
        wait = max(wait, self.closed_until - now)
        if self.unknown_since is None:
            wait = min(wait, self.cold_until - now)
        return wait if wait > TIME_TOLERANCE_SECONDS else 0.0

    def _seconds_until_free(self, count: int, max_calls: int, now: float) -> float:
        """Return the seconds until ``count`` calls fit, ``max_calls`` in a window."""
        self._forget_old(now)
        windows, last = divmod(count - 1, max_calls)
        # The start that has to leave the window before the last of the calls.
        blocking = len(self.starts) + last - max_calls
        wait = windows * WINDOW_SECONDS
        if blocking >= 0:
            wait += self.starts[blocking] + WINDOW_SECONDS - now
        return wait

    def record_start(self, urgent: bool, now: float) -> None:
        """Count a call that is started."""
        if self.rule() is None:
            return
        if urgent:
            self.urgent_at = now
        self._forget_old(now)
        self.starts.append(now)

    def continue_from(self, previous: ColdLimit) -> None:
        """Count the starts at the server that had the address before.

        Some of these calls may have reached the new server already.
        """
        self.starts.extend(previous.starts)
        self.urgent_at = previous.urgent_at
        self.closed_until = max(self.closed_until, previous.closed_until)

    def _forget_old(self, now: float) -> None:
        while self.starts and self.starts[0] <= now - WINDOW_SECONDS:
            self.starts.popleft()


__all__ = ["WINDOW_SECONDS", "ColdLimit", "ColdRule"]
