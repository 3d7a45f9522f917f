"""The fault soak: ``python -m bench.chaos [--seed N] [--seeds N] [--seconds N]``."""

from __future__ import annotations

import argparse
import random
import sys

from bench.chaos.deployment import DEPLOYMENTS
from bench.chaos.regressions import REGRESSIONS
from bench.chaos.trial import SERIES
from bench.chaos.trial import run_trial


MAX_FRESH_SEED = 1_000_000


def main() -> int:
    """Run trials of each deployment and return the exit status."""
    parser = argparse.ArgumentParser(prog="bench.chaos", description=__doc__)
    parser.add_argument("--seed", type=int, help="the first seed; a fresh one if none")
    parser.add_argument("--seeds", type=int, default=1, help="how many in a row")
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--series", type=int, default=SERIES, help="faults at once")
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), action="append")
    parser.add_argument(
        "--regressions", action="store_true", help="the seeds that once failed"
    )
    options = parser.parse_args()
    first = options.seed
    if first is None:
        first = random.SystemRandom().randrange(MAX_FRESH_SEED)
    names = options.deployment or sorted(DEPLOYMENTS)
    cases = [
        (name, seed) for seed in range(first, first + options.seeds) for name in names
    ]
    if options.regressions:
        cases = [(known.deployment, known.seed) for known in REGRESSIONS]
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
