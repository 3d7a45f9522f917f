"""Evidence: what each daemon has counted of its own backend servers.

Counters only grow within one incarnation of a daemon, so a newer report
replaces an older one and a lost report costs nothing.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field


SLICE_SECONDS = 0.5
BUCKET_COUNT = 36
BUCKETS_PER_DOUBLING = 2
FIRST_BUCKET_SECONDS = 0.0005
# Of a server that does not say when it is warm.
WARM_UP_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class CounterKey:
    """What a counter of a service is about."""

    version: str
    route: str


@dataclass(frozen=True, slots=True)
class Counters:
    """Calls, failures and latencies; ``latencies`` has ``BUCKET_COUNT`` counts."""

    calls: int
    failures: int
    latencies: tuple[int, ...]

    def since(self, before: Counters) -> Counters:
        """Return what was added after ``before``."""
        pairs = zip(self.latencies, before.latencies, strict=True)
        return Counters(
            self.calls - before.calls,
            self.failures - before.failures,
            tuple(now - then for now, then in pairs),
        )


NO_COUNTERS = Counters(0, 0, (0,) * BUCKET_COUNT)


@dataclass(frozen=True, slots=True)
class Report:
    """The counters of one daemon for one service at the end of a time slice.

    ``time_slice`` counts slices of ``SLICE_SECONDS`` of wall time since 1970,
    so that the reports of all daemons cover the same time.
    """

    reporter: str
    availability_zone: str
    service: str
    incarnation: int
    time_slice: int
    entries: tuple[tuple[CounterKey, Counters], ...]

    @property
    def recency_key(self) -> tuple[int, int]:
        """What orders the reports of one daemon."""
        return (self.incarnation, self.time_slice)


@dataclass(frozen=True, slots=True)
class Increment:
    """What one server of a version added on one route."""

    server: str
    version: str
    route: str
    counters: Counters


def bucket_of(latency: float) -> int:
    """Return the bucket of a latency in seconds."""
    if latency <= FIRST_BUCKET_SECONDS:
        return 0
    steps = math.log2(latency / FIRST_BUCKET_SECONDS) * BUCKETS_PER_DOUBLING
    return min(BUCKET_COUNT - 1, int(steps) + 1)


def bucket_upper_bound(bucket: int) -> float:
    """Return the longest latency of a bucket in seconds."""
    return float(FIRST_BUCKET_SECONDS * 2.0 ** (bucket / BUCKETS_PER_DOUBLING))


def time_slice_of(timestamp: float) -> int:
    """Return the slice of a wall time in seconds since 1970."""
    return int(timestamp / SLICE_SECONDS)


@dataclass(slots=True)
class Tally:
    """The growing counters of one subject at one server."""

    calls: int = 0
    failures: int = 0
    latencies: list[int] = field(default_factory=lambda: [0] * BUCKET_COUNT)

    def add(self, failed: bool, latency: float, is_warm: bool) -> None:
        """Count one call; a cold server's latencies are left out."""
        self.calls += 1
        self.failures += failed
        if is_warm:
            self.latencies[bucket_of(latency)] += 1

    @property
    def counters(self) -> Counters:
        """The counters as they stand."""
        return Counters(self.calls, self.failures, tuple(self.latencies))


@dataclass(slots=True)
class EvidenceAggregator:
    """The newest report of each daemon on one service, and what was taken of it."""

    reports: dict[str, Report] = field(default_factory=dict)
    taken: dict[str, Report] = field(default_factory=dict)

    def merge(self, report: Report) -> bool:
        """Take a report over if it is newer than the known one."""
        known = self.reports.get(report.reporter)
        if known is not None and known.recency_key >= report.recency_key:
            return False
        self.reports[report.reporter] = report
        return True

    def consume_increments(self) -> tuple[Increment, ...]:
        """Return what was added to the counters since the last call.

        The first report of an incarnation only sets the base: what it counted
        may be long past.
        """
        increments: list[Increment] = []
        for reporter, report in self.reports.items():
            before = self.taken.get(reporter)
            if before is report:
                continue
            self.taken[reporter] = report
            if before is not None and before.incarnation == report.incarnation:
                increments.extend(_added(report, before))
        return tuple(increments)


def _added(report: Report, before: Report) -> list[Increment]:
    known = dict(before.entries)
    return [
        Increment(
            report.reporter,
            subject.version,
            subject.route,
            counters.since(known.get(subject, NO_COUNTERS)),
        )
        for subject, counters in report.entries
        if counters != known.get(subject)
    ]


__all__ = [
    "BUCKET_COUNT",
    "NO_COUNTERS",
    "SLICE_SECONDS",
    "WARM_UP_SECONDS",
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
