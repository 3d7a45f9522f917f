"""Tests of the queue of updates to disseminate."""

from __future__ import annotations

import unittest
from dataclasses import replace

from briarslip.address import Address
from briarslip.process.membership.dissemination import MAX_QUEUED_UPDATES
from briarslip.process.membership.dissemination import ByteBudget
from briarslip.process.membership.dissemination import Outbox
from briarslip.process.membership.dissemination import transmission_limit
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status


def member(number: int, status: Status = Status.ALIVE) -> Member:
    """Return a member without endpoints."""
    address = Address(f"10.0.{number // 250}.{number % 250 + 1}", 7000)
    return Member(address, "klang", "default", 1, status, 0, ())


class OutboxTest(unittest.TestCase):
    """Order, number of transmissions and byte budgets."""

    def setUp(self) -> None:
        self.outbox = Outbox(ByteBudget(0.0, 200.0), ByteBudget(0.0, 5_000.0))

    def test_update_is_sent_a_limited_number_of_times(self) -> None:
        self.outbox.put(member(1))
        selections = [self.outbox.select(200, set()) for _ in range(50)]
        self.assertEqual(transmission_limit(200), sum(map(bool, selections)))

    def test_draining_goes_first_with_a_separate_budget(self) -> None:
        for number in range(300):
            self.outbox.put(member(number))
        while self.outbox.select(200, set()):
            pass
        self.assertLessEqual(self.outbox.budget.available_bytes, 0)
        draining = member(400, Status.LEFT)
        self.outbox.put(draining)
        self.assertEqual((draining,), self.outbox.select(200, set()))

    def test_newer_update_replaces_an_older_one(self) -> None:
        self.outbox.put(member(1))
        newer = replace(member(1), incarnation=2)
        self.outbox.put(newer)
        self.assertEqual((newer,), self.outbox.select(10, set()))

    def test_received_copies_of_a_refutation_do_not_stop_it(self) -> None:
        self.outbox.put(member(1), is_refutation=True)
        self.outbox.put(member(2))
        for _ in range(transmission_limit(10)):
            self.outbox.record_duplicate(member(1), 10)
            self.outbox.record_duplicate(member(2), 10)
        self.assertEqual((member(1),), self.outbox.select(10, set()))

    def test_queue_is_bounded(self) -> None:
        for number in range(MAX_QUEUED_UPDATES + 100):
            self.outbox.put(member(number))
        self.assertEqual(MAX_QUEUED_UPDATES, len(self.outbox.queued))
