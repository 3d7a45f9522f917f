"""Tests of a fleet whose store was restored from a copy, in virtual time."""

from __future__ import annotations

import json
import unittest
from typing import Any

from bench.fleet import Fleet
from bench.fleet_daemon import FleetDaemon
from bench.fleet_traffic import Traffic
from briarslip.address import Address
from briarslip.platform.configuration import CONFIGURATION_KEY
from briarslip.platform.configuration import OPERATOR_PREFIX
from briarslip.platform.configuration import ConfigurationReader
from briarslip.platform.configuration import snapshot_version
from briarslip.process.distribution.stored_configuration import StoredConfiguration
from tests.platform.support import configuration


ZONES = {"klang": 4, "penang": 12}
SETTLING_SECONDS = 14.0
# Two rounds of heartbeats, in which a daemon that starts hears its peers.
HEARD_SECONDS = 1.0
CONVERGE_SECONDS = 2.0


def make_source(
    reactor: Any, rng: Any, store: Any, on_snapshot: Any
) -> StoredConfiguration:
    """Return a daemon's own source of the operators' configuration."""
    return StoredConfiguration(
        reactor, rng, store, OPERATOR_PREFIX, ConfigurationReader(), on_snapshot
    )


class RestoredFleetTest(unittest.TestCase):
    """Daemons of a small zone watch the store, in a large one its relays do."""

    def setUp(self) -> None:
        self.fleet = Fleet(1, make_source)
        for zone, size in ZONES.items():
            self.fleet.add_zone(zone, size)
        for version in (3, 9):
            self.write(version)
            self.fleet.run(SETTLING_SECONDS)
        self.assert_in_force(9)

    def write(self, version: int) -> None:
        """Write a version of the configuration as the operators or as the copy."""
        item = self.fleet.store.items.get(CONFIGURATION_KEY)
        document = json.dumps(configuration(version=version)).encode()
        revision = item.mod_revision if item else 0
        self.fleet.store.swap(CONFIGURATION_KEY, document, revision)

    def assert_in_force(self, version: int) -> None:
        """Check that every daemon runs a version of the operators."""
        versions = {d.distribution.snapshot.version for d in self.fleet.running}
        self.assertEqual({snapshot_version(version, 0)}, versions)

    def test_older_configuration_in_the_copy_is_in_force(self) -> None:
        self.write(3)
        for _ in range(40):
            self.fleet.run(0.1)
            self.assert_in_force(9)
        self.write(9)
        self.fleet.run(1.0)
        self.write(12)
        self.fleet.run(CONVERGE_SECONDS)
        self.assert_in_force(12)

    def test_daemon_that_starts_meanwhile_keeps_the_older_configuration(self) -> None:
        self.write(3)
        self.fleet.run(1.0)
        for daemon in (self.fleet.running[0], self.fleet.running[7]):
            self.fleet.restart(daemon)
        self.fleet.run(HEARD_SECONDS)
        self.assert_in_force(9)

    def test_contact_points_that_were_lost_are_missing_for_minutes(self) -> None:
        self.fleet.run(150.0)
        for zone in ZONES:
            del self.fleet.store.items[f"contacts/{zone}"]
        for daemon in self.fleet.running:
            daemon.membership.store_restored()
        self.fleet.run(2.0)
        self.fleet.seeds = ()
        address = Address("10.7.0.1", self.fleet.running[0].address.port)
        added = FleetDaemon(self.fleet, address, "penang", "default")
        self.fleet.daemons[address] = added
        self.fleet.traffic[address] = Traffic.empty()
        added.start()
        self.fleet.run(10.0)
        self.assertEqual(sum(ZONES.values()) + 1, len(added.membership.live))


if __name__ == "__main__":
    unittest.main()
