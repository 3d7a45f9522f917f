"""Load balancing: choice of the backend server for a call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.request.ejection import eligible_servers
from briarslip.request.server import relative_latency
from briarslip.request.server import relative_wait


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Sequence

    from briarslip.request.server import Server

    ChooseInZone = Callable[[Sequence[Server], float, random.Random], Server | None]


SPILLOVER_FACTOR = 2.0
SLOW_START_SECONDS = 10.0
MIN_SLOW_START_SHARE = 0.1


def choose_server(
    servers: Sequence[Server],
    availability_zone: str,
    now: float,
    rng: random.Random,
    latency_limit: float = 0.0,
    choose_in_zone: ChooseInZone | None = None,
) -> Server | None:
    """Choose the server with the shorter expected wait of two random servers.

    ``choose_in_zone`` replaces this choice among the servers at equal distance.

    The local availability zone is preferred as long as its expected latency is
    within ``latency_limit``, in multiples of the route's mean latency. Beyond
    that, a call goes to another zone if the wait there is shorter by more than
    ``SPILLOVER_FACTOR``. The servers' health and load endpoints are not used.
    """
    choose = choose_in_zone or _power_of_two_choices
    eligible = eligible_servers(servers, now)
    local = [s for s in eligible if s.availability_zone == availability_zone]
    best_local = choose(local, now, rng)
    if len(local) == len(eligible):
        return best_local
    remote = [s for s in eligible if s.availability_zone != availability_zone]
    best_remote = choose(remote, now, rng)
    if best_local is None or best_remote is None:
        return best_local or best_remote
    if relative_latency(best_local, now) <= latency_limit:
        return best_local
    spills_over = relative_wait(best_local, now) > SPILLOVER_FACTOR * relative_wait(
        best_remote, now
    )
    return best_remote if spills_over else best_local


def _power_of_two_choices(
    servers: Sequence[Server], now: float, rng: random.Random
) -> Server | None:
    """Choose the better of two random servers, None if there are no servers."""
    if not servers:
        return None
    if len(servers) == 1:
        return servers[0]
    count = len(servers)
    index = int(rng.random() * count)
    first = servers[index]
    second = servers[(index + 1 + int(rng.random() * (count - 1))) % count]
    if first.slow_start_ends_at > now or second.slow_start_ends_at > now:
        first_ready = passes_slow_start(first, now, rng)
        if first_ready != passes_slow_start(second, now, rng):
            return first if first_ready else second
    return first if relative_wait(first, now) <= relative_wait(second, now) else second


def passes_slow_start(server: Server, now: float, rng: random.Random) -> bool:
    """Return whether a server may get this call; the share grows in slow start."""
    remaining_share = (server.slow_start_ends_at - now) / SLOW_START_SECONDS
    return remaining_share <= 0.0 or rng.random() < max(
        MIN_SLOW_START_SHARE, 1.0 - remaining_share
    )


__all__ = ["SLOW_START_SECONDS", "choose_server", "passes_slow_start"]
