"""Tests of the traffic share of a rollout's version over its window."""

from __future__ import annotations

import unittest
from datetime import UTC
from datetime import datetime
from datetime import timedelta

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from briarslip.address import Address
from briarslip.version.record import Rollout
from briarslip.version.traffic_share import rollout_progress
from briarslip.version.traffic_share import server_subset
from briarslip.version.traffic_share import traffic_share


BEGIN = datetime(2026, 1, 1, tzinfo=UTC)
MINUTE = 60.0
DAY = 86_400.0
SMALL_SHARE = 0.05


def make_rollout(window_seconds: float, small_share: float = SMALL_SHARE) -> Rollout:
    """Return a rollout whose window begins at ``BEGIN``."""
    window = timedelta(seconds=window_seconds)
    return Rollout("r", "s", "2", BEGIN + window, window, small_share)


def share_after(
    window_seconds: float, seconds: float, started_seconds: float = 0.0
) -> float:
    """Return the share ``seconds`` into the window.

    The rollout starts ``started_seconds`` into the window.
    """
    rollout = make_rollout(window_seconds)
    now = BEGIN + timedelta(seconds=seconds)
    progress = rollout_progress(
        rollout, BEGIN + timedelta(seconds=started_seconds), now
    )
    return traffic_share(rollout, progress)


class TrafficShareTest(unittest.TestCase):
    """The share is small at first, then grows, and is full before the deadline."""

    @settings(derandomize=True, max_examples=200)
    @given(st.floats(MINUTE, DAY), st.floats(0, 1), st.floats(0, 1))
    def test_share_only_grows(
        self, window_seconds: float, one: float, other: float
    ) -> None:
        early, late = sorted((one, other))
        before, after = (
            share_after(window_seconds, early * window_seconds),
            share_after(window_seconds, late * window_seconds),
        )
        self.assertLessEqual(before, after + 1e-9)
        if early < 0.5:
            self.assertLessEqual(before, SMALL_SHARE + 1e-9)
        if late >= 0.95:
            self.assertEqual(after, 1.0)

    def test_no_share_before_the_window(self) -> None:
        self.assertEqual(share_after(MINUTE, -1), 0.0)

    def test_late_start_begins_small_and_meets_the_deadline(self) -> None:
        self.assertLessEqual(share_after(DAY, DAY / 2 + 1, DAY / 2), 0.011)
        self.assertEqual(share_after(DAY, DAY - 1, DAY / 2), 1.0)

    def test_start_after_the_deadline_still_ramps_up(self) -> None:
        self.assertLessEqual(share_after(MINUTE, 101, 100), SMALL_SHARE)
        self.assertEqual(share_after(MINUTE, 120, 100), 1.0)

    def test_without_small_share_the_share_still_becomes_full(self) -> None:
        rollout = make_rollout(MINUTE, small_share=0.0)
        self.assertEqual(traffic_share(rollout, 0.4), 0.0)
        self.assertGreater(traffic_share(rollout, 0.6), 0.0)
        self.assertEqual(traffic_share(rollout, 0.95), 1.0)

    def test_hold_leaves_traffic_to_the_old_version(self) -> None:
        self.assertEqual(
            traffic_share(make_rollout(MINUTE), 1.0, held_progress=1.0), 0.5
        )

    def test_share_does_not_rise_during_a_hold(self) -> None:
        rollout = make_rollout(MINUTE)
        at_hold = traffic_share(rollout, 0.6)
        self.assertEqual(at_hold, traffic_share(rollout, 0.8, held_progress=0.6))
        self.assertGreater(traffic_share(rollout, 0.8), at_hold)


class ServerSubsetTest(unittest.TestCase):
    """A small share goes to few servers."""

    def test_each_server_gets_at_most_the_load_of_an_old_server(self) -> None:
        servers = [Address("10.0.0.1", n) for n in range(20)]
        for share, count in ((0.01, 1), (0.05, 1), (0.25, 5), (0.5, 10), (1, 20)):
            self.assertEqual(len(server_subset(servers, 20, share, 0.6, "r")), count)

    def test_growing_share_keeps_its_servers(self) -> None:
        servers = [Address("10.0.0.1", n) for n in range(8)]
        small, large = (
            server_subset(servers, 8, 0.2, 0.6, "r"),
            server_subset(servers, 8, 0.6, 0.7, "r"),
        )
        self.assertEqual(large[: len(small)], small)

    def test_subset_rotates_while_the_share_is_small(self) -> None:
        servers = [Address("10.0.0.1", n) for n in range(8)]
        seen = {server_subset(servers, 8, 0.05, n / 100, "r") for n in range(50)}
        self.assertEqual(seen, {(server,) for server in servers})
