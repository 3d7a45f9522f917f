"""Tests of the decision when a heartbeat is sent on a peer link."""

from __future__ import annotations

import unittest
from dataclasses import replace

from briarslip.connection.heartbeat import MAX_PING_AFTER_SECONDS
from briarslip.connection.heartbeat import PING_AFTER_SECONDS
from briarslip.connection.heartbeat import LinkAction
from briarslip.connection.heartbeat import LinkActivity
from briarslip.connection.heartbeat import next_action
from briarslip.connection.heartbeat import ping_delay


BUSY = LinkActivity(
    received_at=0.0, used_at=0.0, pinged_at=None, has_pending_calls=True
)


class HeartbeatTest(unittest.TestCase):
    """Calls of the usual duration cost no heartbeat; silence is found in time."""

    def test_delay_follows_the_service_time_within_bounds(self) -> None:
        self.assertEqual(PING_AFTER_SECONDS, ping_delay(0.0))
        self.assertEqual(PING_AFTER_SECONDS, ping_delay(0.06))
        self.assertAlmostEqual(0.45, ping_delay(0.3))
        self.assertEqual(MAX_PING_AFTER_SECONDS, ping_delay(9.0))

    def test_call_of_usual_duration_costs_no_heartbeat(self) -> None:
        activity = replace(BUSY, ping_after_seconds=ping_delay(0.3))
        self.assertIs(LinkAction.NOTHING, next_action(activity, 0.3))
        self.assertIs(LinkAction.PING, next_action(activity, 0.46))

    def test_unknown_service_time_keeps_the_short_delay(self) -> None:
        self.assertIs(LinkAction.PING, next_action(BUSY, PING_AFTER_SECONDS))


if __name__ == "__main__":
    unittest.main()
