"""Tests of the member table: merges, retention and checksums."""

from __future__ import annotations

import unittest
from dataclasses import replace

from briarslip.address import Address
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status
from briarslip.process.membership.member_table import DEPARTED_RETENTION_SECONDS
from briarslip.process.membership.member_table import VERSION_RETENTION_SECONDS
from briarslip.process.membership.member_table import ZONE_RETENTION_SECONDS
from briarslip.process.membership.member_table import MemberTable
from briarslip.process.membership.member_table import checksum
from briarslip.process.membership.member_table import expire
from briarslip.process.membership.member_table import merge_update
from tests.support.members import endpoint


def member(number: int, zone: str = "klang") -> Member:
    """Return a live member."""
    address = Address(f"10.0.{len(zone)}.{number}", 7000)
    return Member(address, zone, "x", 5, Status.ALIVE, 3, (endpoint("holds"),))


class TableTest(unittest.TestCase):
    """Precedence of updates, checksums, and retention times."""

    def setUp(self) -> None:
        self.table = MemberTable(member(1))

    def test_merge_does_not_depend_on_order_or_repetition(self) -> None:
        alive, raised = member(2), replace(member(2), incarnation=6)
        suspect = replace(alive, status=Status.SUSPECT)
        dead = replace(alive, status=Status.DEAD)
        for order in ((alive, suspect, dead, raised), (raised, dead, suspect, alive)):
            table = MemberTable(member(1))
            for update in (*order, *order):
                merge_update(table, update, 0.0)
            self.assertEqual(raised, table.members[alive.address])

    def test_dead_member_is_not_revived_by_an_old_update(self) -> None:
        merge_update(
            self.table, replace(member(2), status=Status.DEAD, endpoints=()), 0.0
        )
        self.assertIsNone(merge_update(self.table, member(2), 1.0))
        self.assertEqual(1, len(self.table.live))

    def test_dead_member_and_its_version_expire(
        self,
    ) -> None:
        merge_update(self.table, member(2), 0.0)
        merge_update(self.table, replace(member(2), status=Status.DEAD), 0.0)
        expire(self.table, DEPARTED_RETENTION_SECONDS + 1.0)
        self.assertEqual({}, self.table.members)
        self.assertEqual(3, self.table.last_known_version(member(2).address))
        expire(self.table, VERSION_RETENTION_SECONDS + DEPARTED_RETENTION_SECONDS)
        self.assertEqual(0, self.table.last_known_version(member(2).address))

    def test_zone_without_contact_is_evicted(self) -> None:
        merge_update(self.table, member(2), 0.0)
        merge_update(self.table, member(1, "penang"), 0.0)
        self.table.zone_last_contact_at = {"klang": 0.0, "penang": 0.0}
        expire(self.table, ZONE_RETENTION_SECONDS - 1.0)
        self.assertEqual(1, len(self.table.zone_members("penang")))
        expire(self.table, ZONE_RETENTION_SECONDS + 1.0)
        self.assertEqual((), self.table.zone_members("penang"))
        self.assertEqual(2, len(self.table.live))

    def test_checksum_covers_live_members_and_incarnations(self) -> None:
        other = MemberTable(member(2))
        merge_update(self.table, member(2), 0.0)
        self.assertNotEqual(checksum(self.table, "klang"), checksum(other, "klang"))
        merge_update(other, member(1), 0.0)
        self.assertEqual(checksum(self.table, "klang"), checksum(other, "klang"))
        merge_update(other, replace(member(1), incarnation=6), 0.0)
        self.assertNotEqual(checksum(self.table, "klang"), checksum(other, "klang"))
