"""Tests of the daemon program: settings, sockets and an early stop."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from standins.mesh import DAEMON_SETTINGS
from standins.mesh import free_address


TIMEOUT_SECONDS = 30


def settings(**changes: str) -> str:
    """Return valid settings with some values changed."""
    addresses = ("callers", "peers", "admin", "announcements", "platform")
    values = {name: free_address() for name in addresses}
    values |= {"zone": "klang", "region": "peninsula", "seeds": ""} | changes
    return DAEMON_SETTINGS.format(**values)


class DaemonProgramTest(unittest.TestCase):
    """The daemon program, run as a process."""

    def setUp(self) -> None:
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)
        self.path = Path(self.directory.name) / "daemon.ini"

    def start(self, *options: str) -> subprocess.Popen[str]:
        command = [sys.executable, "-m", "briarslip.console.daemon", str(self.path)]
        process = subprocess.Popen(
            [*command, *options],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.kill)
        return process

    def test_check_reports_every_finding_and_starts_nothing(self) -> None:
        self.path.write_text(settings(zone="a b", admin="localhost:1", seeds="x"))
        process = self.start("--check")
        _, errors = process.communicate(timeout=TIMEOUT_SECONDS)
        self.assertEqual(process.returncode, 2)
        self.assertEqual(len(errors.splitlines()), 3, errors)
        self.path.write_text(settings())
        process = self.start("--check")
        process.communicate(timeout=TIMEOUT_SECONDS)
        self.assertEqual(process.returncode, 0)

    def test_address_in_use_is_reported_without_traceback(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            self.path.write_text(settings(admin=f"127.0.0.1:{port}"))
            process = self.start()
            _, errors = process.communicate(timeout=TIMEOUT_SECONDS)
        self.assertEqual(process.returncode, 1, errors)
        self.assertIn(str(port), errors)
        self.assertNotIn("Traceback", errors)

    def test_stop_before_listening_exits_with_status_0(self) -> None:
        os.mkfifo(self.path)
        process = self.start()
        # Opening the FIFO blocks until the daemon opens it to read its settings.
        with self.path.open("w"):
            process.send_signal(signal.SIGTERM)
            process.communicate(timeout=TIMEOUT_SECONDS)
        self.assertEqual(process.returncode, 0)

    def test_sighup_checks_the_settings_and_keeps_running(self) -> None:
        self.path.write_text(settings())
        process = self.start()
        assert process.stdout is not None
        self.assertIn(" 101 ", process.stdout.readline())
        for text, event in (("[", " 105 "), (settings(zone="johor"), " 104 ")):
            self.path.write_text(text)
            process.send_signal(signal.SIGHUP)
            line = ""
            while " 104 " not in line and " 105 " not in line:
                line = process.stdout.readline()
            self.assertIn(event, line)
        self.assertIn("daemon", line)
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=TIMEOUT_SECONDS)
        self.assertEqual(process.returncode, 0)
