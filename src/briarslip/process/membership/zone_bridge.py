"""Dissemination between zones, by a few bridge members for each pair of zones.

The bridge members are chosen by a rendezvous hash over the live members, which
needs no election and spreads the load. While the views of the members differ, a
few more of them act as bridge members, which is harmless.
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


BRIDGE_MEMBERS_PER_ZONE = 2
REFRESH_INTERVAL_SECONDS = 1.0
FLUSH_INTERVAL_SECONDS = 1.0
MAX_BATCH_BYTES = 1_500
ZONE_SYNC_INTERVAL_SECONDS = 10.0


def bridge_members(
    addresses: Iterable[Address], other_zone: str
) -> tuple[Address, ...]:
    """Return the members of one zone that exchange updates with another, by rank.

    ``addresses`` are the live members of the one zone.
    """
    ranked = sorted(
        addresses, key=lambda a: _rendezvous_hash(a, other_zone), reverse=True
    )
    return tuple(ranked[:BRIDGE_MEMBERS_PER_ZONE])


@lru_cache(maxsize=8192)
def _rendezvous_hash(address: Address, zone: str) -> bytes:
    return hashlib.blake2b(f"{address} {zone}".encode(), digest_size=8).digest()


@dataclass(slots=True)
class ZoneBridge:
    """The zones for which this daemon is a bridge member, with queued updates.

    ``peers`` are the bridge members of the other zone, the one of equal rank
    first. ``table_revision`` is the sum of the table's revisions at the last
    refresh. Times are monotonic seconds.
    """

    peers: dict[str, tuple[Address, ...]] = field(default_factory=dict)
    queued: dict[str, dict[Address, Member]] = field(default_factory=dict)
    next_sync_at: dict[str, float] = field(default_factory=dict)
    refreshed_at: float = float("-inf")
    flushed_at: float = float("-inf")
    table_revision: int = -1
    is_urgent: bool = False

    def put(self, update: Member) -> None:
        """Queue an update about a member of the local zone for every bridged zone."""
        for zone in self.peers:
            self.queued.setdefault(zone, {})[update.address] = update
        self.is_urgent = self.is_urgent or is_draining(update)


def refresh(bridge: ZoneBridge, table: MemberTable, now: float) -> None:
    """Choose the zones that this daemon bridges to, if the members have changed."""
    total = table.revisions.total()
    if (
        now - bridge.refreshed_at < REFRESH_INTERVAL_SECONDS
        or bridge.table_revision == total
    ):
        return
    bridge.refreshed_at = now
    bridge.table_revision = total
    local_addresses = _addresses(table, table.zone)
    own_address = table.own_member.address
    previous, bridge.peers = bridge.peers, {}
    for zone in table.zones:
        local_bridges = (
            bridge_members(local_addresses, zone) if zone != table.zone else ()
        )
        if own_address in local_bridges:
            remote_bridges = bridge_members(_addresses(table, zone), table.zone)
            offset = (
                local_bridges.index(own_address) % len(remote_bridges)
                if remote_bridges
                else 0
            )
            bridge.peers[zone] = remote_bridges[offset:] + remote_bridges[:offset]
            if zone not in previous:
                _queue_draining(bridge, table, zone)
    for zone in bridge.queued.keys() - bridge.peers.keys():
        del bridge.queued[zone]


def _queue_draining(bridge: ZoneBridge, table: MemberTable, zone: str) -> None:
    """Queue draining members for a new zone.

    The previous bridge members may have left before they sent these.
    """
    draining = {
        member.address: member
        for member in table.members.values()
        if member.availability_zone == table.zone and is_draining(member)
    }
    if draining:
        bridge.queued.setdefault(zone, {}).update(draining)
        bridge.is_urgent = True


def _addresses(table: MemberTable, zone: str) -> tuple[Address, ...]:
    return tuple(m.address for m in table.zone_members(zone) if is_live(m))


def flush(bridge: ZoneBridge, now: float) -> tuple[SendControl, ...]:
    """Return the messages due to other zones, limited in size; urgent ones at once."""
    if not bridge.is_urgent and now - bridge.flushed_at < FLUSH_INTERVAL_SECONDS:
        return ()
    bridge.flushed_at = now
    sends: list[SendControl] = []
    for zone, peers in bridge.peers.items():
        batch = _pop_batch(bridge.queued.get(zone, {}))
        if batch and peers:
            # Urgent batches go to all peers, others to the one of equal rank.
            targets = (
                peers if any(is_draining(update) for update in batch) else peers[:1]
            )
            sends.extend(SendControl(peer, Updates(batch)) for peer in targets)
    bridge.is_urgent = any(
        is_draining(update)
        for queued in bridge.queued.values()
        for update in queued.values()
    )
    return tuple(sends)


def _pop_batch(queued: dict[Address, Member]) -> tuple[Member, ...]:
    names: set[str] = set()
    size_bytes = 0
    batch: list[Member] = []
    ordered = sorted(queued.values(), key=lambda update: not is_draining(update))
    for update in ordered:
        size_bytes += estimated_bytes(update, names)
        if batch and size_bytes > MAX_BATCH_BYTES:
            break
        batch.append(update)
        del queued[update.address]
    return tuple(batch)


def zones_to_sync(
    bridge: ZoneBridge, now: float, rng: random.Random
) -> tuple[tuple[str, Address], ...]:
    """Return the zones that are due for a sync, each with a peer to ask."""
    due = []
    for zone, peers in bridge.peers.items():
        if peers and now >= bridge.next_sync_at.get(zone, 0.0):
            bridge.next_sync_at[zone] = now + ZONE_SYNC_INTERVAL_SECONDS * rng.uniform(
                0.8, 1.2
            )
            due.append((zone, rng.choice(peers)))
    return tuple(due)


__all__ = ["ZoneBridge", "bridge_members", "flush", "refresh", "zones_to_sync"]
