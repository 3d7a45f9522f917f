"""Tests of the parser of announcements."""

from __future__ import annotations

import json
import unittest
from typing import Any

from briarslip.process.announcements import parse_announcement


VALID: dict[str, Any] = {
    "service": "holds",
    "version": "1",
    "address": "127.0.0.1:9000",
    "slots": 10,
    "connections": 130,
}


def fields_with_findings(document: Any) -> list[str]:
    """Return the fields that the findings on a document name."""
    body = document if isinstance(document, bytes) else json.dumps(document).encode()
    return sorted(finding.field for finding in parse_announcement(body).unwrap_err())


class ParseAnnouncementTest(unittest.TestCase):
    """Valid announcements, and all findings on invalid ones."""

    def test_valid_announcement(self) -> None:
        announcement = parse_announcement(json.dumps(VALID).encode()).unwrap()
        self.assertEqual("holds", announcement.endpoint.service)
        self.assertFalse(announcement.endpoint.draining)

    def test_all_findings_are_reported_together(self) -> None:
        invalid = {"version": "a b", "slots": 0, "connections": "many", "leaving": True}
        expected = ["address", "connections", "leaving", "service", "slots", "version"]
        self.assertEqual(expected, fields_with_findings(invalid))

    def test_name_too_long_for_a_datagram(self) -> None:
        self.assertEqual(
            ["service"], fields_with_findings({**VALID, "service": "x" * 64})
        )

    def test_body_that_is_not_a_json_object(self) -> None:
        for body in (b"", b"\xff", b"[1]", b"[" * 100_000):
            self.assertEqual([""], fields_with_findings(body))
