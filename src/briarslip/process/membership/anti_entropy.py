"""Joining and anti-entropy syncs, as functions over messages.

Two daemons compare checksums of whole zones; the reply carries the members of
one zone on which they differ.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.process.membership import sync
from briarslip.process.membership import zone_bridge
from briarslip.process.membership.dissemination import estimated_bytes
from briarslip.process.membership.member import Status
from briarslip.process.membership.member_table import record_version
from briarslip.process.membership.messages import Send
from briarslip.process.membership.messages import SendControl
from briarslip.process.membership.messages import SyncReply
from briarslip.process.membership.messages import SyncRequest
from briarslip.process.membership.state import ProtocolState
from briarslip.process.membership.state import random_peers
from briarslip.process.membership.state import receive_update
from briarslip.process.membership.state import receive_updates
from briarslip.process.membership.state import record_own_draining


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from briarslip.address import Address


VERSION_REQUEST_PEERS = 2
SYNC_REQUEST_BYTES = 300


def reply_to_sync_request(
    state: ProtocolState, sender: Address, message: SyncRequest, now: float
) -> tuple[Send, ...]:
    """Return the reply to a sync request, and merge what the request carries.

    Without bytes left in the sync budget the reply is busy and names other peers.
    """
    table = state.table
    zones = sync.differing_zones(table, message)
    busy = bool(zones) and state.sync_budget.available_bytes <= 0
    reply = sync.build_reply(table, message.sender, zones, busy, state.rng)
    names: set[str] = set()
    size_bytes = sum(estimated_bytes(update, names) for update in reply.updates)
    state.sync_budget.spend(size_bytes)
    # Requests also count against the dissemination budget, so that a contact point
    # that many joining daemons ask disseminates less.
    state.outbox.budget.spend(SYNC_REQUEST_BYTES)
    for summary in message.summaries:
        _merge_zone_age(
            state, summary.availability_zone, now - summary.age_seconds, now
        )
    receive_update(state, message.sender, now)
    record_version(table, sender, message.sender.running_version, now)
    record_zone_contact(state, sender, now)
    return (SendControl(sender, reply),)


def _merge_zone_age(
    state: ProtocolState, zone: str, contact_at: float, now: float
) -> None:
    recorded_at = state.table.zone_last_contact_at.get(zone)
    if recorded_at is not None and contact_at <= now:
        state.table.zone_last_contact_at[zone] = max(recorded_at, contact_at)


def record_zone_contact(state: ProtocolState, sender: Address, now: float) -> None:
    """Record the time of contact with the sender's zone, if the sender is known."""
    member = state.table.members.get(sender)
    if member is not None:
        state.table.zone_last_contact_at[member.availability_zone] = now


def receive_sync_reply(
    state: ProtocolState, sender: Address, message: SyncReply, now: float
) -> tuple[Send, ...]:
    """Merge the updates of a sync reply; return the updates that the peer lacks.

    Until this daemon has joined, each reply that is not busy also leads to requests
    to further peers for the configuration version recorded for this address. The
    daemon has joined once a reply had members, or it knows a peer in its zone.
    """
    sync_state = state.sync_state
    record_version(state.table, sender, message.running_version, now)
    record_own_draining(state, message.draining_servers, now)
    sync_state.minimum_version = max(
        sync_state.minimum_version, message.minimum_version
    )
    was_joined = sync_state.has_joined
    receive_updates(state, message.updates, now, forward=was_joined)
    record_zone_contact(state, sender, now)
    if message.busy:
        sync_state.suggested_peers = message.peers
        if not was_joined:
            sync_state.next_join_at = now + state.rng.uniform(
                0.0, sync.FOLLOW_UP_DELAY_SECONDS
            )
        return ()
    has_peers = bool(message.availability_zone or state.table.peers)
    sync_state.has_joined = was_joined or has_peers
    sync_state.suggested_peers = ()
    if message.more:
        sync_state.next_sync_at = now + sync.FOLLOW_UP_DELAY_SECONDS
        sync_state.follow_up_peer = sender
    requests = () if was_joined else _request_versions(state, now)
    missing = sync.updates_missing_at_peer(state.table, message)
    return (*requests, SendControl(sender, missing)) if missing else requests


def synchronize(state: ProtocolState, now: float) -> Iterator[Send]:
    """Yield the sync requests that are due: to join, to local peers, to other zones."""
    sync_state = state.sync_state
    if not sync_state.has_joined:
        yield from _join(state, now)
    elif now >= sync_state.next_sync_at:
        sync_state.next_sync_at = now + sync.next_sync_wait_seconds(
            sync_state, state.rng
        )
        yield from _sync_periodically(state, now)
    for zone, peer in zone_bridge.zones_to_sync(state.bridge, now, state.rng):
        zones = (state.own_member.availability_zone, zone)
        yield SendControl(peer, sync.build_request(state.table, zones, False, now))


def _join(state: ProtocolState, now: float) -> Iterator[Send]:
    sync_state = state.sync_state
    if now < sync_state.next_join_at:
        return
    sync_state.next_join_at = now + sync.retry_seconds(
        sync_state.join_attempts, state.rng
    )
    sync_state.join_attempts += 1
    sync_state.needs_contact_points = True
    for peer in sync.join_targets(sync_state, state.table, state.rng):
        message = sync.build_request(state.table, state.table.zones, True, now)
        yield SendControl(peer, message)


def _request_versions(state: ProtocolState, now: float) -> tuple[Send, ...]:
    """Return requests for the version that peers last recorded for this address."""
    message = sync.build_request(state.table, (), False, now)
    peers = random_peers(state, VERSION_REQUEST_PEERS)
    return tuple(SendControl(peer, message) for peer in peers)


def request_sync(state: ProtocolState, peer: Address, now: float) -> tuple[Send, ...]:
    """Return a request to a peer to sync all zones."""
    message = sync.build_request(state.table, state.table.zones, False, now)
    return (SendControl(peer, message),)


def _sync_periodically(state: ProtocolState, now: float) -> Iterator[Send]:
    """Request a sync from a random peer, and from one that may be partitioned off."""
    follow_up, state.sync_state.follow_up_peer = state.sync_state.follow_up_peer, None
    peers = random_peers(state, 1)
    if peers:
        yield from request_sync(state, peers[0], now)
    elif follow_up is not None:
        yield from request_sync(state, follow_up, now)
    lost = _lost_peers(state)
    if lost and follow_up is None:
        yield from request_sync(state, state.rng.choice(lost), now)


def request_syncs(
    state: ProtocolState, peers: Iterable[Address], now: float
) -> tuple[Send, ...]:
    """Return requests to several peers to sync all zones."""
    return tuple(send for peer in peers for send in request_sync(state, peer, now))


def _lost_peers(state: ProtocolState) -> tuple[Address, ...]:
    """Return the dead members and contact points that are not live members."""
    table = state.table
    live = {member.address for member in table.live}
    dead = {a for a in table.departed_at if table.members[a].status is Status.DEAD}
    return tuple(sorted((dead | {*state.sync_state.contact_points}) - live))


__all__ = [
    "receive_sync_reply",
    "record_zone_contact",
    "reply_to_sync_request",
    "request_sync",
    "request_syncs",
    "synchronize",
]
