"""Tests of a configuration that operators keep whole in the store."""

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


if TYPE_CHECKING:
    from collections.abc import Mapping

    from result import Result

    from briarslip.process.store.client import KeyValue


KEY = "given/config"


def read(
    items: Mapping[str, KeyValue],
) -> Result[Snapshot | None, tuple[Finding, ...]]:
    """Read items; the word "bad" can't be read."""
    item = items.get(KEY)
    if item is None:
        return Ok(None)
    if item.value == b"bad":
        return Err((Finding(KEY, 0, "", "", "is bad"),))
    return Ok(Snapshot(max(i.mod_revision for i in items.values()), {}, {}))


class StoredConfigurationTest(unittest.TestCase):
    """Every change arrives, whatever becomes of the watch."""

    def setUp(self) -> None:
        self.world = SimulatedStore(history_limit=5)
        self.versions: list[int] = []
        self.source = StoredConfiguration(
            self.world.clock,
            random.Random(1),
            self.world.client,
            "given/",
            read,
            lambda snapshot: self.versions.append(snapshot.version),
        )

    def write(self, value: bytes, key: str = KEY) -> int:
        """Write a key and return its revision."""
        item = self.world.store.items.get(key)
        revision = item.mod_revision if item else 0
        return self.world.store.swap(key, value, revision).revision

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.world.clock.pump([0.1] * round(seconds * 10))

    def test_what_is_there_and_what_changes(self) -> None:
        first = self.write(b"1")
        self.source.set_active(False)
        self.wait(1)
        second = self.write(b"2")
        third = self.write(b"", "given/order")
        self.wait(1)
        self.assertEqual([first, second, third], self.versions)

    def test_nothing_is_told_before_the_first_one(self) -> None:
        self.source.set_active(False)
        self.wait(1)
        self.assertEqual([], self.versions)
        revision = self.write(b"1")
        self.wait(1)
        self.assertEqual([revision], self.versions)

    def test_what_cannot_be_read_is_passed_over(self) -> None:
        self.write(b"1")
        self.source.set_active(False)
        self.wait(1)
        self.write(b"bad")
        self.wait(1)
        last = self.write(b"3")
        self.wait(1)
        self.assertEqual(last, self.versions[-1])
        self.assertEqual(2, len(self.versions))

    def test_start_during_an_outage_and_dropped_history(self) -> None:
        self.world.store.outage = "close"
        self.source.set_active(True)
        self.wait(3)
        self.assertEqual([], self.versions)
        self.write(b"1")
        self.world.store.outage = ""
        self.wait(6)
        self.assertEqual(1, len(self.versions))
        self.world.store.outage = "close"
        self.wait(1)
        for number in range(9):
            last = self.write(b"%d" % number)
        self.world.store.outage = ""
        self.wait(8)
        self.assertEqual(last, self.versions[-1])

    def test_changes_in_quick_succession_come_together(self) -> None:
        # The pattern of an operator's script: a change each 0.2 s for 5 s.
        self.world.store.history_limit = 100
        self.write(b"0")
        self.source.set_active(False)
        self.wait(1)
        for number in range(25):
            last = self.write(b"%d" % number)
            self.wait(0.2)
        # The first one comes at once, the last one within a second.
        self.wait(1)
        self.assertEqual(last, self.versions[-1])


if __name__ == "__main__":
    unittest.main()
