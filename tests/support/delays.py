"""Random numbers for the longest back-off."""

from __future__ import annotations

import random


class LongestDelays(random.Random):
    """Draws the largest value of each range."""

    def uniform(self, a: float, b: float) -> float:
        """Return the upper bound."""
        return b


__all__ = ["LongestDelays"]
