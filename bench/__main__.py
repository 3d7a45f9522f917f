"""Run the benches and check their regression bounds.

A bench is a module of this package with ``run(quick) -> list[Measurement]``.
"""

from __future__ import annotations

import argparse
import importlib
import sys


BENCHES: tuple[str, ...] = (
    "membership",
    "convergence",
    "reconnect",
    "publish",
    "mesh_convergence",
    "requests",
    "links",
    "latency",
    "memory",
    "rollouts",
    "rollout_control",
    "chaos",
)
# Those whose short form is too long for each run of the checks.
LONG_BENCHES: tuple[str, ...] = ("capacity",)


def main() -> int:
    """Run the chosen benches and return the exit status."""
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    parser.add_argument("names", nargs="*", help="benches to run, all by default")
    parser.add_argument("--quick", action="store_true", help="small sizes, for CI")
    options = parser.parse_args()
    every = BENCHES if options.quick else (*BENCHES, *LONG_BENCHES)
    missed = 0
    for name in options.names or every:
        print(f"== {name}", flush=True)
        for measurement in importlib.import_module(f"bench.{name}").run(options.quick):
            print(measurement, flush=True)
            missed += not measurement.is_within_bound
    print(f"{missed} bounds missed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
