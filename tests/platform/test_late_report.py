"""Test of a late report at real daemons on the platform, one of which is restarted."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from pathlib import Path
from typing import Any

from briarslip.platform.settings import SETTINGS_VARIABLE
from standins.mesh import free_address
from standins.mesh import wait_until
from standins.users_store import UsersStore
from standins.users_store_server import listen
from tests.platform.support import configuration
from tests.platform.support import report
from tests.platform.support import settings
from tests.support.reactor import run_in_reactor


# Loopback addresses of the instances; their daemons use the same ports.
HOSTS = ("127.0.0.21", "127.0.0.22")
SERVER_ID = "i-7f3a91c2"
RESTART_SECONDS = 0.3
REPORT_DELAY_SECONDS = 2.0
# Longer than the lease of one report.
WATCHED_SECONDS = 4.0


class BackendServer(BaseHTTPRequestHandler):
    """Answers each request as a server of the platform does."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Send a signed response."""
        self.send_response(200)
        self.send_header("Attempt-Id", self.headers["Attempt-Id"])
        self.send_header("Server-Signature", "s")
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"ok")

    def log_message(self, format: str, *args: Any) -> None:  # noqa: A002 (http.server)
        """Write no log."""


class LateReportTest(unittest.TestCase):
    """Two instances: the first has the server, callers are at both."""

    def setUp(self) -> None:
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.directory = directory
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), BackendServer)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.ports = [int(free_address().split(":")[1]) for _ in range(4)]
        self.store_port = self.start_store()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.addCleanup(self.kill_all)
        for host in HOSTS:
            self.start_daemon(host)

    def start_store(self) -> int:
        """Start the stand-in of the store with a configuration; return its port."""
        document = configuration()
        document["routes"]["r-shelf"] |= {"service": "holds", "traffic-split": []}

        async def start(reactor: Any) -> Any:
            store = UsersStore(reactor.seconds)
            store.put("op/config", json.dumps(document).encode())
            return listen(reactor, store)[1]

        async def stop(_: Any) -> None:
            await port.stopListening()

        port = run_in_reactor(start)
        self.addCleanup(run_in_reactor, stop)
        return int(port.getHost().port)

    def start_daemon(self, host: str) -> None:
        """Start the daemon of an instance."""
        callers, ready, control, peers = self.ports
        path = self.directory / f"{host}.json"
        document = settings(
            ip=host,
            bind={
                "inbound": f"{host}:1",
                "outbound": f"{host}:{callers}",
                "ready": f"{host}:{ready}",
                "control": f"{host}:{control}",
            },
            platform={"address": f"127.0.0.1:{self.store_port}", "form": "kv"},
        )
        document["internal-port-range"] = [peers, peers + 1]
        path.write_text(json.dumps(document))
        with (self.directory / f"{host}.log").open("ab") as log:
            self.processes[host] = subprocess.Popen(
                [sys.executable, "-m", "briarslip.platform"],
                stdout=log,
                stderr=log,
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
            )

    def kill_all(self) -> None:
        """End the daemons."""
        for process in self.processes.values():
            process.kill()
            process.wait()

    def say(self, call: str, document: dict[str, Any]) -> int:
        """Send a call of the server to its daemon; return the status, 0 without one."""
        path = f"/-/Instances.{call}/{SERVER_ID}"
        connection = http.client.HTTPConnection(HOSTS[0], self.ports[2], timeout=2)
        with contextlib.closing(connection), contextlib.suppress(OSError):
            connection.request("POST", path, json.dumps(document))
            return connection.getresponse().status
        return 0

    def report(self, sequence: int, started_ms: int) -> int:
        """Report the server as ready."""
        host, port = self.server.server_address[:2]
        status = {"state": "ready", "sequence": sequence, "warmup-left-ms": 0}
        address = f"{host!s}:{port}"
        return self.say(
            "Heartbeat", report(address=address, status=status, born=started_ms)
        )

    def request(self, host: str) -> int:
        """Send a request through a daemon; return the status, 0 without one."""
        connection = http.client.HTTPConnection(host, self.ports[0], timeout=5)
        headers = {
            "Host": "hulo84.example",
            "Attempt-Id": f"{time.monotonic_ns():x}",
            "Deadline-Ms": "1000",
        }
        with contextlib.closing(connection), contextlib.suppress(OSError):
            connection.request("GET", "/leny950/1", headers=headers)
            return connection.getresponse().status
        return 0

    def is_served(self) -> bool:
        """Return whether both daemons serve requests of the server's service."""
        return all(self.request(host) == 200 for host in HOSTS)

    def test_late_report_brings_back_a_server_that_has_left(self) -> None:
        self.deregister_restart_and_report_late(HOSTS[:1])

    def test_late_report_after_a_restart_of_all_brings_back_a_server_that_has_left(
        self,
    ) -> None:
        self.deregister_restart_and_report_late(HOSTS)

    def deregister_restart_and_report_late(self, restarted: tuple[str, ...]) -> None:
        """Restart daemons after the deregistration, and deliver an earlier report."""
        started_ms = int(time.time() * 1000)
        wait_until(lambda: self.report(1, started_ms) == 200)
        wait_until(self.is_served)
        self.assertEqual(200, self.say("Deregister", {"born": started_ms}))
        time.sleep(0.1)
        for host in restarted:
            self.processes[host].kill()
            self.processes[host].wait()
        time.sleep(RESTART_SECONDS)
        for host in restarted:
            self.start_daemon(host)
        time.sleep(REPORT_DELAY_SECONDS)
        wait_until(lambda: self.report(1, started_ms) == 200)
        until = time.monotonic() + WATCHED_SECONDS
        statuses = set()
        while time.monotonic() < until:
            statuses |= {self.request(host) for host in HOSTS}
            time.sleep(0.1)
        self.assertEqual({503}, statuses)
        wait_until(lambda: self.report(1, started_ms + 60_000) == 200)
        wait_until(self.is_served)


if __name__ == "__main__":
    unittest.main()
