"""Tests of membership among real processes, by signals that stop or end them."""

from __future__ import annotations

import signal
import tempfile
import time
import unittest
from pathlib import Path

from standins.mesh import Mesh
from standins.mesh import get_json
from standins.mesh import wait_until


DEAD_SECONDS = 15.0
REFUTE_SECONDS = 5.0
DRAINING_SECONDS = 3.0


class MeshTest(unittest.TestCase):
    """One mesh that goes through each kind of failure in turn."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.mesh = Mesh(Path(directory.name))
        self.addCleanup(self.mesh.stop_all)

    def statuses(self, number: int, observers: set[int]) -> set[str]:
        """Return the statuses that observers report for one daemon."""
        peer = self.mesh.nodes[number].peers
        found = set()
        for observer in observers - {number}:
            members = get_json(self.mesh.nodes[observer].admin, "/v1/members")
            held = [m["status"] for m in members if m["peer"] == peer]
            found.add(held[0] if held else "unknown")
        return found

    def wait_for(self, number: int, status: str, observers: set[int]) -> float:
        """Wait until all observers report a status for one daemon; return seconds."""
        return wait_until(lambda: self.statuses(number, observers) == {status})

    def test_kill_stop_and_drain(self) -> None:
        mesh = self.mesh
        mesh.start_store()
        mesh.add_nodes(("klang", "klang", "klang", "klang", "penang", "penang"))
        mesh.start_daemons()
        mesh.start_backend(3, "holds")
        everyone = set(range(6))
        for number in everyone:
            self.wait_for(number, "alive", everyone)

        mesh.signal("daemon-1", signal.SIGSTOP)
        self.assertLess(self.wait_for(1, "dead", everyone - {1}), DEAD_SECONDS)
        mesh.signal("daemon-1", signal.SIGCONT)
        self.assertLess(self.wait_for(1, "alive", everyone), REFUTE_SECONDS)
        for number in everyone:
            self.assertEqual({"alive"}, self.statuses(number, everyone))

        mesh.kill("daemon-2")
        running = everyone - {2}
        self.assertLess(self.wait_for(2, "dead", running), DEAD_SECONDS)
        mesh.start_daemon(2)
        self.wait_for(2, "alive", running)

        mesh.signal("daemon-3", signal.SIGTERM)
        began = time.monotonic()
        self.wait_for(3, "left", everyone - {3})
        self.assertLess(time.monotonic() - began, DRAINING_SECONDS)
