"""Convergence with real processes on loopback: platform and daemons."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

from bench.convergence import MAX_CONVERGENCE_SECONDS
from bench.convergence import MAX_FAULT_CONVERGENCE_SECONDS
from bench.convergence import quantile
from bench.measurement import Measurement
from standins.mesh import Mesh
from standins.mesh import get_json
from standins.mesh import put_json


if TYPE_CHECKING:
    from collections.abc import Sequence


ZONES = ("klang", "penang", "johor")
OUTAGE_SECONDS = 5.0
SETTLE_SECONDS = 5.0
REST_SECONDS = 20.0
RECORDS = (
    "[service a]\n[route r]\nservice = a\npath_prefix = /{number}\nclaims = none\n"
)


def switch(mesh: Mesh, **switches: object) -> None:
    """Set switches of the platform stand-in."""
    put_json(mesh.store_address, "/standin/switches", switches)


def calls(mesh: Mesh) -> tuple[int, int]:
    """Return the platform's calls so far and its waiting watches."""
    counts = get_json(mesh.store_address, "/standin/counts")
    return sum(counts["calls"].values()), counts["gauges"]["waiting_watches"]


def time_each(mesh: Mesh, numbers: Sequence[int], version: int) -> list[float]:
    """Return the seconds until each daemon runs a version, in order.

    They count from the end of the operators' command, or of the fault.
    """
    began = time.monotonic()
    waiting = set(numbers)
    times: list[float] = []
    while waiting and time.monotonic() - began < 3 * MAX_FAULT_CONVERGENCE_SECONDS:
        for number in sorted(waiting):
            if mesh.running_version(number) >= version:
                times.append(time.monotonic() - began)
                waiting.discard(number)
    return times + [float("inf")] * len(waiting)


def measure(mesh: Mesh, size: int, changes: int) -> list[Measurement]:
    """Measure changes, an outage and a herd's return."""
    numbers = range(size)
    mesh.apply(RECORDS.format(number=0))
    time_each(mesh, numbers, 1)
    time.sleep(SETTLE_SECONDS)
    before, watches = calls(mesh)
    time.sleep(REST_SECONDS)
    rate = (calls(mesh)[0] - before) / REST_SECONDS
    times: list[float] = []
    for number in range(1, changes + 1):
        mesh.apply(RECORDS.format(number=number))
        times += time_each(mesh, numbers, number + 1)
    times.sort()
    # Nobody is told of the change before the platform is gone.
    switch(mesh, freeze_watches=True)
    mesh.apply(RECORDS.format(number="outage"))
    switch(mesh, outage="close")
    switch(mesh, freeze_watches=False)
    time.sleep(OUTAGE_SECONDS)
    switch(mesh, outage="")
    outage = time_each(mesh, numbers, changes + 2)
    victims = list(numbers)[::3]
    for number in victims:
        mesh.kill(f"daemon-{number}")
    mesh.apply(RECORDS.format(number="herd"))
    for number in victims:
        mesh.start_daemon(number)
    herd = time_each(mesh, numbers, changes + 3)
    name = f"{size} processes"
    return [
        Measurement(f"{name}: platform calls at rest", rate, "calls/s"),
        Measurement(f"{name}: waiting watches", watches, ""),
        Measurement(f"{name}: change, median", quantile(times, 0.5), "s"),
        Measurement(f"{name}: change, p99", quantile(times, 0.99), "s"),
        Measurement(f"{name}: change, worst", times[-1], "s", MAX_CONVERGENCE_SECONDS),
        Measurement(
            f"{name}: outage, worst", outage[-1], "s", MAX_FAULT_CONVERGENCE_SECONDS
        ),
        Measurement(
            f"{name}: herd's return, worst",
            herd[-1],
            "s",
            MAX_FAULT_CONVERGENCE_SECONDS,
        ),
    ]


def run(quick: bool) -> list[Measurement]:
    """Measure; the quick form has nothing, since the tests run processes too."""
    if quick:
        return []
    size, changes = 30, 20
    with tempfile.TemporaryDirectory() as directory, Mesh(Path(directory)) as mesh:
        mesh.start_store()
        mesh.add_nodes(ZONES[number % len(ZONES)] for number in range(size))
        mesh.start_daemons()
        return measure(mesh, size, changes)


__all__ = ["run"]
