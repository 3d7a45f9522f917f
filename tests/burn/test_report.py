"""Tests of the burn report, its text table and its HTML page."""

from __future__ import annotations

import unittest
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from html.parser import HTMLParser
from typing import Any

from briarslip.address import Address
from briarslip.burn.html_page import render_page
from briarslip.burn.report import merge_answers
from briarslip.burn.text_table import render_table
from briarslip.process.service_levels import WINDOWS_SECONDS
from briarslip.process.service_levels import ServiceLevels
from briarslip.request.attempt_result import AttemptResult
from briarslip.request.outcome import Outcome
from briarslip.version.record import Objective
from standins.virtual_time import VirtualTime


OBJECTIVE = Objective("<holds>", "holds", "", 0.9, timedelta(0))
DAY_SECONDS = 86_400


def answer(peer: str, calls: int, bad: int, uptime: float) -> dict[str, Any]:
    """Return the answer of a daemon that has counted some calls."""
    time = VirtualTime()
    levels = ServiceLevels(time)
    time.advance(uptime)
    server = Address("10.0.0.1", 1)
    for number in range(calls):
        result = AttemptResult(
            "holds", "1", "create", server, Outcome.RAN, number < bad, 0.01
        )
        levels.record(result, {"h": OBJECTIVE})
    return {"peer": peer, **levels.report()}


class PageReader(HTMLParser):
    """Records the tags of a page and the URLs that they load."""

    def __init__(self) -> None:
        super().__init__()
        self.tags: list[str] = []
        self.loaded_urls: list[str] = []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        """Record a tag and its URLs."""
        self.tags.append(tag)
        self.loaded_urls.extend(v or "" for k, v in attrs if k in ("src", "href"))


class ReportTest(unittest.TestCase):
    """Report of two daemons, one recently started, and a third that does not answer."""

    def setUp(self) -> None:
        answers = (
            answer("10.0.0.1:1", 100, 5, 4 * DAY_SECONDS),
            answer("10.0.0.2:1", 100, 25, 600),
        )
        self.report = merge_answers(answers, ("10.0.0.3:1",), WINDOWS_SECONDS[-1])

    def test_burn_rate_and_budget(self) -> None:
        (level,) = self.report.levels
        self.assertEqual([w.calls for w in level.windows], [200] * 4)
        self.assertAlmostEqual(level.windows[0].burn_rate or 0, 1.5)
        self.assertAlmostEqual(level.budget_left or 0, -0.5)
        self.assertAlmostEqual(level.latencies_ms[-1], 10, delta=1)

    def test_table_lists_daemons_with_missing_counts(self) -> None:
        text = render_table(self.report)
        self.assertIn("daemon 10.0.0.3:1 does not answer", text)
        self.assertIn("daemon 10.0.0.2:1 started 10 min ago", text)
        self.assertNotIn("daemon 10.0.0.1:1", text)
        self.assertIn("-50.0%", text)

    def test_page_is_self_contained(self) -> None:
        text = render_page(self.report, datetime(2026, 1, 1, tzinfo=UTC))
        reader = PageReader()
        reader.feed(text)
        self.assertEqual(reader.loaded_urls, [])
        self.assertNotIn("script", reader.tags)
        self.assertIn("svg", reader.tags)
        self.assertIn("&lt;holds&gt;", text)
        self.assertIn("10.0.0.3:1 does not answer", text)

    def test_table_says_that_no_daemon_answered(self) -> None:
        report = merge_answers((), ("10.0.0.3:1",), WINDOWS_SECONDS[-1])
        self.assertIn("no daemon answered", render_table(report))
