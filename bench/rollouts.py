"""The rollout policy on seeded simulated outcomes.

``python -m bench.rollouts`` prints the whole matrix of scenarios, also under the
baseline policy; ``python -m bench`` runs a few scenarios with fixed seeds.
"""

from __future__ import annotations

import argparse
import itertools
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.measurement import Measurement
from bench.rollout_outcomes import GOOD_VERSION_KINDS
from bench.rollout_outcomes import FaultKind
from bench.rollout_outcomes import Scenario
from bench.rollout_trial import FixedPolicy
from bench.rollout_trial import SequentialPolicy
from bench.rollout_trial import run_trial


if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.rollout_trial import Policy
    from bench.rollout_trial import Trial


CALLS_PER_SECOND = (2.0, 50.0, 1000.0)
WINDOWS_SECONDS = (60.0, 600.0, 3600.0, 86400.0)
SLOWNESS_SPREADS = (1.0, 3.0, 10.0)
SEEDS = 50
QUICK_SEEDS = 8
WORKER_PROCESSES = 3
MAX_MISSED_SHARE = 0.01
MAX_SHARE_BEFORE_FAULT = 0.05
MAX_SECONDS_FROM_DETECTABLE = 3.0
POLICIES: dict[str, Policy] = {
    "sequential": SequentialPolicy,
    "fixed": FixedPolicy,
}
QUICK_SCENARIOS = (
    Scenario(FaultKind.NONE, 2, 60, 3),
    Scenario(FaultKind.NONE, 50, 600, 10),
    Scenario(FaultKind.NONE, 1000, 3600, 3),
    Scenario(FaultKind.SHARED_CAUSE, 1000, 600, 3),
    Scenario(FaultKind.FAILS_AT_ONCE, 1000, 60, 3),
    Scenario(FaultKind.FAILS_AT_ONCE, 50, 3600, 10),
    Scenario(FaultKind.SLOW_AT_ONCE, 1000, 600, 1),
    Scenario(FaultKind.FAILS_LATER, 1000, 3600, 3),
    Scenario(FaultKind.SLOW_LATER, 1000, 600, 1),
    Scenario(FaultKind.FAILS_UNDER_LOAD, 1000, 600, 3),
    Scenario(FaultKind.ONE_ROUTE_FAILS, 1000, 60, 3),
    Scenario(FaultKind.DOUBLE_FAILURES, 1000, 3600, 3),
)


@dataclass(frozen=True)
class ScenarioResult:
    """The trials of one scenario under one policy."""

    scenario: Scenario
    policy: str
    trials: tuple[Trial, ...]

    @property
    def is_version_good(self) -> bool:
        """Whether the new version of this scenario is without a fault of its own."""
        return self.scenario.fault_kind in GOOD_VERSION_KINDS

    @property
    def missed_share(self) -> float:
        """The share of trials that did not end as expected: done, or rolled back."""
        as_expected = [
            t.is_done if self.is_version_good else t.is_rolled_back for t in self.trials
        ]
        return 1 - sum(as_expected) / len(as_expected)

    @property
    def rolled_back_trials(self) -> list[Trial]:
        """The trials that were rolled back."""
        return [trial for trial in self.trials if trial.is_rolled_back]

    def __str__(self) -> str:
        done = sum(trial.is_done for trial in self.trials) / len(self.trials)
        rolled_back_share = len(self.rolled_back_trials) / len(self.trials)
        to_zero_share = quantile(
            [t.seconds_to_zero_share for t in self.rolled_back_trials], 0.5
        )
        from_detectable = quantile(
            [t.seconds_from_detectable for t in self.rolled_back_trials], 0.95
        )
        affected_calls = quantile([t.affected_calls for t in self.trials], 0.5)
        max_share = max(trial.max_share_before_fault for trial in self.trials)
        return (
            f"{self.scenario} {self.policy:<10} done {done:4.0%}"
            f" rolled back {rolled_back_share:4.0%}"
            f" to zero share p50 {to_zero_share:8.1f} s,"
            f" from detectable p95 {from_detectable:8.1f} s,"
            f" affected calls p50 {affected_calls:8.0f},"
            f" share before fault {max_share:4.0%}"
        )


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile by rank; 0 without values."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))] if ranked else 0.0


def run_scenario(scenario: Scenario, policy: str, seeds: int) -> ScenarioResult:
    """Run trials of one scenario with the seeds 0, 1, ..."""
    policy_class = POLICIES[policy]
    trials = tuple(run_trial(scenario, policy_class, seed) for seed in range(seeds))
    return ScenarioResult(scenario, policy, trials)


def run(quick: bool) -> list[Measurement]:
    """Measure some scenarios under the policy of the daemons."""
    seeds = QUICK_SEEDS if quick else SEEDS
    results = [
        run_scenario(scenario, "sequential", seeds) for scenario in QUICK_SCENARIOS
    ]
    measurements: list[Measurement] = []
    for result in results:
        missed_end = "not done on time" if result.is_version_good else "not rolled back"
        name = f"{result.scenario}: {missed_end}"
        measurements.append(
            Measurement(name, result.missed_share, "of trials", MAX_MISSED_SHARE)
        )
    measurements.extend(_measure_exposure(results))
    return measurements


def _measure_exposure(results: Sequence[ScenarioResult]) -> list[Measurement]:
    at_once = [
        trial
        for result in results
        if result.scenario.fault_kind
        in (FaultKind.FAILS_AT_ONCE, FaultKind.SLOW_AT_ONCE, FaultKind.ONE_ROUTE_FAILS)
        for trial in result.trials
    ]
    seconds_at_high_rate = [
        trial.seconds_from_detectable
        for result in results
        if result.scenario.fault_kind
        in (FaultKind.FAILS_AT_ONCE, FaultKind.FAILS_LATER)
        and result.scenario.calls_per_second >= CALLS_PER_SECOND[-1]
        for trial in result.rolled_back_trials
    ]
    share = max(trial.max_share_before_fault for trial in at_once)
    return [
        Measurement(
            "traffic share before an immediate fault affects calls",
            share,
            "",
            MAX_SHARE_BEFORE_FAULT,
        ),
        Measurement(
            "from 10 failures to no traffic share at 1000/s, p95",
            quantile(seconds_at_high_rate, 0.95),
            "s",
            MAX_SECONDS_FROM_DETECTABLE,
        ),
    ]


def main() -> int:
    """Print the results of all scenarios, and how many are below the target."""
    parser = argparse.ArgumentParser(prog="bench.rollouts", description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--policy", choices=POLICIES, help="run only this policy")
    options = parser.parse_args()
    scenarios = [
        Scenario(*parts)
        for parts in itertools.product(
            FaultKind, CALLS_PER_SECOND, WINDOWS_SECONDS, SLOWNESS_SPREADS
        )
    ]
    for policy in [options.policy] if options.policy else POLICIES:
        with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
            count = len(scenarios)
            results = list(
                pool.map(
                    run_scenario, scenarios, [policy] * count, [options.seeds] * count
                )
            )
        for result in results:
            print(result, flush=True)
        _print_summary(policy, results)
    return 0


def _print_summary(policy: str, results: Sequence[ScenarioResult]) -> None:
    below_target = [
        result for result in results if result.missed_share > MAX_MISSED_SHARE
    ]
    print(f"== {policy}: scenarios below target: {len(below_target)} of {len(results)}")
    for fault_kind in FaultKind:
        results_of_kind = [
            result for result in results if result.scenario.fault_kind is fault_kind
        ]
        trials = [trial for result in results_of_kind for trial in result.trials]
        is_good = fault_kind in GOOD_VERSION_KINDS
        as_expected = sum(
            t.is_done if is_good else t.is_rolled_back for t in trials
        ) / len(trials)
        expected_end = "done on time" if is_good else "rolled back"
        missed = sum(result in below_target for result in results_of_kind)
        affected_calls = quantile([trial.affected_calls for trial in trials], 0.5)
        print(
            f"{policy:<10} {fault_kind.value:<16} {expected_end} {as_expected:6.1%},"
            f" {missed} of {len(results_of_kind)} scenarios below target,"
            f" affected calls p50 {affected_calls:.0f}"
        )


if __name__ == "__main__":
    sys.exit(main())
