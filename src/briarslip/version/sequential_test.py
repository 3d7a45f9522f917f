"""Sequential tests whose false alarm rate holds however often they are evaluated.

Each test keeps an e-detector: a weighted sum of likelihood ratios, one for each
time at which the fault may have begun, with weights that add up to at most one.
Under the null hypothesis this sum is a supermartingale, so by Ville's inequality
the probability that it ever reaches 1 / alpha is at most alpha.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field


RATE_RATIO_ALTERNATIVES = (1.6, 3.0, 8.0, 30.0, 120.0)
EXCESS_ALTERNATIVES = (0.15, 0.45, 0.9)
LOG_ZERO = -math.inf


@dataclass(frozen=True, slots=True)
class EventCount:
    """A number of calls and how many of them showed the tested event."""

    calls: int
    events: int

    def __add__(self, other: EventCount) -> EventCount:
        return EventCount(self.calls + other.calls, self.events + other.events)

    @property
    def share(self) -> float:
        """The fraction of calls with the event, 0 without calls."""
        return self.events / self.calls if self.calls else 0.0


ZERO_COUNT = EventCount(0, 0)


@dataclass(slots=True)
class EDetector:
    """E-detector over several alternative hypotheses.

    ``log_sums`` has the natural logarithm of the weighted sum of likelihood
    ratios for each alternative.
    """

    alternative_count: int
    log_sums: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Discard all evidence; this can only lower the false alarm rate."""
        self.log_sums = [LOG_ZERO] * self.alternative_count

    def update(
        self, log_likelihood_ratios: tuple[float, ...], log_weight: float
    ) -> None:
        """Add the observations of one step.

        ``log_likelihood_ratios`` has one value for each alternative.
        ``log_weight`` is the logarithm of the weight given to a fault that begins
        at this step.
        """
        for index, log_likelihood_ratio in enumerate(log_likelihood_ratios):
            self.log_sums[index] = (
                log_add_exp(self.log_sums[index], log_weight) + log_likelihood_ratio
            )

    @property
    def log_evidence(self) -> float:
        """The natural logarithm of the mean of the sums over the alternatives."""
        total = LOG_ZERO
        for value in self.log_sums:
            total = log_add_exp(total, value)
        return total - math.log(self.alternative_count)


def log_add_exp(first: float, second: float) -> float:
    """Return log(exp(first) + exp(second))."""
    low, high = min(first, second), max(first, second)
    return high if low == LOG_ZERO else high + math.log1p(math.exp(low - high))


def rate_log_likelihood_ratios(
    new: EventCount, old: EventCount, null_ratio: float
) -> tuple[float, ...]:
    """Return log-likelihood ratios for the event rates of two versions.

    Both counts cover the same time. Conditional on the total number of events,
    the events of ``new`` are binomially distributed. The null hypothesis is that
    the rate of ``new`` is at most ``null_ratio`` times the rate of ``old``. There
    is one value for each ratio in ``RATE_RATIO_ALTERNATIVES``.
    """
    exposure = new.calls * null_ratio
    total = exposure + old.calls
    if not exposure or not old.calls:
        return (0.0,) * len(RATE_RATIO_ALTERNATIVES)
    events = new.events + old.events
    return tuple(
        new.events * math.log(ratio)
        + events * math.log(total / (ratio * exposure + old.calls))
        for ratio in RATE_RATIO_ALTERNATIVES
    )


def share_log_likelihood_ratios(
    new: EventCount, null_share: float
) -> tuple[float, ...]:
    """Return log-likelihood ratios for a share of calls with the event.

    The null hypothesis is a share of at most ``null_share``. There is one value
    for each of ``EXCESS_ALTERNATIVES``, a fraction of the way from
    ``null_share`` to 1.
    """
    non_events = new.calls - new.events
    ratios = []
    for excess in EXCESS_ALTERNATIVES:
        share = null_share + excess * (1 - null_share)
        ratios.append(
            new.events * math.log(share / null_share)
            + non_events * math.log((1 - share) / (1 - null_share))
        )
    return tuple(ratios)


__all__ = [
    "EXCESS_ALTERNATIVES",
    "LOG_ZERO",
    "RATE_RATIO_ALTERNATIVES",
    "ZERO_COUNT",
    "EDetector",
    "EventCount",
    "log_add_exp",
    "rate_log_likelihood_ratios",
    "share_log_likelihood_ratios",
]
