"""Tests of the relays and of the tree that versions are pushed along."""

from __future__ import annotations

import unittest

from briarslip.address import Address
from briarslip.version.push_tree import FANOUT
from briarslip.version.push_tree import RELAYS_PER_ZONE
from briarslip.version.push_tree import push_targets
from briarslip.version.push_tree import relays


class PushTreeTest(unittest.TestCase):
    """Every member is reached once, in few hops, by bounded work."""

    def test_the_tree_reaches_everyone_once(self) -> None:
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

    def test_few_hops(self) -> None:
        members = [Address("10.0.0.1", port) for port in range(1, 201)]
        reached = set(relays(members, "klang"))
        hops = 0
        while len(reached) < len(members):
            hops += 1
            for member in tuple(reached):
                reached |= set(push_targets(member, members, "klang", 1))
        self.assertLessEqual(hops, 4)

    def test_a_departure_moves_one_relay_at_most(self) -> None:
        members = [Address("10.0.0.1", port) for port in range(1, 50)]
        before = relays(members, "klang")
        after = relays([m for m in members if m != before[0]], "klang")
        self.assertEqual(after[0], before[1])
