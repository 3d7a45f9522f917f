"""Tests of the configuration in force while the store is restored from a copy."""

from __future__ import annotations

import json
import random
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from briarslip.platform.configuration import CONFIGURATION_KEY
from briarslip.platform.configuration import ConfigurationReader
from briarslip.platform.evacuations import EVACUATION_ORDERS
from briarslip.platform.evacuations import EVACUATION_PREFIX
from briarslip.platform.rollouts import ROLLOUT_ORDER_PREFIX
from briarslip.process.distribution.stored_configuration import StoredConfiguration
from briarslip.version.distribution import DistributionState
from briarslip.version.distribution import install_snapshot
from briarslip.version.distribution import set_minimum_version
from tests.platform.support import configuration
from tests.platform.support import order
from tests.platform.test_store import Fixture
from tests.platform.test_store import run_with_fixture


if TYPE_CHECKING:
    from briarslip.version.record import Rollout
    from briarslip.version.snapshot import Snapshot


ORDER_KEY = f"{EVACUATION_PREFIX}klang"


class WatchingDaemon:
    """What a daemon that watches the store runs; ``timeouts`` has each in turn."""

    def __init__(self, fixture: Fixture) -> None:
        self.state = DistributionState()
        self.timeouts: list[int] = []
        self.source = StoredConfiguration(
            fixture.reactor,
            random.Random(2),
            fixture.client,
            "op/",
            ConfigurationReader(),
            self.activate,
            EVACUATION_ORDERS,
        )
        self.source.set_active(True)

    def activate(self, snapshot: Snapshot) -> None:
        """Run a snapshot if it is newer."""
        previous = self.state.snapshot
        if not previous.version:
            set_minimum_version(self.state, snapshot.version)
        install_snapshot(self.state, snapshot)
        if self.state.snapshot is not previous:
            self.timeouts.append(self.timeout_ms)

    @property
    def version(self) -> int:
        """The version in force."""
        return self.state.snapshot.version

    @property
    def timeout_ms(self) -> int:
        """The timeout of a route that the operators change with each version."""
        routes = {route.name: route for route in self.state.table.routes}
        return round(routes["r-hold"].timeout.total_seconds() * 1000)

    @property
    def rollouts(self) -> list[Rollout]:
        """The rollouts in force without the revisions of their orders."""
        return [replace(r, order=0) for r in self.state.table.rollouts.values()]

    @property
    def evacuated(self) -> set[str]:
        """The zones that are evacuated."""
        return set(self.state.table.evacuations)

    @property
    def rollout_versions(self) -> list[str]:
        """The service versions of the rollouts in force."""
        return [rollout.version for rollout in self.state.table.rollouts.values()]


def write_version(fixture: Fixture, version: int) -> None:
    """Write a configuration version as the operators; its timeout tells it."""
    document: dict[str, Any] = configuration(version=version)
    document["routes"]["r-hold"]["timeout-ms"] = 1000 + version
    fixture.store.put(CONFIGURATION_KEY, json.dumps(document).encode())


def write_order(fixture: Fixture, service: str = "holds") -> None:
    """Write a rollout order as the operators."""
    document = json.dumps(order(service=service)).encode()
    fixture.store.put(f"{ROLLOUT_ORDER_PREFIX}{service}", document)


class RestoredStoreTest(unittest.TestCase):
    """Revisions begin again; what is confirmed comes into force, never older."""

    def test_change_confirmed_after_a_restore_is_not_in_force(self) -> None:
        async def steps(fixture: Fixture) -> None:
            write_version(fixture, 3)
            daemon = WatchingDaemon(fixture)
            await fixture.sleep(0.1)
            copy = fixture.store.copy()
            for version in (5, 8, 9):
                write_version(fixture, version)
                await fixture.sleep(0.1)
            await fixture.sleep(1.2)
            self.assertEqual(1009, daemon.timeout_ms)
            fixture.store.restore(copy)
            await fixture.sleep(0.3)
            write_version(fixture, 9)
            await fixture.sleep(1.3)
            write_version(fixture, 12)
            await fixture.sleep(1.3)
            self.assertEqual(1012, daemon.timeout_ms)
            self.assertEqual(sorted(daemon.timeouts), daemon.timeouts)
            daemon.source.set_active(False)

        run_with_fixture(steps)

    def test_change_is_missed_when_the_copy_has_passed_the_watched_revision(
        self,
    ) -> None:
        async def steps(fixture: Fixture) -> None:
            write_version(fixture, 3)
            daemon = WatchingDaemon(fixture)
            await fixture.sleep(0.1)
            copy = fixture.store.copy()
            write_version(fixture, 4)
            await fixture.sleep(0.1)
            fixture.server.faults = {"": "reset"}
            fixture.store.restore(copy)
            write_version(fixture, 5)
            for number in range(20):
                fixture.store.put(f"other/{number}", b"")
            await fixture.sleep(0.6)
            fixture.server.faults = {}
            await fixture.sleep(2.0)
            self.assertEqual(1005, daemon.timeout_ms)
            daemon.source.set_active(False)

        run_with_fixture(steps)

    def test_restore_unnoticed_by_a_watch_that_was_cut_off_meanwhile(self) -> None:
        async def steps(fixture: Fixture) -> None:
            write_version(fixture, 3)
            daemon = WatchingDaemon(fixture)
            await fixture.sleep(0.1)
            copy = fixture.store.copy()
            write_version(fixture, 4)
            await fixture.sleep(0.1)
            fixture.server.faults = {"": "reset"}
            fixture.server.drop_connections()
            fixture.store.restore(copy)
            write_version(fixture, 5)
            fixture.store.put("other/1", b"")
            await fixture.sleep(0.2)
            fixture.server.faults = {}
            await fixture.sleep(1.5)
            self.assertEqual(1005, daemon.timeout_ms)
            daemon.source.set_active(False)

        run_with_fixture(steps)

    def test_change_waits_for_a_back_off_that_grew_with_every_lost_connection(
        self,
    ) -> None:
        async def steps(fixture: Fixture) -> None:
            write_version(fixture, 3)
            daemon = WatchingDaemon(fixture)
            for _ in range(10):
                await fixture.sleep(0.35)
                fixture.server.drop_connections()
            write_version(fixture, 4)
            await fixture.sleep(0.35)
            self.assertEqual(1004, daemon.timeout_ms)
            daemon.source.set_active(False)

        run_with_fixture(steps)

    def test_two_restores_in_a_row(self) -> None:
        async def steps(fixture: Fixture) -> None:
            write_version(fixture, 3)
            daemon = WatchingDaemon(fixture)
            await fixture.sleep(0.1)
            for version in (6, 9):
                copy = fixture.store.copy()
                write_version(fixture, version)
                await fixture.sleep(0.2)
                fixture.store.restore(copy)
                fixture.store.restore(copy)
                await fixture.sleep(0.2)
                write_version(fixture, version)
                await fixture.sleep(1.3)
            write_version(fixture, 11)
            await fixture.sleep(1.3)
            self.assertEqual(1011, daemon.timeout_ms)
            self.assertEqual(sorted(daemon.timeouts), daemon.timeouts)
            daemon.source.set_active(False)

        run_with_fixture(steps)

    def test_order_that_is_lost_with_the_restore_stays_in_force(self) -> None:
        async def steps(fixture: Fixture) -> None:
            write_version(fixture, 3)
            daemon = WatchingDaemon(fixture)
            await fixture.sleep(0.1)
            copy = fixture.store.copy()
            write_order(fixture)
            await fixture.sleep(0.3)
            self.assertEqual(["v2"], daemon.rollout_versions)
            before = daemon.rollouts
            fixture.store.restore(copy)
            await fixture.sleep(1.3)
            write_version(fixture, 4)
            await fixture.sleep(1.3)
            self.assertEqual(1004, daemon.timeout_ms)
            self.assertEqual(["v2"], daemon.rollout_versions)
            write_order(fixture)
            await fixture.sleep(1.3)
            self.assertEqual(before, daemon.rollouts)
            daemon.source.set_active(False)

        run_with_fixture(steps)

    def test_evacuation_that_is_lost_with_the_restore_ends(self) -> None:
        async def steps(fixture: Fixture) -> None:
            write_version(fixture, 3)
            daemon = WatchingDaemon(fixture)
            await fixture.sleep(0.1)
            copy = fixture.store.copy()
            fixture.store.put(ORDER_KEY, b"{}")
            await fixture.sleep(0.3)
            self.assertEqual({"klang"}, daemon.evacuated)
            fixture.store.restore(copy)
            await fixture.sleep(1.3)
            self.assertEqual({"klang"}, daemon.evacuated)
            fixture.store.put(ORDER_KEY, b"{}")
            await fixture.sleep(1.3)
            self.assertEqual({"klang"}, daemon.evacuated)
            fixture.store.remove(ORDER_KEY)
            await fixture.sleep(1.3)
            self.assertEqual(set(), daemon.evacuated)
            daemon.source.set_active(False)

        run_with_fixture(steps)

    def test_evacuation_that_was_withdrawn_is_back_after_the_restore(self) -> None:
        async def steps(fixture: Fixture) -> None:
            write_version(fixture, 3)
            fixture.store.put(ORDER_KEY, b"{}")
            fixture.store.put("contacts/klang", b"{}")
            daemon = WatchingDaemon(fixture)
            await fixture.sleep(0.1)
            self.assertEqual({"klang"}, daemon.evacuated)
            copy = fixture.store.copy()
            fixture.store.remove(ORDER_KEY)
            await fixture.sleep(0.3)
            fixture.store.restore(copy)
            await fixture.sleep(1.3)
            self.assertEqual(set(), daemon.evacuated)
            late = WatchingDaemon(fixture)
            await fixture.sleep(0.3)
            # It knows nothing of the removal, but the other has a newer version.
            self.assertGreater(daemon.version, late.version)
            late.source.set_active(False)
            fixture.store.put(ORDER_KEY, b"{}")
            await fixture.sleep(1.3)
            self.assertEqual({"klang"}, daemon.evacuated)
            daemon.source.set_active(False)

        run_with_fixture(steps)


if __name__ == "__main__":
    unittest.main()
