"""Convergence of configuration versions and what it costs, in virtual time."""

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
MAX_FAULT_SECONDS = 19.0
MAX_SECONDS = 3.0
MAX_BYTES_PER_SECOND = 4096.0
STEP_SECONDS = 0.02
SETTLE_SECONDS = 10.0
OUTAGE_SECONDS = 10.0
DOWN_SECONDS = 5.0


class Operators:
    """Writes changes to a fleet's platform and times the fleet."""

    def __init__(self, size: int, seed: int = 1) -> None:
        self.fleet = Fleet(seed)
        self.rng = random.Random(seed)
        for number, zone in enumerate(ZONES):
            self.fleet.add_zone(zone, (size + number) // len(ZONES))
        self.client = LocalStoreClient(self.fleet.store, self.fleet.clock.callLater)
        self.numbers = count(1)
        self.version = 0
        self.fleet.run(SETTLE_SECONDS)
        self.apply(*all_records())
        self.time_convergence(60.0)
        self.fleet.run(SETTLE_SECONDS)

    def apply(self, *records: RecordWrite) -> None:
        """Write a change; the fleet has not seen it yet."""
        ended: list[Any] = []
        work = write_change(self.client, records, lambda: f"{next(self.numbers):032x}")
        Deferred.fromCoroutine(work).addBoth(ended.append)
        ended[0].unwrap()
        self.version += 1

    def amend_route(self) -> None:
        """Write a change of one route."""
        service = self.rng.randrange(SERVICES)
        timeout = self.rng.randrange(100, 10_000)
        self.apply(route(service, 0, timeout))

    def time_convergence(self, limit: float) -> list[float]:
        """Return the seconds until each daemon runs the version, in order.

        Daemons that do not within the limit count as infinity.
        """
        began = self.fleet.clock.seconds()
        taken: dict[Address, float] = {}
        running = self.fleet.running
        while len(taken) < len(running):
            elapsed = self.fleet.clock.seconds() - began
            if elapsed > limit:
                break
            for daemon in running:
                if daemon.distribution.snapshot.version >= self.version:
                    taken.setdefault(daemon.address, elapsed)
            self.fleet.run(STEP_SECONDS)
            running = self.fleet.running
        missing = [float("inf")] * (len(running) - len(taken))
        return sorted(taken.values()) + missing

    def bytes_during(self, work: Callable[[], Any], topic: str = "") -> list[float]:
        """Return the bytes a second of each daemon while work goes on, in order."""
        before = {a: self._bytes(a, topic) for a in self.fleet.daemons}
        began = self.fleet.clock.seconds()
        work()
        seconds = self.fleet.clock.seconds() - began
        return sorted((self._bytes(a, topic) - before[a]) / seconds for a in before)

    def _bytes(self, address: Address, topic: str) -> int:
        traffic = self.fleet.traffic[address]
        return traffic.sent[topic] + traffic.received[topic] if topic else traffic.total

    def calls_during(self, work: Callable[[], Any]) -> float:
        """Return the platform's calls a second while work goes on."""
        before = self.fleet.store.call_counts.total()
        began = self.fleet.clock.seconds()
        work()
        calls = self.fleet.store.call_counts.total() - before
        return float(calls / (self.fleet.clock.seconds() - began))

    def kill_a_third(self) -> list[FleetDaemon]:
        """Kill a third of the daemons, relays among them."""
        victims = list(self.fleet.running)[::3]
        for daemon in victims:
            self.fleet.kill(daemon)
        return victims


def route(service: int, number: int, timeout_ms: int = 2000) -> RecordWrite:
    """Return a route as operators write it."""
    fields = {
        "service": f"service-{service}",
        "path_prefix": f"/service-{service}/path-{number}",
        "timeout_ms": str(timeout_ms),
    }
    return RecordWrite(RecordKey("route", f"route-{service}-{number}", 1), fields)


def all_records() -> list[RecordWrite]:
    """Return the records of the target's size."""
    services = [
        RecordWrite(RecordKey("service", f"service-{number}", 1), {})
        for number in range(SERVICES)
    ]
    routes = [route(s, n) for s in range(SERVICES) for n in range(ROUTES_PER_SERVICE)]
    return services + routes


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile of ordered values."""
    return values[min(len(values) - 1, int(share * len(values)))]


def changes_without_faults(operators: Operators, changes: int) -> list[float]:
    """Return every daemon's times over some changes."""
    times: list[float] = []
    for _ in range(changes):
        operators.amend_route()
        times.extend(operators.time_convergence(MAX_FAULT_SECONDS))
        operators.fleet.run(1.0)
    return sorted(times)


def platform_outage(operators: Operators) -> list[float]:
    """Change, lose the platform at once; time from its return on."""
    operators.amend_route()
    operators.fleet.store.outage = "close"
    operators.fleet.run(OUTAGE_SECONDS)
    operators.fleet.store.outage = ""
    return operators.time_convergence(2 * MAX_FAULT_SECONDS)


def zone_cut_from_platform(operators: Operators) -> list[float]:
    """Cut a zone from the platform only, and change."""
    operators.fleet.partition_from_store(ZONES[0])
    operators.amend_route()
    times = operators.time_convergence(2 * MAX_FAULT_SECONDS)
    operators.fleet.heal_partitions()
    operators.fleet.run(SETTLE_SECONDS)
    return times


def herd_return(operators: Operators) -> list[float]:
    """Kill a third, change, start them again; time from the start on."""
    victims = operators.kill_a_third()
    operators.amend_route()
    operators.fleet.run(DOWN_SECONDS)
    for daemon in victims:
        operators.fleet.restart(daemon)
    return operators.time_convergence(2 * MAX_FAULT_SECONDS)


def herd_return_without_platform(operators: Operators) -> list[float]:
    """Kill a third, lose the platform, start them again; time from then on."""
    victims = operators.kill_a_third()
    operators.fleet.store.outage = "close"
    operators.fleet.run(DOWN_SECONDS)
    for daemon in victims:
        operators.fleet.restart(daemon)
    times = operators.time_convergence(2 * MAX_FAULT_SECONDS)
    operators.fleet.store.outage = ""
    operators.fleet.run(SETTLE_SECONDS)
    return times


def faults_together(operators: Operators) -> list[float]:
    """Change, outage, a cut and a herd at once; time from the outage's end."""
    operators.amend_route()
    operators.fleet.store.outage = "close"
    operators.fleet.partition_from_store(ZONES[0])
    victims = operators.kill_a_third()
    operators.fleet.run(DOWN_SECONDS)
    for daemon in victims:
        operators.fleet.restart(daemon)
    operators.fleet.run(DOWN_SECONDS)
    operators.fleet.store.outage = ""
    times = operators.time_convergence(2 * MAX_FAULT_SECONDS)
    operators.fleet.heal_partitions()
    operators.fleet.run(SETTLE_SECONDS)
    return times


def time_measurements(
    name: str, times: Sequence[float], bound: float
) -> list[Measurement]:
    """Return median, p99 and worst of times in seconds."""
    return [
        Measurement(f"{name}, median", quantile(times, 0.5), "s"),
        Measurement(f"{name}, p99", quantile(times, 0.99), "s"),
        Measurement(f"{name}, worst", times[-1], "s", bound),
    ]


def byte_measurements(name: str, rates: Sequence[float]) -> list[Measurement]:
    """Return mean and worst of daemons' bytes a second."""
    mean = sum(rates) / len(rates)
    return [
        Measurement(f"{name}, mean", mean, "B/s per daemon", MAX_BYTES_PER_SECOND),
        Measurement(f"{name}, worst daemon", rates[-1], "B/s"),
    ]


def measure(size: int, changes: int) -> tuple[list[Measurement], int]:
    """Return the figures of one fleet size, and its waiting watches."""
    operators = Operators(size)
    fleet = operators.fleet
    watches = fleet.store.waiting_watches
    at_rest = operators.bytes_during(lambda: fleet.run(20.0))
    measurements = byte_measurements(f"{size}: control at rest", at_rest)
    calls = operators.calls_during(lambda: fleet.run(40.0))
    measurements.append(
        Measurement(f"{size}: platform calls at rest", calls, "calls/s")
    )
    measurements.append(Measurement(f"{size}: waiting watches", watches, ""))
    times: list[float] = []
    before = fleet.store.call_counts.total()
    rates = operators.bytes_during(
        lambda: times.extend(changes_without_faults(operators, changes)),
        Topic.CONFIGURATION.name,
    )
    per_change = (fleet.store.call_counts.total() - before) / changes
    measurements += time_measurements(f"{size}: change", times, MAX_SECONDS)
    measurements.append(
        Measurement(f"{size}: platform calls a change", per_change, "calls")
    )
    measurements += byte_measurements(
        f"{size}: configuration, a change a second", rates
    )
    # Worked out: a change a second costs this much, 2,200 a day their part.
    daily = CHANGES_PER_DAY / SECONDS_PER_DAY
    busy = [rest + rate * daily for rest, rate in zip(at_rest, rates, strict=True)]
    measurements += byte_measurements(f"{size}: control at 2,200 changes a day", busy)
    for name, fault in (
        ("platform outage", platform_outage),
        ("zone cut from the platform", zone_cut_from_platform),
        ("herd's return without platform", herd_return_without_platform),
        ("outage, cut and herd together", faults_together),
    ):
        measurements += time_measurements(
            f"{size}: {name}", fault(operators), MAX_FAULT_SECONDS
        )
    returned: list[float] = []

    def herd() -> None:
        returned.extend(herd_return(operators))
        fleet.run(max(0.0, MAX_FAULT_SECONDS - returned[-1]))

    rates = operators.bytes_during(herd)
    measurements += time_measurements(
        f"{size}: herd's return", returned, MAX_FAULT_SECONDS
    )
    measurements += byte_measurements(f"{size}: control in the herd's return", rates)
    return measurements, watches


def run(quick: bool) -> list[Measurement]:
    """Measure against fleet size."""
    sizes = (16, 32) if quick else (25, 50, 100, 200)
    measurements: list[Measurement] = []
    watches: list[int] = []
    for size in sizes:
        found, waiting = measure(size, 3 if quick else 20)
        measurements += found
        watches.append(waiting)
    growth = watches[-1] / watches[0]
    measurements.append(
        Measurement("watches, largest to smallest fleet", growth, "", 1.0)
    )
    return measurements


__all__ = ["run"]
