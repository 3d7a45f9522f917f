"""What a daemon has learned about one backend server by its own calls."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.address import Address
    from briarslip.request.call import Load


SLOWNESS_WEIGHT = 0.2
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


def learn_latency(server: Server, ratio: float, now: float) -> None:
    """Take a latency, given as a ratio to the mean of its route."""
    known = expected_slowness(server, now)
    server.slowness = known + (ratio - known) * SLOWNESS_WEIGHT
    server.learned_at = now


__all__ = [
    "Server",
    "expected_latency",
    "expected_slowness",
    "expected_wait",
    "learn_latency",
    "learn_load",
    "occupancy",
]
