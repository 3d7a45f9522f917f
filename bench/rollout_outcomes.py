"""Seeded synthetic outcomes of two versions of a service, in virtual time."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from functools import cache
from typing import TYPE_CHECKING

from briarslip.version.evidence import BUCKET_COUNT
from briarslip.version.evidence import Counters
from briarslip.version.evidence import Increment
from briarslip.version.evidence import bucket_upper_bound


if TYPE_CHECKING:
    import random


OLD_VERSION = "1"
NEW_VERSION = "2"
SERVERS = 4
ROUTES = (("alerts", 0.6, 1.0), ("holds", 0.3, 2.0), ("history", 0.1, 4.0))
BASE_SECONDS = 0.01
SIGMA = 0.4
BACKGROUND_FAILURES = 0.005
BAD_FAILURES = 0.3
SLOW_FACTOR = 4.0
LOAD_SHARE = 0.6
SHARED_LENGTH = 0.1
EXACT_MEAN = 30.0


class FaultKind(Enum):
    """What is wrong with the new version, if anything."""

    NONE = "none"
    FAILS_AT_ONCE = "fails at once"
    SLOW_AT_ONCE = "slow at once"
    FAILS_LATER = "fails later"
    SLOW_LATER = "slow later"
    FAILS_UNDER_LOAD = "fails under load"
    ONE_ROUTE_FAILS = "one route fails"
    DOUBLE_FAILURES = "failures 2x"
    SHARED_CAUSE = "shared cause"


GOOD_VERSION_KINDS = frozenset((FaultKind.NONE, FaultKind.SHARED_CAUSE))
LATE_FAULT_KINDS = frozenset(
    (FaultKind.FAILS_LATER, FaultKind.SLOW_LATER, FaultKind.SHARED_CAUSE)
)


@dataclass(frozen=True)
class Scenario:
    """One cell of the matrix: rate in calls a second, window in seconds."""

    fault_kind: FaultKind
    calls_per_second: float
    window_seconds: float
    slowness_spread: float

    def __str__(self) -> str:
        return (
            f"{self.fault_kind.value:<16} {self.calls_per_second:>5g}/s"
            f" {self.window_seconds:>6g} s"
            f" spread {self.slowness_spread:>2g}"
        )


@dataclass(frozen=True)
class Server:
    """A server: its version and how much slower it is than the fastest."""

    name: str
    version: str
    slowness: float


class OutcomeGenerator:
    """Draws what servers count in a span of virtual time."""

    def __init__(self, scenario: Scenario, rng: random.Random) -> None:
        self.scenario = scenario
        self.rng = rng
        self.servers = {
            version: [
                Server(
                    f"{version}-{n}", version, scenario.slowness_spread ** rng.random()
                )
                for n in range(SERVERS)
            ]
            for version in (OLD_VERSION, NEW_VERSION)
        }
        late = scenario.fault_kind in LATE_FAULT_KINDS
        self.fault_start_seconds = (
            rng.uniform(0.1, 0.8) * scenario.window_seconds if late else 0.0
        )

    def is_fault_active(self, at: float) -> bool:
        """Whether the fault may show at a time."""
        shared = self.scenario.fault_kind is FaultKind.SHARED_CAUSE
        ends = self.fault_start_seconds + (
            SHARED_LENGTH * self.scenario.window_seconds if shared else math.inf
        )
        return (
            self.scenario.fault_kind is not FaultKind.NONE
            and self.fault_start_seconds <= at < ends
        )

    def affects_new_version(
        self, at: float, share: float, focused: tuple[int, ...]
    ) -> bool:
        """Whether calls of the new version meet the fault."""
        rate = self.scenario.calls_per_second * share / max(1, len(focused))
        return share > 0 and any(
            self._is_faulty(NEW_VERSION, route, rate, at) for route, _, _ in ROUTES
        )

    def draw(
        self, at: float, seconds: float, share: float, focused: tuple[int, ...]
    ) -> tuple[list[Increment], int]:
        """Return the increments of all servers and the calls a fault affected_calls."""
        increments: list[Increment] = []
        affected_calls = 0
        new = [self.servers[NEW_VERSION][number] for number in focused]
        for version, part, servers in (
            (OLD_VERSION, 1 - share, self.servers[OLD_VERSION]),
            (NEW_VERSION, share, new),
        ):
            rate = self.scenario.calls_per_second * part / max(1, len(servers))
            for server in servers:
                for route, weight, cost in ROUTES:
                    calls = draw_poisson(rate * weight * seconds, self.rng)
                    if not calls:
                        continue
                    faulty = self._is_faulty(version, route, rate, at)
                    counters = self._draw_counters(server, cost, calls, faulty)
                    increments.append(Increment(server.name, version, route, counters))
                    if faulty and version == NEW_VERSION:
                        affected_calls += self._affected_calls(counters)
        return increments, affected_calls

    def _is_faulty(self, version: str, route: str, rate: float, at: float) -> bool:
        kind = self.scenario.fault_kind
        if not self.is_fault_active(at) or (
            version == OLD_VERSION and kind is not FaultKind.SHARED_CAUSE
        ):
            return False
        if kind is FaultKind.FAILS_UNDER_LOAD:
            return rate >= LOAD_SHARE * self.scenario.calls_per_second / SERVERS
        return kind is not FaultKind.ONE_ROUTE_FAILS or route == ROUTES[-1][0]

    def _draw_counters(
        self, server: Server, cost: float, calls: int, faulty: bool
    ) -> Counters:
        kind = self.scenario.fault_kind
        slow = faulty and kind in (
            FaultKind.SLOW_AT_ONCE,
            FaultKind.SLOW_LATER,
            FaultKind.SHARED_CAUSE,
        )
        share = BACKGROUND_FAILURES
        if faulty and kind is FaultKind.DOUBLE_FAILURES:
            share = 2 * BACKGROUND_FAILURES
        elif faulty and kind not in (FaultKind.SLOW_AT_ONCE, FaultKind.SLOW_LATER):
            share = BAD_FAILURES
        median = BASE_SECONDS * cost * server.slowness * (SLOW_FACTOR if slow else 1)
        failures = draw_binomial(calls, share, self.rng)
        return Counters(calls, failures, draw_latencies(calls, median, self.rng))

    def _affected_calls(self, counters: Counters) -> int:
        if self.scenario.fault_kind in (FaultKind.SLOW_AT_ONCE, FaultKind.SLOW_LATER):
            return counters.calls
        return counters.failures


def draw_poisson(mean: float, rng: random.Random) -> int:
    """Draw from a Poisson distribution; normal for a large mean."""
    if mean > EXACT_MEAN:
        return max(0, round(rng.gauss(mean, math.sqrt(mean))))
    count, left = 0, rng.random() - math.exp(-mean)
    term = math.exp(-mean)
    while left > 0 and count < 1000:
        count += 1
        term *= mean / count
        left -= term
    return count


def draw_binomial(calls: int, share: float, rng: random.Random) -> int:
    """Draw from a binomial distribution; normal for many of both outcomes."""
    if share <= 0 or not calls:
        return 0
    if share >= 1:
        return calls
    if share > 0.5:
        return calls - draw_binomial(calls, 1 - share, rng)
    mean = calls * share
    if mean > EXACT_MEAN:
        draw = round(rng.gauss(mean, math.sqrt(mean * (1 - share))))
        return min(calls, max(0, draw))
    term = (1 - share) ** calls
    count, left, odds = 0, rng.random() - term, share / (1 - share)
    while left > 0 and count < calls:
        term *= (calls - count) / (count + 1) * odds
        count += 1
        left -= term
    return count


def draw_latencies(calls: int, median: float, rng: random.Random) -> tuple[int, ...]:
    """Draw latencies into buckets."""
    counts = [0] * BUCKET_COUNT
    left, mass = calls, 1.0
    for bucket, share in _bucket_shares(round(math.log2(median) * 8)):
        drawn = draw_binomial(left, min(1.0, share / mass), rng)
        counts[bucket] = drawn
        left -= drawn
        mass = max(1e-12, mass - share)
        if not left:
            break
    return tuple(counts)


@cache
def _bucket_shares(eighths: int) -> tuple[tuple[int, float], ...]:
    """Return the share of each bucket for a median of 2 ** (eighths / 8) s."""
    median = 2.0 ** (eighths / 8)
    shares: list[tuple[int, float]] = []
    below = 0.0
    for bucket in range(BUCKET_COUNT):
        z = math.log(bucket_upper_bound(bucket) / median) / SIGMA
        upto = 0.5 * (1 + math.erf(z / math.sqrt(2)))
        if upto - below > 1e-4:
            shares.append((bucket, upto - below))
        below = upto
    bucket, share = shares[-1]
    shares[-1] = (bucket, share + 1e-3)
    return tuple(shares)


__all__ = [
    "GOOD_VERSION_KINDS",
    "NEW_VERSION",
    "OLD_VERSION",
    "SERVERS",
    "FaultKind",
    "OutcomeGenerator",
    "Scenario",
]
