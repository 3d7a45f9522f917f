"""The analyzer: from increments of evidence to what speaks against a version."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarslip.version.decision import Fault
from briarslip.version.latency_level import BASELINE_MARGIN_BUCKETS
from briarslip.version.latency_level import LatencyLevel
from briarslip.version.latency_level import slow_limit
from briarslip.version.sequential_test import EXCESS_STEPS
from briarslip.version.sequential_test import NO_COUNT
from briarslip.version.sequential_test import RATE_RATIOS
from briarslip.version.sequential_test import Count
from briarslip.version.sequential_test import Detector
from briarslip.version.sequential_test import rate_log_ratios
from briarslip.version.sequential_test import share_log_ratios


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.version.evidence import Increment


ERROR_RATE = 0.002
SUSPICION_RATE = 0.05
TESTS_PER_ROUTE = 4
COARSE_STARTS = 200
NULL_RATE_RATIO = 1.25
MIN_FAILURE_SHARE = 0.03
HISTORY_RATIO = 3.0
NULL_SLOW_SHARE = 0.25
MIN_CONTROL_CALLS = 20
MIN_SHARED_EVENTS = 2
MIN_STEP_CALLS = 5
STALE_STEPS = 10
RECENT_DECAY = 0.8


@dataclass(frozen=True, slots=True)
class Bar:
    """The evidence that each conclusion takes, as natural logarithms."""

    fault: float
    suspicion: float


@dataclass(frozen=True, slots=True)
class Conclusion:
    """What the evidence says now.

    ``suspicious`` asks for the rollout to be held, so that the old version
    gets enough traffic to compare with.
    """

    fault: Fault | None
    suspicious: bool


@dataclass(frozen=True, slots=True)
class Pair:
    """The counts of both versions over the same time."""

    new: Count
    old: Count

    def __add__(self, other: Pair) -> Pair:
        return Pair(self.new + other.new, self.old + other.old)


NO_PAIR = Pair(NO_COUNT, NO_COUNT)


@dataclass(slots=True)
class Recent:
    """Shares of events over the last steps, for the report of a fault."""

    calls: float = 0.0
    events: float = 0.0

    def add(self, count: Count) -> None:
        """Add a step; earlier steps lose weight."""
        self.calls = self.calls * RECENT_DECAY + count.calls
        self.events = self.events * RECENT_DECAY + count.events

    @property
    def share(self) -> float:
        """The share of events."""
        return self.events / self.calls if self.calls else 0.0


@dataclass(slots=True)
class RatioTest:
    """Whether the new version fails more often than the old one, side by side.

    A step waits until both versions have calls. The bar must be passed at two
    steps in turn, as the reports of a shared cause may arrive one step apart.
    """

    detector: Detector = field(default_factory=lambda: Detector(len(RATE_RATIOS)))
    pending: Pair = NO_PAIR
    waited: int = 0
    passed: bool = False

    def step(self, pair: Pair, log_weight: float, bar: float) -> bool:
        """Take a step; return whether the fault is certain."""
        self.pending += pair
        if not self.pending.new.calls or not self.pending.old.calls:
            self.waited += 1
            if self.waited > STALE_STEPS:
                self.pending, self.waited = NO_PAIR, 0
            return False
        ratios = rate_log_ratios(self.pending.new, self.pending.old, NULL_RATE_RATIO)
        self.detector.update(ratios, log_weight)
        self.pending, self.waited = NO_PAIR, 0
        before, self.passed = self.passed, self.detector.evidence >= bar
        return before and self.passed


@dataclass(slots=True)
class ExcessTest:
    """Whether more calls of the new version show an event than is allowed.

    When the old version's calls show the event as well, the cause is shared
    and all evidence drops. From the first suspicion on, enough calls of the
    old version must be seen without it before the fault is certain.
    """

    detector: Detector = field(default_factory=lambda: Detector(len(EXCESS_STEPS)))
    recent_old: Recent = field(default_factory=Recent)
    control: Count = NO_COUNT
    suspicious: bool = False

    def step(self, pair: Pair, null_share: float, log_weight: float, bar: Bar) -> bool:
        """Take a step; return whether the fault is certain."""
        if self._shared_cause(pair.old, null_share):
            self.detector.reset()
            self.suspicious = False
            return False
        self.detector.update(share_log_ratios(pair.new, null_share), log_weight)
        evidence = self.detector.evidence
        was_suspicious, self.suspicious = self.suspicious, evidence >= bar.suspicion
        self.control = self.control + pair.old if was_suspicious else NO_COUNT
        return evidence >= bar.fault and self.control.calls >= MIN_CONTROL_CALLS

    def _shared_cause(self, old: Count, null_share: float) -> bool:
        self.recent_old.add(old)
        recent, control = self.recent_old, self.control + old
        if old.calls >= MIN_STEP_CALLS and old.share > null_share:
            return True
        if recent.events >= MIN_SHARED_EVENTS and recent.share > null_share:
            return True
        return self.suspicious and control.share > null_share


@dataclass(slots=True)
class RouteAnalysis:
    """All tests of one route."""

    ratio: RatioTest = field(default_factory=RatioTest)
    failures: ExcessTest = field(default_factory=ExcessTest)
    slow: ExcessTest = field(default_factory=ExcessTest)
    slowed: ExcessTest = field(default_factory=ExcessTest)
    levels: dict[str, LatencyLevel] = field(default_factory=dict)
    old_servers: set[str] = field(default_factory=set)
    history: Recent = field(default_factory=Recent)
    recent: dict[str, tuple[Recent, Recent]] = field(default_factory=dict)

    @property
    def suspicious(self) -> bool:
        """Whether a test wants more of the old version's calls."""
        return any(t.suspicious for t in (self.failures, self.slow, self.slowed))

    def step(
        self, version: str, increments: list[Increment], log_weight: float, bar: Bar
    ) -> str | None:
        """Take a step; return the name of the figure that shows a fault."""
        failed = _pair(version, increments, _failures)
        limit = slow_limit(self.levels[server] for server in self.old_servers)
        found = None
        if self.ratio.step(failed, log_weight, bar.fault):
            found = "failure_share"
        null_share = max(MIN_FAILURE_SHARE, HISTORY_RATIO * self.history.share)
        if self.failures.step(failed, min(0.9, null_share), log_weight, bar):
            found = "failure_share"
        self._note("failure_share", failed)
        if limit is not None:
            over = _pair(version, increments, lambda i: _over(i, limit))
            if self.slow.step(over, NULL_SLOW_SHARE, log_weight, bar):
                found = found or "slow_share"
            self._note("slow_share", over)
        over = _pair(version, increments, self._over_baseline)
        if self.slowed.step(over, NULL_SLOW_SHARE, log_weight, bar):
            found = found or "slowed_share"
        self._note("slowed_share", over)
        self._learn(version, increments, failed)
        return found

    def _over_baseline(self, increment: Increment) -> Count:
        level = self.levels.get(increment.server)
        if level is None or level.baseline is None:
            return NO_COUNT
        return _over(increment, level.baseline + BASELINE_MARGIN_BUCKETS)

    def _learn(self, version: str, increments: list[Increment], failed: Pair) -> None:
        for increment in increments:
            level = self.levels.setdefault(increment.server, LatencyLevel())
            level.add(increment.counters.latencies)
            if increment.version != version:
                self.old_servers.add(increment.server)
        if not self.failures.suspicious:
            self.history.calls += failed.old.calls
            self.history.events += failed.old.events

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

    def observe(self, increments: Iterable[Increment], steps: int = 1) -> Conclusion:
        """Take what was counted over one or more steps of time."""
        by_route: dict[str, list[Increment]] = {}
        for increment in increments:
            by_route.setdefault(increment.route, []).append(increment)
            self.routes.setdefault(increment.route, RouteAnalysis())
        weight = self._log_weight(steps)
        bar = self._bar()
        self.step += steps
        fault = None
        for route, analysis in self.routes.items():
            figure = analysis.step(self.version, by_route.get(route, []), weight, bar)
            if figure is not None and fault is None:
                fault = analysis.fault(route, figure)
        suspicious = any(analysis.suspicious for analysis in self.routes.values())
        return Conclusion(fault, suspicious)

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
