"""Test of daemons that run one version with different contents, in virtual time."""

from __future__ import annotations

import json
import unittest
from typing import Any

from bench.fleet import Fleet
from briarslip.platform.configuration import CONFIGURATION_KEY
from briarslip.platform.configuration import snapshot_version
from briarslip.platform.rollouts import ROLLOUT_ORDER_PREFIX
from tests.platform.support import configuration
from tests.platform.support import order
from tests.process.distribution.test_restored_fleet import make_source


SETTLING_SECONDS = 14.0
CONVERGE_SECONDS = 2.0
ROUTES = 60


def document(version: int) -> dict[str, Any]:
    """Return a configuration with many routes, one of them added by each version."""
    document = configuration(version=version)
    route = document["routes"]["r-hold"]
    for number in range(ROUTES + version):
        document["routes"][f"r{number}"] = route | {"prefix": f"/r{number}/"}
    return document


class EqualVersionsTest(unittest.TestCase):
    """The removal of a rollout order is no version, so older daemons still run it."""

    def test_deltas_of_another_content_are_pulled_again_and_again(self) -> None:
        fleet = Fleet(1, make_source)
        daemons = fleet.add_zone("penang", 9)

        def write(key: str, value: Any) -> int:
            item = fleet.store.items.get(key)
            data = None if value is None else json.dumps(value).encode()
            reply = fleet.store.swap(key, data, item.mod_revision if item else 0)
            return reply.revision

        write(CONFIGURATION_KEY, document(3))
        write(f"{ROLLOUT_ORDER_PREFIX}holds", order())
        newest = write(f"{ROLLOUT_ORDER_PREFIX}lots", order(service="lots"))
        fleet.run(SETTLING_SECONDS)
        write(f"{ROLLOUT_ORDER_PREFIX}holds", None)
        fleet.run(SETTLING_SECONDS)
        for daemon in daemons:
            if daemon.distribution.is_relay:
                fleet.restart(daemon)
        fleet.run(SETTLING_SECONDS)
        write(CONFIGURATION_KEY, document(4))
        fleet.run(CONVERGE_SECONDS)
        versions = {d.distribution.snapshot.version for d in fleet.running}
        self.assertEqual({snapshot_version(4, newest)}, versions)


if __name__ == "__main__":
    unittest.main()
