"""Latency and processor time that the daemons add to a request.

One backend server is reached directly, through its own daemon and through
another daemon; the requests of a run alternate between these targets.
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


MAX_ADDED_P99_MS = 0.56
MAX_RESIDENT_MB = 32.0
REPEATS = 5
PERCENTILES = ("50.0", "99.0")
DAEMONS = ("daemon-0", "daemon-1")
TARGETS_THROUGH_DAEMONS = ("own-server", "two-hop")
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
RUN_SECTION = """\
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
TARGET_SECTION = """
[target {name}]
address = {address}
"""


def plan_text(targets: dict[str, str], **run: Any) -> str:
    """Return the INI text of a load plan; ``run`` fills the section of that name."""
    sections = [RUN_SECTION.format(**run)]
    sections.extend(
        TARGET_SECTION.format(name=n, address=a) for n, a in targets.items()
    )
    return "".join(sections)


def run_load(mesh: Mesh, text: str) -> dict[str, Any]:
    """Run the load program with a plan and return its result."""
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
    """Return the processor time that a process of the mesh has used so far."""
    path = Path(f"/proc/{mesh.processes[name].pid}/schedstat")
    return int(path.read_text().split()[0]) / NANOSECONDS_PER_MICROSECOND


def resident_mb(mesh: Mesh, name: str) -> float:
    """Return the resident memory of a process of the mesh."""
    text = Path(f"/proc/{mesh.processes[name].pid}/status").read_text()
    line = next(line for line in text.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def incomplete_count(result: dict[str, Any]) -> int:
    """Return the number of requests of a run without a complete answer."""
    return sum(
        row["requests"] for row in result["outcomes"] if row["verdict"] != "whole"
    )


def start_mesh(mesh: Mesh) -> dict[str, str]:
    """Start the store, two daemons and a server; return target addresses by name."""
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
        # The same target twice: the difference between them is the noise of the run.
        "direct again": backend,
        "own-server": mesh.nodes[0].callers,
        "two-hop": mesh.nodes[1].callers,
    }


def run(quick: bool) -> list[Measurement]:
    """Measure with real processes on loopback."""
    with tempfile.TemporaryDirectory() as directory, Mesh(Path(directory)) as mesh:
        targets = start_mesh(mesh)
        if quick:
            return _measure_completeness(mesh, targets)
        resident = [resident_mb(mesh, f"daemon-{n}") for n in range(2)]
        measurements = [
            Measurement("resident after start", max(resident), "MB", MAX_RESIDENT_MB)
        ]
        measurements += _measure_connection_memory(mesh, targets["own-server"])
        measurements += _measure_added_latency(mesh, targets)
        measurements += _measure_saturation(mesh, targets)
        return measurements


def _measure_completeness(mesh: Mesh, targets: dict[str, str]) -> list[Measurement]:
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
        Measurement("requests", result["requests"], ""),
        Measurement(
            "requests without a complete answer", incomplete_count(result), "", 0
        ),
    ]


def _measure_connection_memory(mesh: Mesh, address: str) -> list[Measurement]:
    host, _, port = address.rpartition(":")
    before = resident_mb(mesh, "daemon-0")
    with contextlib.ExitStack() as stack:
        for _ in range(IDLE_CONNECTIONS):
            connection = socket.create_connection((host, int(port)))
            stack.enter_context(connection)
            connection.sendall(REQUEST)
            connection.recv(1 << 16)
        grown_mb = resident_mb(mesh, "daemon-0") - before
    kilobytes_per_connection = grown_mb * 1024 / IDLE_CONNECTIONS
    return [
        Measurement(
            "resident memory per caller's connection", kilobytes_per_connection, "KB"
        )
    ]


def _measure_added_latency(mesh: Mesh, targets: dict[str, str]) -> list[Measurement]:
    added: dict[str, dict[str, list[float]]] = {}
    microseconds_per_request: dict[str, list[float]] = {}
    incomplete = 0
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
        incomplete += incomplete_count(result)
        for name in DAEMONS:
            used_microseconds = processor_microseconds(mesh, name) - before[name]
            measured_share = 8 / 9
            requests = result["requests"] / len(targets) / measured_share
            microseconds_per_request.setdefault(name, []).append(
                used_microseconds / requests
            )
        for name, values in result["added_ms"].items():
            for percentile in PERCENTILES:
                repeated_values = added.setdefault(name, {}).setdefault(percentile, [])
                repeated_values.append(values[percentile])
        for percentile in PERCENTILES:
            repeated_values = added.setdefault("direct", {}).setdefault(percentile, [])
            repeated_values.append(result["latency_ms"]["direct"][percentile])
    measurements = [
        Measurement("requests without a complete answer", incomplete, "", 0)
    ]
    for name, values in added.items():
        quantity = "latency" if name == "direct" else "added"
        for percentile, repeated_values in values.items():
            bound = None
            if name in TARGETS_THROUGH_DAEMONS and percentile == "99.0":
                bound = MAX_ADDED_P99_MS
            title = f"{name}: {quantity} at p{percentile}, median of {REPEATS}"
            measurements.append(
                Measurement(title, statistics.median(repeated_values), "ms", bound)
            )
            spread = max(repeated_values) - min(repeated_values)
            measurements.append(Measurement(f"{title}, spread", spread, "ms"))
    # Daemon 0 serves both paths: its own callers and the other daemon's link.
    for name, repeated_values in microseconds_per_request.items():
        title = f"{name}: processor time per request of one target"
        measurements.append(
            Measurement(title, statistics.median(repeated_values), "us")
        )
    return measurements


def _measure_saturation(mesh: Mesh, targets: dict[str, str]) -> list[Measurement]:
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
        requests_per_second = result["requests"] / 4
        for daemon, start_microseconds in before.items():
            # The warm-up is a fifth of the run.
            measured_microseconds = (
                (processor_microseconds(mesh, daemon) - start_microseconds) * 4 / 5
            )
            title = f"{name}: processor time of {daemon} per request at saturation"
            measurements.append(
                Measurement(title, measured_microseconds / result["requests"], "us")
            )
        measurements.append(
            Measurement(f"{name}: requests at saturation", requests_per_second, "1/s")
        )
        measurements.append(
            Measurement(
                f"{name}: requests without a complete answer",
                incomplete_count(result),
                "",
                0,
            )
        )
    return measurements


__all__ = ["run"]
