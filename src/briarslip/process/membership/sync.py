"""Content and intervals of anti-entropy syncs, and the state of the join.

Daemons compare the checksums of whole zones when they join and periodically
after that. A reply carries one zone at most, and a daemon that has used up its
byte budget names other peers instead, which paces a mass restart.
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


FIRST_SYNC_INTERVAL_SECONDS = 2.0
SYNC_INTERVAL_SECONDS = 10.0
FOLLOW_UP_DELAY_SECONDS = 0.5
MAX_SUGGESTED_PEERS = 6
MAX_JOIN_PEERS = 3
FIRST_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 30.0


@dataclass(slots=True)
class SyncState:
    """The state of this daemon's join and of its periodic syncs.

    ``suggested_peers`` come from busy replies. ``minimum_version`` is the newest
    configuration version that any peer recorded for this daemon's address,
    also before this process started. ``follow_up_peer`` differed on further
    zones in its last reply. ``needs_contact_points`` asks for the contact points
    to be read from the store.
    """

    contact_points: tuple[Address, ...]
    suggested_peers: tuple[Address, ...] = ()
    has_joined: bool = False
    join_attempts: int = 0
    next_join_at: float = 0.0
    next_sync_at: float = 0.0
    sync_count: int = 0
    minimum_version: int = 0
    follow_up_peer: Address | None = None
    needs_contact_points: bool = True


def retry_seconds(attempts: int, rng: random.Random) -> float:
    """Return the wait before the next join attempt: exponential, full jitter."""
    max_wait_seconds = min(
        MAX_RETRY_SECONDS, FIRST_RETRY_SECONDS * 2 ** min(attempts, 10)
    )
    return rng.uniform(0.0, max_wait_seconds)


def next_sync_wait_seconds(sync_state: SyncState, rng: random.Random) -> float:
    """Return the wait until the next periodic sync, which grows after the join."""
    wait_seconds: float = min(
        SYNC_INTERVAL_SECONDS,
        FIRST_SYNC_INTERVAL_SECONDS * 2 ** min(sync_state.sync_count, 10),
    )
    sync_state.sync_count += 1
    return wait_seconds * rng.uniform(0.8, 1.2)


def join_targets(
    sync_state: SyncState, table: MemberTable, rng: random.Random
) -> tuple[Address, ...]:
    """Return the peers to send join requests to: one at first, then up to a few.

    The small number limits the load on the contact points in a mass restart,
    when the restarted daemons know no other peers.
    """
    own_address = table.own_member.address
    local_peers = {
        *sync_state.suggested_peers,
        *(member.address for member in table.peers),
    } - {own_address}
    candidates = sorted(local_peers) or sorted(
        {*sync_state.contact_points} - {own_address}
    )
    count = min(sync_state.join_attempts, MAX_JOIN_PEERS, len(candidates))
    return tuple(rng.sample(candidates, count))


def summaries(
    table: MemberTable, zones: Iterable[str], now: float
) -> tuple[ZoneSummary, ...]:
    """Return the checksums and ages of some zones."""
    return tuple(
        ZoneSummary(zone, checksum(table, zone), _age_seconds(table, zone, now))
        for zone in zones
    )


def _age_seconds(table: MemberTable, zone: str, now: float) -> int:
    if zone == table.zone:
        return 0
    return max(0, int(now - table.zone_last_contact_at.get(zone, now)))


def build_request(
    table: MemberTable, zones: Iterable[str], wants_table: bool, now: float
) -> SyncRequest:
    """Return a request to sync some zones."""
    return SyncRequest(table.own_member, summaries(table, zones, now), wants_table)


def differing_zones(table: MemberTable, message: SyncRequest) -> tuple[str, ...]:
    """Return the zones whose checksums differ between the requester and this daemon.

    For a requester in another zone only the zones that it names are compared,
    unless it wants the whole table. A request without zones asks only for
    configuration versions.
    """
    if not message.summaries:
        return ()
    requester_zone = message.sender.availability_zone
    received = {s.availability_zone: s.checksum for s in message.summaries}
    zones = set(received)
    if message.wants_table or requester_zone == table.zone:
        zones |= set(table.zones)
    differing = [z for z in zones if received.get(z, 0) != checksum(table, z)]
    return tuple(sorted(differing))


def build_reply(
    table: MemberTable,
    requester: Member,
    zones: tuple[str, ...],
    busy: bool,
    rng: random.Random,
) -> SyncReply:
    """Return the reply to a request, with all members of one of the zones.

    A busy reply carries no members but a few other peers. The requester's own
    zone goes first.
    """
    zone = "" if busy else _choose_zone(zones, requester.availability_zone, rng)
    local_peers = [m.address for m in table.peers if m.address != requester.address]
    return SyncReply(
        running_version=table.own_member.running_version,
        minimum_version=table.last_known_version(requester.address),
        availability_zone=zone,
        updates=zone_updates(table, zone),
        peers=tuple(rng.sample(local_peers, min(MAX_SUGGESTED_PEERS, len(local_peers))))
        if busy
        else (),
        busy=busy,
        more=len(zones) > 1,
        draining_servers=table.draining_servers.of_daemon(requester.address),
    )


def _choose_zone(zones: tuple[str, ...], preferred: str, rng: random.Random) -> str:
    if preferred in zones:
        return preferred
    return rng.choice(zones) if zones else ""


def zone_updates(table: MemberTable, zone: str) -> tuple[Member, ...]:
    """Return updates about all members of a zone, dead and left ones included."""
    others = tuple(m for m in table.members.values() if m.availability_zone == zone)
    return (table.own_member, *others) if zone == table.zone else others


def updates_missing_at_peer(table: MemberTable, message: SyncReply) -> Updates | None:
    """Return the updates that the replying peer lacks in the zone of its reply.

    None if it lacks none or sent no zone.
    """
    if not message.availability_zone:
        return None
    received = {update.address: update for update in message.updates}
    missing = tuple(
        member
        for member in zone_updates(table, message.availability_zone)
        if member.address not in received or is_newer(member, received[member.address])
    )
    return Updates(missing) if missing else None


__all__ = [
    "FOLLOW_UP_DELAY_SECONDS",
    "SyncState",
    "build_reply",
    "build_request",
    "differing_zones",
    "join_targets",
    "next_sync_wait_seconds",
    "retry_seconds",
    "summaries",
    "updates_missing_at_peer",
]
