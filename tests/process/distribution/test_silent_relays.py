"""Test of a zone whose relays rely on a store that has gone silent, in virtual time."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from twisted.internet.defer import Deferred

from bench.fleet import Fleet
from briarslip.platform.long_poll import RESPONSE_START_TIMEOUT
from briarslip.platform.settings import STORE_TIMEOUT
from briarslip.process.store.client import StoreError
from briarslip.process.store.client import WatchClosed
from tests.process.distribution.test_watch_duty import KEY
from tests.process.distribution.test_watch_duty import make_source


if TYPE_CHECKING:
    from bench.fleet_daemon import FleetDaemon


SETTLING_SECONDS = 14.0
CONVERGE_SECONDS = 2.5
SILENT = WatchClosed("no response in time")


class SilentPoll:
    """A poll that is given up."""

    def __init__(self, daemon: FleetDaemon, on_closed: Any) -> None:
        seconds = RESPONSE_START_TIMEOUT.total_seconds()
        self.timer = daemon.reactor.callLater(seconds, on_closed, SILENT)

    def stop(self) -> None:
        """Stop the watch."""
        if self.timer.active():
            self.timer.cancel()


def silence_store(daemon: FleetDaemon) -> None:
    """Let the store no longer answer a daemon: its calls and polls are given up."""
    client: Any = daemon.store_client
    watches, client.watches = client.watches, []
    for watch, on_closed in watches:
        watch.stop()
        SilentPoll(daemon, on_closed)

    async def call(kind: str, operation: Any) -> Any:
        del kind, operation
        waiting: Deferred[None] = Deferred()
        daemon.reactor.callLater(STORE_TIMEOUT.total_seconds(), waiting.callback, None)
        await waiting
        return Err(StoreError("no response"))

    client._call = call
    client.watch = lambda prefix, revision, on_events, on_closed, is_resumed=False: (
        SilentPoll(daemon, on_closed)
    )


class SilentRelaysTest(unittest.TestCase):
    """The other daemons reach the store, but trust the heartbeats of the relays."""

    def test_relays_vouch_for_a_store_that_does_not_answer_them(self) -> None:
        took = []
        for seed in (1, 2, 3):
            fleet = Fleet(seed, make_source)
            fleet.add_zone("klang", 23)
            fleet.store.swap(KEY, b"1", 0)
            fleet.run(SETTLING_SECONDS)
            relays = [d for d in fleet.running if d.distribution.is_relay]
            self.assertEqual(2, len(relays))
            for daemon in relays:
                silence_store(daemon)
            others = [d for d in fleet.running if d not in relays]
            revision = fleet.store.items[KEY].mod_revision
            version = fleet.store.swap(KEY, b"2", revision).revision

            def is_in_force(
                version: int = version, others: list[FleetDaemon] = others
            ) -> bool:
                versions = (d.distribution.snapshot.version for d in others)
                return min(versions) >= version

            took.append(round(fleet.run_until(is_in_force, 8.0, 0.05), 2))
        self.assertLessEqual(max(took), CONVERGE_SECONDS, took)


if __name__ == "__main__":
    unittest.main()
