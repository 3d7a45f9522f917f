"""Evidence on versions: each daemon's counters of calls at its own backend servers.

Counters only grow within one incarnation of a daemon, so each report supersedes
the earlier ones and a lost report loses no counts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from enum import Enum


SLICE_SECONDS = 0.5
BUCKET_COUNT = 36
BUCKETS_PER_DOUBLING = 2
FIRST_BUCKET_SECONDS = 0.0005
# Warm-up time of a server that does not report when it is warm.
WARM_UP_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class CounterKey:
    """The service version and the route that a service's counters are for."""

    version: str
    route: str


class CallResult(Enum):
    """How a call ended at its server; the server has not run a rejected call."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class Counters:
    """Call and failure counts and a latency histogram of ``BUCKET_COUNT`` buckets.

    ``calls`` includes ``failures`` but not ``rejections``, the calls that the server
    did not run; these are not in the histogram either.
    """

    calls: int
    failures: int
    latencies: tuple[int, ...]
    rejections: int = 0

    def since(self, before: Counters) -> Counters:
        """Return the increase over an earlier reading of the same counters."""
        pairs = zip(self.latencies, before.latencies, strict=True)
        return Counters(
            self.calls - before.calls,
            self.failures - before.failures,
            tuple(current - earlier for current, earlier in pairs),
            self.rejections - before.rejections,
        )


ZERO_COUNTERS = Counters(0, 0, (0,) * BUCKET_COUNT)


@dataclass(frozen=True, slots=True)
class Report:
    """The counters of one daemon for one service at the end of a time slice.

    ``time_slice`` is the number of slices of ``SLICE_SECONDS`` since 1970 by the wall
    clock, so that the reports of all daemons cover the same time. ``reporter`` is
    the daemon's IP:PORT.
    """

    reporter: str
    availability_zone: str
    service: str
    incarnation: int
    time_slice: int
    entries: tuple[tuple[CounterKey, Counters], ...]

    @property
    def recency_key(self) -> tuple[int, int]:
        """Sort key of one daemon's reports, greater for newer ones."""
        return (self.incarnation, self.time_slice)


@dataclass(frozen=True, slots=True)
class Increment:
    """The increase of one server's counters for one service version and route."""

    server: str
    version: str
    route: str
    counters: Counters


def bucket_of(latency_seconds: float) -> int:
    """Return the histogram bucket of a latency."""
    if latency_seconds <= FIRST_BUCKET_SECONDS:
        return 0
    steps = math.log2(latency_seconds / FIRST_BUCKET_SECONDS) * BUCKETS_PER_DOUBLING
    return min(BUCKET_COUNT - 1, int(steps) + 1)


def bucket_upper_bound(bucket: int) -> float:
    """Return the longest latency in a bucket, in seconds."""
    return float(FIRST_BUCKET_SECONDS * 2.0 ** (bucket / BUCKETS_PER_DOUBLING))


def time_slice_of(timestamp_seconds: float) -> int:
    """Return the time slice of a wall clock time since 1970."""
    return int(timestamp_seconds / SLICE_SECONDS)


@dataclass(slots=True)
class Tally:
    """Mutable counters of one service version's calls on one route."""

    calls: int = 0
    failures: int = 0
    latencies: list[int] = field(default_factory=lambda: [0] * BUCKET_COUNT)
    rejections: int = 0

    def add(self, result: CallResult, latency_seconds: float, is_warm: bool) -> None:
        """Count one call; its latency counts only if the server ran it and is warm."""
        if result is CallResult.REJECTED:
            self.rejections += 1
            return
        self.calls += 1
        self.failures += result is CallResult.FAILED
        if is_warm:
            self.latencies[bucket_of(latency_seconds)] += 1

    @property
    def counters(self) -> Counters:
        """An immutable copy of the counters."""
        return Counters(
            self.calls, self.failures, tuple(self.latencies), self.rejections
        )


@dataclass(slots=True)
class EvidenceAggregator:
    """The newest report of each daemon on one service.

    ``consumed`` has the last report of each daemon whose increase was returned.
    """

    reports: dict[str, Report] = field(default_factory=dict)
    consumed: dict[str, Report] = field(default_factory=dict)

    def merge(self, report: Report) -> bool:
        """Merge a report; return whether it is newer than the daemon's last one."""
        current = self.reports.get(report.reporter)
        if current is not None and current.recency_key >= report.recency_key:
            return False
        self.reports[report.reporter] = report
        return True

    def consume_increments(self) -> tuple[Increment, ...]:
        """Return the increase of all counters since the last call.

        The first report of an incarnation only sets the baseline, as the calls that
        it counts may date from long before.
        """
        increments: list[Increment] = []
        for reporter, report in self.reports.items():
            before = self.consumed.get(reporter)
            if before is report:
                continue
            self.consumed[reporter] = report
            if before is not None and before.incarnation == report.incarnation:
                increments.extend(_increments_between(report, before))
        return tuple(increments)


def _increments_between(report: Report, before: Report) -> list[Increment]:
    earlier = dict(before.entries)
    return [
        Increment(
            report.reporter,
            key.version,
            key.route,
            counters.since(earlier.get(key, ZERO_COUNTERS)),
        )
        for key, counters in report.entries
        if counters != earlier.get(key)
    ]


__all__ = [
    "BUCKET_COUNT",
    "SLICE_SECONDS",
    "WARM_UP_SECONDS",
    "ZERO_COUNTERS",
    "CallResult",
    "CounterKey",
    "Counters",
    "EvidenceAggregator",
    "Increment",
    "Report",
    "Tally",
    "bucket_of",
    "bucket_upper_bound",
    "time_slice_of",
]
