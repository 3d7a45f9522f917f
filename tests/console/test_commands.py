"""Operators' commands as processes, with their exit codes."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from briarslip.console import runtime
from standins.mesh import Mesh


RECORDS = "[service holds]\n\n[route holds]\nservice = holds\npath_prefix = /holds\n"
UNUSED = "127.0.0.1:1"
SECONDS = 60


def briarslip(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run one command."""
    return subprocess.run(
        [sys.executable, "-m", "briarslip.console.application", *arguments],
        capture_output=True,
        text=True,
        timeout=SECONDS,
        check=False,
    )


class CommandsTest(unittest.TestCase):
    """The commands against a small mesh."""

    def test_write_read_and_refuse(self) -> None:
        with tempfile.TemporaryDirectory() as directory, Mesh(Path(directory)) as mesh:
            mesh.start_store()
            mesh.add_nodes(["klang"])
            mesh.start_daemons()
            path = Path(directory) / "holds.ini"
            path.write_text(RECORDS)
            at = ("--platform", mesh.store_address)
            applied = briarslip("apply", str(path), "--wait-s", "20", *at)
            self.assertEqual(applied.returncode, 0, applied.stderr)
            again = briarslip("apply", str(path), *at)
            self.assertEqual(again.stdout, "nothing to change\n")
            found = json.loads(briarslip("get", "route/holds", "--json", *at).stdout)
            self.assertEqual(found[0]["fields"]["service"], "holds")
            text = briarslip("get", "route/holds", *at).stdout
            path.write_text(text)
            self.assertEqual(briarslip("check", str(path)).returncode, 0)
            refused = briarslip("remove", "service/holds", "--wait-s", "20", *at)
            self.assertEqual(refused.returncode, runtime.EXIT_REFUSED)
            self.assertIn("route holds: service", refused.stderr)
            both = ("remove", "route/holds", "service/holds", *at)
            self.assertEqual(briarslip(*both).returncode, runtime.EXIT_FAILED)
            removed = briarslip("remove", "route/holds", "--wait-s", "20", *at)
            self.assertEqual(removed.returncode, 0, removed.stderr)

    def test_no_answer_is_one_clear_line(self) -> None:
        for arguments in (
            ("list", "--platform", UNUSED),
            ("status", "--daemon", UNUSED),
        ):
            done = briarslip(*arguments)
            self.assertEqual(done.returncode, runtime.EXIT_NO_ANSWER)
            self.assertEqual(len(done.stderr.splitlines()), 1, done.stderr)

    def test_check_reports_every_finding(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "bad.ini"
            path.write_text("[service a]\nx = 1\n[route b]\n[other c]\n")
            done = briarslip("check", str(path))
        self.assertEqual(done.returncode, runtime.EXIT_BAD_INPUT)
        self.assertEqual(len(done.stderr.splitlines()), 4, done.stderr)
