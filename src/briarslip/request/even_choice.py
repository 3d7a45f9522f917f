"""Load balancing from views that are older than the calls at the servers."""

from __future__ import annotations

import math
from statistics import fmean
from statistics import pstdev
from typing import TYPE_CHECKING

from briarslip.request.server import expected_slowness
from briarslip.request.server_choice import choose_server
from briarslip.request.server_choice import passes_slow_start


if TYPE_CHECKING:
    import random
    from collections.abc import Iterable
    from collections.abc import Sequence

    from briarslip.request.server import Server


# With 6, 8 to 34% more calls move on; 30 gains nothing.
FREE_SLOT_EXPONENT = 16
# Limits the processor time of a choice; it takes about 2 us for each server.
MAX_WEIGHED_SERVERS = 24
# A server that was always full gets calls again although nothing reports its recovery.
MEAN_HALF_LIFE_SECONDS = 10.0
# The part of the variance of a Poisson process that a limited number of slots leaves.
VARIANCE_SHARE = 0.5
MIN_VARIANCE = 0.05
# A server 10 times as slow as others gets 0.3% of their calls while all are idle.
SLOWNESS_EXPONENT = 3
MIN_SLOWNESS = 0.1
MIN_PROBABILITY = 1e-3
# Beyond this mean share of occupied slots hardly any server is idle.
MAX_OCCUPIED_SHARE = 0.97
DEFAULT_OCCUPIED_SHARE = 0.5


def choose_evenly(
    servers: Sequence[Server],
    availability_zone: str,
    now: float,
    rng: random.Random,
    latency_limit: float = 0.0,
) -> Server | None:
    """Choose a server at random, weighted by its chance of a free slot.

    Load pattern: each of many daemons hears from a server only after several service
    times, and all choose at the same moment. If each chose the best by its view, a
    server that looks idle would get all of their calls. The older the views, the
    closer this choice is to a random one by the servers' capacity. Zones are chosen
    as in ``choose_server``.
    """
    return choose_server(
        servers, availability_zone, now, rng, latency_limit, choose_weighted
    )


def choose_weighted(
    servers: Sequence[Server], now: float, rng: random.Random
) -> Server | None:
    """Choose one of the servers at equal distance, None if there is none."""
    if len(servers) > MAX_WEIGHED_SERVERS:
        servers = rng.sample(servers, MAX_WEIGHED_SERVERS)
    warm = [s for s in servers if passes_slow_start(s, now, rng)]
    servers = warm or servers
    if len(servers) < 2:
        return servers[0] if servers else None
    share = occupied_share(servers)
    weights = [
        free_slot_probability(server, share, now) ** FREE_SLOT_EXPONENT
        * server.slots
        / max(MIN_SLOWNESS, expected_slowness(server, now)) ** SLOWNESS_EXPONENT
        for server in servers
    ]
    return rng.choices(servers, weights)[0]


def occupied_share(servers: Iterable[Server]) -> float:
    """Return the mean share of the slots that the servers reported as occupied."""
    occupied, slots = 0.0, 0
    for server in servers:
        if server.mean_occupied is not None:
            occupied += server.mean_occupied
            slots += server.slots
    return occupied / slots if slots else DEFAULT_OCCUPIED_SHARE


def free_slot_probability(server: Server, service_share: float, now: float) -> float:
    """Estimate the probability that a server has a free slot.

    The last report fades to the mean of all reports within the service time, as the
    calls that it counted have ended by then and others have taken their slots. That
    mean fades to ``service_share``, the occupied share of the service's slots.
    """
    age = now - server.reported_at
    mean = service_share * server.slots
    if server.mean_occupied is not None:
        weight = math.pow(0.5, age / MEAN_HALF_LIFE_SECONDS)
        mean += (server.mean_occupied - mean) * weight
    report_weight = 0.0
    if server.service_seconds > 0.0:
        report_weight = math.exp(-age / server.service_seconds)
    occupied = mean + (server.occupied_at_report - mean) * report_weight
    occupied = max(float(server.in_flight), occupied + server.sent_since_report)
    variance = VARIANCE_SHARE * mean * (1.0 - report_weight**2) + MIN_VARIANCE
    deviations = (server.slots - 0.5 - occupied) / math.sqrt(2.0 * variance)
    return max(MIN_PROBABILITY, 0.5 * math.erfc(-deviations))


def has_idle_slots(servers: Iterable[Server], availability_zone: str) -> bool:
    """Return whether the servers of a zone are likely to have free slots."""
    local = (s for s in servers if s.availability_zone == availability_zone)
    return occupied_share(local) < MAX_OCCUPIED_SHARE


def occupied_spread(servers: Iterable[Server]) -> float:
    """Return the standard deviation of the servers' occupied shares of slots.

    It is that of the service whose servers are loaded most unevenly.
    """
    shares: dict[str, list[float]] = {}
    for server in servers:
        if server.mean_occupied is not None:
            share = server.mean_occupied / server.slots
            shares.setdefault(server.service, []).append(share)
    return max(map(pstdev, shares.values()), default=0.0)


def view_age_seconds(servers: Iterable[Server], now: float) -> float:
    """Return the mean age of the servers' last reports, 0 if there are none."""
    ages = [now - s.reported_at for s in servers if s.mean_occupied is not None]
    return fmean(ages) if ages else 0.0


__all__ = [
    "choose_evenly",
    "has_idle_slots",
    "occupied_spread",
    "view_age_seconds",
]
