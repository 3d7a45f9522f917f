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


OLD = "1"
NEW = "2"
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
    FAILS = "fails at once"
    SLOW = "slow at once"
    FAILS_LATER = "fails later"
    SLOW_LATER = "slow later"
    UNDER_LOAD = "fails under load"
    ONE_ROUTE = "one route fails"
    DOUBLE = "failures 2x"
    SHARED = "shared cause"


GOOD = frozenset((FaultKind.NONE, FaultKind.SHARED))
LATER = frozenset((FaultKind.FAILS_LATER, FaultKind.SLOW_LATER, FaultKind.SHARED))


@dataclass(frozen=True)
class Cell:
    """One cell of the matrix: rate in calls a second, window in seconds."""

    kind: FaultKind
    rate: float
    window: float
    spread: float

    def __str__(self) -> str:
        return (
            f"{self.kind.value:<16} {self.rate:>5g}/s {self.window:>6g} s"
            f" spread {self.spread:>2g}"
        )


@dataclass(frozen=True)
class Server:
    """A server: its version and how much slower it is than the fastest."""

    name: str
    version: str
    slowness: float


class Outcomes:
    """Draws what servers count in a span of virtual time."""

    def __init__(self, cell: Cell, rng: random.Random) -> None:
        self.cell = cell
        self.rng = rng
        self.servers = {
            version: [
                Server(f"{version}-{n}", version, cell.spread ** rng.random())
                for n in range(SERVERS)
            ]
            for version in (OLD, NEW)
        }
        late = cell.kind in LATER
        self.onset = rng.uniform(0.1, 0.8) * cell.window if late else 0.0

    def active(self, at: float) -> bool:
        """Whether the fault may show at a time."""
        shared = self.cell.kind is FaultKind.SHARED
        ends = self.onset + (SHARED_LENGTH * self.cell.window if shared else math.inf)
        return self.cell.kind is not FaultKind.NONE and self.onset <= at < ends

    def shows(self, at: float, share: float, focused: tuple[int, ...]) -> bool:
        """Whether calls of the new version meet the fault."""
        rate = self.cell.rate * share / max(1, len(focused))
        return share > 0 and any(
            self._faulty(NEW, route, rate, at) for route, _, _ in ROUTES
        )

    def draw(
        self, at: float, seconds: float, share: float, focused: tuple[int, ...]
    ) -> tuple[list[Increment], int]:
        """Return the increments of all servers and the calls a fault spoiled."""
        increments: list[Increment] = []
        spoiled = 0
        new = [self.servers[NEW][number] for number in focused]
        for version, part, servers in (
            (OLD, 1 - share, self.servers[OLD]),
            (NEW, share, new),
        ):
            rate = self.cell.rate * part / max(1, len(servers))
            for server in servers:
                for route, weight, cost in ROUTES:
                    calls = poisson(rate * weight * seconds, self.rng)
                    if not calls:
                        continue
                    faulty = self._faulty(version, route, rate, at)
                    counters = self._count(server, cost, calls, faulty)
                    increments.append(Increment(server.name, version, route, counters))
                    if faulty and version == NEW:
                        spoiled += self._spoiled(counters)
        return increments, spoiled

    def _faulty(self, version: str, route: str, rate: float, at: float) -> bool:
        kind = self.cell.kind
        if not self.active(at) or (version == OLD and kind is not FaultKind.SHARED):
            return False
        if kind is FaultKind.UNDER_LOAD:
            return rate >= LOAD_SHARE * self.cell.rate / SERVERS
        return kind is not FaultKind.ONE_ROUTE or route == ROUTES[-1][0]

    def _count(self, server: Server, cost: float, calls: int, faulty: bool) -> Counters:
        kind = self.cell.kind
        slow = faulty and kind in (
            FaultKind.SLOW,
            FaultKind.SLOW_LATER,
            FaultKind.SHARED,
        )
        share = BACKGROUND_FAILURES
        if faulty and kind is FaultKind.DOUBLE:
            share = 2 * BACKGROUND_FAILURES
        elif faulty and kind not in (FaultKind.SLOW, FaultKind.SLOW_LATER):
            share = BAD_FAILURES
        median = BASE_SECONDS * cost * server.slowness * (SLOW_FACTOR if slow else 1)
        failures = binomial(calls, share, self.rng)
        return Counters(calls, failures, latencies(calls, median, self.rng))

    def _spoiled(self, counters: Counters) -> int:
        if self.cell.kind in (FaultKind.SLOW, FaultKind.SLOW_LATER):
            return counters.calls
        return counters.failures


def poisson(mean: float, rng: random.Random) -> int:
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


def binomial(calls: int, share: float, rng: random.Random) -> int:
    """Draw from a binomial distribution; normal for many of both outcomes."""
    if share <= 0 or not calls:
        return 0
    if share >= 1:
        return calls
    if share > 0.5:
        return calls - binomial(calls, 1 - share, rng)
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


def latencies(calls: int, median: float, rng: random.Random) -> tuple[int, ...]:
    """Draw latencies into buckets."""
    counts = [0] * BUCKET_COUNT
    left, mass = calls, 1.0
    for bucket, share in _bucket_shares(round(math.log2(median) * 8)):
        drawn = binomial(left, min(1.0, share / mass), rng)
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


__all__ = ["GOOD", "NEW", "OLD", "SERVERS", "Cell", "FaultKind", "Outcomes"]
