"""Rendezvous hashing: every daemon ranks the same addresses in the same order."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarslip.address import Address


def rank_by_hash(addresses: Iterable[Address], salt: str) -> tuple[Address, ...]:
    """Return the addresses sorted by their hash with ``salt``.

    Removing an address does not change the order of the others.
    """

    def salted_hash(address: Address) -> bytes:
        return hashlib.sha256(f"{salt} {address}".encode()).digest()

    return tuple(sorted(addresses, key=salted_hash))


__all__ = ["rank_by_hash"]
