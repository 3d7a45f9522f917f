"""Latency levels of single servers, as buckets of the evidence's latency histogram."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarslip.version.evidence import BUCKET_COUNT


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


LEVEL_QUANTILE = 0.75
MIN_LEVEL_CALLS = 20
MIN_BASELINE_CALLS = 30
MAX_RETAINED_CALLS = 800
MIN_MARGIN_BUCKETS = 2.0
MARGIN_PER_MEAN_GAP = 2.0
LONE_SERVER_MARGIN_BUCKETS = 4.0
GROUP_MARGIN_BUCKETS = 1.0
MIN_GROUP_ORDERINGS = 70


@dataclass(slots=True)
class LatencyLevel:
    """Histogram of one server's recent latencies and the baseline of its first calls.

    A level is a fractional bucket number: 3.5 lies halfway between the upper bounds
    of buckets 3 and 4. ``baseline`` is the level when the server first had
    ``MIN_BASELINE_CALLS`` calls or more, None before that.
    """

    counts: list[int] = field(default_factory=lambda: [0] * BUCKET_COUNT)
    call_count: int = 0
    baseline: float | None = None

    def add(self, latencies: Sequence[int]) -> None:
        """Add a histogram; all counts are halved beyond ``MAX_RETAINED_CALLS``."""
        for bucket, count in enumerate(latencies):
            self.counts[bucket] += count
        self.call_count = sum(self.counts)
        if self.baseline is None and self.call_count >= MIN_BASELINE_CALLS:
            self.baseline = self.level
        while self.call_count > MAX_RETAINED_CALLS:
            self.counts = [count // 2 for count in self.counts]
            self.call_count = sum(self.counts)

    def replace_counts(self, other: LatencyLevel) -> None:
        """Replace the recent latencies by those of another measurement."""
        self.counts, self.call_count = list(other.counts), other.call_count

    @property
    def has_enough_calls(self) -> bool:
        """Whether there are enough calls to estimate a level."""
        return self.call_count >= MIN_LEVEL_CALLS

    @property
    def level(self) -> float:
        """The fractional bucket number of ``LEVEL_QUANTILE``."""
        return self.quantile_bucket(LEVEL_QUANTILE)

    def quantile_bucket(self, quantile: float) -> float:
        """Return the fractional bucket number of a quantile."""
        rank, below = quantile * self.call_count, 0
        for bucket, count in enumerate(self.counts):
            if below + count >= rank and count:
                return bucket - 1 + (rank - below) / count
            below += count
        return float(BUCKET_COUNT - 1)


def slow_limit(levels: Iterable[LatencyLevel]) -> int | None:
    """Return the last bucket within the spread of these servers' levels.

    Servers differ in speed, and a few of them show less than the full spread. The
    limit therefore lies above the slowest server's level, by a multiple of the mean
    gap between the levels. It is None while no server has enough calls.
    """
    measured = [level.level for level in levels if level.has_enough_calls]
    if not measured:
        return None
    margin = LONE_SERVER_MARGIN_BUCKETS
    if len(measured) > 1:
        mean_gap = (max(measured) - min(measured)) / (len(measured) - 1)
        margin = max(MIN_MARGIN_BUCKETS, MARGIN_PER_MEAN_GAP * mean_gap)
    return math.ceil(max(measured) + margin)


def is_significantly_slower(
    new: Sequence[LatencyLevel], old: Sequence[LatencyLevel]
) -> bool:
    """Whether every new server is slower than every old one, beyond chance.

    If the versions were equally fast, all orderings of the servers would be equally
    likely. With fewer than ``MIN_GROUP_ORDERINGS`` ways to place the new servers
    among all servers, the ordering is not significant.
    """
    if math.comb(len(new) + len(old), len(new)) < MIN_GROUP_ORDERINGS:
        return False
    return is_slower_by_margin(new, old)


def is_slower_by_margin(
    new: Sequence[LatencyLevel], old: Sequence[LatencyLevel]
) -> bool:
    """Whether all new levels exceed all old ones by ``GROUP_MARGIN_BUCKETS``."""
    slowest_old = max(level.level for level in old)
    return min(level.level for level in new) >= slowest_old + GROUP_MARGIN_BUCKETS


__all__ = [
    "LatencyLevel",
    "is_significantly_slower",
    "is_slower_by_margin",
    "slow_limit",
]
