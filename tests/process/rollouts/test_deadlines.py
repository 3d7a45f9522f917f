"""Tests of the agreement on the deadline of an ordered rollout."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from typing import Any
from unittest.mock import patch

from briarslip.process.rollouts.deadlines import DEADLINE_PREFIX
from briarslip.process.rollouts.deadlines import OrderKey
from briarslip.process.rollouts.deadlines import RolloutDeadlines
from briarslip.process.rollouts.peers import ANALYZERS_PER_ZONE
from briarslip.process.store.revision import to_revision
from briarslip.version.record import DEADLINE_NOT_AGREED
from briarslip.version.record import Rollout
from standins.rollout_fleet import Fleet
from standins.simulated_store import SimulatedStore


START = datetime(2026, 1, 1, tzinfo=UTC)
WINDOW = timedelta(seconds=16)
ROLLOUT = Rollout("holds", "holds", "v2", DEADLINE_NOT_AGREED, WINDOW, 0.05, order=9)

# The store was restored from a copy and the order written again at its revision 4,
# then the operators gave the same order once more.
BEFORE_RESTORE = replace(ROLLOUT, order=to_revision(1, 9))
WRITTEN_AGAIN = replace(ROLLOUT, order=to_revision(2, 4))
GIVEN_ONCE_MORE = replace(ROLLOUT, order=to_revision(2, 6))


class OffsetClock:
    """The clock of one daemon, whose wall time is offset by some seconds."""

    def __init__(self, clock: Any, offset_seconds: float = 0.0) -> None:
        self.clock = clock
        self.offset_seconds = offset_seconds

    def now(self) -> datetime:
        """Return the wall time with the offset."""
        return START + timedelta(seconds=self.clock.seconds() + self.offset_seconds)

    def monotonic(self) -> float:
        """Return the reactor's time."""
        return float(self.clock.seconds())


class RolloutDeadlinesTest(unittest.TestCase):
    """All daemons use one deadline, including daemons that start later."""

    def setUp(self) -> None:
        self.simulated_store = SimulatedStore()

    def make_daemon(self, seed: int, offset_seconds: float = 0.0) -> RolloutDeadlines:
        """Return the deadlines of one daemon."""
        clock = OffsetClock(self.simulated_store.clock, offset_seconds)
        rng = random.Random(seed)
        agreed: dict[str, datetime] = {}
        return RolloutDeadlines(
            self.simulated_store.clock,
            clock,
            rng,
            self.simulated_store.client,
            agreed,
            agreed.__setitem__,
            lambda service: bool(seed % 2),
        )

    def wait(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.simulated_store.clock.pump([0.1] * round(seconds * 10))

    def test_all_daemons_agree_on_one_deadline_within_the_window(self) -> None:
        daemons = [
            self.make_daemon(seed, offset_seconds=seed * 0.2) for seed in range(6)
        ]
        for daemon in daemons:
            self.assertEqual(
                DEADLINE_NOT_AGREED, daemon.with_deadline(ROLLOUT).deadline
            )
        self.wait(2)
        late_daemon = self.make_daemon(9, offset_seconds=1.0)
        late_daemon.with_deadline(ROLLOUT)
        self.wait(2)
        deadlines = {d.with_deadline(ROLLOUT).deadline for d in (*daemons, late_daemon)}
        self.assertEqual(1, len(deadlines))
        deadline = deadlines.pop()
        self.assertLess(deadline, START + WINDOW + timedelta(seconds=1))
        self.assertGreater(deadline, START + WINDOW / 2)

    def test_another_order_has_its_own_deadline(self) -> None:
        daemon = self.make_daemon(1)
        daemon.with_deadline(ROLLOUT)
        self.wait(3)
        again = Rollout(
            "holds", "holds", "v2", DEADLINE_NOT_AGREED, WINDOW, 0.05, order=12
        )
        daemon.with_deadline(again)
        self.wait(3)
        first = daemon.with_deadline(ROLLOUT).deadline
        self.assertGreater(daemon.with_deadline(again).deadline, first)

    def agree_before_restore(self, daemon: RolloutDeadlines) -> datetime:
        """Agree on the deadline of an order in copy 1 of the store."""
        daemon.with_deadline(BEFORE_RESTORE)
        self.wait(3)
        return daemon.with_deadline(BEFORE_RESTORE).deadline

    def test_order_that_is_written_again_after_a_restore_starts_anew(self) -> None:
        daemon = self.make_daemon(1)
        deadline = self.agree_before_restore(daemon)
        self.simulated_store.store.items.clear()
        self.assertEqual(deadline, daemon.with_deadline(WRITTEN_AGAIN).deadline)
        self.wait(3)
        self.assertEqual(deadline, daemon.with_deadline(WRITTEN_AGAIN).deadline)
        key = str(OrderKey.from_rollout(WRITTEN_AGAIN))
        stored = self.simulated_store.store.items[key]
        self.assertEqual(deadline.isoformat().encode(), stored.value)

    def test_daemon_that_starts_after_a_restore_uses_the_deadline_in_the_copy(
        self,
    ) -> None:
        deadline = self.agree_before_restore(self.make_daemon(1))
        started_later = self.make_daemon(2)
        started_later.with_deadline(WRITTEN_AGAIN)
        self.wait(3)
        self.assertEqual(deadline, started_later.with_deadline(WRITTEN_AGAIN).deadline)

    def test_same_order_given_once_more_after_a_restore_is_another_rollout(
        self,
    ) -> None:
        daemon = self.make_daemon(1)
        deadline = self.agree_before_restore(daemon)
        for order in (WRITTEN_AGAIN, GIVEN_ONCE_MORE):
            daemon.with_deadline(order)
            self.wait(3)
        self.assertEqual(deadline, daemon.with_deadline(WRITTEN_AGAIN).deadline)
        self.assertGreater(daemon.with_deadline(GIVEN_ONCE_MORE).deadline, deadline)

    def test_store_outage_delays_the_agreement(self) -> None:
        daemon = self.make_daemon(1)
        self.simulated_store.store.outage = "close"
        daemon.with_deadline(ROLLOUT)
        self.wait(4)
        self.assertEqual(DEADLINE_NOT_AGREED, daemon.with_deadline(ROLLOUT).deadline)
        self.simulated_store.store.outage = ""
        self.wait(4)
        self.assertNotEqual(DEADLINE_NOT_AGREED, daemon.with_deadline(ROLLOUT).deadline)

    def test_deadline_in_the_record_is_kept(self) -> None:
        record = Rollout("r", "holds", "2", START, WINDOW, 0.05)
        self.assertIs(record, self.make_daemon(1).with_deadline(record))

    def test_few_daemons_ask_the_store(self) -> None:
        """The others hear of the deadline from their peers.

        Zones of the size of the users' largest site; one call each was two.
        """
        fleet = Fleet("abcde" * 20, "12" * 50)
        fleet.advance(5)
        store = fleet.store
        with (
            patch.object(store, "get", wraps=store.get) as get,
            patch.object(store, "swap", wraps=store.swap) as swap,
        ):
            fleet.set_rollouts(replace(ROLLOUT, name="r"))
            fleet.advance(2)
        keys = [call.args[0] for call in (*get.mock_calls, *swap.mock_calls)]
        calls = sum(key.startswith(DEADLINE_PREFIX) for key in keys)
        self.assertLessEqual(calls, 2 * 5 * ANALYZERS_PER_ZONE)
        deadlines = {n.task.statuses[0].rollout.deadline for n in fleet.nodes}
        self.assertEqual(1, len(deadlines))
        self.assertNotIn(DEADLINE_NOT_AGREED, deadlines)


if __name__ == "__main__":
    unittest.main()
