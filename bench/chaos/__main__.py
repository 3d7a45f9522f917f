"""Run the long form: ``python -m bench.chaos [--seed N] [--seconds N]``."""

from __future__ import annotations

import argparse
import sys

from bench.chaos.deployment import DEPLOYMENTS
from bench.chaos.trial import run_trial


def main() -> int:
    """Run a trial of each deployment and return the exit status."""
    parser = argparse.ArgumentParser(prog="bench.chaos", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), action="append")
    options = parser.parse_args()
    missed = 0
    for name in options.deployment or sorted(DEPLOYMENTS):
        print(f"== {name}, seed {options.seed}, {options.seconds:g} s", flush=True)
        figures = run_trial(DEPLOYMENTS[name], options.seed, options.seconds)
        for figure in figures:
            print(figure, flush=True)
            missed += not figure.within
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
