"""Failures of membership, brought about in virtual time."""

from __future__ import annotations

import contextlib
from datetime import timedelta
from unittest import mock

from briarslip.process.membership import protocol
from briarslip.process.membership.member import Status
from tests.support.members import ENDED
from tests.support.members import FleetTestCase
from tests.support.members import endpoint
from tests.support.members import has_new_work
from tests.support.members import holders
from tests.support.members import is_alive_everywhere
from tests.support.members import settled
from tests.support.members import status_at


DRAINING_SECONDS = 3.0
DEAD_SECONDS = 15.0
REFUTE_SECONDS = 3.0


class DrainingTest(FleetTestCase):
    """What leaves is known everywhere within 3 s."""

    def test_draining_daemon_is_known_everywhere(self) -> None:
        fleet = settled(("klang", "penang", "johor"), 8)
        fleet.loss = 0.1
        leaving = fleet.running[3]
        leaving.drain()
        self.assert_within(
            fleet,
            DRAINING_SECONDS,
            lambda: len(holders(fleet, leaving, Status.LEFT)) == len(fleet.daemons) - 1,
        )

    def test_draining_passes_when_the_carriers_have_just_died(self) -> None:
        fleet = settled(("klang", "penang"), 8)
        near = [d for d in fleet.running if d.zone == "klang"]
        for daemon in near:
            if daemon.membership.state.links.peers:
                fleet.kill(daemon)
        leaving = next(d for d in near if d in fleet.running)
        self.assertEqual(14, len(fleet.running))
        leaving.drain()
        self.assert_within(
            fleet,
            DRAINING_SECONDS,
            lambda: not holders(fleet, leaving, Status.ALIVE),
        )

    def test_draining_server_gets_no_new_work_anywhere(self) -> None:
        fleet = settled(("klang", "penang"), 8)
        leaving = fleet.running[2]
        leaving.announce((endpoint("service-2", draining=True), endpoint("other")))
        self.assert_within(
            fleet,
            DRAINING_SECONDS,
            lambda: (
                not any(has_new_work(d, leaving, "service-2") for d in fleet.running)
            ),
        )
        self.assertTrue(has_new_work(fleet.running[5], leaving, "other"))

    def test_draining_overtakes_a_flood_of_other_statements(self) -> None:
        fleet = settled(("klang", "penang"), 25)
        for number, daemon in enumerate(fleet.running):
            daemon.announce((endpoint(f"service-{number}", "2"),))
        for daemon in fleet.running[30:40]:
            fleet.kill(daemon)
        leaving = fleet.running[3]
        leaving.drain()
        self.assert_within(
            fleet, DRAINING_SECONDS, lambda: not holders(fleet, leaving, Status.ALIVE)
        )


class DeathTest(FleetTestCase):
    """What dies is known within a bound, and forgotten later."""

    def test_dead_daemon_is_known_everywhere(self) -> None:
        fleet = settled(("klang", "penang"), 10)
        dead = fleet.running[4]
        fleet.kill(dead)
        self.assert_within(
            fleet,
            DEAD_SECONDS,
            lambda: len(holders(fleet, dead, Status.DEAD)) == len(fleet.daemons) - 1,
        )

    def test_dead_daemon_is_forgotten_but_not_its_version(self) -> None:
        fleet = settled(("klang",), 5)
        dead = fleet.running[4]
        for daemon in fleet.running:
            daemon.membership.on_version = lambda peer, version: None
            daemon.membership.update_self(daemon.endpoints, 7, False)
        fleet.run(10.0)
        fleet.kill(dead)
        fleet.run(700.0)
        self.assertEqual(4, len(holders(fleet, dead, None)))
        heard = [d.membership.last_known_version(dead.address) for d in fleet.running]
        self.assertEqual([7] * 4, heard)

    def test_replacement_is_told_the_version_of_its_address(self) -> None:
        fleet = settled(("klang",), 6)
        dead = fleet.running[4]
        dead.membership.update_self(dead.endpoints, 9, False)
        fleet.run(5.0)
        fleet.kill(dead)
        fleet.run(60.0)
        fresh = fleet.restart(dead)
        self.assert_within(fleet, 5.0, lambda: fresh.membership.minimum_version == 9)

    def test_version_is_heard_from_every_probe(self) -> None:
        fleet = settled(("klang",), 6)
        behind = fleet.running[0]
        heard: list[int] = []
        behind.membership.on_version = lambda peer, version: heard.append(version)
        fleet.running[5].membership.update_self((), 3, False)
        self.assert_within(fleet, 5.0, lambda: 3 in heard)


class TickTest(FleetTestCase):
    """The periodic work goes on whatever one round of it meets."""

    def test_tick_that_raises_is_followed_by_the_next(self) -> None:
        fleet = settled(("klang",), 6)
        with mock.patch.object(protocol, "tick", side_effect=ZeroDivisionError):
            for _ in range(20):
                with contextlib.suppress(ZeroDivisionError):
                    fleet.run(0.05)
        dead = fleet.running[3]
        fleet.kill(dead)
        self.assert_within(
            fleet, DEAD_SECONDS, lambda: not holders(fleet, dead, Status.ALIVE)
        )


class PauseTest(FleetTestCase):
    """A paused daemon refutes, and accuses nobody when it wakes."""

    def test_short_pause_is_refuted_before_eviction(self) -> None:
        fleet = settled(("klang",), 12)
        paused = fleet.running[3]
        fleet.pause(paused)
        self.assert_within(
            fleet, 4.0, lambda: bool(holders(fleet, paused, Status.SUSPECT))
        )
        fleet.resume(paused)
        self.assert_none_ended(fleet, [paused], 10.0)
        self.assertTrue(is_alive_everywhere(fleet, [paused]))

    def test_long_pause_is_refuted_on_waking(self) -> None:
        fleet = settled(("klang", "penang"), 8)
        paused = fleet.running[3]
        fleet.pause(paused)
        fleet.run(60.0)
        self.assertEqual(15, len(holders(fleet, paused, Status.DEAD)))
        fleet.resume(paused)
        self.assert_within(
            fleet, REFUTE_SECONDS, lambda: is_alive_everywhere(fleet, [paused])
        )

    def test_waking_daemon_evicts_nobody(self) -> None:
        fleet = settled(("klang",), 12)
        paused = fleet.running[3]
        fleet.pause(paused)
        fleet.run(60.0)
        fleet.resume(paused)
        self.assert_none_ended(
            fleet, [d for d in fleet.running if d is not paused], 20.0
        )


class PartialFailureTest(FleetTestCase):
    """Half of a zone gone, bad links, and daemons that misjudge."""

    def test_half_a_zone_gone_evicts_nobody_else(self) -> None:
        for seed in (1, 2):
            fleet = settled(("klang",), 24, seed)
            gone, left = fleet.running[::2], fleet.running[1::2]
            fleet.loss = 0.05
            for daemon in gone:
                fleet.kill(daemon)
            self.assert_none_ended(fleet, left, 30.0)
            unknown = [d for d in gone if len(holders(fleet, d, Status.DEAD)) < 12]
            self.assertEqual([], unknown)

    def test_most_of_a_zone_gone_is_known_in_bounded_time(self) -> None:
        fleet = settled(("klang",), 12)
        gone, left = fleet.running[:9], fleet.running[9:]
        for daemon in gone:
            fleet.kill(daemon)
        self.assert_none_ended(fleet, left, 60.0)
        self.assertEqual({3}, {len(d.membership.live) for d in left})

    def test_links_broken_one_way_evict_nobody(self) -> None:
        fleet = settled(("klang",), 12)
        one, *others = fleet.running
        fleet.blocked = {(other.address, one.address) for other in others[:4]}
        self.assert_none_ended(fleet, fleet.running, 60.0)

    def test_daemon_that_hears_nobody_evicts_no_one_elsewhere(self) -> None:
        fleet = settled(("klang",), 12)
        deaf, *others = fleet.running
        fleet.blocked = {(other.address, deaf.address) for other in others}
        for _ in range(240):
            fleet.run(0.25)
            for holder in others:
                for other in others:
                    self.assertNotIn(status_at(holder, other), ENDED)
        fleet.heal()
        self.assert_within(
            fleet, 60.0, lambda: is_alive_everywhere(fleet, fleet.running)
        )

    def test_datagram_loss_evicts_nobody(self) -> None:
        fleet = settled(("klang",), 16)
        fleet.loss = 0.15
        self.assert_none_ended(fleet, fleet.running, 90.0)


class CutTest(FleetTestCase):
    """A zone cut off keeps what it has and rejoins cleanly."""

    def test_cut_zone_keeps_its_members_and_rejoins(self) -> None:
        fleet = settled(("klang", "penang"), 8)
        inside = [d for d in fleet.running if d.zone == "penang"]
        fleet.cut_zone("penang", from_platform=True)
        self.assert_none_ended(fleet, fleet.running, 30.0)
        changed, dead = inside[2], inside[3]
        changed.announce((endpoint("service-9", "2"),))
        fleet.kill(dead)
        fleet.run(300.0)
        fleet.heal()
        self.assert_within(
            fleet,
            30.0,
            lambda: (
                all(has_new_work(d, changed, "service-9") for d in fleet.running)
                and not holders(fleet, dead, Status.ALIVE)
            ),
        )
        self.assertTrue(is_alive_everywhere(fleet, fleet.running))

    def test_every_daemon_knows_how_fresh_other_zones_are(self) -> None:
        fleet = settled(("klang", "penang"), 8)
        fleet.run(300.0)
        for daemon in fleet.running:
            table = daemon.membership.state.table
            (other,) = {"klang", "penang"} - {daemon.zone}
            age = fleet.clock.seconds() - table.zone_last_contact_at[other]
            self.assertLess(age, 200.0, str(daemon.address))

    def test_zone_in_two_halves_comes_together_again(self) -> None:
        fleet = settled(("klang",), 12)
        one, other = fleet.running[::2], fleet.running[1::2]
        pairs = {(a.address, b.address) for a in one for b in other}
        fleet.blocked = pairs | {(b, a) for a, b in pairs}
        fleet.run(60.0)
        self.assertEqual({6}, {len(d.membership.live) for d in fleet.running})
        fleet.heal()
        self.assert_within(
            fleet, 90.0, lambda: is_alive_everywhere(fleet, fleet.running)
        )


class ReplacementTest(FleetTestCase):
    """A replacement at the same address is not taken for its predecessor."""

    def test_replacement_with_its_clock_set_back_is_heard(self) -> None:
        fleet = settled(("klang", "penang"), 6)
        old = fleet.running[2]
        fleet.kill(old)
        fleet.run(2.0)
        fleet.skews[old.address] = timedelta(hours=-5)
        fresh = fleet.restart(old)
        fresh.announce((endpoint("service-8"),))
        self.assert_within(
            fleet,
            DEAD_SECONDS,
            lambda: all(
                has_new_work(d, fresh, "service-8")
                and not has_new_work(d, fresh, "service-2")
                for d in fleet.running
            ),
        )
        self.assert_none_ended(fleet, [fresh], 20.0)

    def test_replacement_loses_the_endpoints_of_its_predecessor(self) -> None:
        fleet = settled(("klang",), 6)
        fresh = fleet.restart(fleet.running[2])
        self.assert_within(
            fleet,
            REFUTE_SECONDS,
            lambda: not any(has_new_work(d, fresh, "service-2") for d in fleet.running),
        )
