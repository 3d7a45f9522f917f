"""Announcements: good ones, and all findings on bad ones."""

from __future__ import annotations

import json
import unittest
from typing import Any

from briarslip.process.announcements import parse_announcement


GOOD: dict[str, Any] = {
    "service": "holds",
    "version": "1",
    "address": "127.0.0.1:9000",
    "slots": 10,
    "connections": 130,
}


def findings(document: Any) -> list[str]:
    """Return the fields that findings name."""
    body = document if isinstance(document, bytes) else json.dumps(document).encode()
    return sorted(finding.field for finding in parse_announcement(body).unwrap_err())


class ParseAnnouncementTest(unittest.TestCase):
    """What is read and what is refused."""

    def test_good_announcement(self) -> None:
        read = parse_announcement(json.dumps(GOOD).encode()).unwrap()
        self.assertEqual("holds", read.endpoint.service)
        self.assertFalse(read.endpoint.draining)

    def test_all_faults_are_reported_together(self) -> None:
        bad = {"version": "a b", "slots": 0, "connections": "many", "leaving": True}
        expected = ["address", "connections", "leaving", "service", "slots", "version"]
        self.assertEqual(expected, findings(bad))

    def test_name_too_long_for_a_datagram(self) -> None:
        self.assertEqual(["service"], findings({**GOOD, "service": "x" * 64}))

    def test_what_is_not_a_json_object(self) -> None:
        for body in (b"", b"\xff", b"[1]", b"[" * 100_000):
            self.assertEqual([""], findings(body))
