"""The reference pages name what the code has, and nothing else."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from briarslip.console import runtime
from briarslip.process.events import Event
from briarslip.process.settings import SECTIONS
from briarslip.version.record import RECORD_SCHEMAS


DOCS = Path(__file__).resolve().parents[2] / "docs"


def rows(page: str) -> list[list[str]]:
    """Return the cells of every table row of a page."""
    lines = (DOCS / page).read_text(encoding="utf-8").splitlines()
    return [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in lines
        if line.startswith("|")
    ]


def code_names(text: str) -> set[str]:
    """Return what stands in a cell as code."""
    return set(re.findall(r"`([^`]+)`", text))


class ReferenceTest(unittest.TestCase):
    """Each table against its source."""

    def test_events(self) -> None:
        listed = [tuple(row[:3]) for row in rows("EVENTS.md") if row[0].isdigit()]
        coded = [(str(e.number), e.level.name.lower(), e.text) for e in Event]
        self.assertEqual(listed, sorted(coded))

    def test_settings(self) -> None:
        listed = {
            (next(iter(code_names(row[0]))), next(iter(code_names(row[1]))))
            for row in rows("operators/settings.md")
            if row[0].startswith("`")
        }
        coded = {
            (section, spec.name)
            for section, (_, specs) in SECTIONS.items()
            for spec in specs
        }
        self.assertEqual(listed, coded)

    def test_record_fields(self) -> None:
        listed = {
            (*row[0].split(), next(iter(code_names(row[1]))))
            for row in rows("operators/records.md")
            if len(row) > 1 and row[1].startswith("`")
        }
        coded = {
            (kind, str(schema), spec.name)
            for (kind, schema), kind_spec in RECORD_SCHEMAS.items()
            for spec in kind_spec.fields
        }
        self.assertEqual(listed, coded)

    def test_exit_codes(self) -> None:
        listed = {row[0] for row in rows("operators/commands.md") if row[0].isdigit()}
        coded = {
            str(value) for name, value in vars(runtime).items() if name[:5] == "EXIT_"
        }
        self.assertEqual(listed, coded | {"0"})
