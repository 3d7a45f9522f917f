"""Sequential tests whose error rate holds however often they are read.

Each test keeps an e-detector: a sum of likelihood ratios, one for each time
at which the fault may have begun, weighted so that the weights add up to at
most one. Such a sum is a supermartingale under the null hypothesis, so by
Ville's inequality it ever reaches 1 / alpha with probability at most alpha.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field


RATE_RATIOS = (1.6, 3.0, 8.0, 30.0, 120.0)
EXCESS_STEPS = (0.15, 0.45, 0.9)
NEVER = -math.inf


@dataclass(frozen=True, slots=True)
class Count:
    """How many of some calls showed the event that is tested for."""

    calls: int
    events: int

    def __add__(self, other: Count) -> Count:
        return Count(self.calls + other.calls, self.events + other.events)

    @property
    def share(self) -> float:
        """The share of calls with the event, 0 without calls."""
        return self.events / self.calls if self.calls else 0.0


NO_COUNT = Count(0, 0)


@dataclass(slots=True)
class Detector:
    """Evidence, as natural logarithms, for each of several alternatives."""

    alternatives: int
    sums: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Drop all evidence; this only lowers the error rate."""
        self.sums = [NEVER] * self.alternatives

    def update(self, log_ratios: tuple[float, ...], log_weight: float) -> None:
        """Take one step; ``log_weight`` is for a fault that begins at it."""
        for index, log_ratio in enumerate(log_ratios):
            self.sums[index] = log_add(self.sums[index], log_weight) + log_ratio

    @property
    def evidence(self) -> float:
        """The logarithm of the mean over the alternatives."""
        total = NEVER
        for value in self.sums:
            total = log_add(total, value)
        return total - math.log(self.alternatives)


def log_add(first: float, second: float) -> float:
    """Return log(exp(first) + exp(second))."""
    low, high = min(first, second), max(first, second)
    return high if low == NEVER else high + math.log1p(math.exp(low - high))


def rate_log_ratios(new: Count, old: Count, null_ratio: float) -> tuple[float, ...]:
    """Compare two event rates over the same time.

    Given the number of events of both, those of ``new`` are binomial; the
    null hypothesis is a rate of at most ``null_ratio`` times that of ``old``.
    """
    exposure = new.calls * null_ratio
    total = exposure + old.calls
    if not exposure or not old.calls:
        return (0.0,) * len(RATE_RATIOS)
    events = new.events + old.events
    return tuple(
        new.events * math.log(ratio)
        + events * math.log(total / (ratio * exposure + old.calls))
        for ratio in RATE_RATIOS
    )


def share_log_ratios(new: Count, null_share: float) -> tuple[float, ...]:
    """Compare a share of events with the most it may be, ``null_share``."""
    rest = new.calls - new.events
    ratios = []
    for step in EXCESS_STEPS:
        share = null_share + step * (1 - null_share)
        ratios.append(
            new.events * math.log(share / null_share)
            + rest * math.log((1 - share) / (1 - null_share))
        )
    return tuple(ratios)


__all__ = [
    "EXCESS_STEPS",
    "NEVER",
    "NO_COUNT",
    "RATE_RATIOS",
    "Count",
    "Detector",
    "log_add",
    "rate_log_ratios",
    "share_log_ratios",
]
