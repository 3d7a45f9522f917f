"""Control traffic and processor time of a daemon, by the fleet's size.

Time is virtual; bytes count both directions with headers; rollouts are left out. A
zone of any size has the same number of relays and of bridge members, which exchange
membership with other zones. So the mean cost of a daemon is linear in the reciprocal
of the zone's size, and so is the cost of the busiest daemon.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.capacity.linear_fit import LinearFit
from bench.capacity.target import CHANGES_PER_DAY
from bench.capacity.target import MAX_BYTES_PER_SECOND
from bench.capacity.target import MAX_CORE_PERCENT
from bench.capacity.target import MEMBER_EVENTS_PER_DAY
from bench.capacity.target import SECONDS_PER_DAY
from bench.capacity.target import SERVERS
from bench.convergence import route_write
from bench.convergence import target_records
from bench.measurement import Measurement
from bench.membership import converged_fleet
from briarslip.connection.frame import Topic


if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.fleet import Fleet
    from briarslip.address import Address


ZONES = 13
ZONE_SIZES = (10, 20, 50, 100)
QUICK_ZONE_SIZES = (2, 4)
SETTLE_SECONDS = 10.0
IDLE_SECONDS = 40.0
QUICK_IDLE_SECONDS = 10.0
CHANGES = 5
QUICK_CHANGES = 2
DOWNTIME_SECONDS = 15.0
CONFIGURATION = Topic.CONFIGURATION.name


@dataclass(frozen=True)
class Cost:
    """Bytes per second of the daemons of a fleet, and their share of a core.

    ``mean`` and ``worst`` are over all daemons, ``relay`` is the mean of the relays.
    """

    mean: float
    worst: float
    relay: float
    core_share: float


@dataclass(frozen=True)
class FleetCost:
    """The costs of a fleet of one size."""

    idle: Cost
    bytes_per_change: float
    worst_bytes_per_change: float
    processor_seconds_per_change: float
    bytes_per_member_event: float


def target_fleet(zones: int, size: int) -> Fleet:
    """Return an idle fleet that runs as many records as the target has."""
    fleet = converged_fleet(zones, size)
    fleet.apply(*target_records())
    fleet.run(SETTLE_SECONDS)
    return fleet


def measure_cost(fleet: Fleet, action: Callable[[], object], topic: str = "") -> Cost:
    """Return the cost of the running daemons during an action.

    Bytes are those of one topic if given, otherwise of all traffic.
    """
    before = {d.address: _traffic_bytes(fleet, d.address, topic) for d in fleet.running}
    relays = [d.address for d in fleet.running if d.distribution.relay.active]
    started_at = fleet.clock.seconds()
    processor_seconds = time.process_time()
    action()
    processor_seconds = time.process_time() - processor_seconds
    seconds = fleet.clock.seconds() - started_at
    bytes_per_second = {
        address: (_traffic_bytes(fleet, address, topic) - start_bytes) / seconds
        for address, start_bytes in before.items()
    }
    return Cost(
        mean=sum(bytes_per_second.values()) / len(bytes_per_second),
        worst=max(bytes_per_second.values()),
        relay=sum(bytes_per_second[address] for address in relays)
        / max(1, len(relays)),
        core_share=processor_seconds / seconds / len(bytes_per_second),
    )


def _traffic_bytes(fleet: Fleet, address: Address, topic: str) -> int:
    traffic = fleet.traffic[address]
    if not topic:
        return traffic.total_bytes
    return traffic.sent[topic] + traffic.received[topic]


def measure(zones: int, size: int, idle_seconds: float, changes: int) -> FleetCost:
    """Measure one fleet: idle, with a change per second, with a daemon replaced."""
    fleet = target_fleet(zones, size)
    idle = measure_cost(fleet, lambda: fleet.run(idle_seconds))

    def change() -> None:
        for number in range(changes):
            fleet.apply(route_write(number, 0, 100 + number))
            fleet.run(1.0)

    with_changes = measure_cost(fleet, change, CONFIGURATION)
    idle_configuration = measure_cost(
        fleet, lambda: fleet.run(float(changes)), CONFIGURATION
    )

    def kill_and_replace() -> None:
        daemon = fleet.running[len(fleet.running) // 2]
        fleet.kill(daemon)
        fleet.run(DOWNTIME_SECONDS)
        fleet.restart(daemon)
        fleet.run(DOWNTIME_SECONDS)

    event = measure_cost(fleet, kill_and_replace)
    return FleetCost(
        idle,
        with_changes.mean - idle_configuration.mean,
        with_changes.worst,
        max(0.0, with_changes.core_share - idle_configuration.core_share),
        max(0.0, event.mean - idle.mean) * 2 * DOWNTIME_SECONDS,
    )


def measure_control(quick: bool) -> list[Measurement]:
    """Measure several zone sizes, and extrapolate to the target's size."""
    sizes = QUICK_ZONE_SIZES if quick else ZONE_SIZES
    seconds = QUICK_IDLE_SECONDS if quick else IDLE_SECONDS
    changes = QUICK_CHANGES if quick else CHANGES
    costs = {size: measure(ZONES, size, seconds, changes) for size in sizes}
    measurements: list[Measurement] = []
    for size, cost in costs.items():
        prefix = f"{ZONES} x {size}"
        measurements += [
            Measurement(f"{prefix}: idle, mean", cost.idle.mean, "B/s"),
            Measurement(f"{prefix}: idle, worst", cost.idle.worst, "B/s"),
            Measurement(f"{prefix}: idle, relays", cost.idle.relay, "B/s"),
            Measurement(
                f"{prefix}: idle, processor time", 100 * cost.idle.core_share, "%"
            ),
            Measurement(f"{prefix}: per change, mean", cost.bytes_per_change, "B"),
            Measurement(
                f"{prefix}: per change, worst", cost.worst_bytes_per_change, "B"
            ),
            Measurement(
                f"{prefix}: per change, processor time",
                1e6 * cost.processor_seconds_per_change,
                "us",
            ),
            Measurement(
                f"{prefix}: per replaced daemon", cost.bytes_per_member_event, "B"
            ),
        ]
    return measurements + _extrapolate(costs)


def _extrapolate(costs: dict[int, FleetCost]) -> list[Measurement]:
    def at_target(value: Callable[[FleetCost], float]) -> float:
        points = [(1 / size, value(cost)) for size, cost in costs.items()]
        return LinearFit.from_points(points).value_at(ZONES / SERVERS)

    def daily_bytes_per_second(cost: FleetCost) -> float:
        changes = cost.bytes_per_change * CHANGES_PER_DAY
        events = cost.bytes_per_member_event * MEMBER_EVENTS_PER_DAY
        return (changes + events) / SECONDS_PER_DAY

    def core_percent(cost: FleetCost) -> float:
        changes = cost.processor_seconds_per_change * CHANGES_PER_DAY / SECONDS_PER_DAY
        return 100 * (cost.idle.core_share + changes)

    prefix = f"{SERVERS} daemons, extrapolated"
    bound = MAX_BYTES_PER_SECOND
    return [
        Measurement(f"{prefix}: idle, mean", at_target(lambda c: c.idle.mean), "B/s"),
        Measurement(f"{prefix}: idle, worst", at_target(lambda c: c.idle.worst), "B/s"),
        Measurement(
            f"{prefix}: idle, relays", at_target(lambda c: c.idle.relay), "B/s"
        ),
        Measurement(
            f"{prefix}: changes and replacements of a day",
            at_target(daily_bytes_per_second),
            "B/s",
        ),
        Measurement(
            f"{prefix}: control traffic, mean",
            at_target(lambda c: c.idle.mean + daily_bytes_per_second(c)),
            "B/s",
            bound,
        ),
        Measurement(
            f"{prefix}: control traffic, worst",
            at_target(lambda c: c.idle.worst + daily_bytes_per_second(c)),
            "B/s",
            bound,
        ),
        # Not extrapolated: it is not linear, and a fit to its noise may be negative.
        Measurement(
            "processor time without sockets, maximum of all sizes",
            max(map(core_percent, costs.values())),
            "%",
            MAX_CORE_PERCENT,
        ),
    ]


__all__ = ["measure_control", "measure_cost", "target_fleet"]
