"""The fault soak: ``python -m bench.chaos [--seed N] [--seeds N] [--seconds N]``."""

from __future__ import annotations

import argparse
import random
import sys

from bench.chaos.deployment import DEPLOYMENTS
from bench.chaos.regressions import REGRESSIONS
from bench.chaos.trial import CONCURRENT_FAULTS
from bench.chaos.trial import run_trial


MAX_RANDOM_SEED = 1_000_000


def main() -> int:
    """Run a trial for each deployment and seed; return the exit status."""
    parser = argparse.ArgumentParser(prog="bench.chaos", description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed (default: random)")
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds"
    )
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument(
        "--series",
        type=int,
        default=CONCURRENT_FAULTS,
        help="number of faults at a time",
    )
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), action="append")
    parser.add_argument(
        "--regressions", action="store_true", help="run the seeds that once failed"
    )
    options = parser.parse_args()
    first_seed = options.seed
    if first_seed is None:
        first_seed = random.SystemRandom().randrange(MAX_RANDOM_SEED)
    deployments = options.deployment or sorted(DEPLOYMENTS)
    cases = [
        (name, seed)
        for seed in range(first_seed, first_seed + options.seeds)
        for name in deployments
    ]
    if options.regressions:
        cases = [(regression.deployment, regression.seed) for regression in REGRESSIONS]
    failed = []
    for name, seed in cases:
        print(f"== {name}, seed {seed}, {options.seconds:g} s", flush=True)
        figures = run_trial(DEPLOYMENTS[name], seed, options.seconds, options.series)
        for figure in figures:
            print(figure, flush=True)
        if not all(figure.is_within_bound for figure in figures):
            failed.append(f"{name} seed {seed}")
    print(f"{len(cases)} trials, {len(failed)} failed: {', '.join(failed) or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
