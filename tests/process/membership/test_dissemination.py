"""The queue of statements and its bounds."""

from __future__ import annotations

import unittest
from dataclasses import replace

from briarslip.address import Address
from briarslip.process.membership.dissemination import MAX_QUEUED
from briarslip.process.membership.dissemination import ByteBudget
from briarslip.process.membership.dissemination import Outbox
from briarslip.process.membership.dissemination import max_passes
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status


def member(number: int, status: Status = Status.ALIVE) -> Member:
    """Return a member without endpoints."""
    address = Address(f"10.0.{number // 250}.{number % 250 + 1}", 7000)
    return Member(address, "klang", "default", 1, status, 0, ())


class OutboxTest(unittest.TestCase):
    """Order, number of passes and bytes."""

    def setUp(self) -> None:
        self.outbox = Outbox(ByteBudget(0.0, 200.0), ByteBudget(0.0, 5_000.0))

    def test_statement_is_passed_on_a_bounded_number_of_times(self) -> None:
        self.outbox.put(member(1))
        picks = [self.outbox.pick(200, set()) for _ in range(50)]
        self.assertEqual(max_passes(200), sum(map(bool, picks)))

    def test_draining_goes_first_and_has_a_budget_of_its_own(self) -> None:
        for number in range(300):
            self.outbox.put(member(number))
        while self.outbox.pick(200, set()):
            pass
        self.assertLessEqual(self.outbox.budget.available, 0)
        leaving = member(400, Status.LEFT)
        self.outbox.put(leaving)
        self.assertEqual((leaving,), self.outbox.pick(200, set()))

    def test_newer_statement_takes_the_place_of_an_older_one(self) -> None:
        self.outbox.put(member(1))
        newer = replace(member(1), incarnation=2)
        self.outbox.put(newer)
        self.assertEqual((newer,), self.outbox.pick(10, set()))

    def test_refutation_that_comes_back_is_still_passed_on(self) -> None:
        self.outbox.put(member(1), refutes=True)
        self.outbox.put(member(2))
        for _ in range(max_passes(10)):
            self.outbox.heard(member(1), 10)
            self.outbox.heard(member(2), 10)
        self.assertEqual((member(1),), self.outbox.pick(10, set()))

    def test_queue_is_bounded(self) -> None:
        for number in range(MAX_QUEUED + 100):
            self.outbox.put(member(number))
        self.assertEqual(MAX_QUEUED, len(self.outbox.queued))
