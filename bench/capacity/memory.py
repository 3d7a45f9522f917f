"""Resident memory that members, routes and links add, by their number.

Each amount is measured in a process of its own.

``python -m bench.capacity.memory KIND COUNT`` prints the added bytes.
KIND is a key of ``COUNTS_BY_KIND``.
"""

from __future__ import annotations

import gc
import os
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from bench.capacity.configuration import records
from bench.capacity.linear_fit import LinearFit
from bench.capacity.target import BYTES_PER_MB
from bench.capacity.target import MAX_MEMORY_MB
from bench.capacity.target import ROUTES
from bench.capacity.target import SERVERS
from bench.capacity.target import SERVICES
from bench.capacity.target import ZONES
from bench.measurement import Measurement
from bench.publish import stored_record
from briarslip.address import Address
from briarslip.process.membership.codec import decode_control
from briarslip.process.membership.codec import encode_control
from briarslip.process.membership.member import Endpoint
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status
from briarslip.process.membership.member_table import MemberTable
from briarslip.process.membership.member_table import merge_update
from briarslip.process.membership.messages import Updates
from briarslip.request.server_directory import ServerDirectory
from briarslip.version.acceptance import accept_changes
from briarslip.version.routing_table import compile_snapshot
from briarslip.version.snapshot import EMPTY_SNAPSHOT
from tests.connection.support import LinkPair


if TYPE_CHECKING:
    from collections.abc import Callable


COUNTS_BY_KIND = {
    "members": (200, 800, SERVERS),
    "routes": (190, 380, 760),
    "links": (100, 400, SERVERS),
}
TARGET_COUNTS = {"members": SERVERS, "routes": ROUTES}
MEMBERS_PER_MESSAGE = 100


def _member(number: int) -> Member:
    number_in_zone = number // ZONES
    return Member(
        address=Address(
            f"10.{number % ZONES}.{number_in_zone // 250}.{number_in_zone % 250 + 1}",
            7000,
        ),
        availability_zone=f"zone-{number % ZONES}",
        region=f"region-{number % ZONES // 4}",
        incarnation=1_700_000_000_000 + number,
        status=Status.ALIVE,
        running_version=1000,
        endpoints=(Endpoint(f"service-{number % SERVICES}", "1", 10, 130, False),),
    )


def create_members(count: int) -> object:
    """Return a table of members, filled by decoded messages, and its server index."""
    table = MemberTable(_member(0))
    for first in range(1, count, MEMBERS_PER_MESSAGE):
        last = min(count, first + MEMBERS_PER_MESSAGE)
        updates = Updates(tuple(_member(n) for n in range(first, last)))
        message = decode_control(encode_control(updates)).unwrap()
        assert isinstance(message, Updates)
        for member in message.updates:
            merge_update(table, member, 0.0)
    directory = ServerDirectory(lambda: table.live)
    directory.refresh(0.0)
    return table, directory


def create_routes(count: int) -> object:
    """Return a snapshot and its routing table."""
    writes = records(count)
    records_by_key = {
        write.key: stored_record(write, f"{1:032x}", len(writes), number)
        for number, write in enumerate(writes, 1)
    }
    snapshot = accept_changes(EMPTY_SNAPSHOT, records_by_key).snapshot
    return snapshot, compile_snapshot(snapshot).unwrap()


def create_links(count: int) -> object:
    """Return links, without the memory of sockets and of the reactor."""
    return [LinkPair() for _ in range(count // 2)]


FACTORIES: dict[str, Callable[[int], object]] = {
    "members": create_members,
    "routes": create_routes,
    "links": create_links,
}


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def added_bytes(kind: str, count: int) -> int:
    """Return the resident memory that state of a kind adds to this process."""
    create = FACTORIES[kind]
    create(10)
    gc.collect()
    before = resident_bytes()
    state: Any = create(count)
    gc.collect()
    after = resident_bytes()
    del state
    return after - before


def _measure(kind: str, count: int) -> int:
    command = [sys.executable, "-m", "bench.capacity.memory", kind, str(count)]
    completed = subprocess.run(command, check=True, capture_output=True, text=True)
    return int(completed.stdout)


def measure_memory(quick: bool) -> list[Measurement]:
    """Measure several amounts, and extrapolate their sum to the target's size."""
    measurements: list[Measurement] = []
    total_bytes = 0.0
    for kind, counts in COUNTS_BY_KIND.items():
        if quick and kind not in TARGET_COUNTS:
            continue
        measured_counts = counts[::2] if quick else counts
        points = [(count, _measure(kind, count)) for count in measured_counts]
        measurements += [
            Measurement(
                f"{count} {kind}: resident memory added", added / BYTES_PER_MB, "MB"
            )
            for count, added in points
        ]
        fit = LinearFit.from_points(points)
        measurements.append(Measurement(f"{kind}: slope", fit.slope, "B each"))
        total_bytes += max(0.0, fit.value_at(TARGET_COUNTS.get(kind, 0)))
    name = f"{SERVERS} members and {ROUTES} routes, without the interpreter"
    measurements.append(
        Measurement(name, total_bytes / BYTES_PER_MB, "MB", MAX_MEMORY_MB)
    )
    return measurements


if __name__ == "__main__":
    print(added_bytes(sys.argv[1], int(sys.argv[2])))


__all__ = ["measure_memory"]
