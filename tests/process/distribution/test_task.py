"""Tests of the distribution of versions under faults, in virtual time."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from briarslip.connection.frame import Topic
from briarslip.process.membership.member_table import RecordedVersion
from briarslip.version.configuration_codec import FullSnapshot
from briarslip.version.configuration_codec import Offer
from briarslip.version.configuration_codec import compress
from briarslip.version.configuration_codec import encode_message
from briarslip.version.push_tree import FANOUT
from tests.support.fleet import CheckedFleet
from tests.support.records import removed
from tests.support.records import route
from tests.support.records import service
from tests.support.records import snapshot_of


if TYPE_CHECKING:
    from bench.fleet_daemon import FleetDaemon
    from briarslip.address import Address
    from briarslip.version.snapshot import Snapshot


CONVERGENCE_LIMIT_SECONDS = 19.0
LIMIT_WITHOUT_FAULTS_SECONDS = 3.0
ZONES = {"klang": 4, "penang": 4, "johor": 4}


def encoded_snapshot(snapshot: Snapshot) -> bytes:
    """Return the encoded message with a full snapshot."""
    return encode_message(FullSnapshot(snapshot.digest, compress(snapshot.encode())))


class FleetCase(unittest.TestCase):
    """Base class of tests with a fleet that runs version 1."""

    def setUp(self) -> None:
        self.checked_fleet = CheckedFleet(ZONES)
        self.fleet = self.checked_fleet.fleet
        self.checked_fleet.run(4.0)
        self.checked_fleet.apply(service("a"), route("r", "a"))
        self.assertLess(
            self.checked_fleet.converge(1, CONVERGENCE_LIMIT_SECONDS),
            CONVERGENCE_LIMIT_SECONDS,
        )

    def tearDown(self) -> None:
        self.assertEqual(self.checked_fleet.violations, [])

    def zone_addresses(self, name: str) -> list[Address]:
        """Return the addresses of a zone's daemons."""
        return [d.address for d in self.fleet.daemons.values() if d.zone == name]

    def relay_addresses(self) -> list[Address]:
        """Return the addresses of the active relays."""
        return [d.address for d in self.fleet.running if d.distribution.relay.active]

    def apply_change(self, name: str) -> None:
        """Write a change that adds a service and a route."""
        self.checked_fleet.apply(service(name), route(f"r-{name}", name))

    def assert_converges(
        self, version: int, limit_seconds: float = CONVERGENCE_LIMIT_SECONDS
    ) -> None:
        """Check that every running daemon runs a version within the limit."""
        self.assertLessEqual(
            self.checked_fleet.converge(version, limit_seconds + 1), limit_seconds
        )


class ConvergenceTest(FleetCase):
    """An accepted change is in force at all daemons in time, and remains so."""

    def test_without_faults(self) -> None:
        for version in range(2, 6):
            self.apply_change(f"s{version}")
            self.assert_converges(version, LIMIT_WITHOUT_FAULTS_SECONDS)

    def test_service_and_route_removed_in_either_order(self) -> None:
        self.checked_fleet.apply(removed(service("a")))
        self.checked_fleet.run(1.0)
        self.checked_fleet.apply(removed(route("r", "a")))
        self.assert_converges(2, LIMIT_WITHOUT_FAULTS_SECONDS)
        tables = [d.distribution.table for d in self.fleet.running]
        self.assertFalse(any(t.routes or t.services for t in tables))

    def test_store_outage_during_a_change(self) -> None:
        self.apply_change("b")
        self.fleet.store.outage = "close"
        self.checked_fleet.run(30.0)
        self.fleet.store.outage = ""
        self.assert_converges(2)
        self.apply_change("c")
        self.assert_converges(3)

    def test_zone_partitioned_from_the_store(self) -> None:
        self.fleet.partition_from_store("penang")
        self.apply_change("b")
        self.assert_converges(2)

    def test_isolated_zone_rejoins(self) -> None:
        self.fleet.partition_zone("penang", from_store=True)
        for number in range(5):
            self.apply_change(f"b{number}")
            self.checked_fleet.run(2.0)
        penang = [self.fleet.daemons[a] for a in self.zone_addresses("penang")]
        self.assertEqual({d.distribution.snapshot.version for d in penang}, {1})
        self.fleet.heal_partitions()
        self.assert_converges(6)

    def test_a_third_of_daemons_restarted_during_a_change(self) -> None:
        victims = list(self.fleet.running)[::3]
        for daemon in victims:
            self.fleet.kill(daemon)
        self.apply_change("b")
        self.checked_fleet.run(1.0)
        for daemon in victims:
            self.fleet.restart(daemon)
        self.assertEqual(len(self.fleet.running), 12)
        self.assert_converges(2)

    def test_combined_faults(self) -> None:
        self.fleet.store.freeze_watches = True
        self.apply_change("b")
        self.fleet.store.outage = "close"
        self.fleet.store.freeze_watches = False
        victims = self.relay_addresses()
        for address in victims:
            self.fleet.kill(self.fleet.daemons[address])
        self.fleet.partition_from_store("klang")
        self.checked_fleet.run(5.0)
        for address in victims:
            self.fleet.restart(self.fleet.daemons[address])
        self.checked_fleet.run(5.0)
        self.fleet.store.lose_answers = 2
        self.fleet.store.outage = ""
        self.assert_converges(2)

    def test_simultaneous_restart_opens_no_more_watches(self) -> None:
        store = self.fleet.store
        usual = store.waiting_watches
        victims = list(self.fleet.running)[1:]
        for daemon in victims:
            self.fleet.kill(daemon)
        self.checked_fleet.run(5.0)
        for daemon in victims:
            self.fleet.restart(daemon)
        most = 0
        for _ in range(50):
            self.checked_fleet.run(0.1)
            most = max(most, store.waiting_watches)
        self.assertLessEqual(most, usual)
        self.assert_converges(1)

    def test_every_relay_killed_during_a_change(self) -> None:
        for address in self.relay_addresses():
            self.fleet.kill(self.fleet.daemons[address])
        self.apply_change("b")
        self.assert_converges(2)

    def test_publisher_paused_and_resumed(self) -> None:
        ranked = {
            self.fleet.daemons[a].distribution.relay.rank: a
            for a in self.relay_addresses()
        }
        first = self.fleet.daemons[ranked[0]]
        self.fleet.pause(first)
        self.apply_change("b")
        self.assert_converges(2)
        self.apply_change("c")
        self.assert_converges(3)
        self.fleet.resume(first)
        self.assert_converges(3)
        self.checked_fleet.run(20.0)
        self.assertEqual(set(self.checked_fleet.versions()), {3})

    def test_silent_watches(self) -> None:
        self.fleet.store.freeze_watches = True
        self.apply_change("b")
        self.assert_converges(2)

    def test_watch_resumed_after_compaction(self) -> None:
        self.fleet.store.outage = "close"
        self.checked_fleet.run(1.0)
        self.fleet.store.history.clear()
        self.fleet.store.oldest_revision = self.fleet.store.revision + 9
        self.fleet.store.revision += 9
        self.fleet.store.outage = ""
        self.checked_fleet.run(5.0)
        self.apply_change("b")
        self.assert_converges(2, LIMIT_WITHOUT_FAULTS_SECONDS)

    def test_lost_responses_during_changes(self) -> None:
        for number in range(6):
            self.fleet.store.lose_answers = 1 + number % 3
            self.apply_change(f"b{number}")
            self.assert_converges(2 + number)

    def test_watch_count_is_independent_of_fleet_size(self) -> None:
        before = self.fleet.store.waiting_watches
        larger = CheckedFleet(dict.fromkeys(ZONES, 12))
        larger.run(8.0)
        self.assertEqual(larger.fleet.store.waiting_watches, before)


class MessagesTest(FleetCase):
    """A version is sent only to children in the push tree and other zones' relays."""

    def test_version_is_pushed_to_few_daemons(self) -> None:
        sent: list[tuple[Address, Address]] = []
        for daemon in self.fleet.daemons.values():
            self.record_sent(daemon, sent)
        first = [self.fleet.daemons[a] for a in self.relay_addresses()]
        relay = next(d for d in first if not d.distribution.relay.rank)
        relay.distribution.activate_snapshot(snapshot_of(5, service("a")))
        others = {
            a
            for a in self.relay_addresses()
            if self.fleet.daemons[a].zone != relay.zone
        }
        offered = {p for _, p in sent if self.fleet.daemons[p].zone != relay.zone}
        pushed = {p for _, p in sent} - offered
        self.assertEqual(offered, others)
        self.assertTrue(pushed)
        self.assertLessEqual(len(pushed), FANOUT)

    def record_sent(
        self, daemon: FleetDaemon, sent: list[tuple[Address, Address]]
    ) -> None:
        """Record the messages of a daemon instead of sending them."""
        daemon.distribution.send = lambda peer, topic, payload: sent.append(
            (daemon.address, peer)
        )

    def test_relays_repeat_their_offers(self) -> None:
        self.fleet.blocked_paths |= {
            (one, two)
            for one in self.relay_addresses()
            for two in self.fleet.daemons
            if self.fleet.daemons[one].zone != "penang"
            if self.fleet.daemons[two].zone == "penang"
        }
        self.fleet.partition_from_store("penang")
        self.apply_change("b")
        self.checked_fleet.run(3.0)
        self.fleet.blocked_paths.clear()
        self.assert_converges(2)


class NeverOlderTest(FleetCase):
    """No daemon runs a version older than one that it has run before."""

    def test_reordered_and_repeated_versions(self) -> None:
        daemon = self.fleet.running[0]
        sender = self.fleet.running[1].address
        old = daemon.distribution.snapshot
        newer = [snapshot_of(v, service("a"), service(f"s{v}")) for v in (9, 7, 8, 9)]
        for snapshot in (*newer, old):
            daemon.receive_control(
                sender, Topic.CONFIGURATION, encoded_snapshot(snapshot)
            )
        self.assertEqual(daemon.distribution.snapshot.version, 9)

    def test_corrupt_and_invalid_versions_are_not_run(self) -> None:
        daemon = self.fleet.running[0]
        sender = self.fleet.running[1].address
        whole = snapshot_of(5, service("a"))
        wrong = FullSnapshot("0" * 64, compress(whole.encode()))
        open_route = snapshot_of(6, service("a"), route("r", "b"))
        for payload in (encode_message(wrong), encoded_snapshot(open_route), b"noise"):
            daemon.receive_control(sender, Topic.CONFIGURATION, payload)
        self.assertEqual(daemon.distribution.snapshot.version, 1)

    def test_daemon_replaced_during_a_store_outage(self) -> None:
        self.fleet.store.outage = "close"
        old = self.fleet.running[3]
        fresh = self.fleet.restart(old)
        self.checked_fleet.run(10.0)
        self.assertEqual(fresh.distribution.snapshot.version, 1)

    def test_zone_replaced_during_a_store_outage(self) -> None:
        self.fleet.store.outage = "close"
        for address in self.zone_addresses("penang"):
            self.fleet.kill(self.fleet.daemons[address])
        self.checked_fleet.run(2.0)
        for address in self.zone_addresses("penang"):
            self.fleet.restart(self.fleet.daemons[address])
        self.assert_converges(1)

    def test_replacement_ignores_the_older_version_of_peers(self) -> None:
        """A replacement waits for the last version that its zone knew it to run."""
        self.fleet.store.outage = "close"
        victim = next(d for d in self.fleet.running if not d.distribution.relay.active)
        ahead = snapshot_of(7, service("a"))
        for daemon in self.fleet.running:
            if daemon.zone == victim.zone and daemon is not victim:
                daemon.membership.state.table.versions[victim.address] = (
                    RecordedVersion(7, 0.0)
                )
        fresh = self.fleet.restart(victim)
        self.checked_fleet.run(10.0)
        self.assertEqual(fresh.distribution.state.minimum_version, 7)
        self.assertEqual(fresh.distribution.snapshot.version, 0)
        peer = self.fleet.running[0]
        fresh.receive_control(
            peer.address, Topic.CONFIGURATION, encoded_snapshot(ahead)
        )
        self.assertEqual(fresh.distribution.snapshot.version, 7)

    def test_head_sets_the_minimum_version_despite_stale_peers(self) -> None:
        self.fleet.partition_zone("penang")
        self.fleet.partition_from_store("penang")
        self.apply_change("b")
        self.checked_fleet.run(5.0)
        victim = self.fleet.daemons[self.zone_addresses("penang")[-1]]
        self.fleet.store_partitions.clear()
        for daemon in self.fleet.running:
            if daemon.zone == "penang" and daemon.distribution.relay.active:
                self.fleet.pause(daemon)
        fresh = self.fleet.restart(victim)
        self.checked_fleet.run(2.5)
        self.assertEqual(fresh.distribution.state.minimum_version, 2)
        self.assertIn(fresh.distribution.snapshot.version, (0, 2))

    def test_no_version_runs_without_store_and_peers(self) -> None:
        self.fleet.store.outage = "close"
        victim = self.fleet.running[0]
        for other in self.fleet.daemons:
            self.fleet.blocked_paths |= {
                (victim.address, other),
                (other, victim.address),
            }
        fresh = self.fleet.restart(victim)
        self.checked_fleet.run(30.0)
        self.assertIsNone(fresh.distribution.state.minimum_version)
        self.assertEqual(fresh.distribution.table.version, 0)
        self.fleet.heal_partitions()
        self.assert_converges(1)

    def test_stale_relay_causes_no_older_version(self) -> None:
        relay = self.fleet.daemons[self.relay_addresses()[0]]
        self.fleet.pause(relay)
        for name in ("b", "c"):
            self.apply_change(name)
            self.checked_fleet.run(5.0)
        self.fleet.resume(relay)
        for daemon in self.fleet.running:
            stale = encode_message(Offer(1))
            daemon.receive_control(relay.address, Topic.CONFIGURATION, stale)
        self.assert_converges(3)
