"""When each request is due, where it goes and what it asks."""

from __future__ import annotations

import random
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterator

    from briarslip.load.plan import Plan
    from briarslip.load.plan import RequestKind
    from briarslip.load.plan import Target


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that is due ``at`` seconds after the start of the run."""

    number: int
    at: float
    measured: bool
    target: Target
    kind: RequestKind


def arrivals(plan: Plan) -> Iterator[Arrival]:
    """Yield the arrivals of a plan in order; the same seed gives the same ones.

    Targets take turns, so that each of them meets the same load at the same
    time.
    """
    rng = random.Random(plan.seed)
    weights = [kind.weight for kind in plan.kinds]
    warm_up = plan.warm_up.total_seconds()
    end = warm_up + plan.measured.total_seconds()
    at = 0.0
    for number in count():
        gap = 1.0 / plan.rate
        at += rng.expovariate(plan.rate) if plan.arrivals == "poisson" else gap
        if at >= end and plan.arrivals != "closed":
            return
        (kind,) = rng.choices(plan.kinds, weights)
        target = plan.targets[number % len(plan.targets)]
        yield Arrival(number, at, at >= warm_up, target, kind)


__all__ = ["Arrival", "arrivals"]
