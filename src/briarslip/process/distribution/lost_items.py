"""Operators' items that the store lost when it was restored from a copy."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from typing import TYPE_CHECKING
from zlib import crc32

from briarslip.process.distribution.withdrawals import NO_WITHDRAWABLE_ORDERS
from briarslip.process.distribution.withdrawals import WithdrawableOrders
from briarslip.process.distribution.withdrawals import Withdrawals
from briarslip.process.store.revision import copy_of
from briarslip.process.store.revision import to_store_revision


if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarslip.process.store.client import KeyValue


# Writes that are remembered to recognise them in a copy.
MAX_PAST_WRITES = 4096

PastWrite = tuple[str, int, int]


class LostItems:
    """Keeps items in force until the operators have written them again.

    After a restore an item is missing or has an older value. ``known_items`` has the
    last item of each key, ``lost_items`` those that the copy does not have.
    ``past_writes`` tells an older value from one that was written after the restore.
    Removals of ``orders`` are kept in force in the same way.
    """

    def __init__(self, orders: WithdrawableOrders = NO_WITHDRAWABLE_ORDERS) -> None:
        self.withdrawals = Withdrawals(orders)
        self.copy = 0
        self.known_items: dict[str, KeyValue] = {}
        self.lost_items: dict[str, KeyValue] = {}
        self.past_writes: deque[PastWrite] = deque(maxlen=MAX_PAST_WRITES)

    def add_to(
        self, items: Mapping[str, KeyValue], revision: int
    ) -> dict[str, KeyValue]:
        """Return the items read at a revision, with the lost and removed ones.

        A lost item is marked with the revision of the read, so that daemons that know
        it have a newer configuration than those that started after the restore.
        """
        copy = copy_of(revision)
        if copy > self.copy and (self.known_items or self.withdrawals.removed):
            past_writes = frozenset(self.past_writes)
            kept = {
                key
                for key in self.withdrawals.removed
                if key not in items or _past_write(items[key]) in past_writes
            }
            self.withdrawals.restore(kept, revision)
            self.lost_items = {
                key: replace(known, lost_at=revision)
                for key, known in self.known_items.items()
                if _is_lost(known, items.get(key), past_writes)
            }
        elif copy == self.copy:
            self.lost_items = {
                key: lost
                for key, lost in self.lost_items.items()
                if key not in items or items[key].mod_revision <= lost.lost_at
            }
            known = self.known_items.keys() - self.lost_items.keys()
            self.withdrawals.update(known, items, revision)
        self.copy = copy
        removed = self.withdrawals.removed
        effective_items = {**items, **self.lost_items}
        self.known_items = {
            key: item for key, item in effective_items.items() if key not in removed
        }
        for item in items.values():
            self._remember(item)
        return {**effective_items, **removed}

    def record_write(self, item: KeyValue) -> None:
        """Record an operator's write."""
        self.lost_items.pop(item.key, None)
        self.withdrawals.record_write(item.key)
        self.known_items[item.key] = item
        self._remember(item)

    def record_removal(self, key: str, revision: int = 0) -> KeyValue | None:
        """Record an operator's removal; return what marks it if the key is an order."""
        self.lost_items.pop(key, None)
        self.known_items.pop(key, None)
        self.withdrawals.record_removal(key, revision)
        return self.withdrawals.removed.get(key)

    def _remember(self, item: KeyValue) -> None:
        write = _past_write(item)
        if write not in self.past_writes:
            self.past_writes.append(write)


def _is_lost(
    known: KeyValue, found: KeyValue | None, past_writes: frozenset[PastWrite]
) -> bool:
    """Return whether a copy lacks the last value of a key."""
    if found is None:
        return True
    return found.value != known.value and _past_write(found) in past_writes


def _past_write(item: KeyValue) -> PastWrite:
    return (item.key, to_store_revision(item.mod_revision), crc32(item.value))


__all__ = ["LostItems"]
