"""State of one backend server as a daemon observes it in its own calls."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.address import Address
    from briarslip.request.call import Load
    from briarslip.request.moving_average import MovingAverages


SLOWNESS_WEIGHT = 0.2
# A mean that the server reports covers many calls.
REPORTED_SLOWNESS_WEIGHT = 0.5
# A latency beyond this multiple of the service time is partly due to the network.
SLOW_NETWORK_FACTOR = 4.0
SLOWNESS_HALF_LIFE_SECONDS = 10.0
REPORT_MAX_AGE_SECONDS = 1.0
NEUTRAL_SLOWNESS = 1.0
MEAN_OCCUPIED_WEIGHT = 0.1


@dataclass(slots=True, eq=False)
class Server:
    """A backend server of one service and version at one daemon.

    ``slowness`` is the ratio of the server's latency to the mean of the same
    route over all servers. ``reported_occupancy`` is the occupancy in its last
    report, and ``sent_since_report`` the number of calls sent to it since.
    ``slots`` is what it can use, fewer if it limits its requests.
    ``occupied_at_report`` counts the slots that were occupied after the reporting call,
    ``mean_occupied`` is its moving average, None without a report, and
    ``service_seconds`` the reported mean service time, 0 if unknown. Times are
    readings of the monotonic clock in seconds.
    """

    address: Address
    availability_zone: str
    service: str
    version: str
    slots: int
    slow_start_ends_at: float
    in_flight: int = 0
    reported_occupancy: int = 0
    reported_at: float = 0.0
    sent_since_report: int = 0
    occupied_at_report: int = 0
    mean_occupied: float | None = None
    service_seconds: float = 0.0
    slowness: float = NEUTRAL_SLOWNESS
    slowness_updated_at: float = 0.0
    avoid_until: float = 0.0
    link_failed_at: float = 0.0
    consecutive_failures: int = 0
    failure_share: float = 0.0
    last_outcome_at: float = -math.inf
    ejection_count: int = 0
    ejected_until: float = 0.0


def occupancy(server: Server, now: float) -> float:
    """Estimate the number of calls at the server; an old report loses weight."""
    age = now - server.reported_at
    decayed_occupancy = server.reported_occupancy * max(
        0.0, 1.0 - age / REPORT_MAX_AGE_SECONDS
    )
    return max(float(server.in_flight), decayed_occupancy + server.sent_since_report)


def expected_slowness(server: Server, now: float) -> float:
    """Return the slowness, which decays to neutral without new calls."""
    age = now - server.slowness_updated_at
    weight = math.pow(0.5, age / SLOWNESS_HALF_LIFE_SECONDS)
    return NEUTRAL_SLOWNESS + (server.slowness - NEUTRAL_SLOWNESS) * weight


def relative_wait(server: Server, now: float) -> float:
    """Return the expected wait in multiples of the route's mean latency.

    Each occupied slot makes it longer, so that calls spread over idle servers.
    """
    occupied = occupancy(server, now)
    queued = max(0.0, occupied + 1.0 - server.slots)
    busy = (occupied + queued) / server.slots
    return expected_slowness(server, now) * (1.0 + busy)


def relative_latency(server: Server, now: float) -> float:
    """Return the expected latency in multiples of the route's mean latency.

    Unlike ``relative_wait``, it counts only calls that would have to queue.
    """
    queued = max(0.0, occupancy(server, now) + 1.0 - server.slots)
    return expected_slowness(server, now) * (1.0 + queued / server.slots)


def record_load(server: Server, load: Load, now: float, ending_calls: int = 0) -> None:
    """Record the load that a response or failure carried.

    ``ending_calls`` of the calls that it counts end with the response.
    """
    if load.slots:
        _record_occupied(server, load, ending_calls)
        server.slots = load.slots
        server.reported_occupancy = load.in_flight
        server.reported_at = now
        server.sent_since_report = 0


def _record_occupied(server: Server, load: Load, ending_calls: int) -> None:
    # Waiting calls are left out: they show overload, not that no slot will be free.
    occupied = min(load.slots, max(0, load.in_flight - ending_calls))
    mean = occupied if server.mean_occupied is None else server.mean_occupied
    server.occupied_at_report = occupied
    server.mean_occupied = mean + (occupied - mean) * MEAN_OCCUPIED_WEIGHT
    if load.service_time_seconds > 0.0:
        server.service_seconds = load.service_time_seconds


def record_latency(
    server: Server, mean_latencies: MovingAverages, key: str, seconds: float, now: float
) -> None:
    """Record the latency of a call; ``mean_latencies`` covers all servers."""
    _update_slowness(server, mean_latencies, key, seconds, SLOWNESS_WEIGHT, now)


def record_service_time(
    server: Server,
    mean_latencies: MovingAverages,
    key: str,
    seconds: float,
    reported_seconds: float,
    now: float,
) -> None:
    """Record the latency of a call and the service time that the server reported.

    When each of many daemons makes few calls to each server, none can measure
    the servers' speeds by its own calls before they change. The reported mean
    is used instead, unless the network dominates the latency.
    """
    if reported_seconds > 0.0 and seconds <= SLOW_NETWORK_FACTOR * reported_seconds:
        _update_slowness(
            server, mean_latencies, key, reported_seconds, REPORTED_SLOWNESS_WEIGHT, now
        )
    else:
        _update_slowness(server, mean_latencies, key, seconds, SLOWNESS_WEIGHT, now)


def _update_slowness(
    server: Server,
    mean_latencies: MovingAverages,
    key: str,
    seconds: float,
    weight: float,
    now: float,
) -> None:
    mean_latencies.record(key, seconds)
    previous = expected_slowness(server, now)
    server.slowness = (
        previous + (seconds / mean_latencies.mean(key) - previous) * weight
    )
    server.slowness_updated_at = now


__all__ = [
    "Server",
    "expected_slowness",
    "occupancy",
    "record_latency",
    "record_load",
    "record_service_time",
    "relative_latency",
    "relative_wait",
]
