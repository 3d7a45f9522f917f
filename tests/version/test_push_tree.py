"""Tests of the relays and the tree along which versions are pushed."""

from __future__ import annotations

import unittest

from briarslip.address import Address
from briarslip.version.push_tree import FANOUT
from briarslip.version.push_tree import RELAYS_PER_ZONE
from briarslip.version.push_tree import push_targets
from briarslip.version.push_tree import relays


class PushTreeTest(unittest.TestCase):
    """The tree reaches every member once, in few hops, with a bounded fanout."""

    def test_tree_reaches_every_member_once(self) -> None:
        for size in (1, 2, 3, 10, 200):
            members = [Address("10.0.0.1", port) for port in range(1, size + 1)]
            for version in (1, 2):
                pushed: list[Address] = []
                for member in members:
                    targets = push_targets(member, members, "klang", version)
                    self.assertLessEqual(len(targets), FANOUT)
                    pushed.extend(targets)
                roots = relays(members, "klang")
                self.assertEqual(len(roots), min(size, RELAYS_PER_ZONE))
                self.assertEqual(sorted([*roots, *pushed]), members)

    def test_tree_has_few_hops(self) -> None:
        members = [Address("10.0.0.1", port) for port in range(1, 201)]
        reached = set(relays(members, "klang"))
        hops = 0
        while len(reached) < len(members):
            hops += 1
            for member in tuple(reached):
                reached |= set(push_targets(member, members, "klang", 1))
        self.assertLessEqual(hops, 4)

    def test_departure_replaces_at_most_one_relay(self) -> None:
        members = [Address("10.0.0.1", port) for port in range(1, 50)]
        before = relays(members, "klang")
        after = relays([m for m in members if m != before[0]], "klang")
        self.assertEqual(after[0], before[1])
