"""The merged report, its table and its page."""

from __future__ import annotations

import unittest
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from html.parser import HTMLParser
from typing import Any

from briarslip.address import Address
from briarslip.burn.measurement import merge
from briarslip.burn.page import page
from briarslip.burn.table import table
from briarslip.process.service_levels import WINDOWS_SECONDS
from briarslip.process.service_levels import ServiceLevels
from briarslip.request.attempt_result import AttemptResult
from briarslip.request.outcome import Outcome
from briarslip.version.record import Objective
from standins.virtual_time import VirtualTime


OBJECTIVE = Objective("<holds>", "holds", "", 0.9, timedelta(0))
DAY_SECONDS = 86_400


def answer(peer: str, calls: int, bad: int, uptime: float) -> dict[str, Any]:
    """Return what a daemon answers that counted some calls."""
    time = VirtualTime()
    levels = ServiceLevels(time)
    time.advance(uptime)
    server = Address("10.0.0.1", 1)
    for number in range(calls):
        ended = AttemptResult(
            "holds", "1", "create", server, Outcome.RAN, number < bad, 0.01
        )
        levels.record(ended, {"h": OBJECTIVE})
    return {"peer": peer, **levels.report()}


class PageReader(HTMLParser):
    """Notes the tags of a page and what they load."""

    def __init__(self) -> None:
        super().__init__()
        self.tags: list[str] = []
        self.loads: list[str] = []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        """Note a tag."""
        self.tags.append(tag)
        self.loads.extend(v or "" for k, v in attrs if k in ("src", "href"))


class ReportTest(unittest.TestCase):
    """Figures of two daemons, one of them new, and a third that is silent."""

    def setUp(self) -> None:
        answers = (
            answer("10.0.0.1:1", 100, 5, 4 * DAY_SECONDS),
            answer("10.0.0.2:1", 100, 25, 600),
        )
        self.report = merge(answers, ("10.0.0.3:1",), WINDOWS_SECONDS[-1])

    def test_burn_rate_and_budget(self) -> None:
        (level,) = self.report.levels
        self.assertEqual([w.calls for w in level.windows], [200] * 4)
        self.assertAlmostEqual(level.windows[0].burn_rate or 0, 1.5)
        self.assertAlmostEqual(level.budget_left or 0, -0.5)
        self.assertAlmostEqual(level.latencies_ms[-1], 10, delta=1)

    def test_table_names_what_is_missing(self) -> None:
        text = table(self.report)
        self.assertIn("daemon 10.0.0.3:1 does not answer", text)
        self.assertIn("daemon 10.0.0.2:1 started 10 min ago", text)
        self.assertNotIn("daemon 10.0.0.1:1", text)
        self.assertIn("-50.0%", text)

    def test_page_is_self_contained(self) -> None:
        text = page(self.report, datetime(2026, 1, 1, tzinfo=UTC))
        reader = PageReader()
        reader.feed(text)
        self.assertEqual(reader.loads, [])
        self.assertNotIn("script", reader.tags)
        self.assertIn("svg", reader.tags)
        self.assertIn("&lt;holds&gt;", text)
        self.assertIn("10.0.0.3:1 does not answer", text)

    def test_no_daemon_at_all(self) -> None:
        report = merge((), ("10.0.0.3:1",), WINDOWS_SECONDS[-1])
        self.assertIn("no daemon answered", table(report))
