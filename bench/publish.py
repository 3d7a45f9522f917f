"""Processor time to publish, apply and match a configuration of the target's size."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from bench.convergence import CHANGES_PER_DAY
from bench.convergence import SECONDS_PER_DAY
from bench.convergence import route_write
from bench.convergence import target_records
from bench.measurement import Measurement
from briarslip.address import Address
from briarslip.version.acceptance import accept_changes
from briarslip.version.configuration_codec import compress
from briarslip.version.delta import apply_delta
from briarslip.version.delta import delta_between
from briarslip.version.push_tree import push_targets
from briarslip.version.push_tree import relays
from briarslip.version.routing_table import compile_snapshot
from briarslip.version.snapshot import EMPTY_SNAPSHOT
from briarslip.version.stored_record import Change
from briarslip.version.stored_record import StoredRecord
from briarslip.version.stored_record import Write


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.process.distribution.change_writer import RecordWrite


ZONE_SIZE = 200
MEMBERS = 2600
MS_PER_SECOND = 1000
US_PER_SECOND = 1_000_000
# A lookup takes one step per path segment; a scan of the table would take one per
# route.
MAX_MATCH_RATIO = 3.0


def min_processor_seconds(action: Callable[[], object], repeats: int) -> float:
    """Return the least processor time of several runs of an action."""
    least = float("inf")
    for _ in range(repeats):
        started_at = time.process_time()
        action()
        least = min(least, time.process_time() - started_at)
    return least


def stored_record(
    record: RecordWrite, change: str, size: int, revision: int
) -> StoredRecord:
    """Return a record as it is stored; ``size`` counts the records of its change."""
    return StoredRecord(Write(record.fields, Change(change, size), revision), "")


def run(quick: bool) -> list[Measurement]:
    """Measure at the target's size; the quick form repeats each measurement less."""
    repeats = 3 if quick else 20
    writes = target_records()
    records = {
        write.key: stored_record(write, f"{1:032x}", len(writes), number)
        for number, write in enumerate(writes, 1)
    }
    base = accept_changes(EMPTY_SNAPSHOT, records).snapshot
    changed = route_write(7, 0, 99)
    records[changed.key] = stored_record(changed, f"{2:032x}", 1, len(writes) + 1)
    snapshot = accept_changes(base, records).snapshot
    delta = delta_between(base, snapshot)
    table = compile_snapshot(snapshot).unwrap()
    small_table = compile_snapshot(
        accept_changes(
            EMPTY_SNAPSHOT,
            {w.key: stored_record(w, "c", 15, 1) for w in _five_services()},
        ).snapshot
    ).unwrap()
    rng = random.Random(1)
    paths = [f"/service-{rng.randrange(5)}/path-0/x/y?q=1" for _ in range(1000)]
    zone_addresses = [Address("10.0.0.1", port) for port in range(ZONE_SIZE)]
    all_addresses = [Address("10.0.0.1", port) for port in range(MEMBERS)]

    def match(measured_table: object) -> float:
        matcher = table if measured_table is table else small_table

        def action() -> None:
            for path in paths:
                matcher.match(path, "GET")

        return min_processor_seconds(action, repeats) / len(paths) * US_PER_SECOND

    apply_seconds = min_processor_seconds(
        lambda: apply_delta(base, delta), repeats
    ) + min_processor_seconds(lambda: compile_snapshot(snapshot), repeats)
    accept_seconds = min_processor_seconds(
        lambda: accept_changes(base, records), repeats
    )
    changes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY
    size = len(compress(snapshot.encode()))
    match_ratio = match(table) / match(small_table)
    return [
        Measurement("accept a change", accept_seconds * MS_PER_SECOND, "ms"),
        Measurement("apply a delta and compile", apply_seconds * MS_PER_SECOND, "ms"),
        Measurement(
            "applying, share of a core",
            apply_seconds * changes_per_second * 100,
            "%",
            1.2,
        ),
        Measurement(
            "publishing, share of a core",
            accept_seconds * changes_per_second * 100,
            "%",
            1.2,
        ),
        Measurement("match a request", match(table), "us"),
        Measurement(
            "match with 190 services, relative to 5", match_ratio, "", MAX_MATCH_RATIO
        ),
        Measurement(
            "push targets in a zone of 200",
            min_processor_seconds(
                lambda: push_targets(zone_addresses[9], zone_addresses, "z", 1), repeats
            )
            * MS_PER_SECOND,
            "ms",
        ),
        Measurement(
            "relays of 2600 members, when members change",
            min_processor_seconds(lambda: relays(all_addresses, "z"), repeats)
            * MS_PER_SECOND,
            "ms",
        ),
        Measurement("whole snapshot, compressed", size, "B"),
        Measurement(
            "delta of one change, compressed", len(compress(delta.encode())), "B"
        ),
    ]


def _five_services() -> list[RecordWrite]:
    return [
        write
        for write in target_records()
        if write.key.name.partition("-")[2].partition("-")[0] in set("01234")
    ][:15]


__all__ = ["run"]
