"""What a daemon has learned about one backend server by its own calls."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.address import Address
    from briarslip.request.call import Load
    from briarslip.request.service_time import ServiceTimes


SLOWNESS_WEIGHT = 0.2
# A server's own mean stands for many calls.
REPORTED_WEIGHT = 0.5
# Of a latency beyond so many service times the way to the server has a part.
SLOW_PATH_FACTOR = 4.0
SLOWNESS_HALF_LIFE_SECONDS = 10.0
REPORT_SECONDS = 1.0
NEUTRAL_SLOWNESS = 1.0


@dataclass(slots=True, eq=False)
class Server:
    """A backend server of one service and version beside one daemon.

    ``slowness`` is the server's latency over the mean of the same route at all
    servers. ``reported`` is the occupancy that its last answer carried, and
    ``sent_since`` the calls sent to it after that. Times are readings of the
    monotonic clock in seconds.
    """

    address: Address
    availability_zone: str
    service: str
    version: str
    slots: int
    warm_at: float
    in_flight: int = 0
    reported: int = 0
    reported_at: float = 0.0
    sent_since: int = 0
    slowness: float = NEUTRAL_SLOWNESS
    learned_at: float = 0.0
    avoid_until: float = 0.0
    link_failed_at: float = 0.0
    consecutive_failures: int = 0
    failure_share: float = 0.0
    judged_at: float = -math.inf
    ejections: int = 0
    ejected_until: float = 0.0


def occupancy(server: Server, now: float) -> float:
    """Estimate the calls at the server; an old report fades out."""
    age = now - server.reported_at
    faded = server.reported * max(0.0, 1.0 - age / REPORT_SECONDS)
    return max(float(server.in_flight), faded + server.sent_since)


def expected_slowness(server: Server, now: float) -> float:
    """Return the learned slowness, which goes back to neutral with time."""
    age = now - server.learned_at
    weight = math.pow(0.5, age / SLOWNESS_HALF_LIFE_SECONDS)
    return NEUTRAL_SLOWNESS + (server.slowness - NEUTRAL_SLOWNESS) * weight


def expected_wait(server: Server, now: float) -> float:
    """Return the expected time of a call, in mean times of its route."""
    occupied = occupancy(server, now)
    queued = max(0.0, occupied + 1.0 - server.slots)
    busy = (occupied + queued) / server.slots
    return expected_slowness(server, now) * (1.0 + busy)


def expected_latency(server: Server, now: float) -> float:
    """Return the expected latency of a call, in mean times of its route.

    Unlike ``expected_wait`` it counts no slots that are busy but free enough.
    """
    queued = max(0.0, occupancy(server, now) + 1.0 - server.slots)
    return expected_slowness(server, now) * (1.0 + queued / server.slots)


def learn_load(server: Server, load: Load, now: float) -> None:
    """Take the occupancy that an answer or a refusal carried."""
    if load.slots:
        server.reported = load.in_flight
        server.reported_at = now
        server.sent_since = 0


def learn_latency(
    server: Server, times: ServiceTimes, key: str, seconds: float, now: float
) -> None:
    """Take the latency of one call; ``times`` are the means of all servers."""
    _learn(server, times, key, seconds, SLOWNESS_WEIGHT, now)


def learn_service_time(
    server: Server,
    times: ServiceTimes,
    key: str,
    seconds: float,
    reported: float,
    now: float,
) -> None:
    """Take the latency of one call and the mean that the server reported.

    Load pattern: many daemons, each with few calls to each server, so that
    none could learn the servers' speeds from its own calls before they change.
    """
    if reported > 0.0 and seconds <= SLOW_PATH_FACTOR * reported:
        _learn(server, times, key, reported, REPORTED_WEIGHT, now)
    else:
        _learn(server, times, key, seconds, SLOWNESS_WEIGHT, now)


def _learn(
    server: Server,
    times: ServiceTimes,
    key: str,
    seconds: float,
    weight: float,
    now: float,
) -> None:
    times.take(key, seconds)
    known = expected_slowness(server, now)
    server.slowness = known + (seconds / times.mean(key) - known) * weight
    server.learned_at = now


__all__ = [
    "Server",
    "expected_latency",
    "expected_slowness",
    "expected_wait",
    "learn_latency",
    "learn_load",
    "learn_service_time",
    "occupancy",
]
