"""Cost of the operators' apply command, and the daemon memory of its records."""

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
    """Processor seconds, peak resident memory, and calls to the store meanwhile."""

    processor_seconds: float
    resident_mb: float
    store_calls: int


def to_ini(writes: Sequence[RecordWrite]) -> str:
    """Return records as the INI text that operators write."""
    sections = []
    for write in writes:
        lines = [f"[{write.key.kind} {write.key.name}]"]
        lines += [f"{name} = {value}" for name, value in (write.fields or {}).items()]
        sections.append("\n".join(lines))
    return "\n\n".join(sections) + "\n"


def count_store_calls(mesh: Mesh) -> int:
    """Return the number of calls that the store has got, from all clients."""
    store_calls = get_json(mesh.store_address, "/standin/counts")["calls"]
    return sum(int(count) for count in store_calls.values())


def run_apply(mesh: Mesh, text: str) -> CommandCost:
    """Apply records with the command and return its cost."""
    path = mesh.directory / "records.ini"
    path.write_text(text)
    before = count_store_calls(mesh)
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
        count_store_calls(mesh) - before,
    )


def measure_apply_command() -> list[Measurement]:
    """Measure a change of all records, then of a single one, with two daemons."""
    measurements: list[Measurement] = []
    with tempfile.TemporaryDirectory() as directory, Mesh(Path(directory)) as mesh:
        mesh.start_store()
        mesh.add_nodes(("klang", "klang"))
        mesh.start_daemons()
        before = resident_mb(mesh, "daemon-0")
        changes = (records(ROUTES), [route_write(0, 0, 99)])
        for version, writes in enumerate(changes, 1):
            cost = run_apply(mesh, to_ini(writes))
            mesh.wait_for_version(version)
            prefix = f"apply, {len(writes)} records"
            measurements += [
                Measurement(f"{prefix}: processor", cost.processor_seconds, "s"),
                Measurement(f"{prefix}: resident", cost.resident_mb, "MB"),
                Measurement(
                    f"{prefix}: store calls, also of daemons", cost.store_calls, ""
                ),
            ]
        added_mb = resident_mb(mesh, "daemon-0") - before
        measurements.append(Measurement(f"daemon: {ROUTES} routes add", added_mb, "MB"))
    return measurements


__all__ = ["measure_apply_command"]
