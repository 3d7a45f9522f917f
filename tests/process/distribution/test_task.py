"""Tests of the spreading of versions under faults, in virtual time."""

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


BOUND_SECONDS = 19.0
BOUND_WITHOUT_FAULTS_SECONDS = 3.0
ZONES = {"klang": 4, "penang": 4, "johor": 4}


def message(snapshot: Snapshot) -> bytes:
    """Return the message that carries a snapshot."""
    return encode_message(FullSnapshot(snapshot.digest, compress(snapshot.encode())))


class FleetCase(unittest.TestCase):
    """Starts a fleet that runs version 1."""

    def setUp(self) -> None:
        self.watched = CheckedFleet(ZONES)
        self.fleet = self.watched.fleet
        self.watched.run(4.0)
        self.watched.apply(service("a"), route("r", "a"))
        self.assertLess(self.watched.converge(1, BOUND_SECONDS), BOUND_SECONDS)

    def tearDown(self) -> None:
        self.assertEqual(self.watched.violations, [])

    def zone(self, name: str) -> list[Address]:
        """Return a zone's addresses."""
        return [d.address for d in self.fleet.daemons.values() if d.zone == name]

    def relays(self) -> list[Address]:
        """Return the relays."""
        return [d.address for d in self.fleet.running if d.distribution.relay.active]

    def change(self, name: str) -> None:
        """Apply a change."""
        self.watched.apply(service(name), route(f"r-{name}", name))

    def assert_converges(self, version: int, bound: float = BOUND_SECONDS) -> None:
        """Check that every running daemon comes to run a version in time."""
        self.assertLessEqual(self.watched.converge(version, bound + 1), bound)


class ConvergenceTest(FleetCase):
    """An accepted change is in force everywhere in time, and stays."""

    def test_without_faults(self) -> None:
        for version in range(2, 6):
            self.change(f"s{version}")
            self.assert_converges(version, BOUND_WITHOUT_FAULTS_SECONDS)

    def test_service_and_route_removed_in_either_order(self) -> None:
        self.watched.apply(removed(service("a")))
        self.watched.run(1.0)
        self.watched.apply(removed(route("r", "a")))
        self.assert_converges(2, BOUND_WITHOUT_FAULTS_SECONDS)
        tables = [d.distribution.table for d in self.fleet.running]
        self.assertFalse(any(t.routes or t.services for t in tables))

    def test_platform_outage_during_a_change(self) -> None:
        self.change("b")
        self.fleet.platform.outage = "close"
        self.watched.run(30.0)
        self.fleet.platform.outage = ""
        self.assert_converges(2)
        self.change("c")
        self.assert_converges(3)

    def test_zone_cut_from_the_platform(self) -> None:
        self.fleet.cut_platform("penang")
        self.change("b")
        self.assert_converges(2)

    def test_zone_cut_from_all_rejoins(self) -> None:
        self.fleet.cut_zone("penang", from_platform=True)
        for number in range(5):
            self.change(f"b{number}")
            self.watched.run(2.0)
        penang = [self.fleet.daemons[a] for a in self.zone("penang")]
        self.assertEqual({d.distribution.snapshot.version for d in penang}, {1})
        self.fleet.heal()
        self.assert_converges(6)

    def test_a_third_killed_and_back_during_a_change(self) -> None:
        victims = list(self.fleet.running)[::3]
        for daemon in victims:
            self.fleet.kill(daemon)
        self.change("b")
        self.watched.run(1.0)
        for daemon in victims:
            self.fleet.restart(daemon)
        self.assertEqual(len(self.fleet.running), 12)
        self.assert_converges(2)

    def test_faults_together(self) -> None:
        self.fleet.platform.freeze_watches = True
        self.change("b")
        self.fleet.platform.outage = "close"
        self.fleet.platform.freeze_watches = False
        victims = self.relays()
        for address in victims:
            self.fleet.kill(self.fleet.daemons[address])
        self.fleet.cut_platform("klang")
        self.watched.run(5.0)
        for address in victims:
            self.fleet.restart(self.fleet.daemons[address])
        self.watched.run(5.0)
        self.fleet.platform.lose_answers = 2
        self.fleet.platform.outage = ""
        self.assert_converges(2)

    def test_a_herd_that_returns_opens_no_watches(self) -> None:
        platform = self.fleet.platform
        usual = platform.waiting_watches
        victims = list(self.fleet.running)[1:]
        for daemon in victims:
            self.fleet.kill(daemon)
        self.watched.run(5.0)
        for daemon in victims:
            self.fleet.restart(daemon)
        most = 0
        for _ in range(50):
            self.watched.run(0.1)
            most = max(most, platform.waiting_watches)
        self.assertLessEqual(most, usual)
        self.assert_converges(1)

    def test_every_relay_killed_with_the_change(self) -> None:
        for address in self.relays():
            self.fleet.kill(self.fleet.daemons[address])
        self.change("b")
        self.assert_converges(2)

    def test_publisher_frozen_and_woken(self) -> None:
        ranked = {
            self.fleet.daemons[a].distribution.relay.rank: a for a in self.relays()
        }
        first = self.fleet.daemons[ranked[0]]
        self.fleet.pause(first)
        self.change("b")
        self.assert_converges(2)
        self.change("c")
        self.assert_converges(3)
        self.fleet.resume(first)
        self.assert_converges(3)
        self.watched.run(20.0)
        self.assertEqual(set(self.watched.versions()), {3})

    def test_watches_that_say_nothing(self) -> None:
        self.fleet.platform.freeze_watches = True
        self.change("b")
        self.assert_converges(2)

    def test_watch_resumed_after_compaction(self) -> None:
        self.fleet.platform.outage = "close"
        self.watched.run(1.0)
        self.fleet.platform.history.clear()
        self.fleet.platform.oldest_revision = self.fleet.platform.revision + 9
        self.fleet.platform.revision += 9
        self.fleet.platform.outage = ""
        self.watched.run(5.0)
        self.change("b")
        self.assert_converges(2, BOUND_WITHOUT_FAULTS_SECONDS)

    def test_lost_answers_everywhere(self) -> None:
        for number in range(6):
            self.fleet.platform.lose_answers = 1 + number % 3
            self.change(f"b{number}")
            self.assert_converges(2 + number)

    def test_watches_do_not_grow_with_the_fleet(self) -> None:
        before = self.fleet.platform.waiting_watches
        larger = CheckedFleet(dict.fromkeys(ZONES, 12))
        larger.run(8.0)
        self.assertEqual(larger.fleet.platform.waiting_watches, before)


class MessagesTest(FleetCase):
    """Versions go to few: the tree's children and other zones' relays."""

    def test_a_version_is_pushed_to_few(self) -> None:
        sent: list[tuple[Address, Address]] = []
        for daemon in self.fleet.daemons.values():
            self.record(daemon, sent)
        first = [self.fleet.daemons[a] for a in self.relays()]
        relay = next(d for d in first if not d.distribution.relay.rank)
        relay.distribution.activate_snapshot(snapshot_of(5, service("a")))
        others = {a for a in self.relays() if self.fleet.daemons[a].zone != relay.zone}
        offered = {p for _, p in sent if self.fleet.daemons[p].zone != relay.zone}
        pushed = {p for _, p in sent} - offered
        self.assertEqual(offered, others)
        self.assertTrue(pushed)
        self.assertLessEqual(len(pushed), FANOUT)

    def record(self, daemon: FleetDaemon, sent: list[tuple[Address, Address]]) -> None:
        """Note what a daemon sends instead of sending it."""
        daemon.distribution.send = lambda peer, topic, payload: sent.append(
            (daemon.address, peer)
        )

    def test_relays_repeat_their_offers(self) -> None:
        self.fleet.blocked |= {
            (one, two)
            for one in self.relays()
            for two in self.fleet.daemons
            if self.fleet.daemons[one].zone != "penang"
            if self.fleet.daemons[two].zone == "penang"
        }
        self.fleet.cut_platform("penang")
        self.change("b")
        self.watched.run(3.0)
        self.fleet.blocked.clear()
        self.assert_converges(2)


class NeverOlderTest(FleetCase):
    """No daemon returns to a version older than it has run."""

    def test_crossed_and_repeated_versions(self) -> None:
        daemon = self.fleet.running[0]
        sender = self.fleet.running[1].address
        old = daemon.distribution.snapshot
        newer = [snapshot_of(v, service("a"), service(f"s{v}")) for v in (9, 7, 8, 9)]
        for snapshot in (*newer, old):
            daemon.take_control(sender, Topic.CONFIGURATION, message(snapshot))
        self.assertEqual(daemon.distribution.snapshot.version, 9)

    def test_damaged_and_open_versions_are_not_run(self) -> None:
        daemon = self.fleet.running[0]
        sender = self.fleet.running[1].address
        whole = snapshot_of(5, service("a"))
        wrong = FullSnapshot("0" * 64, compress(whole.encode()))
        open_route = snapshot_of(6, service("a"), route("r", "b"))
        for payload in (encode_message(wrong), message(open_route), b"noise"):
            daemon.take_control(sender, Topic.CONFIGURATION, payload)
        self.assertEqual(daemon.distribution.snapshot.version, 1)

    def test_replaced_while_the_platform_is_down(self) -> None:
        self.fleet.platform.outage = "close"
        old = self.fleet.running[3]
        fresh = self.fleet.restart(old)
        self.watched.run(10.0)
        self.assertEqual(fresh.distribution.snapshot.version, 1)

    def test_whole_zone_replaced_while_the_platform_is_down(self) -> None:
        self.fleet.platform.outage = "close"
        for address in self.zone("penang"):
            self.fleet.kill(self.fleet.daemons[address])
        self.watched.run(2.0)
        for address in self.zone("penang"):
            self.fleet.restart(self.fleet.daemons[address])
        self.assert_converges(1)

    def test_a_stale_peer_does_not_fill_a_replacement(self) -> None:
        """A replacement waits for what the zone last heard it run."""
        self.fleet.platform.outage = "close"
        victim = next(d for d in self.fleet.running if not d.distribution.relay.active)
        ahead = snapshot_of(7, service("a"))
        for daemon in self.fleet.running:
            if daemon.zone == victim.zone and daemon is not victim:
                daemon.membership.state.table.versions[victim.address] = (
                    RecordedVersion(7, 0.0)
                )
        fresh = self.fleet.restart(victim)
        self.watched.run(10.0)
        self.assertEqual(fresh.distribution.state.minimum_version, 7)
        self.assertEqual(fresh.distribution.snapshot.version, 0)
        peer = self.fleet.running[0]
        fresh.take_control(peer.address, Topic.CONFIGURATION, message(ahead))
        self.assertEqual(fresh.distribution.snapshot.version, 7)

    def test_head_bounds_a_replacement_whose_peers_are_stale(self) -> None:
        self.fleet.cut_zone("penang")
        self.fleet.cut_platform("penang")
        self.change("b")
        self.watched.run(5.0)
        victim = self.fleet.daemons[self.zone("penang")[-1]]
        self.fleet.platform_cuts.clear()
        for daemon in self.fleet.running:
            if daemon.zone == "penang" and daemon.distribution.relay.active:
                self.fleet.pause(daemon)
        fresh = self.fleet.restart(victim)
        self.watched.run(2.5)
        self.assertEqual(fresh.distribution.state.minimum_version, 2)
        self.assertIn(fresh.distribution.snapshot.version, (0, 2))

    def test_nothing_runs_without_platform_and_peers(self) -> None:
        self.fleet.platform.outage = "close"
        victim = self.fleet.running[0]
        for other in self.fleet.daemons:
            self.fleet.blocked |= {(victim.address, other), (other, victim.address)}
        fresh = self.fleet.restart(victim)
        self.watched.run(30.0)
        self.assertIsNone(fresh.distribution.state.minimum_version)
        self.assertEqual(fresh.distribution.table.version, 0)
        self.fleet.heal()
        self.assert_converges(1)

    def test_a_stale_relay_takes_nobody_back(self) -> None:
        relay = self.fleet.daemons[self.relays()[0]]
        self.fleet.pause(relay)
        for name in ("b", "c"):
            self.change(name)
            self.watched.run(5.0)
        self.fleet.resume(relay)
        for daemon in self.fleet.running:
            stale = encode_message(Offer(1))
            daemon.take_control(relay.address, Topic.CONFIGURATION, stale)
        self.assert_converges(3)
