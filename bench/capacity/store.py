"""The store's calls, writes and waiting watches, by number and size of zones."""

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


# Number of zones, and daemons in each.
LAYOUTS = ((4, 10), (4, 20), (13, 10), (13, 20))
QUICK_LAYOUTS = ((2, 4), (4, 4))
IDLE_SECONDS = 240.0
QUICK_IDLE_SECONDS = 24.0
CHANGES = 5
DOWNTIME_SECONDS = 30.0
RESTART_SECONDS = 30
PARTITION_SECONDS = 120
AFTER_PARTITION_SECONDS = 60


def store_calls_during(fleet: Fleet, action: Callable[[], object]) -> Counter[str]:
    """Return the calls that the store gets during an action, by kind."""
    before = Counter(fleet.store.call_counts)
    action()
    return Counter(fleet.store.call_counts) - before


def count_writes(calls: Counter[str]) -> int:
    """Return the number of calls that write."""
    return sum(calls[kind] for kind in WRITE_KINDS)


def measure_peaks(fleet: Fleet, seconds: int) -> tuple[Counter[str], int, int]:
    """Run for some seconds; return all calls, and the most calls and writes in one."""
    all_calls: Counter[str] = Counter()
    peak_calls, peak_writes = 0, 0
    for _ in range(seconds):
        calls = store_calls_during(fleet, lambda: fleet.run(1.0))
        all_calls += calls
        peak_calls = max(peak_calls, calls.total())
        peak_writes = max(peak_writes, count_writes(calls))
    return all_calls, peak_calls, peak_writes


def _measure_steady_state(
    fleet: Fleet, prefix: str, quick: bool
) -> tuple[list[Measurement], float, float]:
    seconds = QUICK_IDLE_SECONDS if quick else IDLE_SECONDS
    idle_calls = store_calls_during(fleet, lambda: fleet.run(seconds))

    def change() -> None:
        for number in range(CHANGES):
            fleet.apply(route_write(number, 0, 200 + number))
            fleet.run(2.0)

    idle_calls_per_second = idle_calls.total() / seconds
    calls_with_changes = store_calls_during(fleet, change)
    calls_per_change = (
        calls_with_changes.total() / CHANGES - 2.0 * idle_calls_per_second
    )
    return (
        [
            Measurement(f"{prefix}: waiting watches", fleet.store.waiting_watches, ""),
            Measurement(f"{prefix}: calls when idle", idle_calls_per_second, "1/s"),
            Measurement(
                f"{prefix}: writes when idle", count_writes(idle_calls) / seconds, "1/s"
            ),
            Measurement(f"{prefix}: calls per change", calls_per_change, ""),
            Measurement(
                f"{prefix}: writes per change",
                count_writes(calls_with_changes) / CHANGES,
                "",
            ),
        ],
        idle_calls_per_second,
        calls_per_change,
    )


def _measure_zone_restart(fleet: Fleet, prefix: str) -> list[Measurement]:
    """Kill all daemons of the first zone, and restart them at once."""
    zone = fleet.running[0].zone
    killed = [daemon for daemon in fleet.running if daemon.zone == zone]
    for daemon in killed:
        fleet.kill(daemon)
    _, peak_while_down, _ = measure_peaks(fleet, int(DOWNTIME_SECONDS))
    for daemon in killed:
        fleet.restart(daemon)
    all_calls, peak, write_peak = measure_peaks(fleet, RESTART_SECONDS)
    calls_per_daemon = all_calls.total() / len(killed)
    return [
        Measurement(f"{prefix}: zone down, peak calls", peak_while_down, "1/s"),
        Measurement(f"{prefix}: zone restarted, calls", calls_per_daemon, "per daemon"),
        Measurement(f"{prefix}: zone restarted, peak calls", peak, "1/s"),
        Measurement(f"{prefix}: zone restarted, peak writes", write_peak, "1/s"),
    ]


def _measure_region_partition(fleet: Fleet, prefix: str) -> list[Measurement]:
    """Partition the first region from the store and from all other regions.

    The store counts watches that partitioned daemons try to open, but not reads.
    """
    region = fleet.running[0].region
    zones = {d.zone for d in fleet.running if d.region == region}
    others = {d.zone for d in fleet.running} - zones
    fleet.zone_partitions |= {frozenset((a, b)) for a in zones for b in others}
    for zone in zones:
        fleet.partition_from_store(zone)
    calls_in_partition, _, _ = measure_peaks(fleet, PARTITION_SECONDS)
    fleet.heal_partitions()
    _, peak, write_peak = measure_peaks(fleet, AFTER_PARTITION_SECONDS)
    return [
        Measurement(
            f"{prefix}: region partitioned, calls",
            calls_in_partition.total() / PARTITION_SECONDS,
            "1/s",
        ),
        Measurement(f"{prefix}: region reconnected, peak calls", peak, "1/s"),
        Measurement(f"{prefix}: region reconnected, peak writes", write_peak, "1/s"),
    ]


def measure_store(quick: bool) -> list[Measurement]:
    """Measure several layouts, and extrapolate to the target's size."""
    measurements: list[Measurement] = []
    idle_points: list[tuple[float, float]] = []
    change_points: list[tuple[float, float]] = []
    peak_points: list[tuple[float, float]] = []
    for zones, size in QUICK_LAYOUTS if quick else LAYOUTS:
        fleet = target_fleet(zones, size)
        prefix = f"{zones} x {size}"
        steady_state, idle_calls_per_second, calls_per_change = _measure_steady_state(
            fleet, prefix, quick
        )
        restart = _measure_zone_restart(fleet, prefix)
        measurements += steady_state + restart
        idle_points.append((zones, idle_calls_per_second))
        change_points.append((zones, calls_per_change))
        peak_points.append((size, restart[2].value))
        if zones == ZONES:
            measurements += _measure_region_partition(fleet, prefix)
    idle_at_target = LinearFit.from_points(idle_points).value_at(ZONES)
    per_change_at_target = LinearFit.from_points(change_points).value_at(ZONES)
    with_changes = (
        idle_at_target + per_change_at_target * CHANGES_PER_DAY / SECONDS_PER_DAY
    )
    prefix = f"{ZONES} zones, extrapolated"
    measurements += [
        Measurement(f"{prefix}: calls when idle", idle_at_target, "1/s"),
        Measurement(f"{prefix}: calls per change", per_change_at_target, ""),
        Measurement(
            f"{prefix}: calls at 2,200 changes per day",
            with_changes,
            "1/s",
            MAX_READS_PER_SECOND,
        ),
    ]
    if not quick:
        peak = LinearFit.from_points(peak_points).value_at(SERVERS / ZONES)
        name = f"{prefix}: zone of {SERVERS // ZONES} restarted, peak calls"
        measurements.append(Measurement(name, peak, "1/s", MAX_READS_PER_SECOND))
    return measurements


__all__ = ["measure_store"]
