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

from bench.figure import Figure
from bench.rollout_outcomes import GOOD
from bench.rollout_outcomes import Cell
from bench.rollout_outcomes import FaultKind
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
QUICK_CELLS = (
    Cell(FaultKind.NONE, 2, 60, 3),
    Cell(FaultKind.NONE, 50, 600, 10),
    Cell(FaultKind.NONE, 1000, 3600, 3),
    Cell(FaultKind.SHARED, 1000, 600, 3),
    Cell(FaultKind.FAILS, 1000, 60, 3),
    Cell(FaultKind.FAILS, 50, 3600, 10),
    Cell(FaultKind.SLOW, 1000, 600, 1),
    Cell(FaultKind.FAILS_LATER, 1000, 3600, 3),
    Cell(FaultKind.SLOW_LATER, 1000, 600, 1),
    Cell(FaultKind.UNDER_LOAD, 1000, 600, 3),
    Cell(FaultKind.ONE_ROUTE, 1000, 60, 3),
    Cell(FaultKind.DOUBLE, 1000, 3600, 3),
)


@dataclass(frozen=True)
class CellResult:
    """The trials of one cell under one policy."""

    cell: Cell
    policy: str
    trials: tuple[Trial, ...]

    @property
    def good(self) -> bool:
        """Whether the version of this cell is a good one."""
        return self.cell.kind in GOOD

    @property
    def missed(self) -> float:
        """The share of trials that did not end as they should."""
        right = [t.done if self.good else t.rolled_back for t in self.trials]
        return 1 - sum(right) / len(right)

    @property
    def rolled_back(self) -> list[Trial]:
        """The trials that were rolled back."""
        return [trial for trial in self.trials if trial.rolled_back]

    def __str__(self) -> str:
        done = sum(trial.done for trial in self.trials) / len(self.trials)
        back = len(self.rolled_back) / len(self.trials)
        to_none = quantile([t.seconds_to_none for t in self.rolled_back], 0.5)
        shown = quantile([t.seconds_from_shown for t in self.rolled_back], 0.95)
        spoiled = quantile([t.spoiled for t in self.trials], 0.5)
        before = max(trial.share_before for trial in self.trials)
        return (
            f"{self.cell} {self.policy:<10} done {done:4.0%} back {back:4.0%}"
            f" to none p50 {to_none:8.1f} s, from shown p95 {shown:8.1f} s,"
            f" spoiled p50 {spoiled:8.0f}, share before {before:4.0%}"
        )


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile by rank; 0 without values."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))] if ranked else 0.0


def run_cell(cell: Cell, policy: str, seeds: int) -> CellResult:
    """Run one cell over seeds 0, 1, ..."""
    chosen = POLICIES[policy]
    trials = tuple(run_trial(cell, chosen, seed) for seed in range(seeds))
    return CellResult(cell, policy, trials)


def run(quick: bool) -> list[Figure]:
    """Return the figures of the chosen cells under the daemons' policy."""
    seeds = QUICK_SEEDS if quick else SEEDS
    results = [run_cell(cell, "sequential", seeds) for cell in QUICK_CELLS]
    figures: list[Figure] = []
    for result in results:
        kind = "not done on time" if result.good else "not rolled back"
        name = f"{result.cell}: {kind}"
        figures.append(Figure(name, result.missed, "of trials", MISSED_SHARE))
    figures.extend(_exposure(results))
    return figures


def _exposure(results: Sequence[CellResult]) -> list[Figure]:
    at_once = [
        trial
        for result in results
        if result.cell.kind in (FaultKind.FAILS, FaultKind.SLOW, FaultKind.ONE_ROUTE)
        for trial in result.trials
    ]
    busy = [
        trial.seconds_from_shown
        for result in results
        if result.cell.kind in (FaultKind.FAILS, FaultKind.FAILS_LATER)
        and result.cell.rate >= RATES[-1]
        for trial in result.rolled_back
    ]
    share = max(trial.share_before for trial in at_once)
    return [
        Figure("share before a fault at once shows", share, "", SMALL_SHARE),
        Figure(
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
    cells = [
        Cell(*parts) for parts in itertools.product(FaultKind, RATES, WINDOWS, SPREADS)
    ]
    for policy in [options.policy] if options.policy else POLICIES:
        with ProcessPoolExecutor(WORKERS) as pool:
            count = len(cells)
            results = list(
                pool.map(run_cell, cells, [policy] * count, [options.seeds] * count)
            )
        for result in results:
            print(result, flush=True)
        _summarize(policy, results)
    return 0


def _summarize(policy: str, results: Sequence[CellResult]) -> None:
    short = [result for result in results if result.missed > MISSED_SHARE]
    print(f"== {policy}: cells that fall short: {len(short)} of {len(results)}")
    for kind in FaultKind:
        of_kind = [result for result in results if result.cell.kind is kind]
        trials = [trial for result in of_kind for trial in result.trials]
        good = kind in GOOD
        right = sum(t.done if good else t.rolled_back for t in trials) / len(trials)
        word = "done on time" if good else "rolled back"
        missed = sum(result in short for result in of_kind)
        spoiled = quantile([trial.spoiled for trial in trials], 0.5)
        print(
            f"{policy:<10} {kind.value:<16} {word} {right:6.1%},"
            f" {missed} of {len(of_kind)} cells short, spoiled p50 {spoiled:.0f}"
        )


if __name__ == "__main__":
    sys.exit(main())
