"""One simulated rollout in virtual time, under a rollout policy."""

from __future__ import annotations

import random
from dataclasses import dataclass
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from typing import TYPE_CHECKING

from bench.rollout_outcomes import NEW_VERSION
from bench.rollout_outcomes import OLD_VERSION
from bench.rollout_outcomes import SERVERS
from bench.rollout_outcomes import OutcomeGenerator
from briarslip.address import Address
from briarslip.version.analyzer import Analyzer
from briarslip.version.decision import Decision
from briarslip.version.decision import Decisions
from briarslip.version.decision import RolloutId
from briarslip.version.evidence import SLICE_SECONDS
from briarslip.version.record import Rollout
from briarslip.version.rollout import State
from briarslip.version.rollout import rollout_status
from briarslip.version.rollout import traffic_plan
from briarslip.version.traffic_share import hold_duration


if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.rollout_outcomes import Scenario
    from briarslip.version.evidence import Increment


START = datetime(2026, 1, 1, tzinfo=UTC)
COARSE_STEPS_PER_WINDOW = 150
FINE_STEPS_AFTER_FAULT_SECONDS = 20.0
DECISION_DISSEMINATION_SECONDS = 0.5
DETECTABLE_CALLS = 10
ALL_SERVERS = tuple(range(SERVERS))
# Start of each step as a share of the window, and its traffic share.
FIXED_SHARE_STEPS = ((0.0, 0.01), (0.2, 0.05), (0.4, 0.25), (0.6, 0.5), (0.8, 1.0))
FIXED_MAX_EXCESS_FAILURE_SHARE = 0.05
FIXED_MAX_LATENCY_RATIO = 1.5
FIXED_MIN_CALLS = 20
FIXED_PERIOD_SECONDS = 10.0


@dataclass(frozen=True)
class Trial:
    """The result of one simulated rollout.

    ``seconds_to_zero_share`` counts from the first affected calls to a traffic share
    of zero, ``seconds_from_detectable`` from the time when ``DETECTABLE_CALLS`` calls
    had been affected. Both are 0 without a rollback.
    ``max_share_before_fault`` is the greatest traffic share until calls were affected.
    """

    is_done: bool
    is_rolled_back: bool
    seconds_to_zero_share: float
    seconds_from_detectable: float
    affected_calls: int
    max_share_before_fault: float


class SequentialPolicy:
    """The policy of the daemons, by their decision functions."""

    def __init__(self, window_seconds: float) -> None:
        deadline = START + timedelta(seconds=window_seconds)
        self.rollout = Rollout(
            "r", "s", NEW_VERSION, deadline, timedelta(seconds=window_seconds), 0.05
        )
        self.id = RolloutId.from_rollout(self.rollout)
        self.analyzer = Analyzer(NEW_VERSION, int(window_seconds / SLICE_SECONDS))
        self.decisions = Decisions(is_synced=True)
        self.decisions.record_start(self.id, START)
        self.servers = {
            version: frozenset(Address(f"10.0.0.{version}", n) for n in range(SERVERS))
            for version in (OLD_VERSION, NEW_VERSION)
        }

    def share_and_servers(self, at: float) -> tuple[float, tuple[int, ...]]:
        """Return the new version's traffic share, and the numbers of its servers."""
        now = START + timedelta(seconds=at)
        plan = traffic_plan("s", (self.rollout,), self.servers, self.decisions, now)
        if plan is None:
            return 0.0, ALL_SERVERS
        servers = plan.server_subsets.get(NEW_VERSION, tuple(self.servers[NEW_VERSION]))
        server_numbers = tuple(address.port for address in servers)
        return dict(plan.shares).get(NEW_VERSION, 0.0), server_numbers

    def observe(
        self, at: float, seconds: float, increments: Sequence[Increment]
    ) -> bool:
        """Evaluate the evidence of a step; return whether to roll back."""
        steps = max(1, round(seconds / SLICE_SECONDS))
        conclusion = self.analyzer.observe(increments, steps, SERVERS)
        now = START + timedelta(seconds=at + seconds)
        if conclusion.fault is not None:
            self.decisions.add(
                Decision(self.id, "s", NEW_VERSION, conclusion.fault, now, "a", False)
            )
            return True
        if conclusion.is_suspicious:
            self.decisions.extend_hold(self.id, now + hold_duration(self.rollout))
        return False

    def is_done(self, at: float) -> bool:
        """Tell whether the rollout is done at a time in seconds."""
        now = START + timedelta(seconds=at)
        return rollout_status(
            self.rollout, self.servers, self.decisions, now
        ).state is (State.DONE)


class FixedPolicy:
    """The baseline policy: fixed traffic shares and fixed thresholds.

    ``counts`` has calls, failures and summed latency by version. Latencies are in
    units of the lowest bucket, since only their ratio is used.
    """

    def __init__(self, window_seconds: float) -> None:
        self.window_seconds = window_seconds
        self.counts = {OLD_VERSION: [0, 0, 0.0], NEW_VERSION: [0, 0, 0.0]}
        self.checked_at = 0.0

    def share_and_servers(self, at: float) -> tuple[float, tuple[int, ...]]:
        """Return the traffic share at a time, and the numbers of all servers."""
        shares = [
            share
            for window_share, share in FIXED_SHARE_STEPS
            if window_share * self.window_seconds <= at
        ]
        return shares[-1], ALL_SERVERS

    def observe(
        self, at: float, seconds: float, increments: Sequence[Increment]
    ) -> bool:
        """Compare the versions' counts once per period; return whether to roll back."""
        for increment in increments:
            counts = self.counts[increment.version]
            counts[0] += increment.counters.calls
            counts[1] += increment.counters.failures
            counts[2] += sum(
                count * 2.0 ** (bucket / 2)
                for bucket, count in enumerate(increment.counters.latencies)
            )
        if at + seconds - self.checked_at < FIXED_PERIOD_SECONDS:
            return False
        self.checked_at = at + seconds
        old, new = self.counts[OLD_VERSION], self.counts[NEW_VERSION]
        if min(old[0], new[0]) < FIXED_MIN_CALLS:
            return False
        is_failing = new[1] / new[0] > old[1] / old[0] + FIXED_MAX_EXCESS_FAILURE_SHARE
        is_slow = new[2] / new[0] > FIXED_MAX_LATENCY_RATIO * old[2] / old[0]
        self.counts = {OLD_VERSION: [0, 0, 0.0], NEW_VERSION: [0, 0, 0.0]}
        return bool(is_failing or is_slow)

    def is_done(self, at: float) -> bool:
        """Tell whether the rollout is done at a time in seconds."""
        return at >= FIXED_SHARE_STEPS[-1][0] * self.window_seconds


Policy = type[SequentialPolicy] | type[FixedPolicy]


def run_trial(scenario: Scenario, policy_class: Policy, seed: int) -> Trial:
    """Run one rollout from its start to its deadline."""
    generator = OutcomeGenerator(scenario, random.Random(f"{scenario} {seed}"))
    policy = policy_class(scenario.window_seconds)
    at, affected_calls, max_share_before_fault = 0.0, 0, 0.0
    coarse_seconds = max(
        SLICE_SECONDS, scenario.window_seconds / COARSE_STEPS_PER_WINDOW
    )
    first_affected_at: float | None = None
    detectable_at: float | None = None
    while at < scenario.window_seconds:
        if first_affected_at is None and generator.affects_new_version(
            at, *policy.share_and_servers(at)
        ):
            first_affected_at = at
        is_shortly_after_fault = (
            first_affected_at is not None
            and at - first_affected_at <= FINE_STEPS_AFTER_FAULT_SECONDS
        )
        fault_comes_next = first_affected_at is None and generator.affects_new_version(
            at + coarse_seconds, *policy.share_and_servers(at + coarse_seconds)
        )
        seconds = (
            SLICE_SECONDS
            if is_shortly_after_fault or fault_comes_next
            else coarse_seconds
        )
        share, servers = policy.share_and_servers(at)
        if first_affected_at is None or at == first_affected_at:
            max_share_before_fault = max(max_share_before_fault, share)
        increments, newly_affected = generator.draw(at, seconds, share, servers)
        affected_calls += newly_affected
        if detectable_at is None and affected_calls >= DETECTABLE_CALLS:
            detectable_at = at
        if policy.observe(at, seconds, increments):
            _, newly_affected = generator.draw(
                at + seconds, DECISION_DISSEMINATION_SECONDS, share, servers
            )
            zero_share_at = at + seconds + DECISION_DISSEMINATION_SECONDS
            from_detectable = (
                0.0 if detectable_at is None else zero_share_at - detectable_at
            )
            from_first_affected = (
                0.0 if first_affected_at is None else zero_share_at - first_affected_at
            )
            return Trial(
                False,
                True,
                from_first_affected,
                from_detectable,
                affected_calls + newly_affected,
                max_share_before_fault,
            )
        at += seconds
    is_done = policy.is_done(scenario.window_seconds - 1e-3)
    return Trial(is_done, False, 0.0, 0.0, affected_calls, max_share_before_fault)


__all__ = ["FixedPolicy", "Policy", "SequentialPolicy", "Trial", "run_trial"]
