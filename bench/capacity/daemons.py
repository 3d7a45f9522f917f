"""Idle real daemons on loopback: processor time and resident memory."""

from __future__ import annotations

import statistics
import tempfile
import time
from pathlib import Path

from bench.capacity.target import MAX_CORE_PERCENT
from bench.capacity.target import MAX_MEMORY_MB
from bench.latency import RECORDS
from bench.latency import processor_microseconds
from bench.latency import resident_mb
from bench.measurement import Measurement
from standins.mesh import Mesh


ZONES = ("klang", "penang", "johor", "ipoh")
SIZES = (4, 8, 16)
SETTLE_SECONDS = 5.0
IDLE_SECONDS = 15.0


def measure(size: int) -> tuple[list[float], list[float]]:
    """Return percents of a core and resident MB of the daemons, each ascending."""
    with tempfile.TemporaryDirectory() as directory, Mesh(Path(directory)) as mesh:
        mesh.start_store()
        mesh.add_nodes(ZONES[number % len(ZONES)] for number in range(size))
        mesh.start_daemons()
        mesh.apply(RECORDS)
        mesh.wait_for_version(1)
        time.sleep(SETTLE_SECONDS)
        names = [f"daemon-{number}" for number in range(size)]
        before = {name: processor_microseconds(mesh, name) for name in names}
        time.sleep(IDLE_SECONDS)
        used_microseconds = (
            processor_microseconds(mesh, name) - before[name] for name in names
        )
        core_percents = sorted(
            value / IDLE_SECONDS / 1e4 for value in used_microseconds
        )
        return core_percents, sorted(resident_mb(mesh, name) for name in names)


def measure_daemons() -> list[Measurement]:
    """Measure each size, and compare the largest with the target as ratios."""
    measurements: list[Measurement] = []
    for size in SIZES:
        core_percents, resident = measure(size)
        prefix = f"{size} idle real daemons"
        measurements += [
            Measurement(
                f"{prefix}: processor, median", statistics.median(core_percents), "%"
            ),
            Measurement(f"{prefix}: processor, worst", core_percents[-1], "%"),
            Measurement(
                f"{prefix}: resident, median", statistics.median(resident), "MB"
            ),
            Measurement(f"{prefix}: resident, worst", resident[-1], "MB"),
        ]
    measurements += [
        Measurement(
            "real daemon's processor time, relative to target",
            core_percents[-1] / MAX_CORE_PERCENT,
            "",
        ),
        Measurement(
            "real daemon's memory, relative to target", resident[-1] / MAX_MEMORY_MB, ""
        ),
    ]
    return measurements


__all__ = ["measure_daemons"]
