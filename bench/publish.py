"""Processor time of the configuration's decisions at the target's size."""

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


ZONE_MEMBERS = 200
MEMBERS = 2600
MS_PER_SECOND = 1000
US_PER_SECOND = 1_000_000
# A table that is scanned costs a step a route; a walk costs one a segment.
MAX_MATCH_RATIO = 3.0


def seconds_of(work: Callable[[], object], repeats: int) -> float:
    """Return the least processor time of a run."""
    best = float("inf")
    for _ in range(repeats):
        began = time.process_time()
        work()
        best = min(best, time.process_time() - began)
    return best


def stored(record: RecordWrite, change: str, size: int, revision: int) -> StoredRecord:
    """Return a record as it stands on the platform."""
    return StoredRecord(Write(record.fields, Change(change, size), revision), "")


def run(quick: bool) -> list[Measurement]:
    """Measure."""
    repeats = 3 if quick else 20
    writes = target_records()
    records = {
        write.key: stored(write, f"{1:032x}", len(writes), number)
        for number, write in enumerate(writes, 1)
    }
    base = accept_changes(EMPTY_SNAPSHOT, records).snapshot
    amended = route_write(7, 0, 99)
    records[amended.key] = stored(amended, f"{2:032x}", 1, len(writes) + 1)
    snapshot = accept_changes(base, records).snapshot
    delta = delta_between(base, snapshot)
    table = compile_snapshot(snapshot).unwrap()
    small = compile_snapshot(
        accept_changes(
            EMPTY_SNAPSHOT, {w.key: stored(w, "c", 15, 1) for w in _few()}
        ).snapshot
    ).unwrap()
    rng = random.Random(1)
    paths = [f"/service-{rng.randrange(5)}/path-0/x/y?q=1" for _ in range(1000)]
    zone = [Address("10.0.0.1", port) for port in range(ZONE_MEMBERS)]
    everyone = [Address("10.0.0.1", port) for port in range(MEMBERS)]

    def match(chosen: object) -> float:
        found = table if chosen is table else small

        def work() -> None:
            for path in paths:
                found.match(path, "GET")

        return seconds_of(work, repeats) / len(paths) * US_PER_SECOND

    taking = seconds_of(lambda: apply_delta(base, delta), repeats) + seconds_of(
        lambda: compile_snapshot(snapshot), repeats
    )
    publishing = seconds_of(lambda: accept_changes(base, records), repeats)
    daily = CHANGES_PER_DAY / SECONDS_PER_DAY
    size = len(compress(snapshot.encode()))
    ratio = match(table) / match(small)
    return [
        Measurement("accept a change", publishing * MS_PER_SECOND, "ms"),
        Measurement("take a delta and compile", taking * MS_PER_SECOND, "ms"),
        Measurement("taking, share of a core", taking * daily * 100, "%", 1.2),
        Measurement("publishing, share of a core", publishing * daily * 100, "%", 1.2),
        Measurement("match a request", match(table), "us"),
        Measurement("match, 380 routes to 5", ratio, "", MAX_MATCH_RATIO),
        Measurement(
            "push targets in a zone of 200",
            seconds_of(lambda: push_targets(zone[9], zone, "z", 1), repeats)
            * MS_PER_SECOND,
            "ms",
        ),
        Measurement(
            "relays of 2600 members, when members change",
            seconds_of(lambda: relays(everyone, "z"), repeats) * MS_PER_SECOND,
            "ms",
        ),
        Measurement("whole snapshot, compressed", size, "B"),
        Measurement(
            "delta of one change, compressed", len(compress(delta.encode())), "B"
        ),
    ]


def _few() -> list[RecordWrite]:
    return [
        write
        for write in target_records()
        if write.key.name.partition("-")[2].partition("-")[0] in set("01234")
    ][:15]


__all__ = ["run"]
