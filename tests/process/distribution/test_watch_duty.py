"""Tests of the decision which daemons watch the store, and of its consequences.

Each daemon of the fleets can read the configuration itself, as on the users'
platform.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from typing import Any

from result import Ok

from bench.fleet import Fleet
from briarslip.process.distribution.stored_configuration import StoredConfiguration
from briarslip.process.distribution.watch_duty import MAX_WATCHING_ZONE_MEMBERS
from briarslip.process.distribution.watch_duty import RELAY_SILENCE_SECONDS
from briarslip.process.distribution.watch_duty import RELAY_TRUST_SECONDS
from briarslip.process.distribution.watch_duty import WatchDuty
from briarslip.version.snapshot import Snapshot


if TYPE_CHECKING:
    from collections.abc import Mapping

    from bench.fleet_daemon import FleetDaemon
    from briarslip.process.store.client import KeyValue


KEY = "given/config"
ZONES = {"klang": 40, "penang": 12, "johor": 12}
# Time in which a change has to be in force on the smallest of the users' sites.
CONVERGE_SECONDS = 2.0
SETTLING_SECONDS = 14.0


def make_source(
    reactor: Any, rng: Any, store: Any, on_snapshot: Any
) -> StoredConfiguration:
    """Return a source whose snapshot has the revision of the newest item."""

    def parse_items(items: Mapping[str, KeyValue]) -> Ok[Snapshot | None]:
        if not items:
            return Ok(None)
        version = max(item.mod_revision for item in items.values())
        return Ok(Snapshot.from_records(version, {}))

    return StoredConfiguration(reactor, rng, store, "given/", parse_items, on_snapshot)


class WatchDutyTest(unittest.TestCase):
    """Who watches, depending on the relays that are heard."""

    def test_only_relays_watch_a_large_zone_while_they_are_heard(self) -> None:
        duty = WatchDuty()
        self.assertTrue(duty.must_watch(False, 40, 0.0))
        for tick in range(20):
            duty.record_relay(tick * 0.5)
        self.assertFalse(duty.must_watch(False, 40, 9.5))
        self.assertTrue(duty.must_watch(True, 40, 9.5))
        self.assertTrue(duty.must_watch(False, MAX_WATCHING_ZONE_MEMBERS, 9.5))

    def test_silence_starts_a_watch_that_lasts(self) -> None:
        duty = WatchDuty()
        for tick in range(20):
            duty.record_relay(tick * 0.5)
        silent_at = 9.5 + RELAY_SILENCE_SECONDS + 0.01
        self.assertTrue(duty.must_watch(False, 40, silent_at))
        duty.record_relay(silent_at)
        now = silent_at
        while now < silent_at + RELAY_TRUST_SECONDS - 0.1:
            self.assertTrue(duty.must_watch(False, 40, now))
            now += 0.5
            duty.record_relay(now)
        self.assertFalse(duty.must_watch(False, 40, silent_at + RELAY_TRUST_SECONDS))


class FleetTest(unittest.TestCase):
    """Changes reach every daemon in time, with few calls to the store."""

    def setUp(self) -> None:
        self.fleet = Fleet(1, make_source)
        for zone, size in ZONES.items():
            self.fleet.add_zone(zone, size)
        self.write()
        self.fleet.run(SETTLING_SECONDS)
        self.assert_in_force(0.0)

    def write(self) -> int:
        """Write a new configuration; return its version."""
        item = self.fleet.store.items.get(KEY)
        revision = item.mod_revision if item else 0
        self.version = self.fleet.store.swap(KEY, b"x", revision).revision
        return self.version

    def assert_in_force(self, limit_seconds: float) -> None:
        """Check that all running daemons run the newest version within a limit."""

        def is_in_force() -> bool:
            versions = (d.distribution.snapshot.version for d in self.fleet.running)
            return min(versions) >= self.version

        took = self.fleet.run_until(is_in_force, CONVERGE_SECONDS * 2, 0.05)
        self.assertLessEqual(took, limit_seconds)

    def relays(self) -> list[FleetDaemon]:
        """Return the daemons that act as relays."""
        return [d for d in self.fleet.running if d.distribution.is_relay]

    def calls(self) -> int:
        """Return the number of calls to the store so far."""
        return sum(self.fleet.store.call_counts.values())

    def test_calls_do_not_grow_with_the_fleet(self) -> None:
        self.assertEqual(2 * len(ZONES), len(self.relays()))
        self.assertEqual(2 * len(ZONES), self.fleet.store.waiting_watches)
        before = self.calls()
        for _ in range(5):
            self.write()
            self.assert_in_force(CONVERGE_SECONDS)
            self.fleet.run(4.0)
        self.assertLessEqual(self.calls() - before, 5 * 2 * 2 * len(ZONES))

    def test_all_relays_are_killed_just_before_a_change(self) -> None:
        for daemon in self.relays():
            self.fleet.kill(daemon)
        self.write()
        self.assert_in_force(CONVERGE_SECONDS)

    def test_all_relays_are_paused_just_before_a_change(self) -> None:
        relays = self.relays()
        for daemon in relays:
            self.fleet.pause(daemon)
        self.write()
        self.assert_in_force(CONVERGE_SECONDS)
        for daemon in relays:
            self.fleet.resume(daemon)
        self.assert_in_force(CONVERGE_SECONDS)

    def test_half_of_the_fleet_is_killed_just_before_a_change(self) -> None:
        for daemon in list(self.fleet.running)[::2]:
            self.fleet.kill(daemon)
        self.write()
        self.assert_in_force(CONVERGE_SECONDS)

    def test_relays_of_a_zone_can_not_reach_the_store(self) -> None:
        for daemon in self.relays():
            if daemon.zone == "penang":
                daemon.store_client.close_watches(False)
                self.fleet.store_partitions.add("penang")
        self.write()
        self.assert_in_force(CONVERGE_SECONDS)


if __name__ == "__main__":
    unittest.main()
