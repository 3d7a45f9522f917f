"""Tests of joining and of membership traffic, in virtual time."""

from __future__ import annotations

from bench.fleet import DATAGRAM
from bench.fleet import Fleet
from tests.support.members import FleetTestCase
from tests.support.members import converged_fleet
from tests.support.members import is_alive_everywhere


MAX_DATAGRAM_BYTES = 1_200
MAX_BYTES_PER_SECOND = 4_096.0


class BootstrapTest(FleetTestCase):
    """Joins by seeds and by contact points, and a mass restart."""

    def test_daemon_without_seeds_joins_by_contact_points(self) -> None:
        fleet = converged_fleet(("klang",), 8)
        fleet.run(150.0)
        writes = fleet.store.call_counts["txn"]
        self.assertIsNotNone(fleet.store.get("contacts/klang"))
        fleet.run(600.0)
        self.assertEqual(writes, fleet.store.call_counts["txn"])
        fleet.seeds = ()
        replacement = fleet.restart(fleet.running[6])
        self.assert_within(fleet, 10.0, lambda: len(replacement.membership.live) == 8)

    def test_zones_without_common_seeds_join_by_contact_points(self) -> None:
        fleet = Fleet()
        fleet.add_zone("klang", 4)
        fleet.seeds = ()
        fleet.add_zone("penang", 4)
        self.assert_within(
            fleet, 300.0, lambda: is_alive_everywhere(fleet, fleet.running)
        )

    def test_join_does_not_need_the_store(self) -> None:
        fleet = converged_fleet(("klang",), 8)
        fleet.store.outage = "close"
        replacement = fleet.restart(fleet.running[6])
        self.assert_within(fleet, 10.0, lambda: len(replacement.membership.live) == 8)

    def test_mass_restart_stays_within_the_byte_limit(self) -> None:
        fleet = converged_fleet(("klang", "penang"), 15)
        restarted = fleet.running[::3]
        for daemon in restarted:
            fleet.kill(daemon)
        fleet.run(30.0)
        before = {a: t.membership_bytes for a, t in fleet.traffic.items()}
        for daemon in restarted:
            fleet.restart(daemon)
        fleet.run(30.0)
        self.assertTrue(is_alive_everywhere(fleet, fleet.running))
        for address, traffic in fleet.traffic.items():
            rate = (traffic.membership_bytes - before[address]) / 30.0
            self.assertLess(rate, MAX_BYTES_PER_SECOND, str(address))


class TrafficTest(FleetTestCase):
    """Traffic of an idle fleet and in a mass failure, and datagram sizes."""

    def test_idle_traffic_does_not_grow_with_the_zone(self) -> None:
        rates = []
        for size in (10, 40):
            fleet = converged_fleet(("klang",), size)
            fleet.run(60.0)
            before = sum(t.membership_bytes for t in fleet.traffic.values())
            fleet.run(30.0)
            total = sum(t.membership_bytes for t in fleet.traffic.values()) - before
            rates.append(total / 30.0 / size)
            largest = max(t.largest_datagram_bytes for t in fleet.traffic.values())
            self.assertLess(largest, MAX_DATAGRAM_BYTES)
        self.assertLess(max(rates), MAX_BYTES_PER_SECOND / 4)
        self.assertLess(rates[1], rates[0] * 1.25)

    def test_mass_failure_stays_within_the_byte_limit(self) -> None:
        fleet = converged_fleet(("klang",), 40)
        for daemon in fleet.running[::2]:
            fleet.kill(daemon)
        for _ in range(6):
            before = {
                d.address: fleet.traffic[d.address].membership_bytes
                for d in fleet.running
            }
            fleet.run(10.0)
            for address, total in before.items():
                rate = (fleet.traffic[address].membership_bytes - total) / 10.0
                self.assertLess(rate, MAX_BYTES_PER_SECOND, str(address))
        self.assertGreater(fleet.traffic[fleet.running[0].address].sent[DATAGRAM], 0)

    def test_heartbeats_do_not_use_the_store(self) -> None:
        fleet = converged_fleet(("klang",), 8)
        fleet.run(20.0)
        for daemon in fleet.daemons.values():
            daemon.distribution.relay.set_active(False)
            daemon.distribution.update_relay_role = lambda draining: None  # type: ignore[method-assign]  # without a relay
        before = fleet.store.call_counts.copy()
        fleet.run(100.0)
        self.assertLessEqual((fleet.store.call_counts - before).total(), 2)
