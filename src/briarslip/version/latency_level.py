"""Latency levels of single servers, in buckets of the evidence counters."""

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
MAX_KEPT_CALLS = 800
MIN_MARGIN_BUCKETS = 2.0
GAP_FACTOR = 2.0
LONE_SERVER_MARGIN_BUCKETS = 4.0
GROUP_MARGIN_BUCKETS = 1.0
MIN_GROUP_ORDERS = 70


@dataclass(slots=True)
class LatencyLevel:
    """The recent latencies of one server and its first ones.

    Levels are buckets with a fraction: the quantile lies that far into them.
    ``baseline`` is the level over the first calls, None until there are enough.
    """

    counts: list[int] = field(default_factory=lambda: [0] * BUCKET_COUNT)
    total: int = 0
    baseline: float | None = None

    def add(self, latencies: Sequence[int]) -> None:
        """Count latencies; older ones lose weight by halves."""
        for bucket, count in enumerate(latencies):
            self.counts[bucket] += count
        self.total = sum(self.counts)
        if self.baseline is None and self.total >= MIN_BASELINE_CALLS:
            self.baseline = self.level
        while self.total > MAX_KEPT_CALLS:
            self.counts = [count // 2 for count in self.counts]
            self.total = sum(self.counts)

    def replace(self, other: LatencyLevel) -> None:
        """Take over the recent latencies of another measurement."""
        self.counts, self.total = list(other.counts), other.total

    @property
    def known(self) -> bool:
        """Whether there are calls enough for a level."""
        return self.total >= MIN_LEVEL_CALLS

    @property
    def level(self) -> float:
        """The bucket that holds the level quantile."""
        return self.at(LEVEL_QUANTILE)

    def at(self, quantile: float) -> float:
        """Return the bucket that holds a quantile."""
        wanted, below = quantile * self.total, 0
        for bucket, count in enumerate(self.counts):
            if below + count >= wanted and count:
                return bucket - 1 + (wanted - below) / count
            below += count
        return float(BUCKET_COUNT - 1)


def slow_limit(levels: Iterable[LatencyLevel]) -> int | None:
    """Return the last bucket that the spread of these servers covers.

    Servers differ, and a few of them show less than the whole spread: the
    limit lies beyond the slowest by some times the mean gap between them.
    """
    known = [level.level for level in levels if level.known]
    if not known:
        return None
    margin = LONE_SERVER_MARGIN_BUCKETS
    if len(known) > 1:
        gap = (max(known) - min(known)) / (len(known) - 1)
        margin = max(MIN_MARGIN_BUCKETS, GAP_FACTOR * gap)
    return math.ceil(max(known) + margin)


def stands_apart(new: Sequence[LatencyLevel], old: Sequence[LatencyLevel]) -> bool:
    """Whether every new server is slower than every old one.

    Were they alike, this would be one of many orders of the servers; with
    too few servers the order proves nothing.
    """
    if math.comb(len(new) + len(old), len(new)) < MIN_GROUP_ORDERS:
        return False
    return lies_above(new, old)


def lies_above(new: Sequence[LatencyLevel], old: Sequence[LatencyLevel]) -> bool:
    """Whether all levels of ``new`` are above those of ``old``, with a margin."""
    slowest_old = max(level.level for level in old)
    return min(level.level for level in new) >= slowest_old + GROUP_MARGIN_BUCKETS


__all__ = ["LatencyLevel", "lies_above", "slow_limit", "stands_apart"]
