"""The slots of a backend server that are kept free for urgent calls."""

from __future__ import annotations

import math


LEAST_SHARE = 0.25
FIRST_SHARE = 0.5
TIME_CONSTANT_SECONDS = 2.0
DEVIATIONS = 0.5


class UrgentReserve:
    """Learns how many slots urgent calls need at a time.

    ``mean`` is the exponential moving average of urgent calls at the server.
    Their number is close to Poisson, so that its standard deviation is the
    square root of the mean. The reserve covers the mean and half a deviation,
    and at least a quarter of the slots. It starts at half of them: bulk calls
    admitted before anything is learned could hold slots for long.
    """

    def __init__(self, slots: int, now: float) -> None:
        self.slots = slots
        self.least = max(1, int(slots * LEAST_SHARE))
        self.mean = slots * FIRST_SHARE
        self.current = 0
        self.updated_at = now

    def count(self, urgent: int, now: float) -> None:
        """Take the number of urgent calls here, from now on."""
        self._decay(now)
        self.current = urgent

    def bulk_slots(self, now: float) -> int:
        """Return the slots that bulk calls may hold, 1 at least."""
        self._decay(now)
        needed = math.ceil(self.mean + DEVIATIONS * math.sqrt(self.mean))
        return max(1, self.slots - max(self.least, needed))

    def _decay(self, now: float) -> None:
        weight = math.exp((self.updated_at - now) / TIME_CONSTANT_SECONDS)
        self.mean = self.current + (self.mean - self.current) * weight
        self.updated_at = now


__all__ = ["UrgentReserve"]
