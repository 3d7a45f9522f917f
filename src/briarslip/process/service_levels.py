"""Counters of service levels over sliding windows, in bounded memory."""

from __future__ import annotations

from array import array
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from briarslip.version.record import Objective


if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarslip.process.clock import Clock
    from briarslip.request.attempt_result import AttemptResult


MAX_LEVELS = 256
FINE_SLOT_SECONDS = 60
FINE_SLOTS = 60
COARSE_SLOT_SECONDS = 3600
COARSE_SLOTS = 72
WINDOWS_SECONDS = (300, 3600, 21_600, 259_200)
MIN_LATENCY_MICROSECONDS = 100
MAX_LATENCY_MICROSECONDS = 600_000_000
SIGNIFICANT_FIGURES = 1
COUNTER_BYTES = 4
MICROSECONDS_PER_SECOND = 1_000_000


class LevelKey(NamedTuple):
    """Key of a set of counters; ``objective`` is empty where there is none."""

    objective: str
    service: str
    route: str
    version: str


OTHER_KEY = LevelKey("", "other", "", "")


class Ring:
    """Ring buffer of time slots, each with its counts of calls and bad calls."""

    def __init__(self, slot_seconds: int, slots: int) -> None:
        self.slot_seconds = slot_seconds
        self.slots = slots
        self.calls = array("L", [0] * slots)
        self.bad = array("L", [0] * slots)
        self.slot = 0

    def add(self, bad: bool, now: float) -> None:
        """Count a call in the slot of ``now``, in monotonic seconds."""
        self.advance(now)
        index = self.slot % self.slots
        self.calls[index] += 1
        self.bad[index] += bad

    def advance(self, now: float) -> None:
        """Move to the slot of ``now``; clear the slots that are reused."""
        slot = int(now // self.slot_seconds)
        for passed in range(max(self.slot + 1, slot - self.slots + 1), slot + 1):
            self.calls[passed % self.slots] = self.bad[passed % self.slots] = 0
        self.slot = max(self.slot, slot)

    def series(self, count: int) -> list[tuple[int, int]]:
        """Return the calls and bad calls of the last ``count`` slots, newest last."""
        recent = range(self.slot - count + 1, self.slot + 1)
        return [(self.calls[s % self.slots], self.bad[s % self.slots]) for s in recent]


@dataclass(slots=True)
class LevelCounters:
    """Counters and latency histogram of one key.

    ``max_latency`` is the limit above which a call is bad, 0 for no limit.
    """

    good_share: float
    max_latency: timedelta
    fine: Ring = field(default_factory=lambda: Ring(FINE_SLOT_SECONDS, FINE_SLOTS))
    coarse: Ring = field(
        default_factory=lambda: Ring(COARSE_SLOT_SECONDS, COARSE_SLOTS)
    )
    histogram: Any = field(
        default_factory=lambda: HdrHistogram(
            MIN_LATENCY_MICROSECONDS,
            MAX_LATENCY_MICROSECONDS,
            SIGNIFICANT_FIGURES,
            word_size=COUNTER_BYTES,
        )
    )

    def add(self, attempt: AttemptResult, now: float) -> None:
        """Count an attempt; it is bad if it failed or exceeded the latency limit."""
        limit_seconds = self.max_latency.total_seconds()
        bad = attempt.failed or 0 < limit_seconds < attempt.latency_seconds
        self.fine.add(bad, now)
        self.coarse.add(bad, now)
        microseconds = int(attempt.latency_seconds * MICROSECONDS_PER_SECOND)
        value = min(
            max(microseconds, MIN_LATENCY_MICROSECONDS), MAX_LATENCY_MICROSECONDS
        )
        self.histogram.record_value(value)

    def window_counts(self, seconds: int) -> tuple[int, int]:
        """Return the calls and bad calls of about the last ``seconds``."""
        ring = self.fine if seconds <= FINE_SLOTS * FINE_SLOT_SECONDS else self.coarse
        series = ring.series(min(ring.slots, seconds // ring.slot_seconds))
        return sum(calls for calls, _ in series), sum(bad for _, bad in series)


class ServiceLevels:
    """Service level counters of one daemon, for the calls that it forwarded."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started_at = clock.monotonic()
        self.levels: dict[LevelKey, LevelCounters] = {}
        self.objectives: Mapping[str, Objective] = {}
        self.objectives_by_route: dict[tuple[str, str], tuple[Objective, ...]] = {}

    def record(
        self, attempt: AttemptResult, objectives: Mapping[str, Objective]
    ) -> None:
        """Count an attempt for each objective that covers it."""
        now = self.clock.monotonic()
        for objective in self._objectives_of(attempt, objectives):
            key = LevelKey(
                objective.name, attempt.service, attempt.route, attempt.version
            )
            self._counters(key, objective).add(attempt, now)

    def _objectives_of(
        self, attempt: AttemptResult, objectives: Mapping[str, Objective]
    ) -> tuple[Objective, ...]:
        if objectives is not self.objectives:
            self.objectives = objectives
            self.objectives_by_route.clear()
        service_route = (attempt.service, attempt.route)
        applicable = self.objectives_by_route.get(service_route)
        if applicable is None:
            applicable = tuple(
                objective
                for objective in objectives.values()
                if objective.service == attempt.service
                and objective.route in ("", attempt.route)
            ) or (_default_objective(attempt),)
            self.objectives_by_route[service_route] = applicable
        return applicable

    def _counters(self, key: LevelKey, objective: Objective) -> LevelCounters:
        if key not in self.levels and len(self.levels) >= MAX_LEVELS:
            key = OTHER_KEY
        counters = self.levels.get(key)
        if counters is None:
            counters = LevelCounters(objective.good_share, objective.latency)
            self.levels[key] = counters
        elif counters.max_latency != objective.latency:
            counters.max_latency = objective.latency
        counters.good_share = objective.good_share
        return counters

    def report(self) -> dict[str, Any]:
        """Return all counters as a JSON-compatible document."""
        now = self.clock.monotonic()
        return {
            "uptime_seconds": now - self.started_at,
            "slot_seconds": {"fine": FINE_SLOT_SECONDS, "coarse": COARSE_SLOT_SECONDS},
            "levels": [
                self._report(key, counters, now)
                for key, counters in self.levels.items()
            ],
        }

    @staticmethod
    def _report(key: LevelKey, counters: LevelCounters, now: float) -> dict[str, Any]:
        counters.fine.advance(now)
        counters.coarse.advance(now)
        return {
            **key._asdict(),
            "good_share": counters.good_share,
            "latency_ms": counters.max_latency / timedelta(milliseconds=1),
            "windows": {str(w): counters.window_counts(w) for w in WINDOWS_SECONDS},
            "fine": counters.fine.series(FINE_SLOTS),
            "coarse": counters.coarse.series(COARSE_SLOTS),
            "histogram": counters.histogram.encode().decode(),
        }


def _default_objective(attempt: AttemptResult) -> Objective:
    """Return an objective for a service that has none, without a latency limit."""
    return Objective("", attempt.service, "", 0.0, timedelta(0))


__all__ = ["WINDOWS_SECONDS", "LevelKey", "Ring", "ServiceLevels"]
