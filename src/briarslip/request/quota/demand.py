"""The rates at which requests are offered, by their source."""

from __future__ import annotations

import math
from typing import Generic
from typing import TypeVar


Source = TypeVar("Source")

DECAY_SECONDS = 2.0
MIN_VALUE = 1e-3


class Demand(Generic[Source]):
    """Offered requests of each source, as counts that decay exponentially."""

    def __init__(self, decay_seconds: float = DECAY_SECONDS) -> None:
        self.decay_seconds = decay_seconds
        self.values: dict[Source, float] = {}
        self.updated_at = 0.0

    def add(self, source: Source, offered: int, now: float) -> None:
        """Count requests that a source was offered."""
        self._decay(now)
        if offered:
            self.values[source] = self.values.get(source, 0.0) + offered

    def shares(self, now: float) -> dict[Source, float]:
        """Return each source's share of the demand; empty without any."""
        self._decay(now)
        total = sum(self.values.values())
        return {source: value / total for source, value in self.values.items()}

    def counts(self, now: float) -> dict[Source, float]:
        """Return the decayed count of each source."""
        self._decay(now)
        return self.values

    def remove(self, source: Source) -> None:
        """Forget a source."""
        self.values.pop(source, None)

    def _decay(self, now: float) -> None:
        elapsed, self.updated_at = now - self.updated_at, now
        if elapsed <= 0.0 or not self.values:
            return
        factor = math.exp(-elapsed / self.decay_seconds)
        self.values = {
            source: value * factor
            for source, value in self.values.items()
            if value * factor > MIN_VALUE
        }


__all__ = ["Demand"]
