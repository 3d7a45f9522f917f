"""Routes of a fleet under overlapping disruptions of store and daemons."""

from __future__ import annotations

import json
import random
import unittest
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import Any

from bench.fleet import Fleet
from briarslip.platform.configuration import CONFIGURATION_KEY
from briarslip.platform.configuration import OPERATOR_PREFIX
from briarslip.platform.configuration import ConfigurationReader
from briarslip.platform.evacuations import EVACUATION_ORDERS
from briarslip.platform.rollouts import ROLLOUT_ORDER_PREFIX
from briarslip.platform.store import PlatformStore
from briarslip.process.distribution.stored_configuration import StoredConfiguration
from standins.users_store import UsersStore
from standins.virtual_store_http import VirtualStoreHttp
from tests.platform.support import configuration
from tests.platform.support import order


if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.fleet_daemon import FleetDaemon
    from briarslip.address import Address


ZONES = {"klang": 4, "penang": 9, "johor": 9}
SETTLING_SECONDS = 14.0
# The time in which a change is in force at each daemon in touch, with a step of the
# check. A daemon is in touch once it has been free of disruptions for as long.
CONVERGE_SECONDS = 2.6
STEP_SECONDS = 0.1
# After which daemons count as in touch with a store that forgot their polls.
CONTACT_SECONDS = 3.0
# In a small deployment.
SMALL_CONVERGE_SECONDS = 2.0
# After a restore, until the operators write again.
REWRITE_SECONDS = 0.5
STORE_TIMEOUT = timedelta(seconds=1)
HOST = "jepu9.example"
# With these, routes were missing before the watch of the store was mended.
SEEDS = (2, 16)
SECONDS = 60.0


class LossyDay:
    """A fleet, its store and the disruptions of one day, all made from a seed.

    ``written`` has each version that was acknowledged and not lost since, with the
    time. ``disturbed_until`` has the end of the last disruption of each daemon.
    """

    zones = ZONES

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fleet = Fleet(seed, self.make_source)
        self.store = UsersStore(self.fleet.clock.seconds)
        self.https: dict[Address, VirtualStoreHttp] = {}
        self.version = 0
        self.written: list[tuple[float, int]] = []
        self.is_store_away = False
        self.faults: dict[Address, str] = {}
        self.disturbed_until: dict[Address, float] = {}
        self.copies: list[Any] = []
        self.missing: list[str] = []
        for zone, size in self.zones.items():
            self.fleet.add_zone(zone, size)
        self.write()
        self.fleet.run(SETTLING_SECONDS)

    @property
    def now(self) -> float:
        """The virtual time in seconds."""
        return float(self.fleet.clock.seconds())

    def make_source(
        self, reactor: Any, rng: Any, store: Any, on_snapshot: Any
    ) -> StoredConfiguration:
        """Return a daemon's own source, with the real client of the store."""
        http = VirtualStoreHttp(reactor, self.fleet.clock, self.store)
        http.fault = "reset" if self.is_store_away else ""
        self.https[reactor.address] = http
        client = PlatformStore(reactor, http, STORE_TIMEOUT)  # type: ignore[arg-type]  # stands in
        return StoredConfiguration(
            reactor,
            rng,
            client,
            OPERATOR_PREFIX,
            ConfigurationReader(),
            on_snapshot,
            EVACUATION_ORDERS,
        )

    def write(self, version: int | None = None) -> None:
        """Write a version of the operators; each keeps the routes of all before."""
        self.version = version or self.version + self.rng.choice((1, 1, 2, 5, 40))
        document = configuration(version=self.version)
        route = document["routes"]["r-hold"]
        versions = {v for _, v in self.written} | {self.version}
        for known in versions:
            document["routes"][f"r{known}"] = route | {"prefix": f"/v{known}/"}
        self.store.put(CONFIGURATION_KEY, json.dumps(document).encode())
        if version is None:
            self.written.append((self.now, self.version))

    def write_order(self) -> None:
        """Write or remove a rollout order."""
        key = f"{ROLLOUT_ORDER_PREFIX}{self.rng.choice(('holds', 'lots'))}"
        if key in self.store.items and self.rng.random() < 0.5:
            self.store.remove(key)
        else:
            service = key.removeprefix(ROLLOUT_ORDER_PREFIX)
            self.store.put(key, json.dumps(order(service=service)).encode())

    def disturb(self, daemons: list[FleetDaemon], seconds: float) -> None:
        """Count daemons as not in touch until a disruption has ended."""
        for daemon in daemons:
            end = max(self.disturbed_until.get(daemon.address, 0.0), self.now + seconds)
            self.disturbed_until[daemon.address] = end

    def restore(self) -> None:
        """Take the store away for a while; it may come back from an older copy."""
        if not self.is_store_away:
            copy = self.rng.choice([None, *self.copies])
            self.stop_store(copy, self.rng.uniform(0.3, 9.0))

    def stop_store(self, copy: Any, seconds: float) -> None:
        """Take the store away until it comes back from a copy, or as it was."""
        self.is_store_away = True
        for http in self.https.values():
            http.fault = "reset"
            http.break_polls()
        self.store.waiters.clear()
        self.disturb(list(self.fleet.daemons.values()), seconds)
        self.fleet.clock.callLater(seconds, self.come_back, copy)

    def come_back(self, copy: Any) -> None:
        """Bring the store back; the operators write again what a copy lacks."""
        self.is_store_away = False
        for address, http in self.https.items():
            http.fault = self.faults.get(address, "")
        if copy is None:
            return
        self.store.restore(copy)
        self.copies.clear()
        for number in range(self.rng.choice((0, 1, 30))):
            self.store.put(f"other/{number}", b"")
        newest = self.written[-1][1]
        self.written = [(self.now + REWRITE_SECONDS, v) for _, v in self.written]
        self.fleet.clock.callLater(REWRITE_SECONDS, self.write_again, newest)

    def write_again(self, version: int) -> None:
        """Write a lost version again, unless the store is away or has a later one."""
        if not self.is_store_away and self.written[-1][1] == version:
            self.write(version)

    def fail_path(self) -> None:
        """Let the path of some daemons to the store have a fault for a while."""
        daemons = self.some_daemons()
        fault = self.rng.choice(("silent", "reset", "busy", "many"))
        seconds = self.rng.uniform(0.2, 6.0)
        self.disturb(daemons, seconds)
        for daemon in daemons:
            self.set_fault(daemon.address, fault)
            self.fleet.clock.callLater(seconds, self.set_fault, daemon.address, "")

    def set_fault(self, address: Address, fault: str) -> None:
        """Set or end the fault of a daemon's path."""
        self.faults[address] = fault
        if not self.is_store_away:
            self.https[address].fault = fault
            if fault in ("silent", "reset"):
                self.https[address].break_polls(fault == "silent")

    def lose_connections(self) -> None:
        """Lose the connections of some daemons to the store."""
        for daemon in self.some_daemons():
            self.https[daemon.address].break_polls(self.rng.random() < 0.5)

    def pause(self) -> None:
        """Pause some daemons for a while."""
        daemons = self.some_daemons()
        seconds = self.rng.uniform(0.2, 5.0)
        self.disturb(daemons, seconds)
        for daemon in daemons:
            if not daemon.reactor.is_paused:
                self.fleet.pause(daemon)
                self.fleet.clock.callLater(seconds, self.fleet.resume, daemon)

    def restart(self) -> None:
        """Restart some daemons at once."""
        daemons = [d for d in self.some_daemons() if not d.reactor.is_paused]
        self.disturb(daemons, SETTLING_SECONDS / 2)
        for daemon in daemons:
            self.fleet.restart(daemon)
            self.https[daemon.address].fault = (
                "reset" if self.is_store_away else self.faults.get(daemon.address, "")
            )

    def some_daemons(self) -> list[FleetDaemon]:
        """Return one daemon, the relays of a zone, a zone, or any."""
        daemons = list(self.fleet.daemons.values())
        zone = self.rng.choice(list(self.zones))
        kinds: tuple[Callable[[FleetDaemon], bool], ...] = (
            lambda d: d is daemons[first],
            lambda d: d.zone == zone and d.distribution.is_relay,
            lambda d: d.zone == zone,
            lambda _: self.rng.random() < 0.3,
        )
        first = self.rng.randrange(len(daemons))
        kind = self.rng.choice(kinds)
        return [d for d in daemons if not d.reactor.is_dead and kind(d)]

    def step(self) -> None:
        """Let something happen."""
        self.copies = [*self.copies[-8:], self.store.copy()]
        actions: tuple[Callable[[], None], ...] = (
            self.restore,
            self.fail_path,
            self.lose_connections,
            self.pause,
            self.restart,
            self.store.compact_history,
        )
        if self.rng.random() < 0.5:
            self.rng.choice(actions)()
        if not self.is_store_away and self.rng.random() < 0.6:
            self.rng.choice((self.write, self.write, self.write_order))()

    def play(self, seconds: float) -> list[str]:
        """Play a day; return the routes that were missing."""
        end = self.now + seconds
        while self.now < end:
            if self.now < end - 3 * CONVERGE_SECONDS:
                self.step()
            for _ in range(self.rng.randrange(1, 20)):
                self.fleet.run(STEP_SECONDS)
                for daemon in self.fleet.running:
                    self.check(daemon)
        return self.missing

    def check(self, daemon: FleetDaemon) -> None:
        """Record the routes that a daemon lacks though it must know them."""
        table = daemon.distribution.table
        disturbed_until = self.disturbed_until.get(daemon.address, 0.0)
        if not table.version:
            return
        prefixes = ["/puka111/"]
        prefixes.extend(
            f"/v{version}/"
            for written_at, version in self.written
            if max(written_at, disturbed_until) + CONVERGE_SECONDS < self.now
        )
        for prefix in prefixes:
            if table.match(prefix, "GET", HOST) is None:
                zone = daemon.zone
                self.missing.append(f"{self.now:.1f} {zone} {daemon.address} {prefix}")


class LostRoutesTest(unittest.TestCase):
    """A daemon in touch finds each route that all configurations in force have."""

    def test_route_in_force_is_missing(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual([], LossyDay(seed).play(SECONDS)[:20])

    def test_change_after_an_outage_waits_for_back_offs_that_have_grown(self) -> None:
        for seed in range(1, 4):
            day = LossyDay(seed)
            day.stop_store(None, 20.0)
            day.fleet.run(20.01)
            day.write()
            day.fleet.run(SMALL_CONVERGE_SECONDS)
            for daemon in day.fleet.running:
                found = daemon.distribution.table.match(f"/v{day.version}/", "", HOST)
                self.assertIsNotNone(found, (seed, daemon.address))

    def test_change_is_hidden_by_polls_that_the_store_has_forgotten(self) -> None:
        day = LossyDay(1)
        for http in day.https.values():
            for poll in tuple(http.polls):
                poll.cancel()
        day.write()
        day.fleet.run(CONTACT_SECONDS)
        for daemon in day.fleet.running:
            found = daemon.distribution.table.match(f"/v{day.version}/", "", HOST)
            self.assertIsNotNone(found, daemon.address)


if __name__ == "__main__":
    unittest.main()
