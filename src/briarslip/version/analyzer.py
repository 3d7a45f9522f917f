"""The analyzer: from increments of evidence to what speaks against a version."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarslip.version.decision import Fault
from briarslip.version.fault_test import Bar
from briarslip.version.fault_test import ExcessTest
from briarslip.version.fault_test import GroupTest
from briarslip.version.fault_test import Pair
from briarslip.version.fault_test import PooledTest
from briarslip.version.fault_test import RatioTest
from briarslip.version.fault_test import Recent
from briarslip.version.latency_level import LatencyLevel
from briarslip.version.latency_level import slow_limit
from briarslip.version.sequential_test import NO_COUNT
from briarslip.version.sequential_test import Count


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.version.evidence import Increment


ERROR_RATE = 0.002
SUSPICION_RATE = 0.05
TESTS_PER_ROUTE = 5
COARSE_STARTS = 200
MIN_FAILURE_SHARE = 0.03
MAX_FAILURE_SHARE = 0.9
HISTORY_RATIO = 3.0
NULL_SLOW_SHARE = 0.25
SHARED_SLOW_SHARE = 0.15
MIN_SLOW_SERVERS = 2
SLOWED_BUCKETS = 3.0
SHARED_SLOWED_BUCKETS = 2.0


@dataclass(frozen=True, slots=True)
class Conclusion:
    """What the evidence says now.

    ``is_suspicious`` asks for the rollout to be held, so that the old version
    gets enough traffic to compare with.
    """

    fault: Fault | None
    is_suspicious: bool


@dataclass(slots=True)
class RouteAnalysis:
    """All tests of one route."""

    ratio: RatioTest = field(default_factory=RatioTest)
    failures: ExcessTest = field(default_factory=ExcessTest)
    slow: ExcessTest = field(default_factory=ExcessTest)
    slowed: ExcessTest = field(default_factory=ExcessTest)
    group: GroupTest = field(default_factory=GroupTest)
    pooled: PooledTest = field(default_factory=PooledTest)
    levels: dict[str, LatencyLevel] = field(default_factory=dict)
    old_servers: set[str] = field(default_factory=set)
    history: Recent = field(default_factory=Recent)
    recent: dict[str, tuple[Recent, Recent]] = field(default_factory=dict)

    @property
    def is_suspicious(self) -> bool:
        """Whether a test wants more of the old version's calls."""
        waits = self.group.fresh is not None or self.pooled.is_suspicious
        return waits or any(
            test.is_suspicious for test in (self.failures, self.slow, self.slowed)
        )

    def step(
        self,
        version: str,
        increments: list[Increment],
        servers: int,
        log_weight: float,
        bar: Bar,
    ) -> str | None:
        """Take a step; return the name of the figure that shows a fault."""
        found = self._step_failures(version, increments, log_weight, bar)
        slow = self._step_latencies(version, increments, servers, log_weight, bar)
        found = slow or found
        self._learn(version, increments)
        return found

    def _step_failures(
        self, version: str, increments: list[Increment], log_weight: float, bar: Bar
    ) -> str | None:
        failed = _pair(version, increments, _failures)
        share = max(MIN_FAILURE_SHARE, HISTORY_RATIO * self.history.share)
        limit = min(MAX_FAILURE_SHARE, share)
        certain = self.ratio.step(failed, log_weight, bar.fault)
        certain |= self.failures.step(failed, limit, limit, log_weight, bar)
        self._note("failure_share", failed)
        if not self.failures.is_suspicious:
            self.history.calls += failed.old.calls
            self.history.events += failed.old.events
        return "failure_share" if certain else None

    def _step_latencies(
        self,
        version: str,
        increments: list[Increment],
        servers: int,
        log_weight: float,
        bar: Bar,
    ) -> str | None:
        """Compare with the spread of the old servers and with earlier times.

        One slow server may be a slow machine: two must be slow, if there are
        as many.
        """
        old = self._known(lambda server: server in self.old_servers)
        new = self._known(lambda server: server not in self.old_servers)
        slowed = _pair(version, increments, lambda i: self._slowed(i, SLOWED_BUCKETS))
        control = _pair(
            version, increments, lambda i: self._slowed(i, SHARED_SLOWED_BUCKETS)
        ).old
        limit = slow_limit(old.values())
        found = None
        if limit is not None:
            over = _pair(version, increments, lambda i: _over(i, limit))
            self._note("slow_share", over)
            slow_servers = sum(level.level > limit for level in new.values())
            if slow_servers < min(MIN_SLOW_SERVERS, servers):
                self.slow.reset()
            elif self._excess(self.slow, Pair(over.new, control), log_weight, bar):
                found = "slow_share"
        self._note("slowed_share", Pair(slowed.new, control))
        if self._excess(self.slowed, Pair(slowed.new, control), log_weight, bar):
            found = found or "slowed_share"
        if self.group.step(new, old, increments):
            found = found or "slow_share"
        if self._step_pooled(version, increments, servers, log_weight, bar):
            found = found or "pooled_slow_share"
        return found

    def _step_pooled(
        self,
        version: str,
        increments: list[Increment],
        servers: int,
        log_weight: float,
        bar: Bar,
    ) -> bool:
        pooled = self.pooled
        limit = pooled.limit
        certain = False
        if limit is not None:
            over = _pair(version, increments, lambda i: _over(i, limit))
            self._note("pooled_slow_share", over)
            for increment in increments:
                if increment.version == version:
                    pooled.note(increment.server, _over(increment, limit))
            least = min(MIN_SLOW_SERVERS, servers)
            certain = pooled.step(over, least, log_weight, bar)
        for increment in increments:
            if increment.version != version:
                pooled.old.add(increment.counters.latencies)
        return certain

    @staticmethod
    def _excess(test: ExcessTest, pair: Pair, log_weight: float, bar: Bar) -> bool:
        return test.step(pair, NULL_SLOW_SHARE, SHARED_SLOW_SHARE, log_weight, bar)

    def _known(self, chosen: Callable[[str], bool]) -> dict[str, LatencyLevel]:
        return {
            server: level
            for server, level in self.levels.items()
            if level.known and chosen(server)
        }

    def _slowed(self, increment: Increment, buckets: float) -> Count:
        level = self.levels.get(increment.server)
        if level is None or level.baseline is None:
            return NO_COUNT
        return _over(increment, math.ceil(level.baseline + buckets))

    def _learn(self, version: str, increments: list[Increment]) -> None:
        for increment in increments:
            level = self.levels.setdefault(increment.server, LatencyLevel())
            level.add(increment.counters.latencies)
            if increment.version != version:
                self.old_servers.add(increment.server)

    def _note(self, figure: str, pair: Pair) -> None:
        new, old = self.recent.setdefault(figure, (Recent(), Recent()))
        new.add(pair.new)
        old.add(pair.old)

    def fault(self, route: str, figure: str) -> Fault:
        """Describe a fault by the recent shares of both versions."""
        new, old = self.recent[figure]
        return Fault(route, figure, round(new.share, 4), round(old.share, 4))


class Analyzer:
    """Watches one rollout, step by step.

    ``steps`` is how many steps the window has: the error rate holds for it.
    The tests of all routes share the error rate.
    """

    def __init__(self, version: str, steps: int) -> None:
        self.version = version
        self.steps = max(1, steps)
        self.step = 0
        self.routes: dict[str, RouteAnalysis] = {}

    def observe(
        self, increments: Iterable[Increment], steps: int = 1, servers: int = 1
    ) -> Conclusion:
        """Take what was counted over one or more steps of time.

        ``servers`` is how many servers the new version has.
        """
        by_route: dict[str, list[Increment]] = {}
        for increment in increments:
            by_route.setdefault(increment.route, []).append(increment)
            self.routes.setdefault(increment.route, RouteAnalysis())
        weight = self._log_weight(steps)
        bar = self._bar()
        self.step += steps
        fault = None
        for route, analysis in self.routes.items():
            figure = analysis.step(
                self.version, by_route.get(route, []), servers, weight, bar
            )
            if figure is not None and fault is None:
                fault = analysis.fault(route, figure)
        is_suspicious = any(analysis.is_suspicious for analysis in self.routes.values())
        return Conclusion(fault, is_suspicious)

    def _bar(self) -> Bar:
        tests = TESTS_PER_ROUTE * max(1, len(self.routes))
        return Bar(math.log(tests / ERROR_RATE), math.log(tests / SUSPICION_RATE))

    def _log_weight(self, steps: int) -> float:
        """Return the weight of a fault that begins now.

        The first step, ``COARSE_STARTS`` of the steps and all steps share the
        weight alike: this keeps the tests short for a fault that shows at
        once and for slow traffic, and still prompt for one that comes later.
        """
        stride = max(1, self.steps // COARSE_STARTS)
        weight = 1.0 / self.steps
        if self.step % stride == 0 or self.step % stride + steps > stride:
            weight += 1.0 / COARSE_STARTS
        if self.step == 0:
            weight += 1.0
        return math.log(weight / 3)


def _pair(
    version: str, increments: Iterable[Increment], count: Callable[[Increment], Count]
) -> Pair:
    new = old = NO_COUNT
    for increment in increments:
        if increment.version == version:
            new += count(increment)
        else:
            old += count(increment)
    return Pair(new, old)


def _failures(increment: Increment) -> Count:
    return Count(increment.counters.calls, increment.counters.failures)


def _over(increment: Increment, limit: int) -> Count:
    latencies = increment.counters.latencies
    return Count(sum(latencies), sum(latencies[limit + 1 :]))


__all__ = ["Analyzer", "Conclusion"]
