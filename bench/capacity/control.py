"""Control bytes and processor time of a daemon against the fleet's size.

Virtual time, both directions, headers included; rollouts are left out. Carriers
and relays are as many in a zone of any size, so a daemon's mean is a line over
the reciprocal of the zone's size, and so is what the busiest daemon spends.
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
SIZES = (10, 20, 50, 100)
QUICK_SIZES = (2, 4)
SETTLE_SECONDS = 10.0
REST_SECONDS = 40.0
QUICK_REST_SECONDS = 10.0
CHANGES = 5
QUICK_CHANGES = 2
DOWN_SECONDS = 15.0
CONFIGURATION = Topic.CONFIGURATION.name


@dataclass(frozen=True)
class Cost:
    """What a daemon spends: bytes and processor seconds, each a second."""

    mean: float
    worst: float
    relay: float
    core: float


@dataclass(frozen=True)
class FleetCost:
    """The costs of a fleet of one size."""

    rest: Cost
    bytes_a_change: float
    worst_bytes_a_change: float
    processor_a_change: float
    bytes_an_event: float


def target_fleet(zones: int, size: int) -> Fleet:
    """Return a fleet at rest that runs as many records as the target has."""
    fleet = converged_fleet(zones, size)
    fleet.apply(*target_records())
    fleet.run(SETTLE_SECONDS)
    return fleet


def spend(fleet: Fleet, work: Callable[[], object], topic: str = "") -> Cost:
    """Return what each running daemon spends a second while work goes on."""
    before = {d.address: _bytes(fleet, d.address, topic) for d in fleet.running}
    relays = [d.address for d in fleet.running if d.distribution.relay.active]
    began = fleet.clock.seconds()
    processor = time.process_time()
    work()
    processor = time.process_time() - processor
    seconds = fleet.clock.seconds() - began
    spent = {
        address: (_bytes(fleet, address, topic) - total) / seconds
        for address, total in before.items()
    }
    return Cost(
        mean=sum(spent.values()) / len(spent),
        worst=max(spent.values()),
        relay=sum(spent[address] for address in relays) / max(1, len(relays)),
        core=processor / seconds / len(spent),
    )


def _bytes(fleet: Fleet, address: Address, topic: str) -> int:
    traffic = fleet.traffic[address]
    if not topic:
        return traffic.total_bytes
    return traffic.sent[topic] + traffic.received[topic]


def measure(zones: int, size: int, rest_seconds: float, changes: int) -> FleetCost:
    """Measure one fleet: at rest, at changes, at a death and return."""
    fleet = target_fleet(zones, size)
    rest = spend(fleet, lambda: fleet.run(rest_seconds))

    def change() -> None:
        for number in range(changes):
            fleet.apply(route_write(number, 0, 100 + number))
            fleet.run(1.0)

    changing = spend(fleet, change, CONFIGURATION)
    idle = spend(fleet, lambda: fleet.run(float(changes)), CONFIGURATION)

    def die_and_return() -> None:
        daemon = fleet.running[len(fleet.running) // 2]
        fleet.kill(daemon)
        fleet.run(DOWN_SECONDS)
        fleet.restart(daemon)
        fleet.run(DOWN_SECONDS)

    event = spend(fleet, die_and_return)
    return FleetCost(
        rest,
        changing.mean - idle.mean,
        changing.worst,
        max(0.0, changing.core - idle.core),
        max(0.0, event.mean - rest.mean) * 2 * DOWN_SECONDS,
    )


def measure_control(quick: bool) -> list[Measurement]:
    """Return points, and what their line comes to at the target's size."""
    sizes = QUICK_SIZES if quick else SIZES
    seconds = QUICK_REST_SECONDS if quick else REST_SECONDS
    changes = QUICK_CHANGES if quick else CHANGES
    costs = {size: measure(ZONES, size, seconds, changes) for size in sizes}
    measurements: list[Measurement] = []
    for size, cost in costs.items():
        label = f"{ZONES} x {size}"
        measurements += [
            Measurement(f"{label}: at rest, mean", cost.rest.mean, "B/s"),
            Measurement(f"{label}: at rest, worst", cost.rest.worst, "B/s"),
            Measurement(f"{label}: at rest, relays", cost.rest.relay, "B/s"),
            Measurement(f"{label}: at rest, processor", 100 * cost.rest.core, "%"),
            Measurement(f"{label}: a change, mean", cost.bytes_a_change, "B"),
            Measurement(f"{label}: a change, worst", cost.worst_bytes_a_change, "B"),
            Measurement(
                f"{label}: a change, processor", 1e6 * cost.processor_a_change, "us"
            ),
            Measurement(f"{label}: a death and return", cost.bytes_an_event, "B"),
        ]
    return measurements + _worked_out(costs)


def _worked_out(costs: dict[int, FleetCost]) -> list[Measurement]:
    def at_target(value: Callable[[FleetCost], float]) -> float:
        points = [(1 / size, value(cost)) for size, cost in costs.items()]
        return LinearFit.from_points(points).value_at(ZONES / SERVERS)

    def daily(cost: FleetCost) -> float:
        changes = cost.bytes_a_change * CHANGES_PER_DAY
        events = cost.bytes_an_event * MEMBER_EVENTS_PER_DAY
        return (changes + events) / SECONDS_PER_DAY

    def core(cost: FleetCost) -> float:
        changes = cost.processor_a_change * CHANGES_PER_DAY / SECONDS_PER_DAY
        return 100 * (cost.rest.core + changes)

    label = f"{SERVERS} daemons, from the line"
    bound = MAX_BYTES_PER_SECOND
    return [
        Measurement(f"{label}: at rest, mean", at_target(lambda c: c.rest.mean), "B/s"),
        Measurement(
            f"{label}: at rest, worst", at_target(lambda c: c.rest.worst), "B/s"
        ),
        Measurement(
            f"{label}: at rest, relays", at_target(lambda c: c.rest.relay), "B/s"
        ),
        Measurement(f"{label}: changes and events of a day", at_target(daily), "B/s"),
        Measurement(
            f"{label}: control, mean",
            at_target(lambda c: c.rest.mean + daily(c)),
            "B/s",
            bound,
        ),
        Measurement(
            f"{label}: control, worst",
            at_target(lambda c: c.rest.worst + daily(c)),
            "B/s",
            bound,
        ),
        # It follows no line: a fit through its noise may even fall below nought.
        Measurement(
            "processor without sockets, most of any size",
            max(map(core, costs.values())),
            "%",
            MAX_CORE_PERCENT,
        ),
    ]


__all__ = ["measure_control", "spend", "target_fleet"]
