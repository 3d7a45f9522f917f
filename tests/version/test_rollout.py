"""Tests of traffic plans, decisions, rollout states and status documents."""

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
from briarslip.version.evidence_codec import DecisionsState
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


def make_decision(
    rollout_id: RolloutId = ID, zone: str = "a", seconds: float = 5
) -> Decision:
    """Return a decision to roll back version 2, ``seconds`` after ``BEGIN``."""
    fault = Fault("holds", "failure_share", 0.5, 0.01)
    decided = BEGIN + timedelta(seconds=seconds)
    return Decision(rollout_id, "holds", "2", fault, decided, zone, False)


def synced_decisions(*started: Rollout) -> Decisions:
    """Return synchronized decisions with rollouts that started at ``BEGIN``."""
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
    """Return each version's traffic share ``seconds`` into the window."""
    now = BEGIN + timedelta(seconds=seconds)
    plan = traffic_plan("holds", rollouts or (ROLLOUT,), servers, decisions, now)
    return dict(plan.shares) if plan else {}


class TrafficPlanTest(unittest.TestCase):
    """Traffic shares of the versions of a service."""

    def test_small_share_goes_to_one_server(self) -> None:
        now = BEGIN + timedelta(seconds=30)
        plan = traffic_plan("holds", (ROLLOUT,), OLD_AND_NEW, synced_decisions(), now)
        assert plan is not None
        self.assertLessEqual(dict(plan.shares)["2"], 0.05)
        self.assertEqual(len(plan.server_subsets["2"]), 1)

    def test_no_traffic_is_shifted_before_decisions_are_synced(self) -> None:
        decisions = synced_decisions()
        decisions.is_synced = False
        self.assertEqual(shares(99, decisions), {"1": 1.0})

    def test_rolled_back_version_gets_no_traffic_even_if_alone(self) -> None:
        decisions = synced_decisions()
        decisions.add(make_decision())
        self.assertEqual(shares(99, decisions), {"1": 1.0})
        self.assertEqual(shares(99, decisions, {"2": SERVERS["2"]}), {})

    def test_version_stays_excluded_after_its_record_is_removed(self) -> None:
        decisions = synced_decisions()
        decisions.add(make_decision())
        plan = traffic_plan("holds", (), OLD_AND_NEW, decisions, BEGIN)
        assert plan is not None
        self.assertEqual(plan.shares, (("1", 1.0),))
        self.assertEqual(plan.excluded_versions, {"2"})

    def test_version_without_rollout_gets_nothing_beside_a_done_one(self) -> None:
        self.assertEqual(shares(99, synced_decisions(), SERVERS), {"2": 1.0})

    def test_new_version_gets_all_traffic_without_old_servers(self) -> None:
        self.assertEqual(
            shares(10, synced_decisions(), {"2": SERVERS["2"]}), {"2": 1.0}
        )

    def test_two_rollouts_at_once_share_the_traffic(self) -> None:
        later = timedelta(seconds=50)
        second = replace(
            ROLLOUT, name="t", version="3", deadline=BEGIN + WINDOW + later
        )
        found_shares = shares(
            75, synced_decisions(ROLLOUT, second), SERVERS, ROLLOUT, second
        )
        self.assertAlmostEqual(sum(found_shares.values()), 1.0)
        self.assertLessEqual(found_shares["3"], 0.05)
        self.assertGreater(found_shares["2"], 0.1)

    def test_later_of_two_rollouts_to_one_version_is_effective(self) -> None:
        early = replace(ROLLOUT, name="early", deadline=BEGIN + WINDOW / 2)
        found_shares = shares(
            49, synced_decisions(ROLLOUT, early), OLD_AND_NEW, early, ROLLOUT
        )
        self.assertLessEqual(found_shares["2"], 0.05)

    def test_service_without_rollout_has_no_plan(self) -> None:
        self.assertIsNone(traffic_plan("x", (ROLLOUT,), {}, synced_decisions(), BEGIN))


class DecisionsTest(unittest.TestCase):
    """Decisions merge to the same result in any order."""

    def test_merge_is_independent_of_order(self) -> None:
        decisions_to_merge = [
            make_decision(seconds=5),
            make_decision(zone="b", seconds=3),
            make_decision(seconds=9),
        ]
        digests = set()
        for order in itertools.permutations(decisions_to_merge):
            decisions = synced_decisions()
            new = [decisions.add(decision) for decision in order]
            self.assertEqual(new, [True, False, False])
            digests.add(decisions.digest)
        self.assertEqual(len(digests), 1)

    def test_amended_rollout_permits_the_version_again(self) -> None:
        decisions = synced_decisions()
        decisions.add(make_decision())
        amended = RolloutId.from_rollout(replace(ROLLOUT, window=WINDOW * 2))
        self.assertEqual(decisions.excluded_versions("holds", [("2", ID)]), {"2"})
        self.assertEqual(
            decisions.excluded_versions("holds", [("2", amended)]), frozenset()
        )

    def test_state_message_is_lossless(self) -> None:
        deadline = BEGIN + timedelta(microseconds=1)
        state = DecisionsState(
            True,
            (make_decision(),),
            ((ID, BEGIN),),
            ((ID, BEGIN),),
            (("rollout-deadlines/holds/9", deadline),),
        )
        self.assertEqual(decode_message(encode_message(state)).unwrap(), state)
        self.assertTrue(decode_message(b"\x01\x02").is_err())


class RolloutStatusTest(unittest.TestCase):
    """States of a rollout over its window."""

    def state(self, seconds: float, servers: ServersByVersion = OLD_AND_NEW) -> State:
        now = BEGIN + timedelta(seconds=seconds)
        return rollout_status(ROLLOUT, servers, synced_decisions(), now).state

    def test_states_along_the_window(self) -> None:
        self.assertIs(self.state(-1), State.PENDING)
        self.assertIs(self.state(10), State.SMALL_SHARE)
        self.assertIs(self.state(70), State.RAMPING)
        self.assertIs(self.state(95), State.DONE)
        self.assertIs(self.state(10_000), State.DONE)

    def test_states_without_servers_of_the_version(self) -> None:
        old_only = {"1": SERVERS["1"]}
        self.assertIs(self.state(10, old_only), State.WAITING_FOR_SERVERS)
        self.assertIs(self.state(101, old_only), State.DEADLINE_MISSED)


class StatusDocumentTest(unittest.TestCase):
    """Replacement of the status document in the store."""

    def document(
        self, seconds: float, decisions: Decisions, configuration_version: int = 1
    ) -> Document:
        now = BEGIN + timedelta(seconds=seconds)
        status = rollout_status(ROLLOUT, OLD_AND_NEW, decisions, now)
        return rollout_document(status, decisions, now, configuration_version, ("c",))

    def test_state_is_replaced_by_a_later_one_only(self) -> None:
        small, done = (
            self.document(10, synced_decisions()),
            self.document(95, synced_decisions()),
        )
        self.assertEqual(document_to_write(small, done), done)
        self.assertIsNone(document_to_write(done, small))
        self.assertIsNone(document_to_write(done, {**done, "state": "deadline_missed"}))

    def test_rolled_back_replaces_done_and_reports_it(self) -> None:
        decisions = synced_decisions()
        decisions.add(make_decision())
        rolled_back, done = (
            self.document(99, decisions),
            self.document(95, synced_decisions()),
        )
        written = document_to_write(done, rolled_back)
        assert written is not None
        self.assertEqual((written["state"], written["after"]), ("rolled_back", "done"))
        self.assertEqual(written["fault"]["route"], "holds")
        self.assertIsNone(document_to_write(written, done))
        self.assertEqual(decision_from_document(written), make_decision())

    def test_older_configuration_does_not_replace_a_newer_rollout(self) -> None:
        newer = {**self.document(10, synced_decisions(), 5), "digest": "other"}
        self.assertIsNone(
            document_to_write(newer, self.document(95, synced_decisions(), 4))
        )
        self.assertIsNotNone(
            document_to_write(newer, self.document(10, synced_decisions(), 6))
        )
