"""Canary analysis of one rollout: tests a new version's evidence for faults."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarslip.version.decision import Fault
from briarslip.version.event_share_tests import EventShareTests
from briarslip.version.fault_test import DecayingCount
from briarslip.version.fault_test import EvidenceThresholds
from briarslip.version.fault_test import ExcessShareTest
from briarslip.version.fault_test import GroupLatencyTest
from briarslip.version.fault_test import PooledLatencyTest
from briarslip.version.fault_test import VersionCounts
from briarslip.version.latency_level import LatencyLevel
from briarslip.version.latency_level import slow_limit
from briarslip.version.sequential_test import ZERO_COUNT
from briarslip.version.sequential_test import EventCount


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.version.evidence import Increment


FALSE_ALARM_RATE = 0.002
FALSE_SUSPICION_RATE = 0.05
# Shares of the error rates, relative to one another. Callers are not harmed by
# rejected calls, which are retried elsewhere, so that fault may be found later.
TEST_WEIGHT = 1.0
REJECTION_TEST_WEIGHT = 0.1
WEIGHT_PER_ROUTE = 5 * TEST_WEIGHT + 2 * REJECTION_TEST_WEIGHT
COARSE_START_COUNT = 200
# Of the window; a rollout must not be held for the rest of it by a lasting change.
MAX_SHARED_FRACTION = 0.6
NULL_SLOW_SHARE = 0.25
SHARED_SLOW_SHARE = 0.15
MIN_SLOW_SERVERS = 2
SLOWDOWN_BUCKETS = 3.0
SHARED_SLOWDOWN_BUCKETS = 2.0


@dataclass(frozen=True, slots=True)
class Conclusion:
    """The result of the analysis so far: the fault that is certain, if any.

    ``is_suspicious`` means that the rollout should be held, so that the old version
    gets enough traffic for a comparison.
    """

    fault: Fault | None
    is_suspicious: bool


@dataclass(slots=True)
class RouteAnalysis:
    """The tests of one route and the data that they compare with.

    ``failures`` compares the calls that servers ran, ``rejections`` those that they
    did not run. ``slow`` compares latencies with the spread of the old servers' levels,
    and ``slowdown`` compares them with each server's own baseline. ``recent_counts``
    has the new and the old version's counts for each figure.

    Load pattern: the old version's servers shed a large part of their load while the
    new version fails. Rejections of the one do not explain failures of the other. If
    both fail, it can't be told yet whether the new version would without the shared
    cause, and its share must not rise until then.
    """

    failures: EventShareTests
    rejections: EventShareTests
    slow: ExcessShareTest = field(default_factory=ExcessShareTest)
    slowdown: ExcessShareTest = field(default_factory=ExcessShareTest)
    group: GroupLatencyTest = field(default_factory=GroupLatencyTest)
    pooled: PooledLatencyTest = field(default_factory=PooledLatencyTest)
    levels: dict[str, LatencyLevel] = field(default_factory=dict)
    old_servers: set[str] = field(default_factory=set)
    recent_counts: dict[str, tuple[DecayingCount, DecayingCount]] = field(
        default_factory=dict
    )

    @classmethod
    def from_window(cls, window_steps: int) -> RouteAnalysis:
        """Return the analysis of a route in a window of some time steps."""
        max_shared_steps = int(MAX_SHARED_FRACTION * window_steps)
        return cls(EventShareTests(max_shared_steps), EventShareTests(max_shared_steps))

    @property
    def is_suspicious(self) -> bool:
        """Whether a test needs more calls of the old version, or undisturbed ones."""
        is_latency_suspicious = (
            self.group.remeasured is not None or self.pooled.is_suspicious
        )
        return (
            is_latency_suspicious
            or self.failures.is_ambiguous
            or self._has_suspicious_share
        )

    @property
    def _has_suspicious_share(self) -> bool:
        return any(
            test.is_suspicious
            for test in (
                self.failures.excess,
                self.rejections.excess,
                self.slow,
                self.slowdown,
            )
        )

    def update(
        self,
        version: str,
        increments: list[Increment],
        server_count: int,
        log_weight: float,
        thresholds: EvidenceThresholds,
    ) -> str | None:
        """Add the increments of a step; return the figure that shows a fault."""
        figure = self._update_event_shares(version, increments, log_weight, thresholds)
        latency_figure = self._update_latencies(
            version, increments, server_count, log_weight, thresholds
        )
        figure = latency_figure or figure
        self._record_levels(version, increments)
        return figure

    def _update_event_shares(
        self,
        version: str,
        increments: list[Increment],
        log_weight: float,
        thresholds: EvidenceThresholds,
    ) -> str | None:
        """Compare the shares of failed and of rejected calls."""
        failed = _count_by_version(version, increments, _count_failures)
        rejected = _count_by_version(version, increments, _count_rejections)
        self._record_counts("failure_share", failed)
        self._record_counts("rejected_share", rejected)
        figure = None
        if self.rejections.update(
            rejected, log_weight, thresholds.with_weight(REJECTION_TEST_WEIGHT)
        ):
            figure = "rejected_share"
        if self.failures.update(failed, log_weight, thresholds):
            figure = "failure_share"
        return figure

    def _update_latencies(
        self,
        version: str,
        increments: list[Increment],
        server_count: int,
        log_weight: float,
        thresholds: EvidenceThresholds,
    ) -> str | None:
        """Compare latencies with the old servers' spread and each server's baseline.

        A single slow server may be a slow machine, so ``MIN_SLOW_SERVERS`` of the
        new servers must be slow, or all of them if there are fewer.
        """
        old = self._measured_levels(lambda server: server in self.old_servers)
        new = self._measured_levels(lambda server: server not in self.old_servers)
        slowed = _count_by_version(
            version, increments, lambda i: self._count_slowed(i, SLOWDOWN_BUCKETS)
        )
        control = _count_by_version(
            version,
            increments,
            lambda i: self._count_slowed(i, SHARED_SLOWDOWN_BUCKETS),
        ).old
        limit = slow_limit(old.values())
        figure = None
        if limit is not None:
            slow = _count_by_version(
                version, increments, lambda i: _count_slow(i, limit)
            )
            self._record_counts("slow_share", slow)
            slow_server_count = sum(level.level > limit for level in new.values())
            if slow_server_count < min(MIN_SLOW_SERVERS, server_count):
                self.slow.reset()
            elif self._update_slow_test(
                self.slow, VersionCounts(slow.new, control), log_weight, thresholds
            ):
                figure = "slow_share"
        self._record_counts("slowed_share", VersionCounts(slowed.new, control))
        if self._update_slow_test(
            self.slowdown, VersionCounts(slowed.new, control), log_weight, thresholds
        ):
            figure = figure or "slowed_share"
        if self.group.update(new, old, increments):
            figure = figure or "slow_share"
        if self._update_pooled(
            version, increments, server_count, log_weight, thresholds
        ):
            figure = figure or "pooled_slow_share"
        return figure

    def _update_pooled(
        self,
        version: str,
        increments: list[Increment],
        server_count: int,
        log_weight: float,
        thresholds: EvidenceThresholds,
    ) -> bool:
        pooled = self.pooled
        limit = pooled.limit
        is_certain = False
        if limit is not None:
            slow = _count_by_version(
                version, increments, lambda i: _count_slow(i, limit)
            )
            self._record_counts("pooled_slow_share", slow)
            for increment in increments:
                if increment.version == version:
                    pooled.record(increment.server, _count_slow(increment, limit))
            min_slow_servers = min(MIN_SLOW_SERVERS, server_count)
            is_certain = pooled.update(slow, min_slow_servers, log_weight, thresholds)
        for increment in increments:
            if increment.version != version:
                pooled.old_level.add(increment.counters.latencies)
        return is_certain

    @staticmethod
    def _update_slow_test(
        test: ExcessShareTest,
        counts: VersionCounts,
        log_weight: float,
        thresholds: EvidenceThresholds,
    ) -> bool:
        return test.update(
            counts, NULL_SLOW_SHARE, SHARED_SLOW_SHARE, log_weight, thresholds
        )

    def _measured_levels(
        self, is_selected: Callable[[str], bool]
    ) -> dict[str, LatencyLevel]:
        return {
            server: level
            for server, level in self.levels.items()
            if level.has_enough_calls and is_selected(server)
        }

    def _count_slowed(self, increment: Increment, buckets: float) -> EventCount:
        """Count calls slower than the server's baseline by more than ``buckets``."""
        level = self.levels.get(increment.server)
        if level is None or level.baseline is None:
            return ZERO_COUNT
        return _count_slow(increment, math.ceil(level.baseline + buckets))

    def _record_levels(self, version: str, increments: list[Increment]) -> None:
        for increment in increments:
            level = self.levels.setdefault(increment.server, LatencyLevel())
            level.add(increment.counters.latencies)
            if increment.version != version:
                self.old_servers.add(increment.server)

    def _record_counts(self, figure: str, counts: VersionCounts) -> None:
        new, old = self.recent_counts.setdefault(
            figure, (DecayingCount(), DecayingCount())
        )
        new.add(counts.new)
        old.add(counts.old)

    def fault(self, route: str, figure: str) -> Fault:
        """Return a fault with the recent shares of both versions."""
        new, old = self.recent_counts[figure]
        return Fault(route, figure, round(new.share, 4), round(old.share, 4))


class Analyzer:
    """Sequential analysis of one rollout.

    ``window_steps`` is the number of time steps in the rollout's window. The false
    alarm rate is that of the whole window; the tests of all routes share it.
    """

    def __init__(self, version: str, window_steps: int) -> None:
        self.version = version
        self.window_steps = max(1, window_steps)
        self.steps_done = 0
        self.routes: dict[str, RouteAnalysis] = {}

    def observe(
        self, increments: Iterable[Increment], steps: int = 1, server_count: int = 1
    ) -> Conclusion:
        """Analyze the increments of one or more time steps.

        ``server_count`` is the number of servers of the new version.
        """
        by_route: dict[str, list[Increment]] = {}
        for increment in increments:
            by_route.setdefault(increment.route, []).append(increment)
            if increment.route not in self.routes:
                analysis = RouteAnalysis.from_window(self.window_steps)
                self.routes[increment.route] = analysis
        log_weight = self._log_weight(steps)
        thresholds = self._thresholds()
        self.steps_done += steps
        fault = None
        for route, analysis in self.routes.items():
            figure = analysis.update(
                self.version,
                by_route.get(route, []),
                server_count,
                log_weight,
                thresholds,
            )
            if figure is not None and fault is None:
                fault = analysis.fault(route, figure)
        is_suspicious = any(analysis.is_suspicious for analysis in self.routes.values())
        return Conclusion(fault, is_suspicious)

    def _thresholds(self) -> EvidenceThresholds:
        """Return the thresholds of a test of ``TEST_WEIGHT``.

        They divide the error rates among all tests of all routes.
        """
        total_weight = WEIGHT_PER_ROUTE * max(1, len(self.routes))
        return EvidenceThresholds(
            math.log(total_weight / FALSE_ALARM_RATE),
            math.log(total_weight / FALSE_SUSPICION_RATE),
        )

    def _log_weight(self, steps: int) -> float:
        """Return the logarithm of the weight of a fault that begins at this step.

        A third of the total weight is on the first step, a third is spread over
        ``COARSE_START_COUNT`` steps of the window and a third over all of its steps.
        This detects a fault present from the start soon, also with little traffic,
        and later faults with little delay.
        """
        stride = max(1, self.window_steps // COARSE_START_COUNT)
        weight = 1.0 / self.window_steps
        if self.steps_done % stride == 0 or self.steps_done % stride + steps > stride:
            weight += 1.0 / COARSE_START_COUNT
        if self.steps_done == 0:
            weight += 1.0
        return math.log(weight / 3)


def _count_by_version(
    version: str,
    increments: Iterable[Increment],
    count: Callable[[Increment], EventCount],
) -> VersionCounts:
    """Sum the event counts of increments by version."""
    new = old = ZERO_COUNT
    for increment in increments:
        if increment.version == version:
            new += count(increment)
        else:
            old += count(increment)
    return VersionCounts(new, old)


def _count_failures(increment: Increment) -> EventCount:
    return EventCount(increment.counters.calls, increment.counters.failures)


def _count_rejections(increment: Increment) -> EventCount:
    counters = increment.counters
    return EventCount(counters.calls + counters.rejections, counters.rejections)


def _count_slow(increment: Increment, limit: int) -> EventCount:
    """Count the calls in latency buckets above ``limit``."""
    latencies = increment.counters.latencies
    return EventCount(sum(latencies), sum(latencies[limit + 1 :]))


__all__ = ["Analyzer", "Conclusion"]
