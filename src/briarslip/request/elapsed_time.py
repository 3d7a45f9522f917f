"""Estimate of the time that a caller has spent before its request arrives."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.version.record import Route


class ElapsedTimeEstimator:
    """Estimates from callers' timeouts how much of a latency target has elapsed.

    Callers of a route are assumed to start with the same timeout. A shorter
    timeout then means that the caller has used up the difference, for instance
    by an earlier attempt. ``longest_timeouts`` holds the longest timeout in
    seconds by route.
    """

    def __init__(self) -> None:
        self.longest_timeouts: dict[str, float] = {}

    def remaining_target_seconds(
        self, route: Route, timeout_seconds: float | None
    ) -> float:
        """Return the seconds that are left to meet the route's latency target.

        The result is infinite if the route has no target. ``timeout_seconds`` is the
        timeout that the caller sent, None if it sent none.
        """
        if route.target is None:
            return math.inf
        target = route.target.total_seconds()
        if timeout_seconds is None:
            return target
        longest_timeout = self.longest_timeouts.get(route.name, 0.0)
        if timeout_seconds > longest_timeout:
            longest_timeout = self.longest_timeouts[route.name] = timeout_seconds
        return max(0.0, target - (longest_timeout - timeout_seconds))


__all__ = ["ElapsedTimeEstimator"]
