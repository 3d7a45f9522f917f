"""Tests of load plans and their arrivals."""

from __future__ import annotations

import statistics
import unittest
from collections import Counter
from dataclasses import replace
from itertools import pairwise

from result import Err

from briarslip.load.plan import LoadPlan
from briarslip.load.schedule import arrivals


TEXT = """\
[run]
seed = 7
rate = 500
arrivals = {arrivals}
warm_up_ms = 1000
measured_ms = 9000
timeout_ms = 2000

[target direct]
address = 127.0.0.1:8000

[target daemon]
address = 127.0.0.1:8001

[request alert]
weight = 3
path = /alerts/1

[request summary]
path = /history?size=100000
method = POST
body_bytes = 20
"""


def plan(arrival_kind: str = "poisson") -> LoadPlan:
    """Return a plan with two targets and two kinds of request."""
    return LoadPlan.from_ini(TEXT.format(arrivals=arrival_kind), "plan.ini").unwrap()


class PlanTest(unittest.TestCase):
    """Parsing a plan."""

    def test_all_findings_are_reported_together(self) -> None:
        text = "[run]\nrate = many\n[target]\n[request a]\nsize = 3\n[other]\n"
        result = LoadPlan.from_ini(text, "plan.ini")
        assert isinstance(result, Err)
        places = {(finding.section, finding.field) for finding in result.err_value}
        self.assertLessEqual(
            {("run", "rate"), ("target", ""), ("request a", "size"), ("other", "")},
            places,
        )


class ScheduleTest(unittest.TestCase):
    """The arrivals of a plan."""

    def test_same_seed_gives_the_same_arrivals(self) -> None:
        first = list(arrivals(plan()))
        self.assertEqual(first, list(arrivals(plan())))
        self.assertNotEqual(first, list(arrivals(replace(plan(), seed=8))))

    def test_poisson_arrivals_have_the_mean_and_spread_of_the_rate(self) -> None:
        times = [arrival.due_seconds for arrival in arrivals(plan())]
        gaps = [following - previous for previous, following in pairwise(times)]
        self.assertAlmostEqual(1 / 500, statistics.mean(gaps), delta=0.0001)
        spread = statistics.pstdev(gaps) / statistics.mean(gaps)
        self.assertAlmostEqual(1.0, spread, delta=0.05)

    def test_even_arrivals_are_evenly_spaced(self) -> None:
        times = [arrival.due_seconds for arrival in arrivals(plan("even"))]
        self.assertAlmostEqual(0.002 * 100, times[99])

    def test_targets_alternate_and_kinds_follow_their_weights(self) -> None:
        found = list(arrivals(plan()))
        self.assertEqual({"direct", "daemon"}, {a.target.name for a in found[:2]})
        targets = Counter(arrival.target.name for arrival in found)
        self.assertLessEqual(abs(targets["direct"] - targets["daemon"]), 1)
        kinds = Counter(arrival.kind.name for arrival in found)
        self.assertAlmostEqual(3.0, kinds["alert"] / kinds["summary"], delta=0.3)

    def test_warm_up_is_not_measured(self) -> None:
        for arrival in arrivals(plan()):
            self.assertEqual(arrival.due_seconds >= 1.0, arrival.is_measured)
