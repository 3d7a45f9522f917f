"""The slots of a backend server that are kept free for urgent calls."""

from __future__ import annotations

import math


LEAST_SHARE = 0.25
MEAN_SECONDS = 2.0
SPREADS = 1.5


class Reserve:
    """Learns how many slots urgent calls need at a time.

    Their number at the server is close to Poisson, so that its spread is the
    root of its mean. The reserve covers the mean and some spreads above it,
    and at least a quarter of the slots.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.least = max(1, int(slots * LEAST_SHARE))
        self.mean = 0.0
        self.current = 0
        self.updated_at = 0.0

    def count(self, urgent: int, now: float) -> None:
        """Take the number of urgent calls here, from now on."""
        weight = math.exp((self.updated_at - now) / MEAN_SECONDS)
        self.mean = self.current + (self.mean - self.current) * weight
        self.current = urgent
        self.updated_at = now

    @property
    def bulk_slots(self) -> int:
        """The slots that bulk calls may hold, 1 at least."""
        needed = math.ceil(self.mean + SPREADS * math.sqrt(self.mean))
        return max(1, self.slots - max(self.least, needed))


__all__ = ["Reserve"]
