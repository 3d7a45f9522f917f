"""Learned service times, by route."""

from __future__ import annotations


WEIGHT = 0.1


class ServiceTimes:
    """Moving means of service times in seconds; 0 where none is known."""

    def __init__(self) -> None:
        self.means: dict[str, float] = {}

    def mean(self, name: str) -> float:
        """Return the mean of one route or priority."""
        return self.means.get(name, 0.0)

    def take(self, name: str, seconds: float) -> None:
        """Take one measured time."""
        known = self.means.get(name)
        if known is None:
            self.means[name] = seconds
        else:
            self.means[name] = known + (seconds - known) * WEIGHT


__all__ = ["ServiceTimes"]
