"""Tests of the reading of record files."""

from __future__ import annotations

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from briarslip.console.record_files import read_record_files
from briarslip.console.runtime import EXIT_INVALID_INPUT


class ReadFilesTest(unittest.TestCase):
    """Every error is reported as a finding that names the file."""

    def test_unreadable_files_are_findings(self) -> None:
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        latin, absent = directory / "latin.ini", directory / "absent.ini"
        latin.write_bytes("[service café]\n".encode("latin-1"))
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors), self.assertRaises(SystemExit) as end:
            read_record_files([latin, absent])
        self.assertEqual(end.exception.code, EXIT_INVALID_INPUT)
        for path in (latin, absent):
            self.assertIn(str(path), errors.getvalue())
