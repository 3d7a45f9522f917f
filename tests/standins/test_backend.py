"""Tests of the stand-in backend server."""

from __future__ import annotations

import http.client
import json
import random
import socket
import subprocess
import sys
import threading
import time
import unittest
from http.server import BaseHTTPRequestHandler
from http.server import HTTPServer
from pathlib import Path
from typing import Any

from standins import backend_behavior as behavior
from standins.backend_behavior import Admission
from standins.backend_behavior import Faults
from standins.backend_behavior import Health
from standins.backend_behavior import Load
from standins.backend_behavior import Outcome
from standins.backend_behavior import Settings


ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_S = 10.0


class BehaviorTest(unittest.TestCase):
    """Admission, faults, service time, health and the parsing of their settings."""

    def test_admission(self) -> None:
        settings = Settings(slots=2, queue_limit=1)
        for load, remaining_s, expected in (
            (Load(busy=1), None, Admission.RUN),
            (Load(busy=2), None, Admission.WAIT),
            (Load(busy=2, queued=1), None, Admission.SHED),
            (Load(), 0.0, Admission.SHED),
            (Load(), 0.1, Admission.RUN),
        ):
            with self.subTest(load=load, remaining_s=remaining_s):
                self.assertIs(behavior.admit(settings, load, remaining_s), expected)

    def test_fault_applies(self) -> None:
        faults = Faults(after_s=5, above_load=0.5, route="/a")
        self.assertTrue(behavior.fault_applies(faults, 5, 0.6, "/a/b"))
        self.assertFalse(behavior.fault_applies(faults, 4.9, 0.6, "/a"))
        self.assertFalse(behavior.fault_applies(faults, 5, 0.5, "/a"))
        self.assertFalse(behavior.fault_applies(faults, 5, 0.6, "/b"))
        self.assertTrue(behavior.fault_applies(Faults(), 0, 0, "/"))

    def test_outcomes_are_the_same_for_the_same_seed(self) -> None:
        faults = Faults(failure_share=0.3, freeze=0.2)

        def draw() -> list[Outcome]:
            rng = random.Random(7)
            return [behavior.choose_outcome(faults, rng) for _ in range(1000)]

        outcomes = draw()
        self.assertEqual(outcomes, draw())
        self.assertAlmostEqual(outcomes.count(Outcome.FAIL) / 1000, 0.3, delta=0.05)
        self.assertAlmostEqual(outcomes.count(Outcome.FREEZE) / 1000, 0.2, delta=0.05)

    def test_share_of_one_applies_to_every_request(self) -> None:
        rng = random.Random(1)
        for _ in range(100):
            self.assertIs(
                behavior.choose_outcome(Faults(close_after=1.0), rng),
                Outcome.CLOSE_AFTER,
            )

    def test_service_time(self) -> None:
        settings = Settings(
            service_time_ms=2,
            route_times_ms=(("/a", 10), ("/a/b", 20)),
            cold_factor=3,
            cold_ms=1000,
        )
        self.assertAlmostEqual(behavior.service_time_s(settings, "/", 0, 1), 0.006)
        self.assertAlmostEqual(behavior.service_time_s(settings, "/", 0.5, 1), 0.004)
        self.assertAlmostEqual(behavior.service_time_s(settings, "/", 1, 2), 0.004)
        self.assertAlmostEqual(behavior.service_time_s(settings, "/a/b/c", 1, 1), 0.02)
        self.assertAlmostEqual(behavior.service_time_s(settings, "/a/c", 1, 1), 0.01)

    def test_health(self) -> None:
        frozen_requests = Faults(freeze=1.0)
        always_up = Faults(freeze=1.0, health=Health.UP)
        self.assertTrue(behavior.reported_health(Faults(), Load(), faults_apply=True))
        self.assertFalse(
            behavior.reported_health(frozen_requests, Load(), faults_apply=True)
        )
        self.assertTrue(
            behavior.reported_health(frozen_requests, Load(), faults_apply=False)
        )
        self.assertTrue(behavior.reported_health(always_up, Load(), faults_apply=True))
        draining = Load(draining=True)
        self.assertFalse(
            behavior.reported_health(Faults(), draining, faults_apply=False)
        )

    def test_parse_faults(self) -> None:
        faults = behavior.parse_faults(b'{"freeze": true, "health": "up"}')
        self.assertEqual(faults, Faults(freeze=1.0, health=Health.UP))
        for text in (
            b"[]",
            b"{",
            b'{"bad": 1}',
            b'{"freeze": null}',
            b'{"freeze": 0.6, "truncate": 0.6}',
            b'{"freeze": -1}',
            b'{"health": "fine"}',
        ):
            with self.subTest(text=text), self.assertRaises(ValueError):
                behavior.parse_faults(text)

    def test_parse_deadline(self) -> None:
        self.assertIsNone(behavior.parse_deadline_s(""))
        self.assertEqual(behavior.parse_deadline_s("20"), 0.02)
        for text in ("nan", "inf", "x"):
            with self.subTest(text=text), self.assertRaises(ValueError):
                behavior.parse_deadline_s(text)

    def test_announcements_are_about_one_second_apart(self) -> None:
        rng = random.Random(3)
        delays = {behavior.announce_delay_s(rng) for _ in range(100)}
        self.assertGreater(len(delays), 1)
        self.assertTrue(all(0.8 <= delay <= 1.2 for delay in delays))


class AnnouncementRecorder(BaseHTTPRequestHandler):
    """Records the announcements sent to it, each with its path."""

    announcements: list[tuple[str, dict[str, Any]]]

    def do_PUT(self) -> None:
        """Record one announcement."""
        length = int(self.headers["Content-Length"])
        self.announcements.append((self.path, json.loads(self.rfile.read(length))))
        self.send_response(204)
        self.end_headers()

    def log_message(self, *arguments: object) -> None:
        """Write no access log."""


class ServerTest(unittest.TestCase):
    """The backend server as a separate process."""

    def setUp(self) -> None:
        AnnouncementRecorder.announcements = []
        self.daemon = HTTPServer(("127.0.0.1", 0), AnnouncementRecorder)
        self.addCleanup(self.daemon.server_close)
        thread = threading.Thread(target=self.daemon.serve_forever, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.daemon.shutdown)
        command = "--slots 1 --queue-limit 1 --connections 4 --drain-s 0.2"
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "standins.backend",
                *command.split(),
                "--route-time=/slow=400",
                f"--daemon=127.0.0.1:{self.daemon.server_port}",
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(self.stop)
        assert self.process.stdout is not None
        self.port = int(self.process.stdout.readline().split()[1])

    def stop(self) -> None:
        """Kill the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(TIMEOUT_S)
        assert self.process.stdout is not None
        self.process.stdout.close()

    def connect(self) -> http.client.HTTPConnection:
        """Connect to the server; the connection is closed after the test."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.port, timeout=TIMEOUT_S
        )
        self.addCleanup(connection.close)
        return connection

    def get(self, connection: http.client.HTTPConnection, path: str) -> Any:
        """Return the JSON document at a path."""
        connection.request("GET", path)
        return json.loads(connection.getresponse().read())

    def send_request(self, path: str, name: str, **headers: str) -> Any:
        """Send a request on a new connection, without waiting for the answer."""
        connection = self.connect()
        connection.request("GET", path, headers={"Request-Id": name, **headers})
        return connection

    def wait_for_load(self, control: http.client.HTTPConnection, **load: int) -> None:
        """Wait until the server reports this load."""
        deadline_s = time.monotonic() + TIMEOUT_S
        while not load.items() <= self.get(control, "/load").items():
            self.assertLess(time.monotonic(), deadline_s, f"load {load} not reached")

    def test_answer_and_drain(self) -> None:
        connection = self.connect()
        connection.request("POST", "/x?size=500", b"abc", {"Request-Id": "one"})
        body = connection.getresponse().read()
        self.assertEqual(len(body), 500)
        answer = json.loads(body)
        self.assertEqual((answer["id"], answer["length"]), ("one", 3))
        self.assertEqual(answer["port"], self.port)
        slow = self.send_request("/slow", "two")
        self.wait_for_load(connection, busy=1)
        self.process.terminate()
        self.assertEqual(slow.getresponse().status, 200)
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)
        path, announced = AnnouncementRecorder.announcements[0]
        self.assertEqual(path, "/v1/announcement")
        self.assertEqual(announced["address"], f"127.0.0.1:{self.port}")
        self.assertFalse(announced["draining"])
        self.assertTrue(AnnouncementRecorder.announcements[-1][1]["draining"])

    def test_queue_shed_cancel_and_deadline(self) -> None:
        control = self.connect()
        running = self.send_request("/slow", "running")
        self.wait_for_load(control, busy=1)
        cancelled = self.send_request("/x", "cancelled")
        self.wait_for_load(control, queued=1)
        shed = self.send_request("/x", "shed").getresponse()
        self.assertEqual(
            (shed.status, shed.headers["Briarslip-Not-Run"]), (503, "shed")
        )
        cancelled.close()
        self.wait_for_load(control, queued=0)
        late = self.send_request("/x", "late", **{"Briarslip-Deadline-Ms": "20"})
        answer = late.getresponse()
        self.assertEqual(answer.headers["Briarslip-Not-Run"], "shed")
        self.assertEqual(running.getresponse().status, 200)
        counts = self.get(control, "/standin/requests?ids=1")
        self.assertEqual(counts, {"running": 1})
        record = self.get(control, "/standin/requests")[0]
        self.assertGreaterEqual(record["finished"] - record["started"], 0.35)

    def put_faults(self, control: http.client.HTTPConnection, **faults: object) -> int:
        """Set the faults and return the status."""
        control.request("PUT", "/standin/faults", json.dumps(faults))
        response = control.getresponse()
        response.read()
        return response.status

    def test_faults(self) -> None:
        control = self.connect()
        self.assertEqual(self.put_faults(control, bad=1), 400)
        self.assertEqual(self.put_faults(control, failure_share=1), 200)
        self.assertEqual(self.send_request("/x", "fail").getresponse().status, 500)
        self.put_faults(control, close_before=1)
        with self.assertRaises(http.client.RemoteDisconnected):
            self.send_request("/x", "before").getresponse()
        self.put_faults(control, close_after=1)
        with self.assertRaises(http.client.RemoteDisconnected):
            self.send_request("/x", "after").getresponse()
        self.put_faults(control, truncate=1)
        with self.assertRaises(http.client.IncompleteRead):
            self.send_request("/x", "cut").getresponse().read()
        counts = self.get(control, "/standin/requests?ids=1")
        self.assertEqual(counts, {"fail": 1, "after": 1, "cut": 1})
        self.put_faults(control, freeze=1, route="/ice")
        frozen = self.send_request("/ice", "frozen")
        frozen.sock.settimeout(0.2)
        with self.assertRaises(TimeoutError):
            frozen.getresponse()

    def test_connections_beyond_the_limit_are_closed(self) -> None:
        for _ in range(4):
            self.assertTrue(self.get(self.connect(), "/healthz")["healthy"])
        with socket.create_connection(("127.0.0.1", self.port), TIMEOUT_S) as extra:
            extra.settimeout(TIMEOUT_S)
            self.assertEqual(extra.recv(1), b"")
