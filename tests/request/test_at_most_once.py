"""Tests with real processes that a request with a key runs at most once."""

from __future__ import annotations

import signal
import tempfile
import threading
import unittest
from pathlib import Path

from standins.mesh import Answer
from standins.mesh import Mesh
from standins.mesh import get_json
from standins.mesh import put_json
from standins.mesh import wait_until


RECORDS = """\
[service holds]

[route holds]
service = holds
path_prefix = /holds
priority = urgent
timeout_ms = 2000
claims = required
"""


class AtMostOnceTest(unittest.TestCase):
    """Copies of a request through two daemons; the servers count the runs."""

    mesh: Mesh
    backends: list[str]

    @classmethod
    def setUpClass(cls) -> None:
        directory = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls.mesh = cls.enterClassContext(Mesh(Path(directory)))
        cls.mesh.start_store()
        cls.mesh.add_nodes(("klang", "klang"))
        cls.mesh.start_daemons()
        slow = ("--route-time", "/holds/slow=400", "--drain-s", "0")
        cls.backends = [cls.mesh.start_backend(n, "holds", "1", *slow) for n in (0, 1)]
        cls.mesh.apply(RECORDS)
        cls.mesh.wait_for_version(1)
        for number in (0, 1):
            cls.mesh.wait_for_success(number, "/holds")

    def send_booking(self, daemon: int, name: str, path: str = "/holds/1") -> Answer:
        """Send a copy of a booking request through a daemon."""
        headers = {"Idempotency-Key": name, "Request-Id": name}
        return self.mesh.send_request(daemon, path, "POST", b"lot 7", headers)

    def runs(self, name: str) -> int:
        """Return how often the live servers have run a booking."""
        return sum(
            get_json(address, "/standin/requests?ids=1").get(name, 0)
            for address in self.backends
        )

    def switch_store(self, **switches: object) -> None:
        put_json(self.mesh.store_address, "/standin/switches", switches)

    def test_copies_get_the_response_of_the_first_request(self) -> None:
        answers = [self.send_booking(daemon, "copies") for daemon in (0, 1, 1, 0)]
        self.assertEqual({(a.status, a.outcome) for a in answers}, {(200, "ran")})
        self.assertEqual(len({a.body for a in answers}), 1)
        self.assertEqual(self.runs("copies"), 1)

    def test_key_of_another_request_is_rejected(self) -> None:
        self.send_booking(0, "mixed")
        other = self.send_booking(1, "mixed", "/holds/2")
        self.assertEqual((other.status, other.outcome), (422, "not-run"))
        self.assertEqual(self.runs("mixed"), 1)

    def test_concurrent_copies(self) -> None:
        answers: list[Answer] = []

        def send(daemon: int) -> None:
            answers.append(self.send_booking(daemon, "race", "/holds/slow"))

        threads = [threading.Thread(target=send, args=(n % 2,)) for n in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual({(a.status, a.outcome) for a in answers}, {(200, "ran")})
        self.assertEqual(self.runs("race"), 1)

    def test_lost_response_to_the_write_of_the_claim(self) -> None:
        self.send_booking(0, "before")
        self.switch_store(lose_answers=1)
        answers = [self.send_booking(daemon, "lost") for daemon in (0, 1)]
        self.assertEqual([a.outcome for a in answers], ["ran", "ran"])
        self.assertEqual(self.runs("lost"), 1)

    def test_server_that_closes_the_connection_after_running(self) -> None:
        for address in self.backends:
            put_json(address, "/standin/faults", {"close_after": 1.0})
        answers = [self.send_booking(daemon, "closed") for daemon in (0, 1, 0)]
        for address in self.backends:
            put_json(address, "/standin/faults", {})
        self.assertEqual([a.outcome for a in answers], ["unknown"] * 3)
        self.assertEqual([a.status for a in answers], [502, 409, 409])
        self.assertEqual(self.runs("closed"), 1)

    def test_server_killed_while_running_the_request(self) -> None:
        answers: list[Answer] = []
        first = threading.Thread(
            target=lambda: answers.append(self.send_booking(0, "killed", "/holds/slow"))
        )
        first.start()
        wait_until(lambda: self.runs("killed") == 1)
        for number, address in enumerate(self.backends):
            if get_json(address, "/standin/requests?ids=1").get("killed"):
                self.mesh.kill(f"backend-{address.rpartition(':')[2]}")
                del self.backends[number]
                break
        first.join()
        answers.append(self.send_booking(1, "killed", "/holds/slow"))
        self.assertEqual([a.outcome for a in answers], ["unknown"] * 2)
        self.assertEqual(self.runs("killed"), 0)

    def test_request_rejected_in_a_store_outage_has_not_run(self) -> None:
        self.mesh.signal("store", signal.SIGSTOP)
        rejected = self.send_booking(0, "outage")
        self.mesh.signal("store", signal.SIGCONT)
        self.assertEqual((rejected.status, rejected.outcome), (503, "not-run"))
        self.assertEqual(self.runs("outage"), 0)
        wait_until(lambda: self.send_booking(1, "outage").outcome == "ran")
        wait_until(lambda: self.send_booking(0, "outage").outcome == "ran")
        self.assertEqual(self.runs("outage"), 1)
