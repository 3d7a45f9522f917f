"""Tests of ``briarslip trace``: collecting the log lines of one request."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner

from briarslip.console.application import application


def line(time: str, request: str, text: str) -> str:
    """Return a JSON log line."""
    return json.dumps({"time": time, "event": 402, "text": text, "request": request})


class TraceTest(unittest.TestCase):
    """Lines of several logs are sorted; those of other requests are left out."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.one = Path(directory.name) / "one.log"
        self.two = Path(directory.name) / "two.log"
        lines = (line("2", "abc", "second"), line("3", "abcd", "other"), "abc {broken")
        self.one.write_text("\n".join(lines))
        self.two.write_text(f"   1.5 sidecar-2 {line('1', 'abc', 'first')}\n")

    def trace(self, request: str) -> tuple[int, list[str]]:
        """Run the command; return its exit code and lines."""
        arguments = ["trace", request, str(self.one), str(self.two)]
        result = CliRunner().invoke(application, arguments)
        return result.exit_code, result.output.splitlines()

    def test_lines_are_sorted_and_show_their_source(self) -> None:
        code, lines = self.trace("abc")
        self.assertEqual((0, 2), (code, len(lines)))
        self.assertIn("sidecar-2", lines[0])
        self.assertIn("first", lines[0])
        self.assertIn("one.log", lines[1])

    def test_unknown_request_gives_status_1(self) -> None:
        self.assertEqual((1, []), self.trace("nobody"))


if __name__ == "__main__":
    unittest.main()
