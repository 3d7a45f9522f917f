"""The share of a rollout's version over its window."""

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
from briarslip.version.traffic_share import focus
from briarslip.version.traffic_share import progress
from briarslip.version.traffic_share import traffic_share


BEGIN = datetime(2026, 1, 1, tzinfo=UTC)
MINUTE = 60.0
DAY = 86_400.0
SMALL_SHARE = 0.05


def rollout(window: float, small: float = SMALL_SHARE) -> Rollout:
    """Return a rollout whose window begins at ``BEGIN``."""
    span = timedelta(seconds=window)
    return Rollout("r", "s", "2", BEGIN + span, span, small)


def share_after(window: float, seconds: float, started: float = 0.0) -> float:
    """Return the share some seconds into a window."""
    record = rollout(window)
    now = BEGIN + timedelta(seconds=seconds)
    done = progress(record, BEGIN + timedelta(seconds=started), now)
    return traffic_share(record, done, held=False)


class ShareTest(unittest.TestCase):
    """The share is small, then grows, and is whole before the deadline."""

    @settings(derandomize=True, max_examples=200)
    @given(st.floats(MINUTE, DAY), st.floats(0, 1), st.floats(0, 1))
    def test_share_only_grows(self, window: float, one: float, other: float) -> None:
        early, late = sorted((one, other))
        before, after = (
            share_after(window, early * window),
            share_after(window, late * window),
        )
        self.assertLessEqual(before, after + 1e-9)
        if early < 0.5:
            self.assertLessEqual(before, SMALL_SHARE + 1e-9)
        if late >= 0.95:
            self.assertEqual(after, 1.0)

    def test_nothing_before_the_window(self) -> None:
        self.assertEqual(share_after(MINUTE, -1), 0.0)

    def test_seen_late_starts_small_and_is_in_time(self) -> None:
        self.assertLessEqual(share_after(DAY, DAY / 2 + 1, DAY / 2), 0.011)
        self.assertEqual(share_after(DAY, DAY - 1, DAY / 2), 1.0)

    def test_seen_after_the_deadline_still_goes_step_by_step(self) -> None:
        self.assertLessEqual(share_after(MINUTE, 101, 100), SMALL_SHARE)
        self.assertEqual(share_after(MINUTE, 120, 100), 1.0)

    def test_no_small_share_still_ends_whole(self) -> None:
        record = rollout(MINUTE, small=0.0)
        self.assertEqual(traffic_share(record, 0.4, held=False), 0.0)
        self.assertGreater(traffic_share(record, 0.6, held=False), 0.0)
        self.assertEqual(traffic_share(record, 0.95, held=False), 1.0)

    def test_hold_leaves_traffic_to_compare_with(self) -> None:
        self.assertEqual(traffic_share(rollout(MINUTE), 1.0, held=True), 0.5)


class FocusTest(unittest.TestCase):
    """A small share goes to few servers."""

    def test_each_server_carries_at_most_an_old_one_s_load(self) -> None:
        servers = [Address("10.0.0.1", n) for n in range(20)]
        for share, count in ((0.01, 1), (0.05, 1), (0.25, 5), (0.5, 10), (1, 20)):
            self.assertEqual(len(focus(servers, 20, share, 0.6, "r")), count)

    def test_growing_share_keeps_its_servers(self) -> None:
        servers = [Address("10.0.0.1", n) for n in range(8)]
        few, more = focus(servers, 8, 0.2, 0.6, "r"), focus(servers, 8, 0.6, 0.7, "r")
        self.assertEqual(more[: len(few)], few)

    def test_servers_take_turns_while_the_share_is_small(self) -> None:
        servers = [Address("10.0.0.1", n) for n in range(8)]
        seen = {focus(servers, 8, 0.05, n / 100, "r") for n in range(50)}
        self.assertEqual(seen, {(server,) for server in servers})
