"""Tests of the bound on calls under way."""

from __future__ import annotations

import unittest

from briarslip.request.outstanding_requests import MAX_BULK
from briarslip.request.outstanding_requests import MAX_URGENT
from briarslip.request.outstanding_requests import OutstandingRequests


class OutstandingTest(unittest.TestCase):
    """Slow services, and bulk beside urgent calls."""

    def fill(self, outstanding: OutstandingRequests, service: str, urgent: bool) -> int:
        """Enter calls of a service until one is refused."""
        entered = 0
        while outstanding.pool(urgent).try_add(service):
            entered += 1
        return entered

    def test_slow_service_leaves_room_for_others(self) -> None:
        outstanding = OutstandingRequests()
        self.assertEqual(self.fill(outstanding, "slow", True), MAX_URGENT // 2)
        self.assertGreater(self.fill(outstanding, "other", True), 0)

    def test_bulk_of_any_number_of_services_takes_nothing_of_urgent(self) -> None:
        outstanding = OutstandingRequests()
        entered = sum(self.fill(outstanding, f"s{n}", False) for n in range(190))
        self.assertLessEqual(entered, MAX_BULK)
        self.assertEqual(self.fill(outstanding, "s0", True), MAX_URGENT // 2)

    def test_room_comes_back(self) -> None:
        outstanding = OutstandingRequests()
        entered = self.fill(outstanding, "s", True)
        for _ in range(entered):
            outstanding.pool(True).remove("s")
        self.assertEqual(outstanding.total, 0)
        self.assertEqual(self.fill(outstanding, "s", True), entered)
