"""The tree along which a configuration version is pushed through a zone's daemons."""

from __future__ import annotations

import hashlib
import heapq
from functools import lru_cache
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from briarslip.address import Address


FANOUT = 4
RELAYS_PER_ZONE = 2
HASH_CACHE_SIZE = 8192


def rendezvous_order(addresses: Iterable[Address], salt: str) -> list[Address]:
    """Return addresses by rendezvous hash, highest first, the same at every daemon."""
    return sorted(addresses, key=lambda a: _rendezvous_hash(a, salt), reverse=True)


def relays(addresses: Iterable[Address], zone: str) -> tuple[Address, ...]:
    """Return the members of an availability zone that act as its relays."""
    highest = heapq.nlargest(
        RELAYS_PER_ZONE, addresses, key=lambda a: _cached_zone_hash(a, zone)
    )
    return tuple(highest)


def _rendezvous_hash(address: Address, salt: str) -> bytes:
    return hashlib.sha256(f"{salt} {address}".encode()).digest()


@lru_cache(maxsize=HASH_CACHE_SIZE)
def _cached_zone_hash(address: Address, zone: str) -> bytes:
    return _rendezvous_hash(address, zone)


def push_targets(
    own: Address, members: Collection[Address], zone: str, version: int
) -> tuple[Address, ...]:
    """Return the members of a zone to which ``own`` pushes a version.

    The relays are the roots of the tree, and every node has up to ``FANOUT`` children.
    The order of the other members depends on the version, so that different members
    are inner nodes for different versions. The result is empty if ``own`` is not a
    member.
    """
    roots = relays(members, zone)
    others = rendezvous_order(
        (m for m in members if m not in roots), f"{zone} {version}"
    )
    order = [*roots, *others]
    if own not in order:
        return ()
    first = len(roots) + FANOUT * order.index(own)
    return tuple(order[first : first + FANOUT])


__all__ = ["FANOUT", "RELAYS_PER_ZONE", "push_targets", "relays", "rendezvous_order"]
