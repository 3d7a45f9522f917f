"""Shares of versions, decisions and the terminal word."""

from __future__ import annotations

import itertools
import unittest
from dataclasses import replace
from datetime import UTC
from datetime import datetime
from datetime import timedelta

from briarslip.address import Address
from briarslip.version.decision import Decision
from briarslip.version.decision import Decisions
from briarslip.version.decision import Fault
from briarslip.version.decision import RolloutId
from briarslip.version.evidence_codec import RolloutState
from briarslip.version.evidence_codec import decode_message
from briarslip.version.evidence_codec import encode_message
from briarslip.version.record import Rollout
from briarslip.version.rollout import ServersByVersion
from briarslip.version.rollout import State
from briarslip.version.rollout import rollout_status
from briarslip.version.rollout import traffic_plan
from briarslip.version.rollout_document import Document
from briarslip.version.rollout_document import decision_from_document
from briarslip.version.rollout_document import document_to_write
from briarslip.version.rollout_document import rollout_document


BEGIN = datetime(2026, 1, 1, tzinfo=UTC)
WINDOW = timedelta(seconds=100)
ROLLOUT = Rollout("r", "holds", "2", BEGIN + WINDOW, WINDOW, 0.05)
ID = RolloutId.from_rollout(ROLLOUT)
SERVERS: ServersByVersion = {
    version: frozenset(Address(f"10.0.0.{version}", n) for n in range(4))
    for version in "123"
}
OLD_AND_NEW: ServersByVersion = {version: SERVERS[version] for version in "12"}


def decision(rollout_id: RolloutId = ID, zone: str = "a", after: float = 5) -> Decision:
    """Return a decision to roll back version 2."""
    fault = Fault("holds", "failure_share", 0.5, 0.01)
    when = BEGIN + timedelta(seconds=after)
    return Decision(rollout_id, "holds", "2", fault, when, zone, False)


def known(*started: Rollout) -> Decisions:
    """Return synced decisions in which rollouts started in time."""
    decisions = Decisions(is_synced=True)
    for rollout in started or (ROLLOUT,):
        decisions.record_start(RolloutId.from_rollout(rollout), BEGIN)
    return decisions


def shares(
    seconds: float,
    decisions: Decisions,
    servers: ServersByVersion = OLD_AND_NEW,
    *rollouts: Rollout,
) -> dict[str, float]:
    """Return the shares some seconds into the window."""
    now = BEGIN + timedelta(seconds=seconds)
    plan = traffic_plan("holds", rollouts or (ROLLOUT,), servers, decisions, now)
    return dict(plan.shares) if plan else {}


class PlanTest(unittest.TestCase):
    """Which version gets which share."""

    def test_small_share_goes_to_one_server(self) -> None:
        now = BEGIN + timedelta(seconds=30)
        plan = traffic_plan("holds", (ROLLOUT,), OLD_AND_NEW, known(), now)
        assert plan is not None
        self.assertLessEqual(dict(plan.shares)["2"], 0.05)
        self.assertEqual(len(plan.server_subsets["2"]), 1)

    def test_nothing_is_moved_before_decisions_are_known(self) -> None:
        decisions = known()
        decisions.is_synced = False
        self.assertEqual(shares(99, decisions), {"1": 1.0})

    def test_rolled_back_version_gets_nothing_even_when_it_is_alone(self) -> None:
        decisions = known()
        decisions.add(decision())
        self.assertEqual(shares(99, decisions), {"1": 1.0})
        self.assertEqual(shares(99, decisions, {"2": SERVERS["2"]}), {})

    def test_it_stays_out_after_its_record_is_removed(self) -> None:
        decisions = known()
        decisions.add(decision())
        plan = traffic_plan("holds", (), OLD_AND_NEW, decisions, BEGIN)
        assert plan is not None
        self.assertEqual(plan.shares, (("1", 1.0),))
        self.assertEqual(plan.excluded_versions, {"2"})

    def test_version_without_record_gets_nothing_beside_a_done_one(self) -> None:
        self.assertEqual(shares(99, known(), SERVERS), {"2": 1.0})

    def test_last_servers_of_the_old_version_leave(self) -> None:
        self.assertEqual(shares(10, known(), {"2": SERVERS["2"]}), {"2": 1.0})

    def test_two_rollouts_share_what_is_left(self) -> None:
        later = timedelta(seconds=50)
        second = replace(
            ROLLOUT, name="t", version="3", deadline=BEGIN + WINDOW + later
        )
        found = shares(75, known(ROLLOUT, second), SERVERS, ROLLOUT, second)
        self.assertAlmostEqual(sum(found.values()), 1.0)
        self.assertLessEqual(found["3"], 0.05)
        self.assertGreater(found["2"], 0.1)

    def test_of_two_records_to_one_version_the_later_counts(self) -> None:
        early = replace(ROLLOUT, name="early", deadline=BEGIN + WINDOW / 2)
        found = shares(49, known(ROLLOUT, early), OLD_AND_NEW, early, ROLLOUT)
        self.assertLessEqual(found["2"], 0.05)

    def test_service_without_rollout_has_no_plan(self) -> None:
        self.assertIsNone(traffic_plan("x", (ROLLOUT,), {}, known(), BEGIN))


class DecisionsTest(unittest.TestCase):
    """Decisions come out the same in whatever order they arrive."""

    def test_any_order_gives_the_same(self) -> None:
        several = [decision(after=5), decision(zone="b", after=3), decision(after=9)]
        digests = set()
        for order in itertools.permutations(several):
            decisions = known()
            new = [decisions.add(one) for one in order]
            self.assertEqual(new, [True, False, False])
            digests.add(decisions.digest)
        self.assertEqual(len(digests), 1)

    def test_amended_record_lets_the_version_in_again(self) -> None:
        decisions = known()
        decisions.add(decision())
        amended = RolloutId.from_rollout(replace(ROLLOUT, window=WINDOW * 2))
        self.assertEqual(decisions.excluded_versions("holds", [("2", ID)]), {"2"})
        self.assertEqual(
            decisions.excluded_versions("holds", [("2", amended)]), frozenset()
        )

    def test_message_carries_all_of_it(self) -> None:
        state = RolloutState(True, (decision(),), ((ID, BEGIN),), ((ID, BEGIN),))
        self.assertEqual(decode_message(encode_message(state)).unwrap(), state)
        self.assertTrue(decode_message(b"\x01\x02").is_err())


class StatusTest(unittest.TestCase):
    """States and why they are so."""

    def state(self, seconds: float, servers: ServersByVersion = OLD_AND_NEW) -> State:
        now = BEGIN + timedelta(seconds=seconds)
        return rollout_status(ROLLOUT, servers, known(), now).state

    def test_states_along_the_window(self) -> None:
        self.assertIs(self.state(-1), State.PENDING)
        self.assertIs(self.state(10), State.SMALL_SHARE)
        self.assertIs(self.state(70), State.RAMPING)
        self.assertIs(self.state(95), State.DONE)
        self.assertIs(self.state(10_000), State.DONE)

    def test_no_servers(self) -> None:
        old_only = {"1": SERVERS["1"]}
        self.assertIs(self.state(10, old_only), State.WAITING_FOR_SERVERS)
        self.assertIs(self.state(101, old_only), State.DEADLINE_MISSED)


class DocumentTest(unittest.TestCase):
    """One word stands on the platform."""

    def document(
        self, seconds: float, decisions: Decisions, configuration: int = 1
    ) -> Document:
        now = BEGIN + timedelta(seconds=seconds)
        found = rollout_status(ROLLOUT, OLD_AND_NEW, decisions, now)
        return rollout_document(found, decisions, now, configuration, ("c",))

    def test_words_only_go_forward(self) -> None:
        small, done = self.document(10, known()), self.document(95, known())
        self.assertEqual(document_to_write(small, done), done)
        self.assertIsNone(document_to_write(done, small))
        self.assertIsNone(document_to_write(done, {**done, "state": "deadline_missed"}))

    def test_rolled_back_wins_and_tells_what_was_before(self) -> None:
        decisions = known()
        decisions.add(decision())
        back, done = self.document(99, decisions), self.document(95, known())
        written = document_to_write(done, back)
        assert written is not None
        self.assertEqual((written["state"], written["after"]), ("rolled_back", "done"))
        self.assertEqual(written["fault"]["route"], "holds")
        self.assertIsNone(document_to_write(written, done))
        self.assertEqual(decision_from_document(written), decision())

    def test_older_configuration_does_not_speak_for_a_newer_record(self) -> None:
        newer = {**self.document(10, known(), 5), "digest": "other"}
        self.assertIsNone(document_to_write(newer, self.document(95, known(), 4)))
        self.assertIsNotNone(document_to_write(newer, self.document(10, known(), 6)))
