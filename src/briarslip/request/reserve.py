"""The slots of a backend server that are kept free for urgent calls."""

from __future__ import annotations

import math


LEAST_SHARE = 0.25
FIRST_SHARE = 0.5
MEAN_SECONDS = 2.0
SPREADS = 0.5


class Reserve:
    """Learns how many slots urgent calls need at a time.

    Their number at the server is close to Poisson, so that its spread is the
    root of its mean. The reserve covers the mean and a part of the spread, and
    at least a quarter of the slots. Before anything is learned it is half of
    them, as long bulk calls that start then would stay for long.
    """

    def __init__(self, slots: int, now: float) -> None:
        self.slots = slots
        self.least = max(1, int(slots * LEAST_SHARE))
        self.mean = slots * FIRST_SHARE
        self.current = 0
        self.updated_at = now

    def count(self, urgent: int, now: float) -> None:
        """Take the number of urgent calls here, from now on."""
        self._fade(now)
        self.current = urgent

    def bulk_slots(self, now: float) -> int:
        """Return the slots that bulk calls may hold, 1 at least."""
        self._fade(now)
        needed = math.ceil(self.mean + SPREADS * math.sqrt(self.mean))
        return max(1, self.slots - max(self.least, needed))

    def _fade(self, now: float) -> None:
        weight = math.exp((self.updated_at - now) / MEAN_SECONDS)
        self.mean = self.current + (self.mean - self.current) * weight
        self.updated_at = now


__all__ = ["Reserve"]
