"""Real daemons at rest on loopback: processor time and resident memory."""

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
REST_SECONDS = 15.0


def measure(size: int) -> tuple[list[float], list[float]]:
    """Return percent of a core and resident MB of each daemon, in order."""
    with tempfile.TemporaryDirectory() as directory, Mesh(Path(directory)) as mesh:
        mesh.start_store()
        mesh.add_nodes(ZONES[number % len(ZONES)] for number in range(size))
        mesh.start_daemons()
        mesh.apply(RECORDS)
        mesh.wait_for_version(1)
        time.sleep(SETTLE_SECONDS)
        names = [f"daemon-{number}" for number in range(size)]
        before = {name: processor_microseconds(mesh, name) for name in names}
        time.sleep(REST_SECONDS)
        used = (processor_microseconds(mesh, name) - before[name] for name in names)
        shares = sorted(value / REST_SECONDS / 1e4 for value in used)
        return shares, sorted(resident_mb(mesh, name) for name in names)


def measure_daemons() -> list[Measurement]:
    """Return the figures of each size; their excess over the target as factors."""
    measurements: list[Measurement] = []
    for size in SIZES:
        shares, resident = measure(size)
        label = f"{size} real daemons at rest"
        measurements += [
            Measurement(f"{label}: processor, median", statistics.median(shares), "%"),
            Measurement(f"{label}: processor, worst", shares[-1], "%"),
            Measurement(
                f"{label}: resident, median", statistics.median(resident), "MB"
            ),
            Measurement(f"{label}: resident, worst", resident[-1], "MB"),
        ]
    measurements += [
        Measurement(
            "real daemon's processor to target", shares[-1] / MAX_CORE_PERCENT, ""
        ),
        Measurement("real daemon's memory to target", resident[-1] / MAX_MEMORY_MB, ""),
    ]
    return measurements


__all__ = ["measure_daemons"]
