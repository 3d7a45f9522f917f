"""Tests of INI documents: locations of fields and of errors."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from briarslip.ini import parse_ini


TEXT = """\
# a comment
[daemon]
availability_zone = klang

[listen]
callers = 127.0.0.1:1
"""


class IniTest(unittest.TestCase):
    """Parsing with line numbers."""

    def test_sections_and_fields_have_line_numbers(self) -> None:
        document = parse_ini(TEXT, "a.ini").unwrap()
        self.assertEqual([s.line for s in document.sections], [2, 5])
        self.assertEqual(document.sections[1].fields["callers"].line, 6)

    def test_errors_name_file_and_line(self) -> None:
        cases = {
            "x = 1\n": "a.ini:1",
            "[a]\nx = 1\nx = 2\n": "a.ini:3",
            "[a]\n[a]\n": "a.ini:2",
            "[a]\nnothing\n": "a.ini:2",
        }
        for text, place in cases.items():
            findings = parse_ini(text, "a.ini").unwrap_err()
            self.assertTrue(str(findings[0]).startswith(place), (text, findings))

    @settings(derandomize=True, max_examples=300)
    @given(st.text(alphabet="[]=#;:ab \n\t\x00é%$", max_size=60))
    def test_any_text_is_a_document_or_findings(self, text: str) -> None:
        result = parse_ini(text, "a.ini")
        if result.is_err():
            self.assertTrue(all(str(finding) for finding in result.unwrap_err()))
