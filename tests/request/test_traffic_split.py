"""Tests of the split of a route's requests between services."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from dataclasses import replace

from briarslip.request.traffic_split import choose_service
from briarslip.version.record import WeightedService
from tests.request.support import ROUTE


class TrafficSplitTest(unittest.TestCase):
    """Each service gets a share in proportion to its weight."""

    def test_services_get_shares_in_proportion_to_weights(self) -> None:
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

    def test_smallest_and_largest_draw(self) -> None:
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

    def test_route_without_weighted_services_uses_its_own_service(self) -> None:
        self.assertEqual("holds", choose_service(ROUTE, 0.5))
        route = replace(ROUTE, parts=(WeightedService("a", 0),))
        self.assertEqual("holds", choose_service(route, 0.5))


if __name__ == "__main__":
    unittest.main()
