"""Tests of membership under failures, in virtual time."""

from __future__ import annotations

import contextlib
from dataclasses import replace
from datetime import timedelta
from unittest import mock

from briarslip.process.membership import protocol
from briarslip.process.membership.draining_servers import DrainingServer
from briarslip.process.membership.member import Endpoint
from briarslip.process.membership.member import Status
from tests.support.members import NOT_LIVE
from tests.support.members import FleetTestCase
from tests.support.members import converged_fleet
from tests.support.members import endpoint
from tests.support.members import is_alive_everywhere
from tests.support.members import observers
from tests.support.members import routes_to
from tests.support.members import status_seen_by


DRAINING_SECONDS = 3.0
DEAD_SECONDS = 15.0
REFUTE_SECONDS = 3.0


class DrainingTest(FleetTestCase):
    """Draining reaches every daemon within 3 s."""

    def test_draining_daemon_is_seen_as_left_everywhere(self) -> None:
        fleet = converged_fleet(("klang", "penang", "johor"), 8)
        fleet.loss_probability = 0.1
        draining = fleet.running[3]
        draining.drain()
        self.assert_within(
            fleet,
            DRAINING_SECONDS,
            lambda: (
                len(observers(fleet, draining, Status.LEFT)) == len(fleet.daemons) - 1
            ),
        )

    def test_draining_reaches_other_zones_when_bridge_members_just_died(self) -> None:
        fleet = converged_fleet(("klang", "penang"), 8)
        local_daemons = [d for d in fleet.running if d.zone == "klang"]
        for daemon in local_daemons:
            if daemon.membership.state.bridge.peers:
                fleet.kill(daemon)
        draining = next(d for d in local_daemons if d in fleet.running)
        self.assertEqual(14, len(fleet.running))
        draining.drain()
        self.assert_within(
            fleet,
            DRAINING_SECONDS,
            lambda: not observers(fleet, draining, Status.ALIVE),
        )

    def test_draining_server_gets_no_new_requests(self) -> None:
        fleet = converged_fleet(("klang", "penang"), 8)
        draining = fleet.running[2]
        draining.set_endpoints(
            (endpoint("service-2", draining=True), endpoint("other"))
        )
        self.assert_within(
            fleet,
            DRAINING_SECONDS,
            lambda: not any(routes_to(d, draining, "service-2") for d in fleet.running),
        )
        self.assertTrue(routes_to(fleet.running[5], draining, "other"))

    def test_draining_is_not_delayed_by_a_flood_of_updates(self) -> None:
        fleet = converged_fleet(("klang", "penang"), 25)
        for number, daemon in enumerate(fleet.running):
            daemon.set_endpoints((endpoint(f"service-{number}", "2"),))
        for daemon in fleet.running[30:40]:
            fleet.kill(daemon)
        draining = fleet.running[3]
        draining.drain()
        self.assert_within(
            fleet,
            DRAINING_SECONDS,
            lambda: not observers(fleet, draining, Status.ALIVE),
        )


class RestartedDaemonTest(FleetTestCase):
    """A server that has left is not used again after a restart of its daemon."""

    def setUp(self) -> None:
        self.fleet = converged_fleet(("klang", "penang"), 6)
        daemon = self.fleet.running[2]
        daemon.set_endpoints((self.server(1),))
        self.fleet.run(5.0)
        self.assertEqual(12, self.count_routes())
        daemon.set_endpoints((self.server(2, draining=True),))
        self.fleet.run(0.5)
        self.fleet.kill(daemon)
        self.fleet.run(0.3)
        self.daemon = self.fleet.restart(daemon)
        self.restored: list[DrainingServer] = []
        self.daemon.membership.on_draining_before = self.restored.append

    def server(
        self, state_sequence: int, draining: bool = False, incarnation: int = 7
    ) -> Endpoint:
        """Return a server after a report by which its state changed."""
        return replace(
            endpoint("service-x", draining=draining),
            incarnation=incarnation,
            state_sequence=state_sequence,
        )

    def count_routes(self) -> int:
        """Return how many daemons would send calls to the server."""
        address = self.fleet.running[2].address
        return sum(
            routes_to(observer, daemon, "service-x")
            for observer in self.fleet.running
            for daemon in self.fleet.running
            if daemon.address == address
        )

    def count_routes_of_others(self) -> int:
        """Return how many other daemons would send calls to the server."""
        others = [d for d in self.fleet.running if d is not self.daemon]
        return sum(routes_to(d, self.daemon, "service-x") for d in others)

    def test_late_report_after_a_restart_brings_back_a_server_that_left(self) -> None:
        for seconds in (0.0, 2.0):
            with self.subTest(seconds=seconds):
                self.setUp()
                self.fleet.run(seconds)
                self.daemon.set_endpoints((self.server(1),))
                for _ in range(40):
                    self.fleet.run(0.25)
                    self.assertEqual(0, self.count_routes_of_others())

    def test_restarted_daemon_learns_which_of_its_servers_drain(self) -> None:
        self.assert_within(self.fleet, 3.0, lambda: bool(self.restored))
        self.assertEqual([DrainingServer(7, 2)], self.restored)

    def test_server_that_is_started_anew_or_ready_again_is_used(self) -> None:
        for server in (self.server(1, incarnation=8), self.server(3)):
            with self.subTest(server=server):
                self.setUp()
                self.fleet.run(2.0)
                self.daemon.set_endpoints((server,))
                self.assert_within(
                    self.fleet, 10.0, lambda: self.count_routes_of_others() == 11
                )


class DeathTest(FleetTestCase):
    """A dead daemon is detected in bounded time, and evicted later."""

    def test_dead_daemon_is_detected_everywhere(self) -> None:
        fleet = converged_fleet(("klang", "penang"), 10)
        dead = fleet.running[4]
        fleet.kill(dead)
        self.assert_within(
            fleet,
            DEAD_SECONDS,
            lambda: len(observers(fleet, dead, Status.DEAD)) == len(fleet.daemons) - 1,
        )

    def test_dead_daemon_is_evicted_but_not_its_version(self) -> None:
        fleet = converged_fleet(("klang",), 5)
        dead = fleet.running[4]
        for daemon in fleet.running:
            daemon.membership.on_version = lambda peer, version: None
            daemon.membership.update_self(daemon.endpoints, 7, False)
        fleet.run(10.0)
        fleet.kill(dead)
        fleet.run(700.0)
        self.assertEqual(4, len(observers(fleet, dead, None)))
        versions = [
            d.membership.last_known_version(dead.address) for d in fleet.running
        ]
        self.assertEqual([7] * 4, versions)

    def test_replacement_receives_the_version_of_its_address(self) -> None:
        fleet = converged_fleet(("klang",), 6)
        dead = fleet.running[4]
        dead.membership.update_self(dead.endpoints, 9, False)
        fleet.run(5.0)
        fleet.kill(dead)
        fleet.run(60.0)
        replacement = fleet.restart(dead)
        self.assert_within(
            fleet, 5.0, lambda: replacement.membership.minimum_version == 9
        )

    def test_probes_carry_the_version(self) -> None:
        fleet = converged_fleet(("klang",), 6)
        behind = fleet.running[0]
        versions: list[int] = []
        behind.membership.on_version = lambda peer, version: versions.append(version)
        fleet.running[5].membership.update_self((), 3, False)
        self.assert_within(fleet, 5.0, lambda: 3 in versions)


class TickTest(FleetTestCase):
    """The periodic work continues after a tick that raises."""

    def test_tick_that_raises_is_followed_by_the_next(self) -> None:
        fleet = converged_fleet(("klang",), 6)
        with mock.patch.object(protocol, "tick", side_effect=ZeroDivisionError):
            for _ in range(20):
                with contextlib.suppress(ZeroDivisionError):
                    fleet.run(0.05)
        dead = fleet.running[3]
        fleet.kill(dead)
        self.assert_within(
            fleet, DEAD_SECONDS, lambda: not observers(fleet, dead, Status.ALIVE)
        )


class PauseTest(FleetTestCase):
    """A daemon that resumes after a pause refutes, and suspects no one."""

    def test_short_pause_is_refuted_before_eviction(self) -> None:
        fleet = converged_fleet(("klang",), 12)
        paused = fleet.running[3]
        fleet.pause(paused)
        self.assert_within(
            fleet, 4.0, lambda: bool(observers(fleet, paused, Status.SUSPECT))
        )
        fleet.resume(paused)
        self.assert_none_evicted(fleet, [paused], 10.0)
        self.assertTrue(is_alive_everywhere(fleet, [paused]))

    def test_long_pause_is_refuted_on_resuming(self) -> None:
        fleet = converged_fleet(("klang", "penang"), 8)
        paused = fleet.running[3]
        fleet.pause(paused)
        fleet.run(60.0)
        self.assertEqual(15, len(observers(fleet, paused, Status.DEAD)))
        fleet.resume(paused)
        self.assert_within(
            fleet, REFUTE_SECONDS, lambda: is_alive_everywhere(fleet, [paused])
        )

    def test_resuming_daemon_evicts_no_one(self) -> None:
        fleet = converged_fleet(("klang",), 12)
        paused = fleet.running[3]
        fleet.pause(paused)
        fleet.run(60.0)
        fleet.resume(paused)
        self.assert_none_evicted(
            fleet, [d for d in fleet.running if d is not paused], 20.0
        )


class PartialFailureTest(FleetTestCase):
    """Mass failures, one-way partitions, datagram loss, and isolated daemons."""

    def test_failure_of_half_a_zone_evicts_no_one_else(self) -> None:
        for seed in (1, 2):
            fleet = converged_fleet(("klang",), 24, seed)
            killed, survivors = fleet.running[::2], fleet.running[1::2]
            fleet.loss_probability = 0.05
            for daemon in killed:
                fleet.kill(daemon)
            self.assert_none_evicted(fleet, survivors, 30.0)
            unknown = [d for d in killed if len(observers(fleet, d, Status.DEAD)) < 12]
            self.assertEqual([], unknown)

    def test_failure_of_most_of_a_zone_is_detected_in_bounded_time(self) -> None:
        fleet = converged_fleet(("klang",), 12)
        killed, survivors = fleet.running[:9], fleet.running[9:]
        for daemon in killed:
            fleet.kill(daemon)
        self.assert_none_evicted(fleet, survivors, 60.0)
        self.assertEqual({3}, {len(d.membership.live) for d in survivors})

    def test_one_way_partition_evicts_no_one(self) -> None:
        fleet = converged_fleet(("klang",), 12)
        target, *others = fleet.running
        fleet.blocked_paths = {(other.address, target.address) for other in others[:4]}
        self.assert_none_evicted(fleet, fleet.running, 60.0)

    def test_daemon_that_receives_nothing_evicts_no_one_elsewhere(self) -> None:
        fleet = converged_fleet(("klang",), 12)
        isolated, *others = fleet.running
        fleet.blocked_paths = {(other.address, isolated.address) for other in others}
        for _ in range(240):
            fleet.run(0.25)
            for observer in others:
                for other in others:
                    self.assertNotIn(status_seen_by(observer, other), NOT_LIVE)
        fleet.heal_partitions()
        self.assert_within(
            fleet, 60.0, lambda: is_alive_everywhere(fleet, fleet.running)
        )

    def test_datagram_loss_evicts_no_one(self) -> None:
        fleet = converged_fleet(("klang",), 16)
        fleet.loss_probability = 0.15
        self.assert_none_evicted(fleet, fleet.running, 90.0)


class PartitionTest(FleetTestCase):
    """A partitioned zone keeps its members, and merges again after the partition."""

    def test_partitioned_zone_keeps_its_members_and_rejoins(self) -> None:
        fleet = converged_fleet(("klang", "penang"), 8)
        inside = [d for d in fleet.running if d.zone == "penang"]
        fleet.partition_zone("penang", from_store=True)
        self.assert_none_evicted(fleet, fleet.running, 30.0)
        changed, dead = inside[2], inside[3]
        changed.set_endpoints((endpoint("service-9", "2"),))
        fleet.kill(dead)
        fleet.run(300.0)
        fleet.heal_partitions()
        self.assert_within(
            fleet,
            30.0,
            lambda: (
                all(routes_to(d, changed, "service-9") for d in fleet.running)
                and not observers(fleet, dead, Status.ALIVE)
            ),
        )
        self.assertTrue(is_alive_everywhere(fleet, fleet.running))

    def test_last_contact_with_other_zones_is_recent_everywhere(self) -> None:
        fleet = converged_fleet(("klang", "penang"), 8)
        fleet.run(300.0)
        for daemon in fleet.running:
            table = daemon.membership.state.table
            (other,) = {"klang", "penang"} - {daemon.zone}
            age = fleet.clock.seconds() - table.zone_last_contact_at[other]
            self.assertLess(age, 200.0, str(daemon.address))

    def test_halves_of_a_partitioned_zone_merge_again(self) -> None:
        fleet = converged_fleet(("klang",), 12)
        first_half, second_half = fleet.running[::2], fleet.running[1::2]
        pairs = {(a.address, b.address) for a in first_half for b in second_half}
        fleet.blocked_paths = pairs | {(b, a) for a, b in pairs}
        fleet.run(60.0)
        self.assertEqual({6}, {len(d.membership.live) for d in fleet.running})
        fleet.heal_partitions()
        self.assert_within(
            fleet, 90.0, lambda: is_alive_everywhere(fleet, fleet.running)
        )


class ReplacementTest(FleetTestCase):
    """A replacement at the same address is told apart from its predecessor."""

    def test_replacement_with_clock_set_back_supersedes_the_old_one(self) -> None:
        fleet = converged_fleet(("klang", "penang"), 6)
        old = fleet.running[2]
        fleet.kill(old)
        fleet.run(2.0)
        fleet.clock_skews[old.address] = timedelta(hours=-5)
        replacement = fleet.restart(old)
        replacement.set_endpoints((endpoint("service-8"),))
        self.assert_within(
            fleet,
            DEAD_SECONDS,
            lambda: all(
                routes_to(d, replacement, "service-8")
                and not routes_to(d, replacement, "service-2")
                for d in fleet.running
            ),
        )
        self.assert_none_evicted(fleet, [replacement], 20.0)

    def test_endpoints_of_the_predecessor_are_dropped(self) -> None:
        fleet = converged_fleet(("klang",), 6)
        replacement = fleet.restart(fleet.running[2])
        self.assert_within(
            fleet,
            REFUTE_SECONDS,
            lambda: (
                not any(routes_to(d, replacement, "service-2") for d in fleet.running)
            ),
        )
