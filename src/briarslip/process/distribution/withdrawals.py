"""Operators' orders that were removed, which is a change like any other."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from briarslip.process.store.client import KeyValue
from briarslip.process.store.revision import copy_of


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Mapping

    from briarslip.version.snapshot import Snapshot


@dataclass(frozen=True, slots=True)
class WithdrawableOrders:
    """The keys under ``prefix``, each an order until it is removed.

    ``revisions_in`` returns the store revision of each order in a snapshot, by its key.
    """

    prefix: str
    revisions_in: Callable[[Snapshot], Mapping[str, int]]


def _no_orders(snapshot: Snapshot) -> Mapping[str, int]:
    return {}


NO_WITHDRAWABLE_ORDERS = WithdrawableOrders("", _no_orders)


class Withdrawals:
    """Remembers removed orders, with the revision at which each was known to be gone.

    A configuration without the order then is newer than the one with it. An item in
    ``removed`` has ``removed_at`` and no value.
    """

    def __init__(self, orders: WithdrawableOrders) -> None:
        self.orders = orders
        self.removed: dict[str, KeyValue] = {}

    def record_write(self, key: str) -> None:
        """Record that an order was given."""
        self.removed.pop(key, None)

    def record_removal(self, key: str, revision: int) -> None:
        """Record that a key was found removed at a revision, if it is an order."""
        if self.orders.prefix and key.startswith(self.orders.prefix):
            self.removed[key] = KeyValue(key, b"", revision, removed_at=revision)

    def update(
        self,
        known: Collection[str],
        items: Mapping[str, KeyValue],
        revision: int,
    ) -> None:
        """Apply a read of all items; ``known`` are the keys in force before."""
        for key in known:
            if key not in items:
                self.record_removal(key, revision)
        self.removed = {
            key: removed
            for key, removed in self.removed.items()
            if key not in items or items[key].mod_revision <= removed.removed_at
        }

    def restore(self, kept: Collection[str], revision: int) -> None:
        """Keep removals in force that a copy read at a revision does not have.

        The copy has none of the ``kept`` keys, or with a value from before its removal.
        """
        self.removed = {
            key: replace(removed, mod_revision=revision, removed_at=revision)
            for key, removed in self.removed.items()
            if key in kept
        }

    def withdrawn_from(
        self, snapshot: Snapshot, items: Collection[str], revision: int
    ) -> tuple[str, ...]:
        """Return the orders of a snapshot that the items at a revision lack.

        An order of an earlier copy of the store may have been lost by a restore, so it
        is none of them.
        """
        return tuple(
            key
            for key, order in self.orders.revisions_in(snapshot).items()
            if key not in items
            and order <= revision
            and copy_of(order) == copy_of(revision)
        )


__all__ = [
    "NO_WITHDRAWABLE_ORDERS",
    "WithdrawableOrders",
    "Withdrawals",
]
