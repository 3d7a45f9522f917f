"""Slots of a backend server that are reserved for urgent calls."""

from __future__ import annotations

import math


MIN_RESERVED_SHARE = 0.25
INITIAL_MEAN_SHARE = 0.5
TIME_CONSTANT_SECONDS = 2.0
RESERVED_DEVIATIONS = 0.5


class UrgentReserve:
    """Estimates how many slots urgent calls need at the same time.

    ``mean_urgent`` is the exponential moving average of the number of urgent
    calls at the server. The number is nearly Poisson-distributed, so its standard
    deviation is the square root of the mean. The reserve covers the mean and
    half a deviation, and at least a quarter of the slots. The mean starts at half
    of the slots, since bulk calls admitted before any measurement could occupy
    slots for long.
    """

    def __init__(self, slots: int, now: float) -> None:
        self.slots = slots
        self.min_reserved = max(1, int(slots * MIN_RESERVED_SHARE))
        self.mean_urgent = slots * INITIAL_MEAN_SHARE
        self.current_urgent = 0
        self.updated_at = now

    def update(self, urgent: int, now: float) -> None:
        """Set the current number of urgent calls."""
        self._update_mean(now)
        self.current_urgent = urgent

    def bulk_slots(self, now: float) -> int:
        """Return the number of slots that bulk calls may occupy, at least 1."""
        self._update_mean(now)
        needed = math.ceil(
            self.mean_urgent + RESERVED_DEVIATIONS * math.sqrt(self.mean_urgent)
        )
        return max(1, self.slots - max(self.min_reserved, needed))

    def _update_mean(self, now: float) -> None:
        weight = math.exp((self.updated_at - now) / TIME_CONSTANT_SECONDS)
        self.mean_urgent = (
            self.current_urgent + (self.mean_urgent - self.current_urgent) * weight
        )
        self.updated_at = now


__all__ = ["UrgentReserve"]
