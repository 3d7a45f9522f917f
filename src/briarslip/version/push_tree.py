"""The tree along which a new version is pushed through an availability zone."""

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
KEPT_WEIGHTS = 8192


def rendezvous_order(addresses: Iterable[Address], salt: str) -> list[Address]:
    """Return addresses in the order that everyone computes for ``salt``."""
    return sorted(addresses, key=lambda a: _weight(a, salt), reverse=True)


def relays(addresses: Iterable[Address], zone: str) -> tuple[Address, ...]:
    """Return the members of a zone that act as relays."""
    ranked = heapq.nlargest(
        RELAYS_PER_ZONE, addresses, key=lambda a: _zone_weight(a, zone)
    )
    return tuple(ranked)


def _weight(address: Address, salt: str) -> bytes:
    return hashlib.sha256(f"{salt} {address}".encode()).digest()


@lru_cache(maxsize=KEPT_WEIGHTS)
def _zone_weight(address: Address, zone: str) -> bytes:
    return _weight(address, zone)


def push_targets(
    own: Address, members: Collection[Address], zone: str, version: int
) -> tuple[Address, ...]:
    """Return the members that ``own`` pushes a version to.

    The relays are the roots. The order of the others depends on the version,
    so that the work of the inner nodes is spread over time.
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
