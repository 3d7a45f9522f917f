"""What the operators' command costs, and the records that it brings in force."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from bench.capacity.configuration import records
from bench.capacity.target import ROUTES
from bench.convergence import route_write
from bench.latency import resident_mb
from bench.measurement import Measurement
from standins.mesh import Mesh
from standins.mesh import get_json


if TYPE_CHECKING:
    from collections.abc import Sequence

    from briarslip.process.distribution.change_writer import RecordWrite


KILOBYTES_PER_MB = 1024


@dataclass(frozen=True)
class CommandCost:
    """Processor seconds, greatest resident memory and platform calls."""

    processor_seconds: float
    resident_mb: float
    calls: int


def to_ini(writes: Sequence[RecordWrite]) -> str:
    """Return records as operators write them."""
    sections = []
    for write in writes:
        lines = [f"[{write.key.kind} {write.key.name}]"]
        lines += [f"{name} = {value}" for name, value in (write.fields or {}).items()]
        sections.append("\n".join(lines))
    return "\n\n".join(sections) + "\n"


def platform_calls(mesh: Mesh) -> int:
    """Return all calls that the platform has counted."""
    calls = get_json(mesh.store_address, "/standin/counts")["calls"]
    return sum(int(count) for count in calls.values())


def apply(mesh: Mesh, text: str) -> CommandCost:
    """Apply records with the command and return what that cost."""
    path = mesh.directory / "records.ini"
    path.write_text(text)
    before = platform_calls(mesh)
    process = subprocess.Popen(
        [
            *(sys.executable, "-m", "briarslip.console.application", "apply"),
            *(str(path), "--platform", mesh.store_address),
        ],
        stdout=subprocess.DEVNULL,
    )
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode:
        raise subprocess.CalledProcessError(process.returncode, process.args)
    return CommandCost(
        usage.ru_utime + usage.ru_stime,
        usage.ru_maxrss / KILOBYTES_PER_MB,
        platform_calls(mesh) - before,
    )


def measure_apply_command() -> list[Measurement]:
    """Measure a change of one record and one of all records, two daemons."""
    measurements: list[Measurement] = []
    with tempfile.TemporaryDirectory() as directory, Mesh(Path(directory)) as mesh:
        mesh.start_store()
        mesh.add_nodes(("klang", "klang"))
        mesh.start_daemons()
        before = resident_mb(mesh, "daemon-0")
        changes = (records(ROUTES), [route_write(0, 0, 99)])
        for version, writes in enumerate(changes, 1):
            cost = apply(mesh, to_ini(writes))
            mesh.wait_for_version(version)
            label = f"apply, {len(writes)} records"
            measurements += [
                Measurement(f"{label}: processor", cost.processor_seconds, "s"),
                Measurement(f"{label}: resident", cost.resident_mb, "MB"),
                Measurement(f"{label}: platform calls, daemons' too", cost.calls, ""),
            ]
        added = resident_mb(mesh, "daemon-0") - before
        measurements.append(Measurement(f"daemon: {ROUTES} routes add", added, "MB"))
    return measurements


__all__ = ["measure_apply_command"]
