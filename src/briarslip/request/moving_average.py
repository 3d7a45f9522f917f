"""Moving averages of measured times."""

from __future__ import annotations


MOVING_AVERAGE_WEIGHT = 0.1


class MovingAverages:
    """Exponential moving averages of times in seconds, by name."""

    def __init__(self) -> None:
        self.means: dict[str, float] = {}

    def mean(self, name: str) -> float:
        """Return the mean in seconds for a name, 0 if none was recorded."""
        return self.means.get(name, 0.0)

    def record(self, name: str, seconds: float) -> None:
        """Record a measured time."""
        previous = self.means.get(name)
        if previous is None:
            self.means[name] = seconds
        else:
            self.means[name] = previous + (seconds - previous) * MOVING_AVERAGE_WEIGHT


__all__ = ["MovingAverages"]
