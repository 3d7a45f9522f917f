"""The rollout policy by itself, on seeded synthetic outcomes.

``python -m bench.rollouts`` prints the whole matrix beside the baseline; as
a part of ``python -m bench`` it runs a few cells with fixed seeds.
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


RATES = (2.0, 50.0, 1000.0)
WINDOWS = (60.0, 600.0, 3600.0, 86400.0)
SPREADS = (1.0, 3.0, 10.0)
SEEDS = 50
QUICK_SEEDS = 8
WORKERS = 3
MISSED_SHARE = 0.01
SMALL_SHARE = 0.05
SECONDS_TO_NONE = 3.0
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
    """The trials of one cell under one policy."""

    scenario: Scenario
    policy: str
    trials: tuple[Trial, ...]

    @property
    def is_version_good(self) -> bool:
        """Whether the version of this cell is a good one."""
        return self.scenario.fault_kind in GOOD_VERSION_KINDS

    @property
    def missed_share(self) -> float:
        """The share of trials that did not end as they should."""
        right = [
            t.is_done if self.is_version_good else t.is_rolled_back for t in self.trials
        ]
        return 1 - sum(right) / len(right)

    @property
    def rolled_back_trials(self) -> list[Trial]:
        """The trials that were rolled back."""
        return [trial for trial in self.trials if trial.is_rolled_back]

    def __str__(self) -> str:
        done = sum(trial.is_done for trial in self.trials) / len(self.trials)
        back = len(self.rolled_back_trials) / len(self.trials)
        to_none = quantile(
            [t.seconds_to_zero_share for t in self.rolled_back_trials], 0.5
        )
        shown = quantile(
            [t.seconds_from_detectable for t in self.rolled_back_trials], 0.95
        )
        spoiled = quantile([t.affected_calls for t in self.trials], 0.5)
        before = max(trial.max_share_before_fault for trial in self.trials)
        return (
            f"{self.scenario} {self.policy:<10} done {done:4.0%} back {back:4.0%}"
            f" to none p50 {to_none:8.1f} s, from shown p95 {shown:8.1f} s,"
            f" spoiled p50 {spoiled:8.0f}, share before {before:4.0%}"
        )


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile by rank; 0 without values."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))] if ranked else 0.0


def run_scenario(scenario: Scenario, policy: str, seeds: int) -> ScenarioResult:
    """Run one cell over seeds 0, 1, ..."""
    chosen = POLICIES[policy]
    trials = tuple(run_trial(scenario, chosen, seed) for seed in range(seeds))
    return ScenarioResult(scenario, policy, trials)


def run(quick: bool) -> list[Measurement]:
    """Return the figures of the chosen cells under the daemons' policy."""
    seeds = QUICK_SEEDS if quick else SEEDS
    results = [
        run_scenario(scenario, "sequential", seeds) for scenario in QUICK_SCENARIOS
    ]
    measurements: list[Measurement] = []
    for result in results:
        kind = "not done on time" if result.is_version_good else "not rolled back"
        name = f"{result.scenario}: {kind}"
        measurements.append(
            Measurement(name, result.missed_share, "of trials", MISSED_SHARE)
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
    busy = [
        trial.seconds_from_detectable
        for result in results
        if result.scenario.fault_kind
        in (FaultKind.FAILS_AT_ONCE, FaultKind.FAILS_LATER)
        and result.scenario.calls_per_second >= RATES[-1]
        for trial in result.rolled_back_trials
    ]
    share = max(trial.max_share_before_fault for trial in at_once)
    return [
        Measurement("share before a fault at once shows", share, "", SMALL_SHARE),
        Measurement(
            "from 10 failures to none at 1000/s, p95",
            quantile(busy, 0.95),
            "s",
            SECONDS_TO_NONE,
        ),
    ]


def main() -> int:
    """Print the whole matrix and the cells that fall short."""
    parser = argparse.ArgumentParser(prog="bench.rollouts", description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--policy", choices=POLICIES, help="only this one")
    options = parser.parse_args()
    scenarios = [
        Scenario(*parts)
        for parts in itertools.product(FaultKind, RATES, WINDOWS, SPREADS)
    ]
    for policy in [options.policy] if options.policy else POLICIES:
        with ProcessPoolExecutor(WORKERS) as pool:
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
    short = [result for result in results if result.missed_share > MISSED_SHARE]
    print(f"== {policy}: cells that fall short: {len(short)} of {len(results)}")
    for kind in FaultKind:
        of_kind = [result for result in results if result.scenario.fault_kind is kind]
        trials = [trial for result in of_kind for trial in result.trials]
        good = kind in GOOD_VERSION_KINDS
        right = sum(t.is_done if good else t.is_rolled_back for t in trials) / len(
            trials
        )
        word = "done on time" if good else "rolled back"
        missed = sum(result in short for result in of_kind)
        spoiled = quantile([trial.affected_calls for trial in trials], 0.5)
        print(
            f"{policy:<10} {kind.value:<16} {word} {right:6.1%},"
            f" {missed} of {len(of_kind)} cells short, spoiled p50 {spoiled:.0f}"
        )


if __name__ == "__main__":
    sys.exit(main())
