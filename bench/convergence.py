"""Convergence of configuration versions and its traffic and store calls.

A fleet of daemons runs in virtual time.
"""

from __future__ import annotations

import random
from itertools import count
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred

from bench.fleet import Fleet
from bench.measurement import Measurement
from briarslip.connection.frame import Topic
from briarslip.process.distribution.change_writer import RecordWrite
from briarslip.process.distribution.change_writer import write_change
from briarslip.version.record import RecordKey
from standins.local_store_client import LocalStoreClient


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from bench.fleet_daemon import FleetDaemon
    from briarslip.address import Address


ZONES = ("klang", "penang", "johor", "ipoh")
SERVICES = 190
ROUTES_PER_SERVICE = 2
CHANGES_PER_DAY = 2200
SECONDS_PER_DAY = 86_400
MAX_FAULT_CONVERGENCE_SECONDS = 19.0
MAX_CONVERGENCE_SECONDS = 3.0
MAX_BYTES_PER_SECOND = 4096.0
POLL_SECONDS = 0.02
SETTLE_SECONDS = 10.0
OUTAGE_SECONDS = 10.0
DOWNTIME_SECONDS = 5.0


class ConvergenceHarness:
    """A fleet that runs the target's records, with changes and measurements.

    ``version`` is the newest configuration version that was written.
    """

    def __init__(self, size: int, seed: int = 1) -> None:
        self.fleet = Fleet(seed)
        self.rng = random.Random(seed)
        for number, zone in enumerate(ZONES):
            self.fleet.add_zone(zone, (size + number) // len(ZONES))
        self.store_client = LocalStoreClient(
            self.fleet.store, self.fleet.clock.callLater
        )
        self.change_numbers = count(1)
        self.version = 0
        self.fleet.run(SETTLE_SECONDS)
        self.apply(*target_records())
        self.time_convergence(60.0)
        self.fleet.run(SETTLE_SECONDS)

    def apply(self, *records: RecordWrite) -> None:
        """Write a change, without waiting until the daemons run it."""
        results: list[Any] = []
        action = write_change(
            self.store_client, records, lambda: f"{next(self.change_numbers):032x}"
        )
        Deferred.fromCoroutine(action).addBoth(results.append)
        results[0].unwrap()
        self.version += 1

    def change_route(self) -> None:
        """Write a change of the timeout of a random route."""
        service = self.rng.randrange(SERVICES)
        timeout_ms = self.rng.randrange(100, 10_000)
        self.apply(route_write(service, 0, timeout_ms))

    def time_convergence(self, limit_seconds: float) -> list[float]:
        """Return the seconds until each running daemon runs the version, ascending.

        Daemons that do not run it within the limit count as infinity.
        """
        started_at = self.fleet.clock.seconds()
        seconds_by_address: dict[Address, float] = {}
        running = self.fleet.running
        while len(seconds_by_address) < len(running):
            elapsed = self.fleet.clock.seconds() - started_at
            if elapsed > limit_seconds:
                break
            for daemon in running:
                if daemon.distribution.snapshot.version >= self.version:
                    seconds_by_address.setdefault(daemon.address, elapsed)
            self.fleet.run(POLL_SECONDS)
            running = self.fleet.running
        not_converged = [float("inf")] * (len(running) - len(seconds_by_address))
        return sorted(seconds_by_address.values()) + not_converged

    def byte_rates_during(
        self, action: Callable[[], Any], topic: str = ""
    ) -> list[float]:
        """Return the bytes per second of each daemon during an action, ascending.

        Sent and received bytes, of one topic if given, otherwise of all traffic.
        """
        before = {a: self._traffic_bytes(a, topic) for a in self.fleet.daemons}
        started_at = self.fleet.clock.seconds()
        action()
        seconds = self.fleet.clock.seconds() - started_at
        return sorted(
            (self._traffic_bytes(a, topic) - before[a]) / seconds for a in before
        )

    def _traffic_bytes(self, address: Address, topic: str) -> int:
        traffic = self.fleet.traffic[address]
        return (
            traffic.sent[topic] + traffic.received[topic]
            if topic
            else traffic.total_bytes
        )

    def store_call_rate_during(self, action: Callable[[], Any]) -> float:
        """Return the calls per second that the store gets during an action."""
        before = self.fleet.store.call_counts.total()
        started_at = self.fleet.clock.seconds()
        action()
        call_count = self.fleet.store.call_counts.total() - before
        return float(call_count / (self.fleet.clock.seconds() - started_at))

    def kill_a_third(self) -> list[FleetDaemon]:
        """Kill every third daemon, relays among them."""
        victims = list(self.fleet.running)[::3]
        for daemon in victims:
            self.fleet.kill(daemon)
        return victims


def route_write(service: int, number: int, timeout_ms: int = 2000) -> RecordWrite:
    """Return the write of a route's record; ``number`` counts per service."""
    fields = {
        "service": f"service-{service}",
        "path_prefix": f"/service-{service}/path-{number}",
        "timeout_ms": str(timeout_ms),
    }
    return RecordWrite(RecordKey("route", f"route-{service}-{number}", 1), fields)


def target_records() -> list[RecordWrite]:
    """Return as many services and routes as the stated target has."""
    services = [
        RecordWrite(RecordKey("service", f"service-{number}", 1), {})
        for number in range(SERVICES)
    ]
    routes = [
        route_write(s, n) for s in range(SERVICES) for n in range(ROUTES_PER_SERVICE)
    ]
    return services + routes


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile of ascending values."""
    return values[min(len(values) - 1, int(share * len(values)))]


def changes_without_faults(harness: ConvergenceHarness, changes: int) -> list[float]:
    """Return the convergence times of all daemons over some changes, ascending."""
    times: list[float] = []
    for _ in range(changes):
        harness.change_route()
        times.extend(harness.time_convergence(MAX_FAULT_CONVERGENCE_SECONDS))
        harness.fleet.run(1.0)
    return sorted(times)


def store_outage(harness: ConvergenceHarness) -> list[float]:
    """Write a change, then interrupt the store; time from the end of the outage."""
    harness.change_route()
    harness.fleet.store.outage = "close"
    harness.fleet.run(OUTAGE_SECONDS)
    harness.fleet.store.outage = ""
    return harness.time_convergence(2 * MAX_FAULT_CONVERGENCE_SECONDS)


def zone_partitioned_from_store(harness: ConvergenceHarness) -> list[float]:
    """Partition a zone from the store only, then write a change; time from there."""
    harness.fleet.partition_from_store(ZONES[0])
    harness.change_route()
    times = harness.time_convergence(2 * MAX_FAULT_CONVERGENCE_SECONDS)
    harness.fleet.heal_partitions()
    harness.fleet.run(SETTLE_SECONDS)
    return times


def mass_restart(harness: ConvergenceHarness) -> list[float]:
    """Kill a third, write a change, restart them; time from the restart."""
    victims = harness.kill_a_third()
    harness.change_route()
    harness.fleet.run(DOWNTIME_SECONDS)
    for daemon in victims:
        harness.fleet.restart(daemon)
    return harness.time_convergence(2 * MAX_FAULT_CONVERGENCE_SECONDS)


def mass_restart_without_store(harness: ConvergenceHarness) -> list[float]:
    """Kill a third and restart them in a store outage; time from the restart."""
    victims = harness.kill_a_third()
    harness.fleet.store.outage = "close"
    harness.fleet.run(DOWNTIME_SECONDS)
    for daemon in victims:
        harness.fleet.restart(daemon)
    times = harness.time_convergence(2 * MAX_FAULT_CONVERGENCE_SECONDS)
    harness.fleet.store.outage = ""
    harness.fleet.run(SETTLE_SECONDS)
    return times


def combined_faults(harness: ConvergenceHarness) -> list[float]:
    """Write a change, then combine outage, partition and mass restart.

    Time from the end of the store's outage; the zone stays partitioned from it.
    """
    harness.change_route()
    harness.fleet.store.outage = "close"
    harness.fleet.partition_from_store(ZONES[0])
    victims = harness.kill_a_third()
    harness.fleet.run(DOWNTIME_SECONDS)
    for daemon in victims:
        harness.fleet.restart(daemon)
    harness.fleet.run(DOWNTIME_SECONDS)
    harness.fleet.store.outage = ""
    times = harness.time_convergence(2 * MAX_FAULT_CONVERGENCE_SECONDS)
    harness.fleet.heal_partitions()
    harness.fleet.run(SETTLE_SECONDS)
    return times


def time_measurements(
    name: str, times: Sequence[float], bound: float
) -> list[Measurement]:
    """Return median, p99 and maximum of ascending times in seconds.

    The bound applies to the maximum.
    """
    return [
        Measurement(f"{name}, median", quantile(times, 0.5), "s"),
        Measurement(f"{name}, p99", quantile(times, 0.99), "s"),
        Measurement(f"{name}, worst", times[-1], "s", bound),
    ]


def byte_measurements(name: str, rates: Sequence[float]) -> list[Measurement]:
    """Return mean and maximum of the daemons' ascending bytes per second."""
    mean = sum(rates) / len(rates)
    return [
        Measurement(f"{name}, mean", mean, "B/s per daemon", MAX_BYTES_PER_SECOND),
        Measurement(f"{name}, worst daemon", rates[-1], "B/s"),
    ]


def measure(size: int, changes: int) -> tuple[list[Measurement], int]:
    """Return the measurements of one fleet size, and its waiting watches."""
    harness = ConvergenceHarness(size)
    fleet = harness.fleet
    watches = fleet.store.waiting_watches
    idle_rates = harness.byte_rates_during(lambda: fleet.run(20.0))
    measurements = byte_measurements(f"{size}: control traffic when idle", idle_rates)
    store_calls_per_second = harness.store_call_rate_during(lambda: fleet.run(40.0))
    measurements.append(
        Measurement(f"{size}: store calls when idle", store_calls_per_second, "calls/s")
    )
    measurements.append(Measurement(f"{size}: waiting watches", watches, ""))
    times: list[float] = []
    before = fleet.store.call_counts.total()
    rates = harness.byte_rates_during(
        lambda: times.extend(changes_without_faults(harness, changes)),
        Topic.CONFIGURATION.name,
    )
    store_calls_per_change = (fleet.store.call_counts.total() - before) / changes
    measurements += time_measurements(f"{size}: change", times, MAX_CONVERGENCE_SECONDS)
    measurements.append(
        Measurement(f"{size}: store calls per change", store_calls_per_change, "calls")
    )
    measurements += byte_measurements(
        f"{size}: configuration traffic, one change per second", rates
    )
    # Computed: the traffic when idle, plus that of one change per second scaled to
    # 2,200 changes per day.
    changes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY
    rates_with_changes = [
        idle + rate * changes_per_second
        for idle, rate in zip(idle_rates, rates, strict=True)
    ]
    measurements += byte_measurements(
        f"{size}: control traffic at 2,200 changes per day", rates_with_changes
    )
    for name, fault in (
        ("store outage", store_outage),
        ("zone partitioned from the store", zone_partitioned_from_store),
        ("mass restart without the store", mass_restart_without_store),
        ("outage, partition and mass restart together", combined_faults),
    ):
        measurements += time_measurements(
            f"{size}: {name}", fault(harness), MAX_FAULT_CONVERGENCE_SECONDS
        )
    restart_times: list[float] = []

    def restart_third() -> None:
        restart_times.extend(mass_restart(harness))
        fleet.run(max(0.0, MAX_FAULT_CONVERGENCE_SECONDS - restart_times[-1]))

    rates = harness.byte_rates_during(restart_third)
    measurements += time_measurements(
        f"{size}: mass restart", restart_times, MAX_FAULT_CONVERGENCE_SECONDS
    )
    measurements += byte_measurements(
        f"{size}: control traffic in a mass restart", rates
    )
    return measurements, watches


def run(quick: bool) -> list[Measurement]:
    """Measure fleets of several sizes."""
    sizes = (16, 32) if quick else (25, 50, 100, 200)
    measurements: list[Measurement] = []
    watches: list[int] = []
    for size in sizes:
        measured, watch_count = measure(size, 3 if quick else 20)
        measurements += measured
        watches.append(watch_count)
    watch_ratio = watches[-1] / watches[0]
    measurements.append(
        Measurement("watches, largest to smallest fleet", watch_ratio, "", 1.0)
    )
    return measurements


__all__ = ["run"]
