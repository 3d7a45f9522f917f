"""Rendezvous hashing: a ranking that all who know the same members share."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarslip.address import Address


def rank_by_hash(addresses: Iterable[Address], salt: str) -> tuple[Address, ...]:
    """Return addresses in the order of their hashes with ``salt``.

    When one address leaves, the order of the others stays as it was.
    """

    def weight(address: Address) -> bytes:
        return hashlib.sha256(f"{salt} {address}".encode()).digest()

    return tuple(sorted(addresses, key=weight))


__all__ = ["rank_by_hash"]
