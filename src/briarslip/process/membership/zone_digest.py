"""Statements between zones, each pair of zones served by a few daemons.

Who carries from one zone to another follows from a rendezvous hash over the
live members, so that nobody is elected and the load is spread; when views
differ for a while, a few more carry, which is harmless.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from dataclasses import field
from functools import lru_cache
from typing import TYPE_CHECKING

from briarslip.process.membership.dissemination import estimated_bytes
from briarslip.process.membership.dissemination import is_draining
from briarslip.process.membership.member_table import is_live
from briarslip.process.membership.messages import SendControl
from briarslip.process.membership.messages import Updates


if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from briarslip.address import Address
    from briarslip.process.membership.member import Member
    from briarslip.process.membership.member_table import MemberTable


CARRIERS_PER_ZONE = 2
REFRESH_SECONDS = 1.0
FLUSH_SECONDS = 1.0
FLUSH_BYTES = 1_500
ZONE_SYNC_SECONDS = 10.0


def carriers(addresses: Iterable[Address], other_zone: str) -> tuple[Address, ...]:
    """Return the members of one zone that exchange statements with another."""
    ranked = sorted(addresses, key=lambda a: _weight(a, other_zone), reverse=True)
    return tuple(ranked[:CARRIERS_PER_ZONE])


@lru_cache(maxsize=8192)
def _weight(address: Address, zone: str) -> bytes:
    return hashlib.blake2b(f"{address} {zone}".encode(), digest_size=8).digest()


@dataclass(slots=True)
class ZoneLinks:
    """The zones that this daemon carries to, and what waits for each.

    ``peers`` are the carriers on the other side, the one of equal rank first.
    """

    peers: dict[str, tuple[Address, ...]] = field(default_factory=dict)
    waiting: dict[str, dict[Address, Member]] = field(default_factory=dict)
    next_sync_at: dict[str, float] = field(default_factory=dict)
    refreshed_at: float = float("-inf")
    flushed_at: float = float("-inf")
    revisions: int = -1
    is_urgent: bool = False

    def put(self, update: Member) -> None:
        """Queue a statement about a member of the own zone."""
        for zone in self.peers:
            self.waiting.setdefault(zone, {})[update.address] = update
        self.is_urgent = self.is_urgent or is_draining(update)


def refresh(links: ZoneLinks, table: MemberTable, now: float) -> None:
    """Work out which zones this daemon carries to, when members changed."""
    total = table.revisions.total()
    if now - links.refreshed_at < REFRESH_SECONDS or links.revisions == total:
        return
    links.refreshed_at = now
    links.revisions = total
    near = _addresses(table, table.zone)
    own_address = table.self_member.address
    before, links.peers = links.peers, {}
    for zone in table.zones:
        carrying = carriers(near, zone) if zone != table.zone else ()
        if own_address in carrying:
            there = carriers(_addresses(table, zone), table.zone)
            shift = carrying.index(own_address) % len(there) if there else 0
            links.peers[zone] = there[shift:] + there[:shift]
            if zone not in before:
                _catch_up(links, table, zone)
    for zone in links.waiting.keys() - links.peers.keys():
        del links.waiting[zone]


def _catch_up(links: ZoneLinks, table: MemberTable, zone: str) -> None:
    """Queue what is leaving: the carriers before may have left themselves."""
    leaving = {
        member.address: member
        for member in table.members.values()
        if member.availability_zone == table.zone and is_draining(member)
    }
    if leaving:
        links.waiting.setdefault(zone, {}).update(leaving)
        links.is_urgent = True


def _addresses(table: MemberTable, zone: str) -> tuple[Address, ...]:
    return tuple(m.address for m in table.zone_members(zone) if is_live(m))


def flush(links: ZoneLinks, now: float) -> tuple[SendControl, ...]:
    """Return what is due to other zones, bounded; urgent news go at once."""
    if not links.is_urgent and now - links.flushed_at < FLUSH_SECONDS:
        return ()
    links.flushed_at = now
    sends: list[SendControl] = []
    for zone, peers in links.peers.items():
        batch = _take_batch(links.waiting.get(zone, {}))
        if batch and peers:
            # Urgent news take both ways, others the one of equal rank.
            targets = peers if any(is_draining(s) for s in batch) else peers[:1]
            sends.extend(SendControl(peer, Updates(batch)) for peer in targets)
    links.is_urgent = any(
        is_draining(update)
        for waiting in links.waiting.values()
        for update in waiting.values()
    )
    return tuple(sends)


def _take_batch(waiting: dict[Address, Member]) -> tuple[Member, ...]:
    names: set[str] = set()
    size = 0
    batch: list[Member] = []
    ordered = sorted(waiting.values(), key=lambda s: not is_draining(s))
    for update in ordered:
        size += estimated_bytes(update, names)
        if batch and size > FLUSH_BYTES:
            break
        batch.append(update)
        del waiting[update.address]
    return tuple(batch)


def zones_to_sync(
    links: ZoneLinks, now: float, rng: random.Random
) -> tuple[tuple[str, Address], ...]:
    """Return the zones whose checksums are due to be compared, with a peer."""
    due = []
    for zone, peers in links.peers.items():
        if peers and now >= links.next_sync_at.get(zone, 0.0):
            links.next_sync_at[zone] = now + ZONE_SYNC_SECONDS * rng.uniform(0.8, 1.2)
            due.append((zone, rng.choice(peers)))
    return tuple(due)


__all__ = ["ZoneLinks", "carriers", "flush", "refresh", "zones_to_sync"]
