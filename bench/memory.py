"""Resident memory of a daemon after its start, split, and its start-up time.

The users' target is 32 MB at their size. The daemon here has the records of that
size but no other member, so it takes less than there.
"""

from __future__ import annotations

import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from bench.measurement import Measurement
from standins.mesh import Mesh


TARGET_MB = 32.0
KILOBYTES_PER_MEGABYTE = 1024
SERVICES = 190
ROUTES = 300
REPEATS = 5
# The libraries that the users named, and the reactor: what no change of the
# daemon's own modules gets below.
STEPS = {
    "Python alone": "",
    "and Twisted's reactor": "from twisted.internet import reactor\n",
    "and the named libraries": "import capnp, hdrh.histogram, logbook\n",
    "and twisted.web.http": "import twisted.web.http\n",
    "and the daemon's modules": "import briarslip.process.daemon\n",
}
REPORT = "print(open('/proc/self/smaps_rollup').read())\n"


def memory_mb(text: str) -> dict[str, float]:
    """Read an ``smaps_rollup`` file; return megabytes by field."""
    fields = (line.split() for line in text.splitlines() if line.endswith(" kB"))
    return {f[0].rstrip(":"): int(f[1]) / KILOBYTES_PER_MEGABYTE for f in fields}


def records() -> str:
    """Return records at the users' size."""
    parts = [f"[service service-{number}]\n" for number in range(SERVICES)]
    parts.extend(
        f"[route route-{number}]\nservice = service-{number % SERVICES}\n"
        f"path_prefix = /path-{number}\npriority = urgent\n"
        "timeout_ms = 5000\nclaims = none\n"
        for number in range(ROUTES)
    )
    return "\n".join(parts)


def run(quick: bool) -> list[Measurement]:
    """Measure a daemon with real processes, and import by import."""
    measurements = _daemon()
    program = ""
    for name, step in STEPS.items():
        program += step
        output = subprocess.run(
            [sys.executable, "-c", program + REPORT],
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        measurements.append(
            Measurement(f"imports: {name}", memory_mb(output)["Rss"], "MB")
        )
    measurements.append(_start_up(program, 1 if quick else REPEATS))
    return measurements


def _daemon() -> list[Measurement]:
    with tempfile.TemporaryDirectory() as directory, Mesh(Path(directory)) as mesh:
        mesh.start_store()
        mesh.add_nodes(("klang",))
        mesh.start_daemons()
        pid = mesh.processes["daemon-0"].pid
        memory = memory_mb(Path(f"/proc/{pid}/smaps_rollup").read_text())
        mesh.apply(records())
        mesh.wait_for_version(1)
        loaded = memory_mb(Path(f"/proc/{pid}/smaps_rollup").read_text())
    resident = memory["Rss"]
    return [
        # The target is missed, so there is no bound to keep yet.
        Measurement("resident after start", resident, "MB"),
        Measurement(
            "resident after start, share of the target", resident / TARGET_MB, ""
        ),
        Measurement(f"with {SERVICES} services, {ROUTES} routes", loaded["Rss"], "MB"),
        Measurement("anonymous", memory["Anonymous"], "MB"),
        Measurement("mapped files", resident - memory["Anonymous"], "MB"),
        Measurement("proportional share", memory["Pss"], "MB"),
    ]


def _start_up(program: str, repeats: int) -> Measurement:
    seconds = []
    for _ in range(repeats):
        began = time.perf_counter()
        subprocess.run([sys.executable, "-c", program], check=True)
        seconds.append(time.perf_counter() - began)
    label = f"imports of the daemon, median of {repeats}"
    return Measurement(label, statistics.median(seconds), "s")


__all__ = ["run"]
