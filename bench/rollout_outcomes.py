"""Seeded simulated outcomes of two service versions, in virtual time."""

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
# Name, share of the calls and latency factor of each route.
ROUTES = (("alerts", 0.6, 1.0), ("holds", 0.3, 2.0), ("history", 0.1, 4.0))
BASE_LATENCY_SECONDS = 0.01
LATENCY_SIGMA = 0.4
BACKGROUND_FAILURE_SHARE = 0.005
FAULT_FAILURE_SHARE = 0.3
FAULT_LATENCY_FACTOR = 4.0
FAULT_LOAD_SHARE = 0.6
SHARED_FAULT_WINDOW_SHARE = 0.1
MAX_EXACT_MEAN = 30.0


class FaultKind(Enum):
    """The fault of the new version, if any; the values seed random generators.

    A shared cause slows and fails calls of both versions for a part of the window.
    """

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
    """One scenario of the matrix.

    ``slowness_spread`` is the greatest factor between the latencies of two servers.
    The text of a scenario seeds the random generator of its trials.
    """

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
    """A server with its service version and its latency factor."""

    name: str
    version: str
    slowness: float


class OutcomeGenerator:
    """Draws the calls that servers count, with a fault of the new version or none."""

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
        is_late = scenario.fault_kind in LATE_FAULT_KINDS
        self.fault_start_seconds = (
            rng.uniform(0.1, 0.8) * scenario.window_seconds if is_late else 0.0
        )

    def is_fault_active(self, at: float) -> bool:
        """Tell whether the fault is active at a time in seconds."""
        is_shared = self.scenario.fault_kind is FaultKind.SHARED_CAUSE
        fault_end_seconds = self.fault_start_seconds + (
            SHARED_FAULT_WINDOW_SHARE * self.scenario.window_seconds
            if is_shared
            else math.inf
        )
        return (
            self.scenario.fault_kind is not FaultKind.NONE
            and self.fault_start_seconds <= at < fault_end_seconds
        )

    def affects_new_version(
        self, at: float, share: float, server_numbers: tuple[int, ...]
    ) -> bool:
        """Tell whether the fault affects calls of the new version at this share."""
        calls_per_server_second = (
            self.scenario.calls_per_second * share / max(1, len(server_numbers))
        )
        return share > 0 and any(
            self._is_faulty(NEW_VERSION, route, calls_per_server_second, at)
            for route, _, _ in ROUTES
        )

    def draw(
        self, at: float, seconds: float, share: float, server_numbers: tuple[int, ...]
    ) -> tuple[list[Increment], int]:
        """Return the increments of all servers, and the new version's affected calls.

        ``at`` and ``seconds`` give the span; ``share`` is the new version's traffic
        share, which the servers of ``server_numbers`` get.
        """
        increments: list[Increment] = []
        affected_calls = 0
        new_servers = [self.servers[NEW_VERSION][number] for number in server_numbers]
        for version, version_share, servers in (
            (OLD_VERSION, 1 - share, self.servers[OLD_VERSION]),
            (NEW_VERSION, share, new_servers),
        ):
            calls_per_server_second = (
                self.scenario.calls_per_second * version_share / max(1, len(servers))
            )
            for server in servers:
                for route, route_share, latency_factor in ROUTES:
                    calls = draw_poisson(
                        calls_per_server_second * route_share * seconds, self.rng
                    )
                    if not calls:
                        continue
                    is_faulty = self._is_faulty(
                        version, route, calls_per_server_second, at
                    )
                    counters = self._draw_counters(
                        server, latency_factor, calls, is_faulty
                    )
                    increments.append(Increment(server.name, version, route, counters))
                    if is_faulty and version == NEW_VERSION:
                        affected_calls += self._affected_calls(counters)
        return increments, affected_calls

    def _is_faulty(
        self, version: str, route: str, calls_per_server_second: float, at: float
    ) -> bool:
        fault_kind = self.scenario.fault_kind
        if not self.is_fault_active(at) or (
            version == OLD_VERSION and fault_kind is not FaultKind.SHARED_CAUSE
        ):
            return False
        if fault_kind is FaultKind.FAILS_UNDER_LOAD:
            return (
                calls_per_server_second
                >= FAULT_LOAD_SHARE * self.scenario.calls_per_second / SERVERS
            )
        return fault_kind is not FaultKind.ONE_ROUTE_FAILS or route == ROUTES[-1][0]

    def _draw_counters(
        self, server: Server, latency_factor: float, calls: int, is_faulty: bool
    ) -> Counters:
        fault_kind = self.scenario.fault_kind
        is_slow = is_faulty and fault_kind in (
            FaultKind.SLOW_AT_ONCE,
            FaultKind.SLOW_LATER,
            FaultKind.SHARED_CAUSE,
        )
        share = BACKGROUND_FAILURE_SHARE
        if is_faulty and fault_kind is FaultKind.DOUBLE_FAILURES:
            share = 2 * BACKGROUND_FAILURE_SHARE
        elif is_faulty and fault_kind not in (
            FaultKind.SLOW_AT_ONCE,
            FaultKind.SLOW_LATER,
        ):
            share = FAULT_FAILURE_SHARE
        median_seconds = (
            BASE_LATENCY_SECONDS
            * latency_factor
            * server.slowness
            * (FAULT_LATENCY_FACTOR if is_slow else 1)
        )
        failures = draw_binomial(calls, share, self.rng)
        return Counters(
            calls, failures, draw_latencies(calls, median_seconds, self.rng)
        )

    def _affected_calls(self, counters: Counters) -> int:
        if self.scenario.fault_kind in (FaultKind.SLOW_AT_ONCE, FaultKind.SLOW_LATER):
            return counters.calls
        return counters.failures


def draw_poisson(mean: float, rng: random.Random) -> int:
    """Draw from a Poisson distribution, approximated as normal for a large mean."""
    if mean > MAX_EXACT_MEAN:
        return max(0, round(rng.gauss(mean, math.sqrt(mean))))
    count, remaining = 0, rng.random() - math.exp(-mean)
    probability = math.exp(-mean)
    while remaining > 0 and count < 1000:
        count += 1
        probability *= mean / count
        remaining -= probability
    return count


def draw_binomial(calls: int, share: float, rng: random.Random) -> int:
    """Draw from a binomial distribution.

    It is approximated as normal where many of both outcomes are expected.
    """
    if share <= 0 or not calls:
        return 0
    if share >= 1:
        return calls
    if share > 0.5:
        return calls - draw_binomial(calls, 1 - share, rng)
    mean = calls * share
    if mean > MAX_EXACT_MEAN:
        draw = round(rng.gauss(mean, math.sqrt(mean * (1 - share))))
        return min(calls, max(0, draw))
    probability = (1 - share) ** calls
    count, remaining, odds = 0, rng.random() - probability, share / (1 - share)
    while remaining > 0 and count < calls:
        probability *= (calls - count) / (count + 1) * odds
        count += 1
        remaining -= probability
    return count


def draw_latencies(
    calls: int, median_seconds: float, rng: random.Random
) -> tuple[int, ...]:
    """Draw log-normal latencies; return the count of each bucket."""
    counts = [0] * BUCKET_COUNT
    remaining, remaining_share = calls, 1.0
    for bucket, share in _bucket_shares(round(math.log2(median_seconds) * 8)):
        drawn = draw_binomial(remaining, min(1.0, share / remaining_share), rng)
        counts[bucket] = drawn
        remaining -= drawn
        remaining_share = max(1e-12, remaining_share - share)
        if not remaining:
            break
    return tuple(counts)


@cache
def _bucket_shares(eighths: int) -> tuple[tuple[int, float], ...]:
    """Return the share of each bucket for a median of 2 ** (eighths / 8) s."""
    median_seconds = 2.0 ** (eighths / 8)
    shares: list[tuple[int, float]] = []
    share_below = 0.0
    for bucket in range(BUCKET_COUNT):
        z = math.log(bucket_upper_bound(bucket) / median_seconds) / LATENCY_SIGMA
        share_up_to = 0.5 * (1 + math.erf(z / math.sqrt(2)))
        if share_up_to - share_below > 1e-4:
            shares.append((bucket, share_up_to - share_below))
        share_below = share_up_to
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
