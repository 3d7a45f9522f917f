"""Stand-ins and processes for the review cases.

One Python process plays the platform: the store, the backend servers, the clients
and the readiness checks. The daemons are started as separate processes with the run
command of ``deploy/system.toml``. Everything uses loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl
from urllib.parse import urlsplit


ROOT = Path(__file__).resolve().parents[2]
CASE_HELD = 0
CASE_BROKEN = 1
CASE_NOT_RUN = 2
HEARTBEAT_MS = 870
IDLE_TIMEOUT_MS = 15_000
# Clients reuse connections up to four fifths of the idle timeout.
MAX_IDLE_S = 0.8 * IDLE_TIMEOUT_MS / 1000
REGION = "semenanjung"
ZONES = ("klang", "penang", "johor", "ipoh")
BOUNDS = {
    "seed-staleness-s": 3,
    "addr-reuse-s": 2,
    "contact-ms": 3000,
    "ack-ms": 4000,
    "sync-s": 4,
    "drain-ms": 2000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "converge-ms": 2000,
    "downgrade-ms": 250,
    "partition-max-ms": 5000,
    "retry-ratio": 0.2,
    "retry-window-s": 10,
    "budget-slack": 60,
    "canary-share": 0.1,
    "canary-slack": 50,
    "rollback-ms": 5000,
    "recovery-s": 15,
}


class NotRunError(Exception):
    """The case could not be run, so it says nothing about the daemon."""


@dataclass(frozen=True)
class Message:
    """A received HTTP message: its first line, headers and body."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split(" ", 2)[1])


@dataclass
class Result:
    """What a client saw of one attempt.

    ``status`` is 0 if the connection ended without a complete answer. Times are
    seconds since the start of the record.
    """

    attempt_id: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    signature: str = ""
    error: str = ""
    body: bytes = b""


@dataclass
class Run:
    """One request at which a server began to work."""

    attempt_id: str
    server_id: str
    started_at: float
    caller_service: str
    ended_at: float = 0.0
    outcome: str = "at work"


class Record:
    """Writes ``record.txt`` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.zero = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self.zero

    def write(self, text: str) -> None:
        """Write one line with its time."""
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one HTTP message; raise if it is incomplete."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            body += part[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(lines[0], headers, body)


def response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} x", *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's store: items with revisions, watches, transactions, leases."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, int] = {}
        self.last_lease = 100
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key as the operator does; return the revision."""
        self.revision += 1
        self._write(key, value, lease)
        self._wake()
        return self.revision

    def _write(self, key: str, value: bytes, lease: int) -> None:
        previous = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": previous["created"] if previous else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.events.append({"key": key, "revision": self.revision, "removed": True})

    def _wake(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def call(self, message: Message) -> tuple[int, dict[str, Any]]:
        """Answer one call."""
        method, target, _ = message.first_line.split(" ")
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        name, _, argument = parts.path.removeprefix("/-/").partition("/")
        body = json.loads(message.body) if message.body else {}
        current = {"current-rev": self.revision}
        if (method, name) == ("GET", "kv-key"):
            item = self.items.get(query["key"])
            return (200, item | current) if item else (404, current)
        if (method, name) == ("GET", "kv-range"):
            keys = sorted(
                k
                for k in self.items
                if k.startswith(query["prefix"]) and k > query.get("after", "")
            )
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "has-more": len(keys) > 500} | current
        if (method, name) == ("GET", "kv-watch"):
            return await self._watch(query)
        if (method, name) == ("POST", "kv-txn"):
            return self._transact(body)
        if (method, name) == ("POST", "kv-lease"):
            self.last_lease += 1
            self.leases[self.last_lease] = body["ttl-ms"]
            return 200, {"lease": self.last_lease, "ttl-ms": body["ttl-ms"]}
        if (method, name) == ("POST", "kv-keep"):
            ttl = self.leases.get(int(argument))
            return (200, {"ttl-ms": ttl}) if ttl else (404, {})
        if (method, name) == ("DELETE", "kv-lease-end"):
            self.leases.pop(int(argument), None)
            return 200, {}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, prefix = int(query["after"]), query["prefix"]
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            found = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "current-rev": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        conditions = body.get("precondition", [])
        for condition in conditions:
            item = self.items.get(condition["key"])
            if (item["revision"] if item else 0) != condition["revision"]:
                found = [self.items.get(c["key"]) for c in conditions]
                return 412, {"items": [i for i in found if i]}
        self.revision += 1
        for put in body.get("puts", []):
            value = base64.b64decode(put["value"])
            self._write(put["key"], value, put.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        self._wake()
        return 200, {"revision": self.revision}


@dataclass
class ServerPlan:
    """How a backend server behaves; ``work_s`` returns the seconds of a request."""

    capacity: int = 12
    queue: int = 48
    work_s: Any = lambda _: 0.05
    body: bytes = b"whole answer"


class Server:
    """A backend server beside a daemon: slots, a queue, heartbeats, run records."""

    def __init__(
        self, stage: Stage, machine: Machine, server_id: str, plan: ServerPlan
    ) -> None:
        self.stage = stage
        self.machine = machine
        self.server_id = server_id
        self.plan = plan
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.slots = asyncio.Semaphore(plan.capacity)
        self.waiting = 0
        self.heartbeats: asyncio.Task[None] | None = None
        self.listener: asyncio.Server | None = None
        self.acked_at: dict[str, float] = {}

    async def start(self) -> None:
        """Listen, and report once per interval from now on."""
        self.stage.servers.append(self)
        host, port = self.machine.app.split(":")
        self.listener = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 27
        )
        self.heartbeats = asyncio.create_task(self._report_often())

    def stop(self) -> None:
        """Stop reporting and listening."""
        if self.heartbeats is not None:
            self.heartbeats.cancel()
        if self.listener is not None:
            self.listener.close()

    def report(self) -> bytes:
        """Return the bytes of the next heartbeat."""
        self.sequence += 1
        info = {
            "service": self.machine.service,
            "version": "v1",
            "zone": self.machine.zone,
            "capacity": self.plan.capacity,
        }
        status = {
            "state": self.state,
            "sequence": self.sequence,
            "warmup-left-ms": 0,
        }
        document = {
            "address": self.machine.app,
            "born": self.born,
            "info": info,
            "status": status,
        }
        return json.dumps(document).encode()

    async def _report_often(self) -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self.say("Heartbeat", self.report())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def say(self, what: str, body: bytes) -> int:
        """Call the control address of the machine; return the status."""
        reader, writer = await asyncio.open_connection(*self.machine.control.split(":"))
        try:
            path = f"/-/Instances.{what}/{self.server_id}"
            head = (
                f"POST {path} HTTP/1.1\r\nHost: {self.machine.control}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            status = (await asyncio.wait_for(read_message(reader), 2.0)).status
        finally:
            writer.close()
        if status == 200:
            self.acked_at[what] = self.stage.record.now()
        return status

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                message = await read_message(reader)
                answered = asyncio.create_task(self._answer(message, writer))
                closed = asyncio.create_task(self._wait_closed(reader))
                done, _ = await asyncio.wait(
                    (answered, closed), return_when=asyncio.FIRST_COMPLETED
                )
                closed.cancel()
                if answered not in done:
                    answered.cancel()
                    break
                answered.result()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _wait_closed(self, reader: asyncio.StreamReader) -> None:
        while not reader.at_eof():
            await asyncio.sleep(0.01)

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        attempt_id = message.headers.get("attempt-id", "")
        expected = message.headers.get("expected-instance", self.server_id)
        echo = {"Attempt-Id": attempt_id}
        record = self.stage.record
        if expected != self.server_id:
            writer.write(response(421, echo | {"Not-Executed": "1"}, b""))
            return
        if self.slots.locked() and self.waiting >= self.plan.queue:
            writer.write(response(503, echo | {"Not-Executed": "1"}, b""))
            return
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        run = Run(
            attempt_id,
            self.server_id,
            record.now(),
            message.headers.get("caller-service", ""),
        )
        self.stage.runs.append(run)
        record.write(f"server {self.server_id} runs {attempt_id}")
        try:
            await asyncio.sleep(self.plan.work_s(attempt_id))
            run.outcome = "answered"
            signed = echo | {"Server-Signature": f"{self.server_id}.{attempt_id}"}
            writer.write(response(200, signed, self.plan.body))
            await writer.drain()
        except asyncio.CancelledError:
            run.outcome = "dropped"
            raise
        finally:
            run.ended_at = record.now()
            record.write(f"server {self.server_id} {run.outcome} {attempt_id}")
            self.slots.release()


@dataclass
class Machine:
    """The addresses of one machine and its daemon process."""

    name: str
    ip: str
    zone: str
    service: str
    settings: Path
    log: Path
    process: asyncio.subprocess.Process | None = None
    gets_work: bool = False
    misses: int = 0
    checks: int = 0
    ends: list[str] = field(default_factory=list)

    @property
    def app(self) -> str:
        """The address of the backend server."""
        return f"{self.ip}:8301"

    @property
    def outbound(self) -> str:
        """The address for clients."""
        return f"{self.ip}:8304"

    @property
    def ready(self) -> str:
        """The address of the readiness check."""
        return f"{self.ip}:8302"

    @property
    def control(self) -> str:
        """The address for the server's reports."""
        return f"{self.ip}:8306"


class Stage:
    """The store, the machines with their daemons, and the platform's checks."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.store = Store()
        self.machines: list[Machine] = []
        self.runs: list[Run] = []
        self.tasks: list[asyncio.Task[Any]] = []
        self.store_address = ""
        self.attempts = 0
        self.command = _run_command()
        self.servers: list[Server] = []

    async def start_store(self) -> None:
        """Serve the store on a free port."""
        listener = await asyncio.start_server(
            self._serve_store, "127.0.0.1", 0, limit=1 << 24
        )
        port = listener.sockets[0].getsockname()[1]
        self.store_address = f"127.0.0.1:{port}"

    async def _serve_store(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                status, body = await self.store.call(await read_message(reader))
                await asyncio.sleep(0.004)
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(response(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def add_machine(self, zone: str, service: str, memory_mb: int = 300) -> Machine:
        """Choose a loopback address and write the settings file of a machine."""
        number = len(self.machines) + 1
        ip = _free_ip()
        name = f"sidecar-{zone}-{number}"
        machine = Machine(
            name,
            ip,
            zone,
            service,
            self.folder / f"{name}.json",
            self.folder / f"{name}.log",
        )
        settings = {
            "node-name": name,
            "role": "daemon",
            "machine-class": "sidecar",
            "serves": ["sidecar"],
            "ip": ip,
            "zone": zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "bind": {
                "inbound": f"{ip}:8300",
                "outbound": machine.outbound,
                "ready": machine.ready,
                "control": machine.control,
            },
            "internal-port-range": [7620, 7635],
            "seeds": [],
            "bootstrap": True,
            "counts-as-loss": False,
            "limits": {
                "cpu-share": 0.86,
                "cpus": 1,
                "memory-mb": memory_mb,
                "max-fds": 4100,
                "bandwidth-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-dir": None,
            "discovery": "static",
            "entry": "static",
            "heartbeat-ms": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"],
            "fault-tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "local-app": machine.app,
            "service": service,
            "platform": {
                "address": self.store_address,
                "form": "kv",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "retention-s": 20,
                "value-bytes": 1048576,
                "ttl-min-ms": 1000,
            },
        }
        machine.settings.write_text(json.dumps(settings))
        self.machines.append(machine)
        return machine

    async def start_daemon(self, machine: Machine) -> None:
        """Start the daemon with the run command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["BRIARSLIP_NODE_FILE"] = str(machine.settings)
        with machine.log.open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"{machine.name} started, pid {machine.process.pid}")
        self.tasks.append(asyncio.create_task(self._watch_end(machine)))

    async def _watch_end(self, machine: Machine) -> None:
        process = machine.process
        assert process is not None
        status = await process.wait()
        machine.ends.append(f"{self.record.now():.3f} status {status}")
        self.record.write(f"{machine.name} ended with status {status}")

    async def start(self, config: dict[str, Any]) -> None:
        """Write the configuration, start all daemons, wait until all are ready."""
        self.put_config(config)
        for machine in self.machines:
            await self.start_daemon(machine)
            self.tasks.append(asyncio.create_task(self._check_ready(machine)))
        await self.wait(lambda: all(m.gets_work for m in self.machines), 40.0)

    def put_config(self, config: dict[str, Any]) -> float:
        """Write the configuration as the operator; return the time of the ack."""
        self.store.put("op/config", json.dumps(config).encode())
        self.record.write(f"the store has acknowledged version {config['version']}")
        return self.record.now()

    async def _check_ready(self, machine: Machine) -> None:
        while True:
            status = await self._ready_status(machine)
            machine.misses = 0 if status == 200 else machine.misses + 1
            gets_work = status == 200 or (machine.gets_work and machine.misses < 2)
            if gets_work != machine.gets_work:
                text = "gets clients" if gets_work else "gets no new work"
                self.record.write(f"{machine.name} {text}")
            machine.gets_work = gets_work
            machine.checks += 1
            await asyncio.sleep(1.0)

    async def _ready_status(self, machine: Machine) -> int:
        try:
            reader, writer = await asyncio.open_connection(*machine.ready.split(":"))
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 0.9)
            writer.close()
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return 0
        return message.status

    async def wait(self, condition: Any, seconds: float) -> None:
        """Wait until a condition holds; the case can't run if it does not."""
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise NotRunError("a condition did not come true in time")
            await asyncio.sleep(0.05)

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to a daemon that this case started."""
        assert machine.process is not None
        self.record.write(f"{number.name} to {machine.name}")
        with contextlib.suppress(ProcessLookupError):
            machine.process.send_signal(number)

    def new_attempt(self) -> str:
        """Return the id of a new attempt."""
        self.attempts += 1
        return f"{random.getrandbits(32):08x}{self.attempts:08x}"

    async def send(
        self,
        machine: Machine,
        head: str,
        headers: dict[str, str],
        body: bytes = b"",
        budget_ms: int = 3000,
        pool: list[Any] | None = None,
    ) -> Result:
        """Send one attempt to a machine; ``pool`` keeps connections for reuse."""
        attempt_id = self.new_attempt()
        result = Result(attempt_id, self.record.now())
        method, path = head.split(" ")
        lines = [
            f"{method} {path} HTTP/1.1",
            *(f"{name}: {value}" for name, value in headers.items()),
            f"Attempt-Id: {attempt_id}",
            f"Deadline-Ms: {budget_ms}",
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n"
        self.record.write(f"client sends {attempt_id} to {machine.name}: {head}")
        kept = self._pop_kept(pool)
        try:
            if kept is None:
                kept = await asyncio.wait_for(
                    asyncio.open_connection(
                        *machine.outbound.split(":"), limit=1 << 27
                    ),
                    1.0,
                )
            reader, writer = kept
            writer.write(data)
            if body:
                for offset in range(0, len(body), 1 << 16):
                    writer.write(body[offset : offset + (1 << 16)])
                    await writer.drain()
            await writer.drain()
            result.sent_at = self.record.now()
            message = await asyncio.wait_for(
                read_message(reader), budget_ms / 1000 + 1.0
            )
            result.status = message.status
            result.signature = message.headers.get("server-signature", "")
            result.body = message.body
            if pool is not None and message.headers.get("connection") != "close":
                pool.append((self.record.now(), kept))
            else:
                writer.close()
        except TimeoutError:
            result.error = "no answer in time"
            if kept:
                kept[1].close()
        except (OSError, asyncio.IncompleteReadError) as error:
            result.error = type(error).__name__
            if kept:
                kept[1].close()
        result.ended_at = self.record.now()
        outcome = result.status or result.error
        self.record.write(f"client sees {attempt_id}: {outcome}")
        return result

    def _pop_kept(self, pool: list[Any] | None) -> Any:
        """Return a kept connection that has not been idle for too long, or None."""
        while pool:
            idle_since, kept = pool.pop()
            if self.record.now() - idle_since < MAX_IDLE_S:
                return kept
            kept[1].close()
        return None

    async def stop(self) -> None:
        """End every daemon that this case started."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.stop()


def route(
    service: str,
    kind: str,
    prefix: str = "/leny950/",
    timeout_ms: int = 3000,
    target_ms: int = 500,
    priority: int = 2,
    attempts: int = 2,
) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "host": "hulo84.example",
        "prefix": prefix,
        "kind": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": target_ms,
        "priority": priority,
        "service": service,
        "attempts": attempts,
    }


def configuration(
    version: int, routes: dict[str, Any], services: list[str]
) -> dict[str, Any]:
    """Return a configuration with the limits of the pages' example."""
    return {
        "version": version,
        "routes": routes,
        "services": {
            name: {
                "health-path": "/healthz",
                "max-connections": 120,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        },
        "limits": {
            "header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": IDLE_TIMEOUT_MS,
        },
    }


def _run_command() -> list[str]:
    """Return the run command of the only role in the deploy file."""
    document = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = document["roles"].values()
    return str(role["run"]).split()


def _free_ip() -> str:
    """Return a loopback address on which the ports of a machine are free."""
    for _ in range(100):
        ip = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.8"
        try:
            for port in (7620, 8301, 8302, 8304, 8306, 9464):
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        return ip
    raise NotRunError("no free loopback address")


def main(case: Any, seconds: float = 110.0) -> None:
    """Run a case and exit with its status.

    ``case`` is a coroutine function of the stage and of whether there is a disruption;
    it returns the lines that say how the rule was broken, none if it held.
    """
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={int(has_trouble)}")

    async def run() -> list[str]:
        with tempfile.TemporaryDirectory() as directory:
            stage = Stage(record, Path(directory))
            try:
                await stage.start_store()
                found: list[str] = await asyncio.wait_for(
                    case(stage, has_trouble), seconds
                )
                return found
            finally:
                await stage.stop()
                for machine in stage.machines:
                    if os.environ.get("KEEP_LOGS") and machine.log.exists():
                        target = Path(os.environ["KEEP_LOGS"]) / machine.log.name
                        target.write_bytes(machine.log.read_bytes())

    try:
        found = asyncio.run(run())
    except (NotRunError, OSError, TimeoutError) as error:
        record.write(f"not run: {type(error).__name__}: {error}")
        print(f"not run: {error}")
        raise SystemExit(CASE_NOT_RUN) from error
    for line in found:
        record.write(f"broken: {line}")
        print(f"broken: {line}")
    record.write("the rule was broken" if found else "the rule held")
    sys.stdout.flush()
    # The clients' open connections need no orderly end.
    os._exit(CASE_BROKEN if found else CASE_HELD)
