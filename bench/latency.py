"""Time and processor time that the daemons add to a call.

One backend server, reached directly, through its own daemon and through
another daemon; the three take turns in the same run.
"""

from __future__ import annotations

import contextlib
import json
import socket
import statistics
import tempfile
from pathlib import Path
from typing import Any

from bench.measurement import Measurement
from standins.mesh import Mesh


ADDED_P99_BOUND_MS = 0.56
RESIDENT_BOUND_MB = 32.0
REPEATS = 5
PERCENTILES = ("50.0", "99.0")
DAEMONS = ("daemon-0", "daemon-1")
PATHS = ("own-server", "two-hop")
IDLE_CONNECTIONS = 1000
NANOSECONDS_PER_MICROSECOND = 1000
REQUEST = b"GET /holds/1 HTTP/1.1\r\nHost: a\r\nRequest-Id: a\r\n\r\n"
RECORDS = """\
[service holds]

[route holds]
service = holds
path_prefix = /holds
priority = urgent
timeout_ms = 5000
claims = none
"""
RUN = """\
[run]
seed = {seed}
rate = {rate}
arrivals = {arrivals}
warm_up_ms = {warm_up_ms}
measured_ms = {measured_ms}
timeout_ms = 10000
connections = {connections}

[request hold]
path = /holds/17
"""
TARGET = """
[target {name}]
address = {address}
"""


def plan_text(targets: dict[str, str], **run: Any) -> str:
    """Return the plan of a run."""
    parts = [RUN.format(**run)]
    parts.extend(TARGET.format(name=n, address=a) for n, a in targets.items())
    return "".join(parts)


def run_load(mesh: Mesh, text: str) -> dict[str, Any]:
    """Run the load program and return its result."""
    plan = mesh.directory / "plan.ini"
    output = mesh.directory / "result.json"
    plan.write_text(text)
    process = mesh.start(
        "load", "briarslip.console.load", str(plan), "--json", str(output)
    )
    process.wait()
    del mesh.processes["load"]
    result: dict[str, Any] = json.loads(output.read_text())
    return result


def processor_microseconds(mesh: Mesh, name: str) -> float:
    """Return the processor time that a process has used."""
    path = Path(f"/proc/{mesh.processes[name].pid}/schedstat")
    return int(path.read_text().split()[0]) / NANOSECONDS_PER_MICROSECOND


def resident_mb(mesh: Mesh, name: str) -> float:
    """Return the resident memory of a process."""
    text = Path(f"/proc/{mesh.processes[name].pid}/status").read_text()
    line = next(line for line in text.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def not_whole(result: dict[str, Any]) -> int:
    """Return the requests of a run that got no whole answer."""
    return sum(
        row["requests"] for row in result["outcomes"] if row["verdict"] != "whole"
    )


def start(mesh: Mesh) -> dict[str, str]:
    """Start the processes; return the target addresses by name."""
    mesh.start_store()
    mesh.add_nodes(("klang", "klang"))
    mesh.start_daemons()
    backend = mesh.start_backend(
        0, "holds", "1", "--service-time-ms", "0", "--slots", "100"
    )
    mesh.apply(RECORDS)
    mesh.wait_for_version(1)
    for number in range(2):
        mesh.wait_for_success(number, "/holds/1")
    return {
        "direct": backend,
        # The difference of two equal targets is the noise of the run.
        "direct again": backend,
        "own-server": mesh.nodes[0].callers,
        "two-hop": mesh.nodes[1].callers,
    }


def run(quick: bool) -> list[Measurement]:
    """Measure with real processes on loopback."""
    with tempfile.TemporaryDirectory() as directory, Mesh(Path(directory)) as mesh:
        targets = start(mesh)
        if quick:
            return _check(mesh, targets)
        resident = [resident_mb(mesh, f"daemon-{n}") for n in range(2)]
        measurements = [
            Measurement("resident after start", max(resident), "MB", RESIDENT_BOUND_MB)
        ]
        measurements += _connection_memory(mesh, targets["own-server"])
        measurements += _added(mesh, targets)
        measurements += _saturation(mesh, targets)
        return measurements


def _check(mesh: Mesh, targets: dict[str, str]) -> list[Measurement]:
    text = plan_text(
        targets,
        seed=1,
        rate=400,
        arrivals="poisson",
        warm_up_ms=0,
        measured_ms=2000,
        connections=16,
    )
    result = run_load(mesh, text)
    return [
        Measurement("calls", result["requests"], ""),
        Measurement("answers not whole", not_whole(result), "", 0),
    ]


def _connection_memory(mesh: Mesh, address: str) -> list[Measurement]:
    host, _, port = address.rpartition(":")
    before = resident_mb(mesh, "daemon-0")
    with contextlib.ExitStack() as stack:
        for _ in range(IDLE_CONNECTIONS):
            connection = socket.create_connection((host, int(port)))
            stack.enter_context(connection)
            connection.sendall(REQUEST)
            connection.recv(1 << 16)
        grown = resident_mb(mesh, "daemon-0") - before
    kilobytes = grown * 1024 / IDLE_CONNECTIONS
    return [Measurement("resident memory per caller's connection", kilobytes, "KB")]


def _added(mesh: Mesh, targets: dict[str, str]) -> list[Measurement]:
    added: dict[str, dict[str, list[float]]] = {}
    processor: dict[str, list[float]] = {}
    missed = 0
    for repeat in range(REPEATS):
        before = {name: processor_microseconds(mesh, name) for name in DAEMONS}
        text = plan_text(
            targets,
            seed=repeat,
            rate=400,
            arrivals="poisson",
            warm_up_ms=1000,
            measured_ms=8000,
            connections=16,
        )
        result = run_load(mesh, text)
        missed += not_whole(result)
        for name in DAEMONS:
            used = processor_microseconds(mesh, name) - before[name]
            measured_share = 8 / 9
            calls = result["requests"] / len(targets) / measured_share
            processor.setdefault(name, []).append(used / calls)
        for name, values in result["added_ms"].items():
            for percentile in PERCENTILES:
                entry = added.setdefault(name, {}).setdefault(percentile, [])
                entry.append(values[percentile])
        for percentile in PERCENTILES:
            entry = added.setdefault("direct", {}).setdefault(percentile, [])
            entry.append(result["latency_ms"]["direct"][percentile])
    measurements = [Measurement("answers not whole", missed, "", 0)]
    for name, values in added.items():
        word = "latency" if name == "direct" else "added"
        for percentile, entry in values.items():
            bound = None
            if name in PATHS and percentile == "99.0":
                bound = ADDED_P99_BOUND_MS
            label = f"{name}: {word} at p{percentile}, median of {REPEATS}"
            measurements.append(
                Measurement(label, statistics.median(entry), "ms", bound)
            )
            spread = max(entry) - min(entry)
            measurements.append(Measurement(f"{label}, spread", spread, "ms"))
    # Daemon 0 serves both paths: its own callers and the other daemon's link.
    for name, entry in processor.items():
        label = f"{name}: processor time per call of one target"
        measurements.append(Measurement(label, statistics.median(entry), "us"))
    return measurements


def _saturation(mesh: Mesh, targets: dict[str, str]) -> list[Measurement]:
    measurements = []
    for name, address in targets.items():
        text = plan_text(
            {name: address},
            seed=1,
            rate=1,
            arrivals="closed",
            warm_up_ms=1000,
            measured_ms=4000,
            connections=32,
        )
        before = {daemon: processor_microseconds(mesh, daemon) for daemon in DAEMONS}
        result = run_load(mesh, text)
        rate = result["requests"] / 4
        for daemon, used in before.items():
            # The warm-up is a fifth of the run.
            spent = (processor_microseconds(mesh, daemon) - used) * 4 / 5
            label = f"{name}: processor time of {daemon} per call at saturation"
            measurements.append(Measurement(label, spent / result["requests"], "us"))
        measurements.append(Measurement(f"{name}: calls at saturation", rate, "1/s"))
        measurements.append(Measurement(f"{name}: not whole", not_whole(result), "", 0))
    return measurements


__all__ = ["run"]
