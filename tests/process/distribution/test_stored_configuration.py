"""Tests of a configuration that operators write as a whole to the store."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

from result import Err
from result import Ok

from briarslip.finding import Finding
from briarslip.process.distribution.stored_configuration import StoredConfiguration
from briarslip.version.snapshot import Snapshot
from standins.simulated_store import SimulatedStore
from tests.support.delays import LongestDelays


if TYPE_CHECKING:
    from collections.abc import Mapping

    from result import Result

    from briarslip.process.store.client import KeyValue


KEY = "given/config"
# After this time without a disruption a daemon must have what was written before.
CONTACT_SECONDS = 3.0


def parse_items(
    items: Mapping[str, KeyValue],
) -> Result[Snapshot | None, tuple[Finding, ...]]:
    """Return a snapshot of the items' newest revision; the value "bad" is invalid."""
    item = items.get(KEY)
    if item is None:
        return Ok(None)
    if item.value == b"raises":
        raise OverflowError("a number is too large")
    if item.value == b"bad":
        return Err((Finding(KEY, 0, "", "", "is bad"),))
    return Ok(Snapshot(max(i.mod_revision for i in items.values()), {}, {}))


class StoredConfigurationTest(unittest.TestCase):
    """Every change is received, even if the watch ends."""

    def setUp(self) -> None:
        self.world = SimulatedStore(history_limit=5)
        self.versions: list[int] = []
        self.source = StoredConfiguration(
            self.world.clock,
            random.Random(1),
            self.world.client,
            "given/",
            parse_items,
            lambda snapshot: self.versions.append(snapshot.version),
        )

    def write(self, value: bytes, key: str = KEY) -> int:
        """Write a key and return its revision."""
        item = self.world.store.items.get(key)
        revision = item.mod_revision if item else 0
        return self.world.store.swap(key, value, revision).revision

    def advance(self, seconds: float) -> None:
        """Advance the time."""
        self.world.clock.pump([0.1] * round(seconds * 10))

    def test_initial_value_and_changes(self) -> None:
        first = self.write(b"1")
        self.source.set_active(True)
        self.advance(1)
        second = self.write(b"2")
        third = self.write(b"", "given/order")
        self.advance(1)
        self.assertEqual([first, second, third], self.versions)

    def test_no_snapshot_before_the_first_value(self) -> None:
        self.source.set_active(True)
        self.advance(1)
        self.assertEqual([], self.versions)
        revision = self.write(b"1")
        self.advance(1)
        self.assertEqual([revision], self.versions)

    def test_value_that_raises_an_error_does_not_stop_the_following(self) -> None:
        self.write(b"raises")
        self.source.set_active(True)
        self.advance(1)
        first = self.write(b"1")
        self.advance(1)
        self.write(b"raises")
        self.advance(3)
        last = self.write(b"3")
        self.advance(3)
        self.assertEqual([first, last], self.versions)
        self.assertTrue(self.source.is_in_touch)

    def test_unreadable_value_is_skipped(self) -> None:
        self.write(b"1")
        self.source.set_active(True)
        self.advance(1)
        self.write(b"bad")
        self.advance(1)
        last = self.write(b"3")
        self.advance(1)
        self.assertEqual(last, self.versions[-1])
        self.assertEqual(2, len(self.versions))

    def test_read_after_a_long_outage_waits_for_the_back_off(self) -> None:
        self.source.read_job.rng = LongestDelays()
        self.world.store.outage = "close"
        self.source.set_active(True)
        self.advance(40)
        attempts = self.world.store.call_counts["range"]
        while self.world.store.call_counts["range"] == attempts:
            self.advance(0.1)
        self.world.store.outage = ""
        revision = self.write(b"1")
        self.advance(CONTACT_SECONDS)
        self.assertEqual([revision], self.versions)

    def test_change_after_a_long_outage_waits_for_the_back_off(self) -> None:
        first = self.write(b"1")
        self.source.set_active(True)
        self.advance(1)
        self.source.watch.rng = LongestDelays()
        self.world.store.outage = "close"
        self.advance(40)
        attempts = self.world.store.call_counts["watch"]
        while self.world.store.call_counts["watch"] == attempts:
            self.advance(0.1)
        self.world.store.outage = ""
        second = self.write(b"2")
        self.advance(CONTACT_SECONDS)
        self.assertEqual([first, second], self.versions)

    def test_start_during_an_outage_and_compaction(self) -> None:
        self.world.store.outage = "close"
        self.source.set_active(True)
        self.advance(3)
        self.assertEqual([], self.versions)
        self.write(b"1")
        self.world.store.outage = ""
        self.advance(6)
        self.assertEqual(1, len(self.versions))
        self.world.store.outage = "close"
        self.advance(1)
        for number in range(9):
            last = self.write(b"%d" % number)
        self.world.store.outage = ""
        self.advance(8)
        self.assertEqual(last, self.versions[-1])

    def test_inactive_source_makes_no_calls_and_reads_again_when_active(self) -> None:
        self.write(b"1")
        self.source.set_active(True)
        self.advance(1)
        self.source.set_active(False)
        before = sum(self.world.store.call_counts.values())
        last = self.write(b"2")
        self.advance(30)
        self.assertEqual(before, sum(self.world.store.call_counts.values()))
        self.source.set_active(True)
        self.advance(1)
        self.assertEqual(last, self.versions[-1])

    def test_read_in_progress_when_deactivated_starts_no_watch(self) -> None:
        self.write(b"1")
        self.world.store.delay_ms = 500
        self.source.set_active(True)
        self.advance(0.2)
        self.source.set_active(False)
        self.advance(5)
        self.assertEqual([], self.versions)
        self.assertEqual(0, self.world.store.waiting_watches)

    def test_last_of_many_quick_changes_arrives_within_a_second(self) -> None:
        # An operator's script makes a change every 0.2 s for 5 s.
        self.world.store.history_limit = 100
        self.write(b"0")
        self.source.set_active(True)
        self.advance(1)
        for number in range(25):
            last = self.write(b"%d" % number)
            self.advance(0.2)
        # The last change is received within one second.
        self.advance(1)
        self.assertEqual(last, self.versions[-1])


if __name__ == "__main__":
    unittest.main()
