"""Rollouts over several daemons: spreading, cuts, restarts and amendments."""

from __future__ import annotations

import unittest
from dataclasses import replace
from datetime import timedelta

from briarslip.version.decision import RolloutId
from briarslip.version.record import DEADLINE_NOT_AGREED
from briarslip.version.rollout import State
from standins.rollout_fleet import ROUTE
from standins.rollout_fleet import Fleet
from standins.rollout_fleet import share_at
from standins.rollout_fleet import version_fault


WINDOW = 60.0
SYNC_SECONDS = 5.0
NONE_WITHIN_SECONDS = 3.0
CONTROL_BYTES_PER_SECOND = 4096


def fleet(zones: str = "aaabbbccc", versions: str = "112112112") -> Fleet:
    """Return daemons that know that there are no decisions yet."""
    built = Fleet(zones, versions)
    built.advance(SYNC_SECONDS)
    return built


class BadVersionTest(unittest.TestCase):
    """A bad version gets a small share, and none soon after its fault shows."""

    def test_fault_at_once_ends_it_everywhere(self) -> None:
        daemons = fleet()
        daemons.failure_probability = version_fault("2", 1.0)
        daemons.add_rollout(WINDOW)
        daemons.advance(0.6)
        self.assertTrue(all(0 < share <= 0.05 for share in daemons.shares()))
        seconds = daemons.seconds_until(lambda: not any(daemons.shares()), 30)
        self.assertLessEqual(seconds, NONE_WITHIN_SECONDS)

    def test_fault_later_ends_it_within_three_seconds(self) -> None:
        daemons = fleet()
        daemons.add_rollout(WINDOW)
        daemons.advance(40)
        self.assertGreater(min(daemons.shares()), 0.05)
        daemons.failure_probability = version_fault("2", 0.5)
        seconds = daemons.seconds_until(lambda: not any(daemons.shares()), 30)
        self.assertLessEqual(seconds, NONE_WITHIN_SECONDS)

    def test_decision_takes_any_path(self) -> None:
        # Zone d holds no server of either version and hears only zone c.
        daemons = fleet("aaabbcd", "1121133")
        daemons.cut_zones("ad", "bd", "ac")
        daemons.add_rollout(WINDOW)
        daemons.advance(2)
        daemons.failure_probability = version_fault("2", 1.0)
        daemons.seconds_until(lambda: daemons.shares()[0] == 0, 30)
        seconds = daemons.seconds_until(
            lambda: all(
                "2" in n.task.excluded_versions("holds") for n in daemons.nodes
            ),
            30,
        )
        self.assertLessEqual(seconds, NONE_WITHIN_SECONDS)

    def test_cut_zone_acts_on_its_own_evidence(self) -> None:
        daemons = fleet()
        daemons.add_rollout(WINDOW)
        daemons.advance(5)
        daemons.cut_zones("ac", "bc")
        daemons.platform.outage = "close"
        daemons.failure_probability = lambda member, version: float(
            version == "2" and member.availability_zone == "c"
        )
        seconds = daemons.seconds_until(lambda: not any(daemons.shares()[6:]), 30)
        self.assertLess(seconds, 30)
        self.assertGreater(min(daemons.shares()[:6]), 0)
        daemons.cut_zones()
        seconds = daemons.seconds_until(lambda: not any(daemons.shares()), 30)
        self.assertLessEqual(seconds, NONE_WITHIN_SECONDS)

    def test_fault_after_done_is_rolled_back_and_reported_as_that(self) -> None:
        daemons = fleet()
        daemons.add_rollout(WINDOW)
        daemons.advance(WINDOW + 5)
        self.assertEqual(daemons.shares(), [1.0] * 9)
        daemons.failure_probability = version_fault("2", 0.5)
        seconds = daemons.seconds_until(lambda: not any(daemons.shares()), 30)
        self.assertLessEqual(seconds, NONE_WITHIN_SECONDS)
        daemons.advance(5)
        document = daemons.document() or {}
        self.assertEqual(document["state"], "rolled_back")
        self.assertEqual(document["after"], "done")
        self.assertTrue(document["fault"]["after_done"])

    def test_word_on_it_is_written_though_the_deadline_was_agreed_on_late(self) -> None:
        daemons = fleet()
        rollout = daemons.add_rollout(16)
        # The daemons agree on the deadline without another configuration.
        daemons.rollouts = {"r": replace(rollout, deadline=DEADLINE_NOT_AGREED)}
        daemons.advance(3)
        self.assertEqual([0.0] * 9, daemons.shares())
        self.assertIsNone(daemons.document())
        daemons.rollouts = {"r": rollout}
        daemons.failure_probability = version_fault("2", 1.0)
        daemons.advance(12)
        self.assertEqual("rolled_back", (daemons.document() or {})["state"])

    def test_shared_cause_after_done_changes_nothing(self) -> None:
        daemons = fleet()
        daemons.add_rollout(WINDOW)
        daemons.advance(WINDOW + 5)
        daemons.failure_probability = version_fault("12", 0.5)
        held = daemons.seconds_until(lambda: max(daemons.shares()) < 1, 10)
        self.assertLess(held, 10)
        states = {node.task.statuses[0].state for node in daemons.nodes}
        self.assertEqual(states, {State.DONE})
        daemons.advance(20)
        self.assertGreater(min(daemons.shares()), 0)
        daemons.failure_probability = version_fault("", 0)
        daemons.advance(10)
        self.assertEqual(daemons.shares(), [1.0] * 9)
        self.assertEqual((daemons.document() or {})["state"], "done")


class NeverBackTest(unittest.TestCase):
    """A version that is rolled back never comes back."""

    def setUp(self) -> None:
        self.daemons = fleet()
        self.rollout = self.daemons.add_rollout(WINDOW)
        self.daemons.advance(5)
        self.paused = self.daemons.nodes[4]
        self.paused.reactor.paused = True
        self.paused.reactor.keeps_messages = False
        self.daemons.failure_probability = version_fault("2", 1.0)
        others = [n for n in self.daemons.nodes if n is not self.paused]
        self.daemons.seconds_until(
            lambda: not any(share_at(n, "2") for n in others), 30
        )
        self.daemons.failure_probability = version_fault("", 0)

    def assert_none(self, seconds: float) -> None:
        for _ in range(int(seconds / 0.1)):
            self.assertEqual(max(self.daemons.shares()), 0)
            self.daemons.advance(0.1)

    def test_paused_daemon_learns_it_when_it_wakes(self) -> None:
        self.daemons.advance(30)
        self.paused.reactor.paused = False
        self.daemons.advance(NONE_WITHIN_SECONDS)
        self.assert_none(60)

    def test_daemon_that_wakes_without_its_messages_waits_for_them(self) -> None:
        self.daemons.advance(40)
        before = share_at(self.paused, "2")
        # The first slice after the pause is none that sends a digest anyway.
        self.paused.task.slice_count = 0
        self.paused.reactor.paused = False
        for _ in range(100):
            self.daemons.advance(0.01)
            self.assertLessEqual(share_at(self.paused, "2"), before)
        self.assert_none(30)

    def test_restarted_daemons_give_no_share_before_they_know(self) -> None:
        self.daemons.platform.outage = "close"
        self.paused.reactor.paused = False
        self.daemons.advance(NONE_WITHIN_SECONDS)
        for number in range(8):
            self.daemons.restart(number)
            self.assert_none(3)
        self.assert_none(60)

    def test_herd_learns_it_from_the_platform(self) -> None:
        self.daemons.advance(5)
        for number in range(9):
            self.daemons.restart(number)
        self.assert_none(60)

    def test_zone_that_comes_back_learns_it(self) -> None:
        self.paused.reactor.paused = False
        self.daemons.advance(NONE_WITHIN_SECONDS)
        self.daemons.platform.outage = "close"
        self.daemons.cut_zones("ac", "bc")
        for number in (6, 7, 8):
            self.daemons.restart(number)
        self.assert_none(20)
        self.daemons.cut_zones()
        self.assert_none(30)

    def test_same_record_written_again_changes_nothing(self) -> None:
        self.paused.reactor.paused = False
        self.daemons.advance(NONE_WITHIN_SECONDS)
        self.daemons.set_rollouts()
        self.assert_none(5)
        for node in self.daemons.nodes:
            self.assertEqual(node.task.excluded_versions("holds"), {"2"})
        self.daemons.set_rollouts(self.rollout)
        self.assert_none(60)

    def test_amended_record_is_another_rollout(self) -> None:
        self.paused.reactor.paused = False
        self.daemons.advance(5)
        deadline = self.daemons.time.now() + timedelta(seconds=WINDOW)
        self.daemons.set_rollouts(replace(self.rollout, deadline=deadline))
        self.daemons.advance(1)
        self.assertTrue(all(0 < s <= 0.05 for s in self.daemons.shares()))
        self.daemons.advance(WINDOW)
        self.assertEqual((self.daemons.document() or {})["state"], "done")


class GoodVersionTest(unittest.TestCase):
    """A good version is done by its deadline."""

    def test_platform_down_and_one_zone_cut(self) -> None:
        daemons = fleet()
        daemons.failure_probability = version_fault("12", 0.02)
        daemons.add_rollout(WINDOW)
        daemons.platform.outage = "close"
        daemons.cut_zones("ab", "ac")
        daemons.advance(WINDOW * 0.99)
        self.assertEqual(daemons.shares(), [1.0] * 9)
        daemons.platform.outage = ""
        daemons.advance(5)
        document = daemons.document() or {}
        self.assertEqual(document["state"], "done")
        heard = {"a": ["b", "c"], "b": ["a"], "c": ["a"]}
        self.assertIn(document["zones_not_heard"], heard.values())

    def test_lost_answers_leave_one_word(self) -> None:
        daemons = fleet()
        daemons.platform.lose_answers = 5
        daemons.add_rollout(WINDOW)
        daemons.advance(WINDOW + 10)
        self.assertEqual((daemons.document() or {})["state"], "done")

    def test_no_server_of_the_version_is_said_and_then_missed(self) -> None:
        daemons = fleet(versions="1" * 9)
        daemons.add_rollout(WINDOW)
        daemons.advance(5)
        document = daemons.document() or {}
        self.assertEqual(document["state"], "waiting_for_servers")
        self.assertIn("no server of holds 2", document["reason"])
        daemons.advance(WINDOW)
        document = daemons.document() or {}
        self.assertEqual(document["state"], "deadline_missed")
        self.assertIn("no server of holds 2", document["reason"])

    def test_servers_that_come_late_are_in_time_or_missed(self) -> None:
        for late, state in ((30, "done"), (55, "deadline_missed")):
            daemons = fleet(versions="1" * 9)
            daemons.add_rollout(WINDOW)
            daemons.advance(late)
            for number in (2, 5, 8):
                daemons.set_version(number, "2")
            daemons.advance(1)
            self.assertLessEqual(max(daemons.shares()), 0.05)
            daemons.advance(WINDOW - late + 25)
            self.assertEqual((daemons.document() or {})["state"], state)
            self.assertEqual(daemons.shares(), [1.0] * 9)

    def test_removed_midway_is_reported(self) -> None:
        daemons = fleet()
        daemons.add_rollout(WINDOW)
        daemons.advance(10)
        daemons.set_rollouts()
        daemons.advance(5)
        document = daemons.document() or {}
        self.assertEqual(document["state"], "removed")
        self.assertIn("small_share", document["reason"])
        self.assertIsNone(daemons.nodes[0].task.tracker.plans.get("holds"))

    def test_amended_midway_goes_on_from_where_it_is(self) -> None:
        daemons = fleet()
        rollout = daemons.add_rollout(WINDOW)
        daemons.advance(45)
        before = min(daemons.shares())
        later = replace(rollout, deadline=rollout.deadline + timedelta(seconds=6))
        daemons.set_rollouts(later)
        daemons.advance(1)
        self.assertGreater(min(daemons.shares()), 0.3 * before)
        daemons.advance(21)
        self.assertEqual((daemons.document() or {})["state"], "done")

    def test_two_rollouts_of_a_service(self) -> None:
        daemons = fleet(versions="112113112")
        daemons.add_rollout(WINDOW, "first", "2")
        daemons.advance(5)
        daemons.add_rollout(WINDOW, "second", "3")
        daemons.failure_probability = version_fault("3", 1.0)
        daemons.advance(WINDOW)
        self.assertEqual((daemons.document("first") or {})["state"], "done")
        self.assertEqual((daemons.document("second") or {})["state"], "rolled_back")


class EvidenceTest(unittest.TestCase):
    """What evidence costs and what refused messages do."""

    def test_control_bytes_stay_within_the_limit(self) -> None:
        daemons = fleet("aaaabbbbccccdddd", "1122" * 4)
        daemons.add_rollout(WINDOW)
        daemons.sent_bytes.clear()
        daemons.advance(20)
        worst = max(daemons.sent_bytes.values()) / 20
        self.assertLessEqual(worst, CONTROL_BYTES_PER_SECOND)

    def test_garbage_is_refused(self) -> None:
        daemons = fleet()
        node = daemons.nodes[0]
        node.task.receive_message(daemons.nodes[1].member.address, b"\xff\x07nonsense")
        self.assertEqual(node.task.version_for(ROUTE.service), "")

    def test_hold_ends_by_itself(self) -> None:
        daemons = fleet()
        rollout = daemons.add_rollout(WINDOW)
        daemons.advance(WINDOW - 10)
        now = daemons.time.now()
        for node in daemons.nodes:
            decisions = node.task.tracker.decisions
            held_until = now + timedelta(seconds=3)
            decisions.extend_hold(RolloutId.from_rollout(rollout), held_until)
            node.task.tracker.refresh()
        self.assertEqual(max(daemons.shares()), 0.5)
        self.assertIs(daemons.nodes[0].task.statuses[0].state, State.HELD)
        daemons.advance(8)
        self.assertEqual(daemons.shares(), [1.0] * 9)
