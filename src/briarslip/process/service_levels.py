"""Counters of service levels over time, in bounded memory."""

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
LOWEST_MICROSECONDS = 100
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_FIGURES = 1
COUNTER_BYTES = 4
MICROSECONDS_PER_SECOND = 1_000_000


class LevelKey(NamedTuple):
    """What a counter is about; ``objective`` is empty where there is none."""

    objective: str
    service: str
    route: str
    version: str


OTHER = LevelKey("", "other", "", "")


class Ring:
    """Counts of calls and of bad calls in slots of time."""

    def __init__(self, slot_seconds: int, slots: int) -> None:
        self.slot_seconds = slot_seconds
        self.slots = slots
        self.calls = array("L", [0] * slots)
        self.bad = array("L", [0] * slots)
        self.slot = 0

    def add(self, bad: bool, now: float) -> None:
        """Count a call."""
        self.advance(now)
        index = self.slot % self.slots
        self.calls[index] += 1
        self.bad[index] += bad

    def advance(self, now: float) -> None:
        """Empty the slots whose time has come again."""
        slot = int(now // self.slot_seconds)
        for passed in range(max(self.slot + 1, slot - self.slots + 1), slot + 1):
            self.calls[passed % self.slots] = self.bad[passed % self.slots] = 0
        self.slot = max(self.slot, slot)

    def series(self, count: int) -> list[tuple[int, int]]:
        """Return calls and bad calls of the last slots, the newest last."""
        recent = range(self.slot - count + 1, self.slot + 1)
        return [(self.calls[s % self.slots], self.bad[s % self.slots]) for s in recent]


@dataclass(slots=True)
class Level:
    """The counters of one key."""

    good_share: float
    latency: timedelta
    fine: Ring = field(default_factory=lambda: Ring(FINE_SLOT_SECONDS, FINE_SLOTS))
    coarse: Ring = field(
        default_factory=lambda: Ring(COARSE_SLOT_SECONDS, COARSE_SLOTS)
    )
    histogram: Any = field(
        default_factory=lambda: HdrHistogram(
            LOWEST_MICROSECONDS,
            HIGHEST_MICROSECONDS,
            SIGNIFICANT_FIGURES,
            word_size=COUNTER_BYTES,
        )
    )

    def add(self, sample: AttemptResult, now: float) -> None:
        """Count a sample; a call over the latency bound is bad."""
        limit = self.latency.total_seconds()
        bad = sample.failed or 0 < limit < sample.latency_seconds
        self.fine.add(bad, now)
        self.coarse.add(bad, now)
        value = int(sample.latency_seconds * MICROSECONDS_PER_SECOND)
        bounded = min(max(value, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        self.histogram.record_value(bounded)

    def window(self, seconds: int) -> tuple[int, int]:
        """Return calls and bad calls of about the last ``seconds``."""
        ring = self.fine if seconds <= FINE_SLOTS * FINE_SLOT_SECONDS else self.coarse
        series = ring.series(min(ring.slots, seconds // ring.slot_seconds))
        return sum(calls for calls, _ in series), sum(bad for _, bad in series)


class ServiceLevels:
    """The counters of one daemon, from the calls that it forwarded."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.began = clock.monotonic()
        self.levels: dict[LevelKey, Level] = {}
        self.objectives: Mapping[str, Objective] = {}
        self.applicable: dict[tuple[str, str], tuple[Objective, ...]] = {}

    def record(
        self, sample: AttemptResult, objectives: Mapping[str, Objective]
    ) -> None:
        """Count a sample for each objective that covers it."""
        now = self.clock.monotonic()
        for objective in self._objectives_of(sample, objectives):
            key = LevelKey(objective.name, sample.service, sample.route, sample.version)
            self._level(key, objective).add(sample, now)

    def _objectives_of(
        self, sample: AttemptResult, objectives: Mapping[str, Objective]
    ) -> tuple[Objective, ...]:
        if objectives is not self.objectives:
            self.objectives = objectives
            self.applicable.clear()
        place = (sample.service, sample.route)
        found = self.applicable.get(place)
        if found is None:
            found = tuple(
                objective
                for objective in objectives.values()
                if objective.service == sample.service
                and objective.route in ("", sample.route)
            ) or (_none(sample),)
            self.applicable[place] = found
        return found

    def _level(self, key: LevelKey, objective: Objective) -> Level:
        if key not in self.levels and len(self.levels) >= MAX_LEVELS:
            key = OTHER
        level = self.levels.get(key)
        if level is None:
            level = Level(objective.good_share, objective.latency)
            self.levels[key] = level
        elif level.latency != objective.latency:
            level.latency = objective.latency
        level.good_share = objective.good_share
        return level

    def report(self) -> dict[str, Any]:
        """Return all counters in a form that JSON can hold."""
        now = self.clock.monotonic()
        return {
            "uptime_seconds": now - self.began,
            "slot_seconds": {"fine": FINE_SLOT_SECONDS, "coarse": COARSE_SLOT_SECONDS},
            "levels": [
                self._report(key, level, now) for key, level in self.levels.items()
            ],
        }

    @staticmethod
    def _report(key: LevelKey, level: Level, now: float) -> dict[str, Any]:
        level.fine.advance(now)
        level.coarse.advance(now)
        return {
            **key._asdict(),
            "good_share": level.good_share,
            "latency_ms": level.latency / timedelta(milliseconds=1),
            "windows": {str(w): level.window(w) for w in WINDOWS_SECONDS},
            "fine": level.fine.series(FINE_SLOTS),
            "coarse": level.coarse.series(COARSE_SLOTS),
            "histogram": level.histogram.encode().decode(),
        }


def _none(sample: AttemptResult) -> Objective:
    """Stand in for an objective where a service has none."""
    return Objective("", sample.service, "", 0.0, timedelta(0))


__all__ = ["WINDOWS_SECONDS", "LevelKey", "Ring", "ServiceLevels"]
