"""Tests with real processes that reported outcomes match the servers' runs."""

from __future__ import annotations

import signal
import tempfile
import threading
import time
import unittest
from collections import Counter
from http.client import HTTPException
from pathlib import Path

from standins.mesh import Mesh
from standins.mesh import get_json
from standins.mesh import put_json
from standins.mesh import wait_until


RECORDS = """\
[service faults]

[route faults]
service = faults
path_prefix = /faults
timeout_ms = 1500
"""
FAULTS = {
    "close_before": 0.15,
    "close_after": 0.15,
    "truncate": 0.15,
    "freeze": 0.02,
    "failure_share": 0.1,
}
CALLERS = 8
TRUNCATED = "cut"
ALLOWED_RUNS = {"ran": (1,), "not-run": (0,), "unknown": (0, 1), TRUNCATED: (0, 1)}


class OutcomeTruthTest(unittest.TestCase):
    """Requests without a key while servers fail and daemons freeze or die."""

    def setUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.mesh = self.enterContext(Mesh(Path(directory)))
        self.outcomes: dict[str, str] = {}
        self.stopping = False

    def send(self, caller: int) -> None:
        """Send requests one after the other until the test stops."""
        number = 0
        while not self.stopping:
            number += 1
            name = f"{caller}-{number}"
            headers = {"Request-Id": name}
            try:
                answer = self.mesh.send_request(
                    0, "/faults/1", "POST", b"cold", headers
                )
            except (OSError, HTTPException):
                self.outcomes[name] = TRUNCATED
            else:
                self.outcomes[name] = answer.outcome
            time.sleep(0.005)

    def test_each_outcome_matches_the_runs_at_the_servers(self) -> None:
        mesh = self.mesh
        mesh.start_store()
        mesh.add_nodes(("klang", "klang", "klang"))
        mesh.start_daemons()
        options = ("--service-time-ms", "20", "--drain-s", "0")
        servers = [mesh.start_backend(n, "faults", "1", *options) for n in (1, 2)]
        mesh.apply(RECORDS)
        wait_until(lambda: mesh.send_request(0, "/faults").status == 200)
        callers = [
            threading.Thread(target=self.send, args=(n,)) for n in range(CALLERS)
        ]
        for thread in callers:
            thread.start()
        self.inject_faults(servers)
        self.stopping = True
        for thread in callers:
            thread.join()
        runs: Counter[str] = Counter()
        for server in servers:
            runs.update(get_json(server, "/standin/requests?ids=1"))
        wrong = [
            (name, outcome, runs[name])
            for name, outcome in self.outcomes.items()
            if runs[name] not in ALLOWED_RUNS[outcome]
        ]
        self.assertEqual(wrong, [])
        kinds = Counter(self.outcomes.values())
        for outcome in ("ran", "not-run", "unknown"):
            self.assertGreater(kinds[outcome], 0, kinds)

    def inject_faults(self, servers: list[str]) -> None:
        """Make one server fail, freeze a daemon, then kill both remote daemons."""
        put_json(servers[0], "/standin/faults", FAULTS)
        time.sleep(0.8)
        self.mesh.signal("daemon-2", signal.SIGSTOP)
        time.sleep(0.8)
        self.mesh.signal("daemon-2", signal.SIGCONT)
        time.sleep(0.3)
        self.mesh.kill("daemon-1")
        time.sleep(0.3)
        self.mesh.kill("daemon-2")
        time.sleep(0.3)
