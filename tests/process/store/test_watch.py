"""Tests of watches that go on after outages."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

from briarslip.process.store.watch import BACKOFF_CAP_SECONDS
from briarslip.process.store.watch import StoreWatch
from standins.simulated_store import SimulatedStore


if TYPE_CHECKING:
    from briarslip.process.store.client import WatchEvent


class StoreWatchTest(unittest.TestCase):
    """No event is missed, and a dead platform is not pressed."""

    def setUp(self) -> None:
        self.world = SimulatedStore(history_limit=5)
        self.seen: list[int] = []
        self.lost = 0
        self.watch = StoreWatch(
            self.world.clock,
            random.Random(1),
            self.world.client,
            "k/",
            self.take,
            self.lose,
        )

    def take(self, events: tuple[WatchEvent, ...]) -> None:
        self.seen.extend(int(event.value or b"0") for event in events)

    def lose(self) -> None:
        self.lost += 1

    def write(self, *values: int) -> None:
        """Write values, each to a key of its own."""
        for value in values:
            self.world.store.swap(f"k/{value}", str(value).encode(), 0)

    def test_nothing_is_missed_over_an_outage(self) -> None:
        self.write(1)
        self.watch.start(0)
        self.write(2)
        self.world.clock.advance(0.1)
        self.world.store.outage = "close"
        self.world.clock.advance(3.0)
        self.world.store.outage = ""
        self.write(3, 4)
        self.world.clock.pump([0.1] * 50)
        self.assertEqual((self.seen, self.lost), ([2, 3, 4], 0))

    def test_a_compacted_revision_is_told(self) -> None:
        self.watch.start(0)
        self.world.store.outage = "close"
        self.world.clock.advance(0.1)
        self.write(*range(1, 12))
        self.world.store.outage = ""
        self.watch.next_revision = 2
        self.world.clock.pump([0.1] * 50)
        self.assertEqual(self.lost, 1)

    def test_a_dead_platform_is_not_pressed(self) -> None:
        self.world.store.outage = "close"
        self.watch.start(0)
        self.world.clock.pump([0.05] * 20 * 120)
        tries = self.world.store.call_counts["watch"]
        # Full jitter: half the cap between two tries, on average.
        self.assertLess(tries, 1.5 * 120 / (BACKOFF_CAP_SECONDS / 2))
        self.assertGreater(tries, 120 / BACKOFF_CAP_SECONDS)

    def test_a_stopped_watch_stays_stopped(self) -> None:
        self.world.store.outage = "close"
        self.watch.start(0)
        self.world.clock.advance(0.01)
        self.watch.stop()
        self.world.store.outage = ""
        self.world.clock.pump([0.1] * 100)
        self.assertEqual(self.world.store.waiting_watches, 0)
