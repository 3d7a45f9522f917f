"""Tests of sharing a route's requests among services."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from dataclasses import replace

from briarslip.request.traffic_split import choose_service
from briarslip.version.record import WeightedService
from tests.request.support import ROUTE


class TrafficSplitTest(unittest.TestCase):
    """Each service gets its weight's share."""

    def test_shares(self) -> None:
        route = replace(
            ROUTE,
            parts=(
                WeightedService("a", 90),
                WeightedService("b", 10),
                WeightedService("c", 0),
            ),
        )
        rng = random.Random(3)
        counts = Counter(choose_service(route, rng.random()) for _ in range(10_000))
        self.assertAlmostEqual(0.9, counts["a"] / 10_000, delta=0.02)
        self.assertAlmostEqual(0.1, counts["b"] / 10_000, delta=0.02)
        self.assertEqual(0, counts["c"])

    def test_ends_of_the_draw(self) -> None:
        route = replace(
            ROUTE,
            parts=(
                WeightedService("z", 0),
                WeightedService("a", 1),
                WeightedService("b", 0),
            ),
        )
        self.assertEqual(
            {"a"}, {choose_service(route, d) for d in (0.0, 0.5, 1 - 1e-16)}
        )

    def test_without_parts_or_weights(self) -> None:
        self.assertEqual("holds", choose_service(ROUTE, 0.5))
        route = replace(ROUTE, parts=(WeightedService("a", 0),))
        self.assertEqual("holds", choose_service(route, 0.5))


if __name__ == "__main__":
    unittest.main()
