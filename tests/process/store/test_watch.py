"""Tests of watches that are reopened after outages."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

from briarslip.process.store.watch import RETRY_CAP_SECONDS
from briarslip.process.store.watch import StoreWatch
from standins.simulated_store import SimulatedStore


if TYPE_CHECKING:
    from briarslip.process.store.client import WatchEvent


class StoreWatchTest(unittest.TestCase):
    """No event is missed, and reopening backs off during an outage."""

    def setUp(self) -> None:
        self.world = SimulatedStore(history_limit=5)
        self.received_values: list[int] = []
        self.compaction_count = 0
        self.watch = StoreWatch(
            self.world.clock,
            random.Random(1),
            self.world.client,
            "k/",
            self.on_events,
            self.on_compacted,
        )

    def on_events(self, events: tuple[WatchEvent, ...]) -> None:
        self.received_values.extend(int(event.value or b"0") for event in events)

    def on_compacted(self) -> None:
        self.compaction_count += 1

    def write(self, *values: int) -> None:
        """Write each value to a key of its own."""
        for value in values:
            self.world.store.swap(f"k/{value}", str(value).encode(), 0)

    def test_no_event_is_missed_during_an_outage(self) -> None:
        self.write(1)
        self.watch.start(0)
        self.write(2)
        self.world.clock.advance(0.1)
        self.world.store.outage = "close"
        self.world.clock.advance(3.0)
        self.world.store.outage = ""
        self.write(3, 4)
        self.world.clock.pump([0.1] * 50)
        self.assertEqual((self.received_values, self.compaction_count), ([2, 3, 4], 0))

    def test_compacted_revision_is_reported(self) -> None:
        self.watch.start(0)
        self.world.store.outage = "close"
        self.world.clock.advance(0.1)
        self.write(*range(1, 12))
        self.world.store.outage = ""
        self.watch.next_revision = 2
        self.world.clock.pump([0.1] * 50)
        self.assertEqual(self.compaction_count, 1)

    def test_reopening_backs_off_during_an_outage(self) -> None:
        self.world.store.outage = "close"
        self.watch.start(0)
        self.world.clock.pump([0.05] * 20 * 120)
        attempts = self.world.store.call_counts["watch"]
        # With full jitter, the mean wait between attempts is half the cap.
        self.assertLess(attempts, 1.5 * 120 / (RETRY_CAP_SECONDS / 2))
        self.assertGreater(attempts, 120 / RETRY_CAP_SECONDS)

    def test_stopped_watch_is_not_reopened(self) -> None:
        self.world.store.outage = "close"
        self.watch.start(0)
        self.world.clock.advance(0.01)
        self.watch.stop()
        self.world.store.outage = ""
        self.world.clock.pump([0.1] * 100)
        self.assertEqual(self.world.store.waiting_watches, 0)
