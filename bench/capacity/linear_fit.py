"""Linear fits to measured points, by least squares."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True)
class LinearFit:
    """The line ``intercept + slope * x``."""

    intercept: float
    slope: float

    @classmethod
    def from_points(cls, points: Sequence[tuple[float, float]]) -> LinearFit:
        """Fit a line to points ``(x, y)``, with at least two different values of x."""
        mean_x = sum(x for x, _ in points) / len(points)
        mean_y = sum(y for _, y in points) / len(points)
        sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
        return cls(mean_y - slope * mean_x, slope)

    def value_at(self, x: float) -> float:
        """Return the value of the line at x."""
        return self.intercept + self.slope * x


__all__ = ["LinearFit"]
