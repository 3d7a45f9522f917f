"""Tests of the log format: one event per line, as text or as JSON."""

from __future__ import annotations

import io
import json
import unittest

from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.events import handler_from_settings
from briarslip.process.settings import LogSettings


class EventsTest(unittest.TestCase):
    """The text and JSON formats, and the log level."""

    def log_lines(self, settings: LogSettings) -> list[str]:
        stream = io.StringIO()
        with handler_from_settings(settings, stream).applicationbound():
            emit(Event.VERSION_ACTIVE, version=3)
            emit(Event.STORE_FAILED, reason="a\nb")
        return stream.getvalue().splitlines()

    def test_json_is_one_object_per_line(self) -> None:
        first, second = map(json.loads, self.log_lines(LogSettings("json", "info")))
        self.assertEqual((first["event"], first["version"]), (301, 3))
        self.assertEqual(second["reason"], "a\nb")

    def test_text_is_one_line_per_event(self) -> None:
        first, second = self.log_lines(LogSettings("text", "info"))
        self.assertIn("301 configuration version is active version=3", first)
        self.assertIn("601 request to the store fails", second)

    def test_events_below_the_level_are_not_written(self) -> None:
        self.assertEqual(len(self.log_lines(LogSettings("json", "warning"))), 1)
