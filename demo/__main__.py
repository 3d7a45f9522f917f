"""Run the whole path on this machine, as separate processes."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from dataclasses import dataclass
from pathlib import Path


HOST = "127.0.0.1"
WAIT_SECONDS = 20.0
SETTINGS = """\
[daemon]
availability_zone = {zone}
region = peninsula

[listen]
callers = {callers}
peers = {peers}
admin = {admin}
announcements = {announcements}

[platform]
address = {platform}

[membership]
seeds = {seeds}
"""
RECORDS = """\
[service holds]

[route holds]
service = holds
path_prefix = /holds
priority = urgent
timeout_ms = {timeout_ms}
claims = none
"""


@dataclass(frozen=True)
class Node:
    """One daemon with its addresses."""

    zone: str
    callers: str
    peers: str
    admin: str
    announcements: str


def free_address() -> str:
    """Return an address with a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((HOST, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((HOST, port))
            except OSError:
                continue
            return f"{HOST}:{port}"


def say(text: str) -> None:
    """Print one step."""
    print(f"* {text}", flush=True)


def start(processes: list[subprocess.Popen[bytes]], *arguments: str) -> None:
    """Start a Python module as a process."""
    process = subprocess.Popen([sys.executable, "-m", *arguments])
    processes.append(process)


def command(*arguments: str) -> str:
    """Run an operator's command and return what it printed."""
    done = subprocess.run(
        [sys.executable, "-m", "briarslip.console.application", *arguments],
        check=True,
        capture_output=True,
        text=True,
    )
    return done.stdout.strip()


def wait_for_versions(nodes: list[Node], version: int) -> float:
    """Wait until every daemon runs a version; return the seconds it took."""
    began = time.monotonic()
    while time.monotonic() - began < WAIT_SECONDS:
        if all(running_version(node) >= version for node in nodes):
            return time.monotonic() - began
        time.sleep(0.02)
    raise SystemExit(f"version {version} is not in force after {WAIT_SECONDS} s")


def running_version(node: Node) -> int:
    """Return the version that a daemon runs, 0 if it doesn't answer."""
    try:
        url = f"http://{node.admin}/v1/status"
        with urllib.request.urlopen(url, timeout=2) as reply:
            return int(json.load(reply)["running_version"])
    except OSError:
        return 0


def call(node: Node, path: str) -> tuple[str, dict[str, object]]:
    """Send a request through a daemon, retrying while there is no server."""
    deadline = time.monotonic() + WAIT_SECONDS
    while True:
        request = urllib.request.Request(f"http://{node.callers}{path}")
        request.add_header("Request-Id", "demo")
        try:
            with urllib.request.urlopen(request, timeout=5) as reply:
                return reply.headers["Briarslip-Outcome"], json.load(reply)
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.1)


def run(directory: Path, processes: list[subprocess.Popen[bytes]]) -> None:
    """Walk through the demonstration."""
    platform = free_address()
    nodes = [
        Node(zone, *(free_address() for _ in range(4)))
        for zone in ("klang", "klang", "penang")
    ]
    say(f"starting the platform stand-in on {platform}")
    start(processes, "standins.platform", "--port", platform.rpartition(":")[2])
    for number, node in enumerate(nodes):
        path = directory / f"daemon-{number}.ini"
        seeds = ", ".join(n.peers for n in nodes if n is not node)
        path.write_text(SETTINGS.format(platform=platform, seeds=seeds, **vars(node)))
        say(f"starting daemon {node.peers} in availability zone {node.zone}")
        start(processes, "briarslip.console.daemon", str(path))
    backend = free_address()
    remote = nodes[2]
    say(f"starting backend server {backend} of service holds in {remote.zone}")
    start(
        processes,
        "standins.backend",
        "--port",
        backend.rpartition(":")[2],
        "--service",
        "holds",
        "--version",
        "1",
        "--slots",
        "12",
        "--connections",
        "120",
        "--daemon",
        remote.announcements,
    )
    records = directory / "records.ini"
    records.write_text(RECORDS.format(timeout_ms=2000))
    say(command("apply", str(records), "--platform", platform))
    say(f"in force on all daemons after {wait_for_versions(nodes, 1):.2f} s")
    outcome, body = call(nodes[0], "/holds/17")
    say(f"a request through {nodes[0].zone} was answered by {remote.zone}: {outcome}")
    say(json.dumps(body))
    records.write_text(RECORDS.format(timeout_ms=1500))
    say(command("apply", str(records), "--platform", platform))
    say(f"in force on all daemons after {wait_for_versions(nodes, 2):.2f} s")
    options = [text for node in nodes for text in ("--daemon", node.admin)]
    print(command("status", *options), flush=True)


def stop(processes: list[subprocess.Popen[bytes]]) -> bool:
    """Stop every process with SIGTERM; return whether all ended well."""
    for process in reversed(processes):
        process.send_signal(signal.SIGTERM)
    return all(
        process.wait(timeout=30) in (0, -signal.SIGTERM) for process in processes
    )


def main() -> int:
    """Run the demonstration and return the exit status."""
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    processes: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory() as directory:
        try:
            run(Path(directory), processes)
        finally:
            say("stopping every process with SIGTERM")
            stopped = stop(processes)
    say("all stopped" if stopped else "a process ended badly")
    return 0 if stopped else 1


if __name__ == "__main__":
    raise SystemExit(main())
