"""How long a caller has waited already when its request arrives."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.version.record import Route


class ElapsedTimeEstimator:
    """Learns from callers' deadlines how much of their time is gone.

    Callers of one route begin with the same time, so one that has less of it
    left has been here before. The longest one seen is remembered by route.
    """

    def __init__(self) -> None:
        self.longest: dict[str, float] = {}

    def target_left(self, route: Route, timeout: float | None) -> float:
        """Return the seconds in which an answer meets the route's target.

        ``timeout`` is what the caller allows, None if it does not say.
        """
        if route.target is None:
            return math.inf
        target = route.target.total_seconds()
        if timeout is None:
            return target
        longest = self.longest.get(route.name, 0.0)
        if timeout > longest:
            longest = self.longest[route.name] = timeout
        return max(0.0, target - (longest - timeout))


__all__ = ["ElapsedTimeEstimator"]
