"""Test of large versions of the operators' document in a fleet, in virtual time."""

from __future__ import annotations

import json
import unittest

from bench.fleet import Fleet
from briarslip.platform.configuration import CONFIGURATION_KEY
from tests.platform.support import configuration
from tests.process.distribution.test_restored_fleet import make_source


ZONES = {"klang": 4, "penang": 12}
SETTLING_SECONDS = 14.0
CONVERGE_SECONDS = 2.0
UNIX_SECONDS = 1_765_000_000
UNIX_NANOSECONDS = 1_765_000_000_000_000_000


class LargeVersionsTest(unittest.TestCase):
    """Daemons that watch the store and those that hear of it run each version."""

    def test_larger_version_is_never_in_force(self) -> None:
        fleet = Fleet(1, make_source)
        for zone, size in ZONES.items():
            fleet.add_zone(zone, size)
        for version in (
            7,
            UNIX_SECONDS,
            UNIX_SECONDS + 1,
            UNIX_NANOSECONDS,
            UNIX_NANOSECONDS + 1,
        ):
            document = configuration(version=version)
            route = document["routes"]["r-hold"]
            document["routes"]["r-new"] = route | {"prefix": f"/{version}/"}
            value = json.dumps(document).encode()
            item = fleet.store.items.get(CONFIGURATION_KEY)
            revision = item.mod_revision if item else 0
            fleet.store.swap(CONFIGURATION_KEY, value, revision)
            fleet.run(CONVERGE_SECONDS if revision else SETTLING_SECONDS)
            for daemon in fleet.running:
                table = daemon.distribution.table
                found = table.match(f"/{version}/", "GET", route["host"])
                self.assertIsNotNone(found, (version, daemon.address))
            restarted = fleet.restart(fleet.running[-1])
            fleet.run(SETTLING_SECONDS)
            self.assertEqual(
                fleet.running[0].distribution.snapshot.version,
                restarted.distribution.snapshot.version,
            )


if __name__ == "__main__":
    unittest.main()
