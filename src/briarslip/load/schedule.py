"""Schedule of a load run: the time, target and kind of each request."""

from __future__ import annotations

import random
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterator

    from briarslip.load.plan import LoadPlan
    from briarslip.load.plan import RequestKind
    from briarslip.load.plan import Target


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that is due ``due_seconds`` after the start of the run.

    ``is_measured`` is false for requests of the warm-up.
    """

    number: int
    due_seconds: float
    is_measured: bool
    target: Target
    kind: RequestKind


def arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """Yield the arrivals of a plan in order; they depend only on the plan and seed.

    Targets are assigned round-robin, so that all have the same load at the same time.
    In a closed loop the arrivals do not end.
    """
    rng = random.Random(plan.seed)
    weights = [kind.weight for kind in plan.kinds]
    warm_up = plan.warm_up.total_seconds()
    end = warm_up + plan.measured.total_seconds()
    due_seconds = 0.0
    for number in count():
        gap = 1.0 / plan.rate
        due_seconds += rng.expovariate(plan.rate) if plan.arrivals == "poisson" else gap
        if due_seconds >= end and plan.arrivals != "closed":
            return
        (kind,) = rng.choices(plan.kinds, weights)
        target = plan.targets[number % len(plan.targets)]
        yield Arrival(number, due_seconds, due_seconds >= warm_up, target, kind)


__all__ = ["Arrival", "arrivals"]
