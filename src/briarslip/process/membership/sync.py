"""Comparison of whole zones by checksum: at a join, and now and then after.

A reply carries one zone at most, and a daemon short of its byte budget names
other peers instead, so that a mass restart is paced.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarslip.process.membership.member_table import checksum
from briarslip.process.membership.member_table import is_newer
from briarslip.process.membership.messages import SyncReply
from briarslip.process.membership.messages import SyncRequest
from briarslip.process.membership.messages import Updates
from briarslip.process.membership.messages import ZoneSummary


if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from briarslip.address import Address
    from briarslip.process.membership.member import Member
    from briarslip.process.membership.member_table import MemberTable


FIRST_SYNC_SECONDS = 2.0
SYNC_SECONDS = 10.0
FOLLOW_UP_SECONDS = 0.5
HINTED_PEERS = 6
JOIN_PEERS = 3
FIRST_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 30.0


@dataclass(slots=True)
class Bootstrap:
    """How far this daemon has joined.

    ``minimum_version`` is the newest version that anyone heard from this
    daemon's address before it.
    """

    contacts: tuple[Address, ...]
    hints: tuple[Address, ...] = ()
    has_joined: bool = False
    attempts: int = 0
    retry_at: float = 0.0
    next_sync_at: float = 0.0
    sync_count: int = 0
    minimum_version: int = 0
    follow_up_peer: Address | None = None
    contacts_wanted: bool = True


def retry_seconds(attempts: int, rng: random.Random) -> float:
    """Return a wait before the next attempt, capped and with full jitter."""
    limit = min(MAX_RETRY_SECONDS, FIRST_RETRY_SECONDS * 2 ** min(attempts, 10))
    return rng.uniform(0.0, limit)


def next_wait(bootstrap: Bootstrap, rng: random.Random) -> float:
    """Return the time until the next comparison, short after the join."""
    wait: float = min(
        SYNC_SECONDS, FIRST_SYNC_SECONDS * 2 ** min(bootstrap.sync_count, 10)
    )
    bootstrap.sync_count += 1
    return wait * rng.uniform(0.8, 1.2)


def join_targets(
    bootstrap: Bootstrap, table: MemberTable, rng: random.Random
) -> tuple[Address, ...]:
    """Return the peers to ask for their table: one at first, then a few.

    A mass restart that knows only the contacts costs these little.
    """
    own_address = table.self_member.address
    near = {*bootstrap.hints, *(member.address for member in table.peers)} - {
        own_address
    }
    known = sorted(near) or sorted({*bootstrap.contacts} - {own_address})
    count = min(bootstrap.attempts, JOIN_PEERS, len(known))
    return tuple(rng.sample(known, count))


def summaries(
    table: MemberTable, zones: Iterable[str], now: float
) -> tuple[ZoneSummary, ...]:
    """Return the checksums of some zones."""
    return tuple(
        ZoneSummary(zone, checksum(table, zone), _age(table, zone, now))
        for zone in zones
    )


def _age(table: MemberTable, zone: str, now: float) -> int:
    if zone == table.zone:
        return 0
    return max(0, int(now - table.zone_last_contact_at.get(zone, now)))


def request(
    table: MemberTable, zones: Iterable[str], wants_table: bool, now: float
) -> SyncRequest:
    """Return a request to compare some zones."""
    return SyncRequest(table.self_member, summaries(table, zones, now), wants_table)


def differing_zones(table: MemberTable, message: SyncRequest) -> tuple[str, ...]:
    """Return the zones on which the asker differs.

    A member of another zone compares only the zones that it names, unless it
    wants the whole table. Who names no zone asks for versions only.
    """
    if not message.summaries:
        return ()
    asker_zone = message.sender.availability_zone
    given = {s.availability_zone: s.checksum for s in message.summaries}
    zones = set(given)
    if message.wants_table or asker_zone == table.zone:
        zones |= set(table.zones)
    differing = [z for z in zones if given.get(z, 0) != checksum(table, z)]
    return tuple(sorted(differing))


def reply(
    table: MemberTable,
    asker: Member,
    zones: tuple[str, ...],
    busy: bool,
    rng: random.Random,
) -> SyncReply:
    """Return the answer to a request, with one of the zones whole."""
    zone = "" if busy else _chosen_zone(zones, asker.availability_zone, rng)
    near = [m.address for m in table.peers if m.address != asker.address]
    return SyncReply(
        running_version=table.self_member.running_version,
        minimum_version=table.last_known_version(asker.address),
        availability_zone=zone,
        updates=zone_statements(table, zone),
        peers=tuple(rng.sample(near, min(HINTED_PEERS, len(near)))) if busy else (),
        busy=busy,
        more=len(zones) > 1,
    )


def _chosen_zone(zones: tuple[str, ...], first: str, rng: random.Random) -> str:
    if first in zones:
        return first
    return rng.choice(zones) if zones else ""


def zone_statements(table: MemberTable, zone: str) -> tuple[Member, ...]:
    """Return everything known of a zone, ended members included."""
    others = tuple(m for m in table.members.values() if m.availability_zone == zone)
    return (table.self_member, *others) if zone == table.zone else others


def missing_there(table: MemberTable, message: SyncReply) -> Updates | None:
    """Return what the answering peer does not know, None if nothing."""
    if not message.availability_zone:
        return None
    given = {update.address: update for update in message.updates}
    missing = tuple(
        known
        for known in zone_statements(table, message.availability_zone)
        if known.address not in given or is_newer(known, given[known.address])
    )
    return Updates(missing) if missing else None


__all__ = [
    "FOLLOW_UP_SECONDS",
    "Bootstrap",
    "differing_zones",
    "join_targets",
    "missing_there",
    "next_wait",
    "reply",
    "request",
    "retry_seconds",
    "summaries",
]
