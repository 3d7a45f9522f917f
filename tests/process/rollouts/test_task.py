"""Rollouts over several daemons: dissemination, partitions, restarts, amendments."""

from __future__ import annotations

import unittest
from dataclasses import replace
from datetime import timedelta
from unittest.mock import patch

from briarslip.version.decision import RolloutId
from briarslip.version.record import DEADLINE_NOT_AGREED
from briarslip.version.rollout import State
from standins.rollout_fleet import ROUTE
from standins.rollout_fleet import Fleet
from standins.rollout_fleet import traffic_share_at
from standins.rollout_fleet import version_fault


WINDOW = 60.0
SYNC_SECONDS = 5.0
MAX_SECONDS_TO_NO_TRAFFIC = 3.0
CONTROL_BYTES_PER_SECOND = 4096


def synced_fleet(zones: str = "aaabbbccc", versions: str = "112112112") -> Fleet:
    """Return daemons that are synced and have no decisions."""
    new_fleet = Fleet(zones, versions)
    new_fleet.advance(SYNC_SECONDS)
    return new_fleet


class FaultyVersionTest(unittest.TestCase):
    """A faulty version gets a small traffic share, and none soon after its fault."""

    def test_fault_from_the_start_stops_traffic_at_all_daemons(self) -> None:
        fleet = synced_fleet()
        fleet.failure_probability = version_fault("2", 1.0)
        fleet.add_rollout(WINDOW)
        fleet.advance(0.6)
        self.assertTrue(all(0 < share <= 0.05 for share in fleet.shares()))
        seconds = fleet.seconds_until(lambda: not any(fleet.shares()), 30)
        self.assertLessEqual(seconds, MAX_SECONDS_TO_NO_TRAFFIC)

    def test_later_fault_stops_traffic_within_three_seconds(self) -> None:
        fleet = synced_fleet()
        fleet.add_rollout(WINDOW)
        fleet.advance(40)
        self.assertGreater(min(fleet.shares()), 0.05)
        fleet.failure_probability = version_fault("2", 0.5)
        seconds = fleet.seconds_until(lambda: not any(fleet.shares()), 30)
        self.assertLessEqual(seconds, MAX_SECONDS_TO_NO_TRAFFIC)

    def test_decision_reaches_zones_without_direct_link(self) -> None:
        # Zone d has no server of either version and reaches only zone c.
        fleet = synced_fleet("aaabbcd", "1121133")
        fleet.partition_zones("ad", "bd", "ac")
        fleet.add_rollout(WINDOW)
        fleet.advance(2)
        fleet.failure_probability = version_fault("2", 1.0)
        fleet.seconds_until(lambda: fleet.shares()[0] == 0, 30)
        seconds = fleet.seconds_until(
            lambda: all("2" in n.task.excluded_versions("holds") for n in fleet.nodes),
            30,
        )
        self.assertLessEqual(seconds, MAX_SECONDS_TO_NO_TRAFFIC)

    def test_partitioned_zone_acts_on_its_own_evidence(self) -> None:
        fleet = synced_fleet()
        fleet.add_rollout(WINDOW)
        fleet.advance(5)
        fleet.partition_zones("ac", "bc")
        fleet.store.outage = "close"
        fleet.failure_probability = lambda member, version: float(
            version == "2" and member.availability_zone == "c"
        )
        seconds = fleet.seconds_until(lambda: not any(fleet.shares()[6:]), 30)
        self.assertLess(seconds, 30)
        self.assertGreater(min(fleet.shares()[:6]), 0)
        fleet.partition_zones()
        seconds = fleet.seconds_until(lambda: not any(fleet.shares()), 30)
        self.assertLessEqual(seconds, MAX_SECONDS_TO_NO_TRAFFIC)

    def test_fault_after_done_is_rolled_back_and_reported_as_after_done(self) -> None:
        fleet = synced_fleet()
        fleet.add_rollout(WINDOW)
        fleet.advance(WINDOW + 5)
        self.assertEqual(fleet.shares(), [1.0] * 9)
        fleet.failure_probability = version_fault("2", 0.5)
        seconds = fleet.seconds_until(lambda: not any(fleet.shares()), 30)
        self.assertLessEqual(seconds, MAX_SECONDS_TO_NO_TRAFFIC)
        fleet.advance(5)
        document = fleet.document() or {}
        self.assertEqual(document["state"], "rolled_back")
        self.assertEqual(document["after"], "done")
        self.assertTrue(document["fault"]["after_done"])

    def test_rollback_is_reported_though_the_deadline_was_agreed_late(self) -> None:
        fleet = synced_fleet()
        rollout = fleet.add_rollout(16)
        # The daemons agree on the deadline without another configuration.
        fleet.rollouts = {"r": replace(rollout, deadline=DEADLINE_NOT_AGREED)}
        fleet.advance(3)
        self.assertEqual([0.0] * 9, fleet.shares())
        self.assertIsNone(fleet.document())
        fleet.rollouts = {"r": rollout}
        fleet.failure_probability = version_fault("2", 1.0)
        fleet.advance(12)
        self.assertEqual("rolled_back", (fleet.document() or {})["state"])

    def test_fault_of_all_versions_after_done_keeps_the_state(self) -> None:
        fleet = synced_fleet()
        fleet.add_rollout(WINDOW)
        fleet.advance(WINDOW + 5)
        fleet.failure_probability = version_fault("12", 0.5)
        seconds_to_hold = fleet.seconds_until(lambda: max(fleet.shares()) < 1, 10)
        self.assertLess(seconds_to_hold, 10)
        states = {node.task.statuses[0].state for node in fleet.nodes}
        self.assertEqual(states, {State.DONE})
        fleet.advance(20)
        self.assertGreater(min(fleet.shares()), 0)
        fleet.failure_probability = version_fault("", 0)
        fleet.advance(10)
        self.assertEqual(fleet.shares(), [1.0] * 9)
        self.assertEqual((fleet.document() or {})["state"], "done")


class RolledBackVersionTest(unittest.TestCase):
    """A version that was rolled back gets no traffic again from the same rollout."""

    def setUp(self) -> None:
        self.fleet = synced_fleet()
        self.rollout = self.fleet.add_rollout(WINDOW)
        self.fleet.advance(5)
        self.paused_node = self.fleet.nodes[4]
        self.paused_node.reactor.is_paused = True
        self.paused_node.reactor.keeps_messages = False
        self.fleet.failure_probability = version_fault("2", 1.0)
        other_nodes = [n for n in self.fleet.nodes if n is not self.paused_node]
        self.fleet.seconds_until(
            lambda: not any(traffic_share_at(n, "2") for n in other_nodes), 30
        )
        self.fleet.failure_probability = version_fault("", 0)

    def assert_no_traffic(self, seconds: float) -> None:
        for _ in range(int(seconds / 0.1)):
            self.assertEqual(max(self.fleet.shares()), 0)
            self.fleet.advance(0.1)

    def test_resumed_daemon_receives_the_decision(self) -> None:
        self.fleet.advance(30)
        self.paused_node.reactor.is_paused = False
        self.fleet.advance(MAX_SECONDS_TO_NO_TRAFFIC)
        self.assert_no_traffic(60)

    def test_resumed_daemon_without_its_messages_waits_for_a_sync(self) -> None:
        self.fleet.advance(40)
        share_before = traffic_share_at(self.paused_node, "2")
        # The first slice after the pause is not one that sends the periodic digest.
        self.paused_node.task.slice_count = 0
        self.paused_node.reactor.is_paused = False
        for _ in range(100):
            self.fleet.advance(0.01)
            self.assertLessEqual(traffic_share_at(self.paused_node, "2"), share_before)
        self.assert_no_traffic(30)

    def test_resumed_daemon_sends_no_request_before_its_timers_run(self) -> None:
        """Requests that arrived during the pause are handled before any timer."""
        self.fleet.advance(5)
        task = self.paused_node.task
        self.assertGreater(traffic_share_at(self.paused_node, "2"), 0)
        chosen = {task.version_for(ROUTE.service) for _ in range(1000)}
        self.assertNotIn("2", chosen)

    def test_suspended_machine_is_noticed_by_the_wall_clock(self) -> None:
        """The monotonic clock of the paused daemon stands still."""
        task = self.paused_node.task
        stopped_at = task.last_slice_at
        self.fleet.advance(5)
        with patch.object(task, "clock", wraps=task.clock) as clock:
            clock.monotonic.side_effect = lambda: stopped_at + 0.1
            chosen = {task.version_for(ROUTE.service) for _ in range(1000)}
        self.assertNotIn("2", chosen)

    def test_restarted_daemons_give_no_share_before_sync(self) -> None:
        self.fleet.store.outage = "close"
        self.paused_node.reactor.is_paused = False
        self.fleet.advance(MAX_SECONDS_TO_NO_TRAFFIC)
        for number in range(8):
            self.fleet.restart(number)
            self.assert_no_traffic(3)
        self.assert_no_traffic(60)

    def test_daemons_restarted_together_sync_from_the_store(self) -> None:
        self.fleet.advance(5)
        for number in range(9):
            self.fleet.restart(number)
        self.assert_no_traffic(60)

    def test_zone_receives_the_decision_after_a_partition(self) -> None:
        self.paused_node.reactor.is_paused = False
        self.fleet.advance(MAX_SECONDS_TO_NO_TRAFFIC)
        self.fleet.store.outage = "close"
        self.fleet.partition_zones("ac", "bc")
        for number in (6, 7, 8):
            self.fleet.restart(number)
        self.assert_no_traffic(20)
        self.fleet.partition_zones()
        self.assert_no_traffic(30)

    def test_same_record_written_again_stays_rolled_back(self) -> None:
        self.paused_node.reactor.is_paused = False
        self.fleet.advance(MAX_SECONDS_TO_NO_TRAFFIC)
        self.fleet.set_rollouts()
        self.assert_no_traffic(5)
        for node in self.fleet.nodes:
            self.assertEqual(node.task.excluded_versions("holds"), {"2"})
        self.fleet.set_rollouts(self.rollout)
        self.assert_no_traffic(60)

    def test_amended_record_is_another_rollout(self) -> None:
        self.paused_node.reactor.is_paused = False
        self.fleet.advance(5)
        deadline = self.fleet.time.now() + timedelta(seconds=WINDOW)
        self.fleet.set_rollouts(replace(self.rollout, deadline=deadline))
        self.fleet.advance(1)
        self.assertTrue(all(0 < s <= 0.05 for s in self.fleet.shares()))
        self.fleet.advance(WINDOW)
        self.assertEqual((self.fleet.document() or {})["state"], "done")


class HealthyVersionTest(unittest.TestCase):
    """The rollout of a healthy version is done by its deadline."""

    def test_done_with_store_unavailable_and_one_zone_partitioned(self) -> None:
        fleet = synced_fleet()
        fleet.failure_probability = version_fault("12", 0.02)
        fleet.add_rollout(WINDOW)
        fleet.store.outage = "close"
        fleet.partition_zones("ab", "ac")
        fleet.advance(WINDOW * 0.99)
        self.assertEqual(fleet.shares(), [1.0] * 9)
        fleet.store.outage = ""
        fleet.advance(5)
        document = fleet.document() or {}
        self.assertEqual(document["state"], "done")
        unreachable_zones = {"a": ["b", "c"], "b": ["a"], "c": ["a"]}
        self.assertIn(document["zones_not_heard"], unreachable_zones.values())

    def test_lost_store_replies_leave_one_report(self) -> None:
        fleet = synced_fleet()
        fleet.store.lose_answers = 5
        fleet.add_rollout(WINDOW)
        fleet.advance(WINDOW + 10)
        self.assertEqual((fleet.document() or {})["state"], "done")

    def test_no_server_of_the_version_is_reported_and_then_missed(self) -> None:
        fleet = synced_fleet(versions="1" * 9)
        fleet.add_rollout(WINDOW)
        fleet.advance(5)
        document = fleet.document() or {}
        self.assertEqual(document["state"], "waiting_for_servers")
        self.assertIn("no server of holds 2", document["reason"])
        fleet.advance(WINDOW)
        document = fleet.document() or {}
        self.assertEqual(document["state"], "deadline_missed")
        self.assertIn("no server of holds 2", document["reason"])

    def test_late_servers_are_done_in_time_or_miss_the_deadline(self) -> None:
        for servers_after_seconds, state in ((30, "done"), (55, "deadline_missed")):
            fleet = synced_fleet(versions="1" * 9)
            fleet.add_rollout(WINDOW)
            fleet.advance(servers_after_seconds)
            for number in (2, 5, 8):
                fleet.replace_server(number, "2")
            fleet.advance(1)
            self.assertLessEqual(max(fleet.shares()), 0.05)
            fleet.advance(WINDOW - servers_after_seconds + 25)
            self.assertEqual((fleet.document() or {})["state"], state)
            self.assertEqual(fleet.shares(), [1.0] * 9)

    def test_removal_of_a_running_rollout_is_reported(self) -> None:
        fleet = synced_fleet()
        fleet.add_rollout(WINDOW)
        fleet.advance(10)
        fleet.set_rollouts()
        fleet.advance(5)
        document = fleet.document() or {}
        self.assertEqual(document["state"], "removed")
        self.assertIn("small_share", document["reason"])
        self.assertIsNone(fleet.nodes[0].task.tracker.plans.get("holds"))

    def test_amended_running_rollout_keeps_its_progress(self) -> None:
        fleet = synced_fleet()
        rollout = fleet.add_rollout(WINDOW)
        fleet.advance(45)
        share_before = min(fleet.shares())
        later = replace(rollout, deadline=rollout.deadline + timedelta(seconds=6))
        fleet.set_rollouts(later)
        fleet.advance(1)
        self.assertGreater(min(fleet.shares()), 0.3 * share_before)
        fleet.advance(21)
        self.assertEqual((fleet.document() or {})["state"], "done")

    def test_two_rollouts_of_a_service(self) -> None:
        fleet = synced_fleet(versions="112113112")
        fleet.add_rollout(WINDOW, "first", "2")
        fleet.advance(5)
        fleet.add_rollout(WINDOW, "second", "3")
        fleet.failure_probability = version_fault("3", 1.0)
        fleet.advance(WINDOW)
        self.assertEqual((fleet.document("first") or {})["state"], "done")
        self.assertEqual((fleet.document("second") or {})["state"], "rolled_back")


class EvidenceTest(unittest.TestCase):
    """The cost of evidence messages, malformed messages and the expiry of a hold."""

    def test_control_messages_stay_within_the_byte_limit(self) -> None:
        fleet = synced_fleet("aaaabbbbccccdddd", "1122" * 4)
        fleet.add_rollout(WINDOW)
        fleet.sent_bytes.clear()
        fleet.advance(20)
        max_bytes_per_second = max(fleet.sent_bytes.values()) / 20
        self.assertLessEqual(max_bytes_per_second, CONTROL_BYTES_PER_SECOND)

    def test_malformed_message_is_rejected(self) -> None:
        fleet = synced_fleet()
        node = fleet.nodes[0]
        node.task.receive_message(fleet.nodes[1].member.address, b"\xff\x07nonsense")
        self.assertEqual(node.task.version_for(ROUTE.service), "")

    def test_share_does_not_rise_while_the_evidence_is_suspicious(self) -> None:
        """A daemon that hears late of a hold keeps the share that it has then."""
        fleet = synced_fleet()
        rollout = fleet.add_rollout(WINDOW)
        fleet.advance(WINDOW * 0.6)
        until = fleet.time.now() + timedelta(seconds=WINDOW * 0.2)
        for node in fleet.nodes:
            node.task.tracker.decisions.extend_hold(
                RolloutId.from_rollout(rollout), until
            )
            node.task.tracker.refresh()
        share = max(fleet.shares())
        fleet.advance(WINDOW * 0.15)
        self.assertAlmostEqual(share, max(fleet.shares()))
        fleet.advance(WINDOW * 0.1)
        self.assertGreater(min(fleet.shares()), 2 * share)

    def test_hold_expires(self) -> None:
        fleet = synced_fleet()
        rollout = fleet.add_rollout(WINDOW)
        fleet.advance(WINDOW - 10)
        now = fleet.time.now()
        for node in fleet.nodes:
            decisions = node.task.tracker.decisions
            held_until = now + timedelta(seconds=3)
            decisions.extend_hold(RolloutId.from_rollout(rollout), held_until)
            node.task.tracker.refresh()
        self.assertEqual(max(fleet.shares()), 0.5)
        self.assertIs(fleet.nodes[0].task.statuses[0].state, State.HELD)
        fleet.advance(8)
        self.assertEqual(fleet.shares(), [1.0] * 9)
