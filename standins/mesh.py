"""A mesh of real processes on loopback: store, daemons and backend servers."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from pathlib import Path
    from types import TracebackType


HOST = "127.0.0.1"
MIN_PORT = 10_000
MAX_PORT = 30_000
# Not seeded: meshes that several processes run must not choose the same ports.
PORTS_RNG = random.SystemRandom()
allocated_ports: set[int] = set()
START_SECONDS = 20.0
STOP_SECONDS = 30.0
POLL_SECONDS = 0.02
DAEMON_SETTINGS = """\
[daemon]
availability_zone = {zone}
region = {region}

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


@dataclass(frozen=True)
class Node:
    """The location of one daemon and the addresses it listens on."""

    zone: str
    region: str
    callers: str
    peers: str
    admin: str
    announcements: str


@dataclass(frozen=True)
class Answer:
    """What a caller received: HTTP status, outcome header and body."""

    status: int
    outcome: str
    body: bytes


def free_address() -> str:
    """Return a loopback address whose port is free for TCP and UDP.

    The port lies below those that the system assigns to outgoing connections; one
    of these could otherwise use it before the process that is to listen on it.
    """
    while True:
        port = PORTS_RNG.randrange(MIN_PORT, MAX_PORT)
        if port in allocated_ports:
            continue
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
        allocated_ports.add(port)
        return f"{HOST}:{port}"


def get_json(address: str, path: str, timeout: float = 5.0) -> Any:
    """Return the JSON document of an endpoint."""
    url = f"http://{address}{path}"
    with urllib.request.urlopen(url, timeout=timeout) as reply:
        return json.load(reply)


def put_json(address: str, path: str, body: Any) -> Any:
    """Send a JSON document to an endpoint by PUT; return the JSON answer."""
    data = json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method="PUT")
    with urllib.request.urlopen(request, timeout=5) as reply:
        return json.load(reply)


def wait_until(condition: Callable[[], bool], seconds: float = START_SECONDS) -> float:
    """Poll a condition; return the seconds it took or raise TimeoutError."""
    started_seconds = time.monotonic()
    while time.monotonic() - started_seconds < seconds:
        if condition():
            return time.monotonic() - started_seconds
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f"condition not met within {seconds} s")


class Mesh:
    """The processes of a mesh: starts, signals and stops each of them.

    ``store_address_by_zone`` holds, by availability zone, the address by which its
    daemons reach the store, if not ``store_address``.
    """

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.store_address = free_address()
        self.store_address_by_zone: dict[str, str] = {}
        self.nodes: list[Node] = []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Mesh:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the processes that still run."""
        self.stop_all()

    def start(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        """Run a Python module as a process called ``name``, which logs to NAME.log."""
        with (self.directory / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=log,
                stderr=log,
                env=dict(os.environ, PYTHONUNBUFFERED="1"),
            )
        self.processes[name] = process
        return process

    def start_store(self) -> None:
        """Start the store stand-in and wait until it answers."""
        port = self.store_address.rpartition(":")[2]
        self.start("store", "standins.platform", "--port", port)
        wait_until(lambda: _is_answering(self.store_address, "/standin/counts"))

    def add_nodes(self, zones: Iterable[str], region: str = "default") -> None:
        """Choose the addresses of daemons, one daemon for each zone listed."""
        for zone in zones:
            addresses = [free_address() for _ in range(4)]
            self.nodes.append(Node(zone, region, *addresses))

    def start_daemon(
        self, number: int, extra_settings: str = ""
    ) -> subprocess.Popen[bytes]:
        """Start one daemon; ``extra_settings`` is INI text appended to its settings."""
        node = self.nodes[number]
        path = self.directory / f"daemon-{number}.ini"
        seeds = ", ".join(n.peers for n in self.nodes[:4] if n is not node)
        store_address = self.store_address_by_zone.get(node.zone, self.store_address)
        text = DAEMON_SETTINGS.format(platform=store_address, seeds=seeds, **vars(node))
        path.write_text(f"{text}\n{extra_settings}")
        return self.start(f"daemon-{number}", "briarslip.console.daemon", str(path))

    def start_daemons(self, extra_settings: str = "") -> None:
        """Start every daemon and wait until all answer."""
        for number in range(len(self.nodes)):
            self.start_daemon(number, extra_settings)
        for number in range(len(self.nodes)):
            self.wait_for_daemon(number)

    def wait_for_daemon(self, number: int) -> None:
        """Wait until a daemon answers on its admin address."""
        wait_until(lambda: _is_answering(self.nodes[number].admin, "/v1/status"))

    def wait_for_success(self, number: int, path: str) -> None:
        """Wait until a GET request through a daemon is answered with status 200."""
        wait_until(lambda: self.send_request(number, path).status == 200)

    def start_backend(
        self,
        number: int,
        service: str,
        version: str = "1",
        *options: str,
        address: str = "",
    ) -> str:
        """Start a backend server beside a daemon; return its address."""
        address = address or free_address()
        port = address.rpartition(":")[2]
        self.start(
            f"backend-{port}",
            "standins.backend",
            "--port",
            port,
            "--service",
            service,
            "--version",
            version,
            "--daemon",
            self.nodes[number].announcements,
            *options,
        )
        wait_until(lambda: _is_answering(address, "/healthz"))
        return address

    def apply(self, text: str) -> str:
        """Apply records, given as INI text, with the operators' command."""
        path = self.directory / "records.ini"
        path.write_text(text)
        return self.run_command("apply", str(path), "--platform", self.store_address)

    def run_command(self, *arguments: str) -> str:
        """Run an operators' command and return what it printed."""
        completed = subprocess.run(
            [sys.executable, "-m", "briarslip.console.application", *arguments],
            check=True,
            capture_output=True,
            text=True,
        )
        return completed.stdout.strip()

    def running_version(self, number: int) -> int:
        """Return a daemon's configuration version, -1 if it does not answer."""
        try:
            return int(
                get_json(self.nodes[number].admin, "/v1/status")["running_version"]
            )
        except OSError:
            return -1

    def wait_for_version(
        self, version: int, numbers: Iterable[int] | None = None
    ) -> float:
        """Wait until daemons run a configuration version or a newer one.

        Return the seconds it took. ``numbers`` selects daemons, by default all.
        """
        selected = list(range(len(self.nodes)) if numbers is None else numbers)
        return wait_until(
            lambda: all(self.running_version(n) >= version for n in selected)
        )

    def send_request(
        self,
        number: int,
        path: str,
        method: str = "GET",
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send a request through a daemon and return the answer."""
        request = urllib.request.Request(
            f"http://{self.nodes[number].callers}{path}",
            data=body,
            method=method,
            headers=headers or {},
        )
        try:
            with urllib.request.urlopen(request, timeout=30) as reply:
                return Answer(
                    reply.status, reply.headers["Briarslip-Outcome"], reply.read()
                )
        except urllib.error.HTTPError as error:
            outcome = error.headers.get("Briarslip-Outcome", "")
            return Answer(error.code, outcome, error.read())

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.processes[name].send_signal(signal_number)

    def kill(self, name: str) -> None:
        """Kill one process and remove it from the mesh."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str) -> int:
        """Stop one process with SIGTERM and return its exit status."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=STOP_SECONDS)

    def stop_all(self) -> dict[str, int]:
        """Stop every process with SIGTERM; return the exit statuses by name.

        A process that has not ended after ``STOP_SECONDS`` is killed.
        """
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        statuses = {}
        for name, process in self.processes.items():
            try:
                statuses[name] = process.wait(timeout=STOP_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                statuses[name] = process.wait()
        self.processes.clear()
        return statuses


def _is_answering(address: str, path: str) -> bool:
    try:
        get_json(address, path)
    except urllib.error.HTTPError:
        return True
    except (OSError, ValueError):
        return False
    return True


__all__ = [
    "Answer",
    "Mesh",
    "Node",
    "free_address",
    "get_json",
    "put_json",
    "wait_until",
]
