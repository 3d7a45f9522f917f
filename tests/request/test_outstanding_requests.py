"""Tests of the limit on outstanding requests."""

from __future__ import annotations

import unittest

from briarslip.request.outstanding_requests import MAX_BULK_REQUESTS
from briarslip.request.outstanding_requests import MAX_URGENT_REQUESTS
from briarslip.request.outstanding_requests import OutstandingRequests


class OutstandingTest(unittest.TestCase):
    """Limits per service and per priority."""

    def add_until_rejected(
        self, outstanding: OutstandingRequests, service: str, urgent: bool
    ) -> int:
        """Add requests of a service until one is rejected; return their number."""
        added = 0
        while outstanding.pool(urgent).try_add(service):
            added += 1
        return added

    def test_slow_service_leaves_room_for_others(self) -> None:
        outstanding = OutstandingRequests()
        self.assertEqual(
            self.add_until_rejected(outstanding, "slow", True), MAX_URGENT_REQUESTS // 2
        )
        self.assertGreater(self.add_until_rejected(outstanding, "other", True), 0)

    def test_bulk_requests_do_not_reduce_the_urgent_limit(self) -> None:
        outstanding = OutstandingRequests()
        added = sum(
            self.add_until_rejected(outstanding, f"s{n}", False) for n in range(190)
        )
        self.assertLessEqual(added, MAX_BULK_REQUESTS)
        self.assertEqual(
            self.add_until_rejected(outstanding, "s0", True), MAX_URGENT_REQUESTS // 2
        )

    def test_removed_requests_free_their_places(self) -> None:
        outstanding = OutstandingRequests()
        added = self.add_until_rejected(outstanding, "s", True)
        for _ in range(added):
            outstanding.pool(True).remove("s")
        self.assertEqual(outstanding.total, 0)
        self.assertEqual(self.add_until_rejected(outstanding, "s", True), added)
