"""Tests of operators' items that a restored store has lost."""

from __future__ import annotations

import unittest

from briarslip.process.distribution.lost_items import LostItems
from briarslip.process.store.client import KeyValue
from briarslip.process.store.revision import to_revision


KEY = "op/rollout/holds"
OTHER = "op/config"


def item(copy: int, revision: int, value: bytes, key: str = KEY) -> KeyValue:
    """Return an item that was written at a store's own revision in a copy."""
    return KeyValue(key, value, to_revision(copy, revision))


class LostItemsTest(unittest.TestCase):
    """Items that were confirmed stay in force; newer ones replace them."""

    def setUp(self) -> None:
        self.lost_items = LostItems()
        self.read(1, 5, item(1, 3, b"config", OTHER))

    def read(self, copy: int, revision: int, *stored: KeyValue) -> dict[str, bytes]:
        """Read the store at a revision; return the values in force."""
        items = {entry.key: entry for entry in stored}
        effective = self.lost_items.add_to(items, to_revision(copy, revision))
        return {key: entry.value for key, entry in effective.items()}

    def test_item_that_the_copy_lacks_is_not_in_force(self) -> None:
        config = item(2, 3, b"config", OTHER)
        self.lost_items.record_write(item(1, 9, b"v2"))
        self.assertEqual(b"v2", self.read(2, 4, config)[KEY])
        self.assertEqual(b"v2", self.read(2, 5, config)[KEY])
        self.assertEqual(b"v3", self.read(2, 6, config, item(2, 6, b"v3"))[KEY])
        self.assertNotIn(KEY, self.read(2, 7, config))

    def test_older_value_in_the_copy_is_in_force_again(self) -> None:
        self.lost_items.record_write(item(1, 6, b"v2"))
        self.lost_items.record_write(item(1, 9, b"v3"))
        self.assertEqual(b"v3", self.read(2, 7, item(2, 6, b"v2"))[KEY])
        self.assertEqual(b"v3", self.read(2, 7, item(2, 6, b"v2"))[KEY])

    def test_value_that_was_written_after_the_restore_is_taken_for_an_old_one(
        self,
    ) -> None:
        self.lost_items.record_write(item(1, 6, b"v2"))
        self.lost_items.record_write(item(1, 9, b"v3"))
        # The same revision as an earlier write of the key, with another content.
        self.assertEqual(b"v4", self.read(2, 7, item(2, 6, b"v4"))[KEY])

    def test_item_that_was_removed_is_in_force_again(self) -> None:
        self.lost_items.record_write(item(1, 6, b"v2"))
        self.lost_items.record_removal(KEY)
        self.assertNotIn(KEY, self.read(2, 4, item(2, 3, b"config", OTHER)))

    def test_lost_item_makes_a_newer_configuration_than_none(self) -> None:
        self.lost_items.record_write(item(1, 9, b"v2"))
        effective = self.lost_items.add_to({}, to_revision(2, 4))
        self.assertEqual(to_revision(1, 9), effective[KEY].mod_revision)
        self.assertEqual(to_revision(2, 4), effective[KEY].lost_at)

    def test_first_read_of_a_restored_store_loses_nothing(self) -> None:
        self.lost_items = LostItems()
        self.assertEqual({KEY: b"v2"}, self.read(3, 4, item(3, 2, b"v2")))


if __name__ == "__main__":
    unittest.main()
