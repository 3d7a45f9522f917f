"""The platform's calls, writes and waiting watches against zones and size."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from bench.capacity.control import target_fleet
from bench.capacity.linear_fit import LinearFit
from bench.capacity.target import CHANGES_PER_DAY
from bench.capacity.target import MAX_READS_PER_SECOND
from bench.capacity.target import SECONDS_PER_DAY
from bench.capacity.target import SERVERS
from bench.capacity.target import ZONES
from bench.convergence import route_write
from bench.measurement import Measurement
from standins.in_memory_store import WRITE_KINDS


if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.fleet import Fleet


LAYOUTS = ((4, 10), (4, 20), (13, 10), (13, 20))
QUICK_LAYOUTS = ((2, 4), (4, 4))
REST_SECONDS = 240.0
QUICK_REST_SECONDS = 24.0
CHANGES = 5
DOWN_SECONDS = 30.0
RETURN_SECONDS = 30
CUT_SECONDS = 120
HEALED_SECONDS = 60


def calls_during(fleet: Fleet, work: Callable[[], object]) -> Counter[str]:
    """Return the platform's calls by kind while work goes on."""
    before = Counter(fleet.store.call_counts)
    work()
    return Counter(fleet.store.call_counts) - before


def writes(calls: Counter[str]) -> int:
    """Return how many of the calls write."""
    return sum(calls[kind] for kind in WRITE_KINDS)


def peaks(fleet: Fleet, seconds: int) -> tuple[Counter[str], int, int]:
    """Return all calls, and the most calls and writes of one second."""
    total: Counter[str] = Counter()
    most_calls, most_writes = 0, 0
    for _ in range(seconds):
        calls = calls_during(fleet, lambda: fleet.run(1.0))
        total += calls
        most_calls = max(most_calls, calls.total())
        most_writes = max(most_writes, writes(calls))
    return total, most_calls, most_writes


def _steady(
    fleet: Fleet, label: str, quick: bool
) -> tuple[list[Measurement], float, float]:
    seconds = QUICK_REST_SECONDS if quick else REST_SECONDS
    rest = calls_during(fleet, lambda: fleet.run(seconds))

    def change() -> None:
        for number in range(CHANGES):
            fleet.apply(route_write(number, 0, 200 + number))
            fleet.run(2.0)

    idle = rest.total() / seconds
    changing = calls_during(fleet, change)
    per_change = changing.total() / CHANGES - 2.0 * idle
    return (
        [
            Measurement(f"{label}: waiting watches", fleet.store.waiting_watches, ""),
            Measurement(f"{label}: calls at rest", idle, "1/s"),
            Measurement(f"{label}: writes at rest", writes(rest) / seconds, "1/s"),
            Measurement(f"{label}: calls a change", per_change, ""),
            Measurement(f"{label}: writes a change", writes(changing) / CHANGES, ""),
        ],
        idle,
        per_change,
    )


def _zone_lost(fleet: Fleet, label: str) -> list[Measurement]:
    """Lose the first zone whole, and let all of it return at once."""
    zone = fleet.running[0].zone
    lost = [daemon for daemon in fleet.running if daemon.zone == zone]
    for daemon in lost:
        fleet.kill(daemon)
    _, gone, _ = peaks(fleet, int(DOWN_SECONDS))
    for daemon in lost:
        fleet.restart(daemon)
    total, most, written = peaks(fleet, RETURN_SECONDS)
    each = total.total() / len(lost)
    return [
        Measurement(f"{label}: zone lost, peak calls", gone, "1/s"),
        Measurement(f"{label}: zone back, calls", each, "per daemon"),
        Measurement(f"{label}: zone back, peak calls", most, "1/s"),
        Measurement(f"{label}: zone back, peak writes", written, "1/s"),
    ]


def _region_cut(fleet: Fleet, label: str) -> list[Measurement]:
    """Cut the first region from the platform and from all others.

    Watches that a cut daemon tries to open are counted, reads are not.
    """
    region = fleet.running[0].region
    zones = {d.zone for d in fleet.running if d.region == region}
    others = {d.zone for d in fleet.running} - zones
    fleet.zone_partitions |= {frozenset((a, b)) for a in zones for b in others}
    for zone in zones:
        fleet.partition_from_store(zone)
    cut, _, _ = peaks(fleet, CUT_SECONDS)
    fleet.heal_partitions()
    _, most, written = peaks(fleet, HEALED_SECONDS)
    return [
        Measurement(f"{label}: region cut, calls", cut.total() / CUT_SECONDS, "1/s"),
        Measurement(f"{label}: region back, peak calls", most, "1/s"),
        Measurement(f"{label}: region back, peak writes", written, "1/s"),
    ]


def measure_store(quick: bool) -> list[Measurement]:
    """Return points and what they come to at the target's size."""
    measurements: list[Measurement] = []
    idle: list[tuple[float, float]] = []
    changes: list[tuple[float, float]] = []
    back: list[tuple[float, float]] = []
    for zones, size in QUICK_LAYOUTS if quick else LAYOUTS:
        fleet = target_fleet(zones, size)
        label = f"{zones} x {size}"
        steady, rest, per_change = _steady(fleet, label, quick)
        lost = _zone_lost(fleet, label)
        measurements += steady + lost
        idle.append((zones, rest))
        changes.append((zones, per_change))
        back.append((size, lost[2].value))
        if zones == ZONES:
            measurements += _region_cut(fleet, label)
    rest = LinearFit.from_points(idle).value_at(ZONES)
    change = LinearFit.from_points(changes).value_at(ZONES)
    busy = rest + change * CHANGES_PER_DAY / SECONDS_PER_DAY
    label = f"{ZONES} zones, from the line"
    measurements += [
        Measurement(f"{label}: calls at rest", rest, "1/s"),
        Measurement(f"{label}: calls a change", change, ""),
        Measurement(
            f"{label}: calls, 2,200 changes a day", busy, "1/s", MAX_READS_PER_SECOND
        ),
    ]
    if not quick:
        peak = LinearFit.from_points(back).value_at(SERVERS / ZONES)
        name = f"{label}: zone of {SERVERS // ZONES} back, peak calls"
        measurements.append(Measurement(name, peak, "1/s", MAX_READS_PER_SECOND))
    return measurements


__all__ = ["measure_store"]
