"""Choice of the backend server that a call goes to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.request.ejection import eligible
from briarslip.request.server import expected_latency
from briarslip.request.server import expected_wait


if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from briarslip.request.server import Server


SPILL_FACTOR = 2.0
WARM_UP_SECONDS = 10.0
LEAST_WARM_SHARE = 0.1


def choose(
    servers: Sequence[Server],
    availability_zone: str,
    now: float,
    rng: random.Random,
    latency_limit: float = 0.0,
) -> Server | None:
    """Choose the server with the shorter wait of two random ones.

    The own availability zone goes first, as long as it can be expected to
    answer within ``latency_limit``, in mean times of the route. Beyond that
    another zone is taken when its wait is shorter by more than the spill
    factor. Health and load endpoints have no part in it.
    """
    usable = eligible(servers, now)
    near = [s for s in usable if s.availability_zone == availability_zone]
    best_near = _better_of_two(near, now, rng)
    if len(near) == len(usable):
        return best_near
    far = [s for s in usable if s.availability_zone != availability_zone]
    best_far = _better_of_two(far, now, rng)
    if best_near is None or best_far is None:
        return best_near or best_far
    if expected_latency(best_near, now) <= latency_limit:
        return best_near
    spills = expected_wait(best_near, now) > SPILL_FACTOR * expected_wait(best_far, now)
    return best_far if spills else best_near


def _better_of_two(
    servers: Sequence[Server], now: float, rng: random.Random
) -> Server | None:
    if not servers:
        return None
    if len(servers) == 1:
        return servers[0]
    count = len(servers)
    place = int(rng.random() * count)
    first = servers[place]
    second = servers[(place + 1 + int(rng.random() * (count - 1))) % count]
    if first.warm_at > now or second.warm_at > now:
        first_ready = _passes_warm_up(first, now, rng)
        if first_ready != _passes_warm_up(second, now, rng):
            return first if first_ready else second
    return first if expected_wait(first, now) <= expected_wait(second, now) else second


def _passes_warm_up(server: Server, now: float, rng: random.Random) -> bool:
    """Let a growing share of calls through to a server that is new."""
    left = (server.warm_at - now) / WARM_UP_SECONDS
    return left <= 0.0 or rng.random() < max(LEAST_WARM_SHARE, 1.0 - left)


__all__ = ["WARM_UP_SECONDS", "choose"]
