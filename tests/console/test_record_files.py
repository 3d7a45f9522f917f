"""Tests of the reading of record files."""

from __future__ import annotations

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from briarslip.console.record_files import read_files
from briarslip.console.runtime import EXIT_BAD_INPUT


class ReadFilesTest(unittest.TestCase):
    """Every fault is a finding with its file."""

    def test_a_file_that_is_no_text_is_a_finding(self) -> None:
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        latin, absent = directory / "latin.ini", directory / "absent.ini"
        latin.write_bytes("[service café]\n".encode("latin-1"))
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors), self.assertRaises(SystemExit) as end:
            read_files([latin, absent])
        self.assertEqual(end.exception.code, EXIT_BAD_INPUT)
        for path in (latin, absent):
            self.assertIn(str(path), errors.getvalue())
