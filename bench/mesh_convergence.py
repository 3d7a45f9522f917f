"""Convergence with real processes on loopback: a store stand-in and daemons."""

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
IDLE_SECONDS = 20.0
RECORDS = (
    "[service a]\n[route r]\nservice = a\npath_prefix = /{number}\nclaims = none\n"
)


def set_store_switches(mesh: Mesh, **switches: object) -> None:
    """Set switches of the store stand-in."""
    put_json(mesh.store_address, "/standin/switches", switches)


def store_calls_and_watches(mesh: Mesh) -> tuple[int, int]:
    """Return the calls that the store has got so far, and its waiting watches."""
    counts = get_json(mesh.store_address, "/standin/counts")
    return sum(counts["calls"].values()), counts["gauges"]["waiting_watches"]


def time_convergence(
    mesh: Mesh, daemon_numbers: Sequence[int], version: int
) -> list[float]:
    """Return the seconds until each daemon runs a version, ascending.

    They count from the call of this function: after the operators' command, or
    after the end of a fault. Daemons that time out count as infinity.
    """
    started_at = time.monotonic()
    not_converged = set(daemon_numbers)
    times: list[float] = []
    while (
        not_converged
        and time.monotonic() - started_at < 3 * MAX_FAULT_CONVERGENCE_SECONDS
    ):
        for number in sorted(not_converged):
            if mesh.running_version(number) >= version:
                times.append(time.monotonic() - started_at)
                not_converged.discard(number)
    return times + [float("inf")] * len(not_converged)


def measure(mesh: Mesh, size: int, changes: int) -> list[Measurement]:
    """Measure changes, an outage of the store and a mass restart."""
    daemon_numbers = range(size)
    mesh.apply(RECORDS.format(number=0))
    time_convergence(mesh, daemon_numbers, 1)
    time.sleep(SETTLE_SECONDS)
    before, watches = store_calls_and_watches(mesh)
    time.sleep(IDLE_SECONDS)
    calls_per_second = (store_calls_and_watches(mesh)[0] - before) / IDLE_SECONDS
    times: list[float] = []
    for number in range(1, changes + 1):
        mesh.apply(RECORDS.format(number=number))
        times += time_convergence(mesh, daemon_numbers, number + 1)
    times.sort()
    # No daemon is notified of the change before the store is unavailable.
    set_store_switches(mesh, freeze_watches=True)
    mesh.apply(RECORDS.format(number="outage"))
    set_store_switches(mesh, outage="close")
    set_store_switches(mesh, freeze_watches=False)
    time.sleep(OUTAGE_SECONDS)
    set_store_switches(mesh, outage="")
    outage_times = time_convergence(mesh, daemon_numbers, changes + 2)
    victims = list(daemon_numbers)[::3]
    for number in victims:
        mesh.kill(f"daemon-{number}")
    mesh.apply(RECORDS.format(number="restart"))
    for number in victims:
        mesh.start_daemon(number)
    restart_times = time_convergence(mesh, daemon_numbers, changes + 3)
    prefix = f"{size} processes"
    return [
        Measurement(f"{prefix}: store calls when idle", calls_per_second, "calls/s"),
        Measurement(f"{prefix}: waiting watches", watches, ""),
        Measurement(f"{prefix}: change, median", quantile(times, 0.5), "s"),
        Measurement(f"{prefix}: change, p99", quantile(times, 0.99), "s"),
        Measurement(
            f"{prefix}: change, worst", times[-1], "s", MAX_CONVERGENCE_SECONDS
        ),
        Measurement(
            f"{prefix}: store outage, worst",
            outage_times[-1],
            "s",
            MAX_FAULT_CONVERGENCE_SECONDS,
        ),
        Measurement(
            f"{prefix}: mass restart, worst",
            restart_times[-1],
            "s",
            MAX_FAULT_CONVERGENCE_SECONDS,
        ),
    ]


def run(quick: bool) -> list[Measurement]:
    """Measure 30 daemons; the quick form measures none, since tests cover processes."""
    if quick:
        return []
    size, changes = 30, 20
    with tempfile.TemporaryDirectory() as directory, Mesh(Path(directory)) as mesh:
        mesh.start_store()
        mesh.add_nodes(ZONES[number % len(ZONES)] for number in range(size))
        mesh.start_daemons()
        return measure(mesh, size, changes)


__all__ = ["run"]
