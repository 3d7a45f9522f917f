"""One rollout in virtual time, through the decision functions of the daemon."""

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


BEGIN = datetime(2026, 1, 1, tzinfo=UTC)
COARSE_STEPS = 150
FINE_SECONDS = 20.0
SPREAD_SECONDS = 0.5
DETECTABLE_CALLS = 10
ALL_SERVERS = tuple(range(SERVERS))
STEPS = ((0.0, 0.01), (0.2, 0.05), (0.4, 0.25), (0.6, 0.5), (0.8, 1.0))
FIXED_EXCESS_FAILURES = 0.05
FIXED_SLOWNESS = 1.5
FIXED_MIN_CALLS = 20
FIXED_PERIOD_SECONDS = 10.0


@dataclass(frozen=True)
class Trial:
    """What became of one rollout.

    ``seconds_to_zero_share`` counts from the fault's begin to no traffic at all,
    ``seconds_from_detectable`` from the moment ``DETECTABLE_CALLS`` calls had met it.
    ``max_share_before_fault`` is the greatest share up to the begin.
    """

    is_done: bool
    is_rolled_back: bool
    seconds_to_zero_share: float
    seconds_from_detectable: float
    affected_calls: int
    max_share_before_fault: float


class SequentialPolicy:
    """The policy that daemons run."""

    def __init__(self, window: float) -> None:
        deadline = BEGIN + timedelta(seconds=window)
        self.rollout = Rollout(
            "r", "s", NEW_VERSION, deadline, timedelta(seconds=window), 0.05
        )
        self.id = RolloutId.from_rollout(self.rollout)
        self.analyzer = Analyzer(NEW_VERSION, int(window / SLICE_SECONDS))
        self.decisions = Decisions(is_synced=True)
        self.decisions.record_start(self.id, BEGIN)
        self.servers = {
            version: frozenset(Address(f"10.0.0.{version}", n) for n in range(SERVERS))
            for version in (OLD_VERSION, NEW_VERSION)
        }

    def share_and_servers(self, at: float) -> tuple[float, tuple[int, ...]]:
        """Return the new version's share and which servers carry it."""
        now = BEGIN + timedelta(seconds=at)
        plan = traffic_plan("s", (self.rollout,), self.servers, self.decisions, now)
        if plan is None:
            return 0.0, ALL_SERVERS
        focused = plan.server_subsets.get(NEW_VERSION, tuple(self.servers[NEW_VERSION]))
        carrying = tuple(address.port for address in focused)
        return dict(plan.shares).get(NEW_VERSION, 0.0), carrying

    def observe(
        self, at: float, seconds: float, increments: Sequence[Increment]
    ) -> bool:
        """Take a step's evidence; return whether the rollout is rolled back."""
        steps = max(1, round(seconds / SLICE_SECONDS))
        conclusion = self.analyzer.observe(increments, steps, SERVERS)
        now = BEGIN + timedelta(seconds=at + seconds)
        if conclusion.fault is not None:
            self.decisions.add(
                Decision(self.id, "s", NEW_VERSION, conclusion.fault, now, "a", False)
            )
            return True
        if conclusion.is_suspicious:
            self.decisions.extend_hold(self.id, now + hold_duration(self.rollout))
        return False

    def is_done(self, at: float) -> bool:
        """Whether the rollout counts as done."""
        now = BEGIN + timedelta(seconds=at)
        return rollout_status(
            self.rollout, self.servers, self.decisions, now
        ).state is (State.DONE)


class FixedPolicy:
    """The baseline: fixed steps and fixed thresholds on what a step counted."""

    def __init__(self, window: float) -> None:
        self.window_seconds = window
        self.counts = {OLD_VERSION: [0, 0, 0.0], NEW_VERSION: [0, 0, 0.0]}
        self.checked = 0.0

    def share_and_servers(self, at: float) -> tuple[float, tuple[int, ...]]:
        """Return the share of the step that a time lies in."""
        shares = [share for begin, share in STEPS if begin * self.window_seconds <= at]
        return shares[-1], ALL_SERVERS

    def observe(
        self, at: float, seconds: float, increments: Sequence[Increment]
    ) -> bool:
        """Compare the counts of the last period."""
        for increment in increments:
            counts = self.counts[increment.version]
            counts[0] += increment.counters.calls
            counts[1] += increment.counters.failures
            counts[2] += sum(
                count * 2.0 ** (bucket / 2)
                for bucket, count in enumerate(increment.counters.latencies)
            )
        if at + seconds - self.checked < FIXED_PERIOD_SECONDS:
            return False
        self.checked = at + seconds
        old, new = self.counts[OLD_VERSION], self.counts[NEW_VERSION]
        if min(old[0], new[0]) < FIXED_MIN_CALLS:
            return False
        failing = new[1] / new[0] > old[1] / old[0] + FIXED_EXCESS_FAILURES
        slow = new[2] / new[0] > FIXED_SLOWNESS * old[2] / old[0]
        self.counts = {OLD_VERSION: [0, 0, 0.0], NEW_VERSION: [0, 0, 0.0]}
        return bool(failing or slow)

    def is_done(self, at: float) -> bool:
        """Whether the rollout counts as done."""
        return at >= STEPS[-1][0] * self.window_seconds


Policy = type[SequentialPolicy] | type[FixedPolicy]


def run_trial(scenario: Scenario, policy_class: Policy, seed: int) -> Trial:
    """Run one rollout from its start to its deadline."""
    generator = OutcomeGenerator(scenario, random.Random(f"{scenario} {seed}"))
    policy = policy_class(scenario.window_seconds)
    at, affected_calls, max_share_before_fault = 0.0, 0, 0.0
    coarse = max(SLICE_SECONDS, scenario.window_seconds / COARSE_STEPS)
    began: float | None = None
    shown: float | None = None
    while at < scenario.window_seconds:
        if began is None and generator.affects_new_version(
            at, *policy.share_and_servers(at)
        ):
            began = at
        close = began is not None and at - began <= FINE_SECONDS
        soon = began is None and generator.affects_new_version(
            at + coarse, *policy.share_and_servers(at + coarse)
        )
        seconds = SLICE_SECONDS if close or soon else coarse
        share, focused = policy.share_and_servers(at)
        if began is None or at == began:
            max_share_before_fault = max(max_share_before_fault, share)
        increments, bad = generator.draw(at, seconds, share, focused)
        affected_calls += bad
        if shown is None and affected_calls >= DETECTABLE_CALLS:
            shown = at
        if policy.observe(at, seconds, increments):
            _, bad = generator.draw(at + seconds, SPREAD_SECONDS, share, focused)
            none_at = at + seconds + SPREAD_SECONDS
            after_shown = 0.0 if shown is None else none_at - shown
            after_began = 0.0 if began is None else none_at - began
            return Trial(
                False,
                True,
                after_began,
                after_shown,
                affected_calls + bad,
                max_share_before_fault,
            )
        at += seconds
    done = policy.is_done(scenario.window_seconds - 1e-3)
    return Trial(done, False, 0.0, 0.0, affected_calls, max_share_before_fault)


__all__ = ["FixedPolicy", "Policy", "SequentialPolicy", "Trial", "run_trial"]
