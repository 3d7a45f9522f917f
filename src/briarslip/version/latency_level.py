"""Latency levels of single servers, in buckets of the evidence counters."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarslip.version.evidence import BUCKETS


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


LEVEL_QUANTILE = 0.75
MIN_LEVEL_CALLS = 20
MIN_BASELINE_CALLS = 30
MAX_KEPT_CALLS = 800
MIN_MARGIN_BUCKETS = 2.0
LONE_SERVER_MARGIN_BUCKETS = 4.0
BASELINE_MARGIN_BUCKETS = 3


@dataclass(slots=True)
class LatencyLevel:
    """The recent latencies of one server and its first ones.

    ``baseline`` is the bucket of the level quantile over the first calls,
    None until there are enough.
    """

    counts: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    total: int = 0
    baseline: int | None = None

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

    @property
    def level(self) -> int:
        """The bucket that holds the level quantile."""
        below = 0
        for bucket, count in enumerate(self.counts):
            below += count
            if below >= LEVEL_QUANTILE * self.total:
                return bucket
        return BUCKETS - 1


def slow_limit(levels: Iterable[LatencyLevel]) -> int | None:
    """Return the last bucket that the spread of these servers covers.

    Servers differ, and a few of them show less than the whole spread: the
    limit lies beyond the slowest by twice the mean gap between them.
    """
    known = [level.level for level in levels if level.total >= MIN_LEVEL_CALLS]
    if not known:
        return None
    margin = LONE_SERVER_MARGIN_BUCKETS
    if len(known) > 1:
        gap = (max(known) - min(known)) / (len(known) - 1)
        margin = max(MIN_MARGIN_BUCKETS, 2 * gap)
    return math.ceil(max(known) + margin)


__all__ = ["BASELINE_MARGIN_BUCKETS", "LatencyLevel", "slow_limit"]
