"""A rollout of a faulty version over real processes: store outage and restart."""

from __future__ import annotations

import json
import signal
import tempfile
import threading
import time
import unittest
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from pathlib import Path
from typing import Any

from standins.mesh import Mesh
from standins.mesh import get_json
from standins.mesh import put_json
from standins.mesh import wait_until


RECORDS = """\
[service holds]

[route holds]
service = holds
path_prefix = /holds
claims = none

[objective holds]
service = holds
good_share = 0.99

[rollout holds-2]
service = holds
version = 2
deadline = {deadline}
window_ms = 60000
"""
CALLERS = 2
MAX_FAILED_OR_NEW_SHARE = 0.05
SETTLE_SECONDS = 3.0


class CallerThreads:
    """Threads that call the mesh until stopped.

    ``calls`` lists the start time, the status and the service version of each call.
    """

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh
        self.is_stopped = False
        self.calls: list[tuple[float, int, str]] = []
        self.threads = [threading.Thread(target=self.run) for _ in range(CALLERS)]

    def __enter__(self) -> CallerThreads:
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.is_stopped = True
        for thread in self.threads:
            thread.join()

    def run(self) -> None:
        """Call each daemon in turn."""
        number = 0
        while not self.is_stopped:
            number = (number + 1) % len(self.mesh.nodes)
            started_at = time.monotonic()
            try:
                answer = self.mesh.send_request(number, "/holds/1")
            except OSError:
                continue
            version = ""
            if answer.status == 200:
                version = json.loads(answer.body)["version"]
            self.calls.append((started_at, answer.status, version))

    def failed_or_new_since(self, moment: float) -> list[tuple[float, int, str]]:
        """Return calls started after a time that failed or reached the new version."""
        return [c for c in self.calls if c[0] > moment and c[1:] != (200, "1")]


class RolloutMeshTest(unittest.TestCase):
    """A faulty version is rolled back while the store is unavailable throughout."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.mesh = Mesh(Path(directory.name))
        self.addCleanup(self.kill_processes)
        self.mesh.start_store()
        self.mesh.add_nodes(("klang", "klang", "penang", "penang"))
        self.mesh.start_daemons()
        for number in (0, 2):
            self.mesh.start_backend(number, "holds", "1")
        deadline = datetime.now(UTC) + timedelta(seconds=60)
        self.mesh.apply(RECORDS.format(deadline=deadline.isoformat()))
        self.mesh.wait_for_version(1)
        self.wait_for_state("waiting_for_servers")

    def kill_processes(self) -> None:
        """Kill the remaining processes: graceful shutdown is not part of this test."""
        for name in tuple(self.mesh.processes):
            self.mesh.kill(name)

    def states(self) -> list[str]:
        """Return the rollout's state at each daemon that has one."""
        states: list[str] = []
        for node in self.mesh.nodes:
            rollouts: list[Any] = get_json(node.admin, "/v1/rollouts")
            states.extend(rollout["state"] for rollout in rollouts)
        return states

    def wait_for_state(self, state: str) -> None:
        wait_until(lambda: self.states() == [state] * len(self.mesh.nodes))

    def test_faulty_version_is_rolled_back_and_stays_rolled_back(self) -> None:
        self.mesh.signal("store", signal.SIGSTOP)
        new_servers = [
            self.mesh.start_backend(number, "holds", "2") for number in (1, 3)
        ]
        for backend in new_servers:
            put_json(backend, "/standin/faults", {"failure_share": 1.0})
        with CallerThreads(self.mesh) as callers:
            self.wait_for_state("rolled_back")
            rolled_back_at = time.monotonic()
            failed_or_new = len(callers.failed_or_new_since(0))
            self.assertLessEqual(
                failed_or_new, MAX_FAILED_OR_NEW_SHARE * len(callers.calls)
            )
            self.mesh.kill("daemon-1")
            time.sleep(0.2)
            self.mesh.start_daemon(1)
            wait_until(lambda: self.mesh.running_version(1) == 1)
            self.wait_for_state("rolled_back")
            time.sleep(SETTLE_SECONDS)
        calls_after_rollback = callers.failed_or_new_since(rolled_back_at + 0.5)
        self.assertEqual([call for call in calls_after_rollback if call[2] == "2"], [])
        self.assertEqual([call for call in calls_after_rollback if call[1] == 500], [])
        self.mesh.signal("store", signal.SIGCONT)
        self.assert_report_in_store()

    def assert_report_in_store(self) -> None:
        """Assert that the operator's command shows the rollback with its evidence."""
        command = ("rollouts", "--platform", self.mesh.store_address)
        texts = [""]

        def reported() -> bool:
            texts.append(self.mesh.run_command(*command))
            return "rolled_back" in texts[-1]

        wait_until(reported)
        text = texts[-1]
        self.assertIn("holds 2", text)
        self.assertIn("route holds: failure_share", text)
