"""A rollout over real processes: a bad version, no platform, a restart."""

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
MAX_SMALL_SHARE = 0.05
SETTLE_SECONDS = 3.0


class Callers:
    """Calls from several threads until stopped; versions by time of call."""

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh
        self.stopped = False
        self.calls: list[tuple[float, int, str]] = []
        self.threads = [threading.Thread(target=self.run) for _ in range(CALLERS)]

    def __enter__(self) -> Callers:
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopped = True
        for thread in self.threads:
            thread.join()

    def run(self) -> None:
        """Call each daemon in turn."""
        number = 0
        while not self.stopped:
            number = (number + 1) % len(self.mesh.nodes)
            began = time.monotonic()
            try:
                answer = self.mesh.call(number, "/holds/1")
            except OSError:
                continue
            version = ""
            if answer.status == 200:
                version = json.loads(answer.body)["version"]
            self.calls.append((began, answer.status, version))

    def bad_since(self, moment: float) -> list[tuple[float, int, str]]:
        """Return the calls from a time on that met the new version."""
        return [c for c in self.calls if c[0] > moment and c[1:] != (200, "1")]


class RolloutMeshTest(unittest.TestCase):
    """The main cell of a bad version, with the platform down throughout."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.mesh = Mesh(Path(directory.name))
        self.addCleanup(self.kill_all)
        self.mesh.start_platform()
        self.mesh.add_nodes(("klang", "klang", "penang", "penang"))
        self.mesh.start_daemons()
        for number in (0, 2):
            self.mesh.start_backend(number, "holds", "1")
        deadline = datetime.now(UTC) + timedelta(seconds=60)
        self.mesh.apply(RECORDS.format(deadline=deadline.isoformat()))
        self.mesh.wait_for_version(1)
        self.wait_for("waiting_for_servers")

    def kill_all(self) -> None:
        """Kill what still runs: stopping is no matter of this test."""
        for name in tuple(self.mesh.processes):
            self.mesh.kill(name)

    def states(self) -> list[str]:
        """Return the rollout's state at each daemon that has one."""
        found: list[str] = []
        for node in self.mesh.nodes:
            rollouts: list[Any] = get_json(node.admin, "/v1/rollouts")
            found.extend(rollout["state"] for rollout in rollouts)
        return found

    def wait_for(self, state: str) -> None:
        wait_until(lambda: self.states() == [state] * len(self.mesh.nodes))

    def test_bad_version_is_rolled_back_and_stays_so(self) -> None:
        self.mesh.signal("platform", signal.SIGSTOP)
        new = [self.mesh.start_backend(number, "holds", "2") for number in (1, 3)]
        for backend in new:
            put_json(backend, "/standin/faults", {"failure_share": 1.0})
        with Callers(self.mesh) as callers:
            self.wait_for("rolled_back")
            decided = time.monotonic()
            bad = len(callers.bad_since(0))
            self.assertLessEqual(bad, MAX_SMALL_SHARE * len(callers.calls))
            self.mesh.kill("daemon-1")
            time.sleep(0.2)
            self.mesh.start_daemon(1)
            wait_until(lambda: self.mesh.running_version(1) == 1)
            self.wait_for("rolled_back")
            time.sleep(SETTLE_SECONDS)
        since = callers.bad_since(decided + 0.5)
        self.assertEqual([call for call in since if call[2] == "2"], [])
        self.assertEqual([call for call in since if call[1] == 500], [])
        self.mesh.signal("platform", signal.SIGCONT)
        self.check_report()

    def check_report(self) -> None:
        """Check that every operator sees the one word with its evidence."""
        ask = ("rollouts", "--platform", self.mesh.platform)
        texts = [""]

        def reported() -> bool:
            texts.append(self.mesh.command(*ask))
            return "rolled_back" in texts[-1]

        wait_until(reported)
        text = texts[-1]
        self.assertIn("holds 2", text)
        self.assertIn("route holds: failure_share", text)
