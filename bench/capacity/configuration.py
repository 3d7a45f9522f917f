"""Processor time to publish and to apply a change, by number of routes."""

from __future__ import annotations

from bench.capacity.linear_fit import LinearFit
from bench.capacity.target import CHANGES_PER_DAY
from bench.capacity.target import MAX_CORE_PERCENT
from bench.capacity.target import ROUTES
from bench.capacity.target import ROUTES_PER_SERVICE
from bench.capacity.target import SECONDS_PER_DAY
from bench.convergence import route_write
from bench.measurement import Measurement
from bench.publish import min_processor_seconds
from bench.publish import stored_record
from briarslip.process.distribution.change_writer import RecordWrite
from briarslip.version.acceptance import accept_changes
from briarslip.version.configuration_codec import compress
from briarslip.version.delta import apply_delta
from briarslip.version.delta import delta_between
from briarslip.version.record import RecordKey
from briarslip.version.routing_table import compile_snapshot
from briarslip.version.snapshot import EMPTY_SNAPSHOT


ROUTE_COUNTS = (95, 190, 380, 760, 1520)
QUICK_ROUTE_COUNTS = (190, 380)
REPEATS = 10
QUICK_REPEATS = 3


def records(routes: int) -> list[RecordWrite]:
    """Return the writes of routes, two per service, and of their services."""
    services = [
        RecordWrite(RecordKey("service", f"service-{number}", 1), {})
        for number in range(-(-routes // ROUTES_PER_SERVICE))
    ]
    return services + [
        route_write(number // ROUTES_PER_SERVICE, number % ROUTES_PER_SERVICE)
        for number in range(routes)
    ]


def measure_change(routes: int, repeats: int) -> tuple[float, float, int]:
    """Return seconds to accept a change, to apply it, and bytes of the snapshot."""
    writes = records(routes)
    records_by_key = {
        write.key: stored_record(write, f"{1:032x}", len(writes), number)
        for number, write in enumerate(writes, 1)
    }
    base = accept_changes(EMPTY_SNAPSHOT, records_by_key).snapshot
    changed = route_write(7, 0, 99)
    records_by_key[changed.key] = stored_record(
        changed, f"{2:032x}", 1, len(writes) + 1
    )
    snapshot = accept_changes(base, records_by_key).snapshot
    delta = delta_between(base, snapshot)
    accept_seconds = min_processor_seconds(
        lambda: accept_changes(base, records_by_key), repeats
    )
    apply_seconds = min_processor_seconds(lambda: apply_delta(base, delta), repeats)
    apply_seconds += min_processor_seconds(lambda: compile_snapshot(snapshot), repeats)
    return accept_seconds, apply_seconds, len(compress(snapshot.encode()))


def measure_configuration(quick: bool) -> list[Measurement]:
    """Measure several sizes, and extrapolate to the changes of a day at the target."""
    route_counts = QUICK_ROUTE_COUNTS if quick else ROUTE_COUNTS
    repeats = QUICK_REPEATS if quick else REPEATS
    points = {count: measure_change(count, repeats) for count in route_counts}
    measurements: list[Measurement] = []
    for count, (accept_seconds, apply_seconds, snapshot_bytes) in points.items():
        measurements += [
            Measurement(
                f"{count} routes: accept a change", 1000 * accept_seconds, "ms"
            ),
            Measurement(f"{count} routes: apply a change", 1000 * apply_seconds, "ms"),
            Measurement(f"{count} routes: snapshot", snapshot_bytes, "B"),
        ]
    for index, name in enumerate(("publisher", "daemon")):
        fit = LinearFit.from_points([(n, point[index]) for n, point in points.items()])
        percent = 100 * fit.value_at(ROUTES) * CHANGES_PER_DAY / SECONDS_PER_DAY
        measurements += [
            Measurement(f"{name}: change, slope", 1e6 * fit.slope, "us/route"),
            Measurement(f"{name}: changes of a day", percent, "%", MAX_CORE_PERCENT),
        ]
    return measurements


__all__ = ["measure_configuration", "records"]
