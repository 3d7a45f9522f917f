"""Joining, and the comparison of whole zones, as functions over messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.process.membership import sync
from briarslip.process.membership import zone_digest
from briarslip.process.membership.dissemination import estimated_bytes
from briarslip.process.membership.member import Status
from briarslip.process.membership.member_table import hear_version
from briarslip.process.membership.messages import Send
from briarslip.process.membership.messages import SendControl
from briarslip.process.membership.messages import SyncReply
from briarslip.process.membership.messages import SyncRequest
from briarslip.process.membership.state import Protocol
from briarslip.process.membership.state import learn
from briarslip.process.membership.state import learn_all
from briarslip.process.membership.state import some_peers


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from briarslip.address import Address


VERSION_PEERS = 2
REQUEST_BYTES = 300


def answer_request(
    state: Protocol, sender: Address, message: SyncRequest, now: float
) -> tuple[Send, ...]:
    """Answer a peer's request to compare zones."""
    table = state.table
    zones = sync.differing_zones(table, message)
    busy = bool(zones) and state.sync_budget.available <= 0
    answer = sync.reply(table, message.sender, zones, busy, state.rng)
    names: set[str] = set()
    size = sum(estimated_bytes(s, names) for s in answer.updates)
    state.sync_budget.spend(size)
    # A contact that many joining daemons ask has less left to pass statements on.
    state.outbox.budget.spend(REQUEST_BYTES)
    for summary in message.summaries:
        _hear_age(state, summary.availability_zone, now - summary.age, now)
    learn(state, message.sender, now)
    hear_version(table, sender, message.sender.running_version, now)
    hear_zone(state, sender, now)
    return (SendControl(sender, answer),)


def _hear_age(state: Protocol, zone: str, heard_at: float, now: float) -> None:
    known = state.table.zone_last_contact_at.get(zone)
    if known is not None and heard_at <= now:
        state.table.zone_last_contact_at[zone] = max(known, heard_at)


def hear_zone(state: Protocol, sender: Address, now: float) -> None:
    """Note that the sender's zone was heard from."""
    known = state.table.members.get(sender)
    if known is not None:
        state.table.zone_last_contact_at[known.availability_zone] = now


def take_reply(
    state: Protocol, sender: Address, message: SyncReply, now: float
) -> tuple[Send, ...]:
    """Take the members in a reply; return what the peer does not know."""
    bootstrap = state.bootstrap
    hear_version(state.table, sender, message.running_version, now)
    bootstrap.minimum_version = max(bootstrap.minimum_version, message.minimum_version)
    was_joined = bootstrap.has_joined
    learn_all(state, message.updates, now, passes_on=was_joined)
    hear_zone(state, sender, now)
    if message.busy:
        bootstrap.hints = message.peers
        if not was_joined:
            bootstrap.retry_at = now + state.rng.uniform(0.0, sync.FOLLOW_UP_SECONDS)
        return ()
    knows_peers = bool(message.availability_zone or state.table.peers)
    bootstrap.has_joined = was_joined or knows_peers
    bootstrap.hints = ()
    if message.more:
        bootstrap.next_sync_at = now + sync.FOLLOW_UP_SECONDS
        bootstrap.follow_up_peer = sender
    asked = () if was_joined else _ask_versions(state, now)
    missing = sync.missing_there(state.table, message)
    return (*asked, SendControl(sender, missing)) if missing else asked


def synchronize(state: Protocol, now: float) -> Iterator[Send]:
    """Join, compare with a peer, and compare with other zones, when due."""
    bootstrap = state.bootstrap
    if not bootstrap.has_joined:
        yield from _join(state, now)
    elif now >= bootstrap.next_sync_at:
        bootstrap.next_sync_at = now + sync.next_wait(bootstrap, state.rng)
        yield from _compare_regularly(state, now)
    for zone, peer in zone_digest.zones_to_sync(state.links, now, state.rng):
        zones = (state.self_member.availability_zone, zone)
        yield SendControl(peer, sync.request(state.table, zones, False, now))


def _join(state: Protocol, now: float) -> Iterator[Send]:
    bootstrap = state.bootstrap
    if now < bootstrap.retry_at:
        return
    bootstrap.retry_at = now + sync.retry_seconds(bootstrap.attempts, state.rng)
    bootstrap.attempts += 1
    bootstrap.contacts_wanted = True
    for peer in sync.join_targets(bootstrap, state.table, state.rng):
        message = sync.request(state.table, state.table.zones, True, now)
        yield SendControl(peer, message)


def _ask_versions(state: Protocol, now: float) -> tuple[Send, ...]:
    """Ask further peers which version they heard from this address."""
    message = sync.request(state.table, (), False, now)
    peers = some_peers(state, VERSION_PEERS)
    return tuple(SendControl(peer, message) for peer in peers)


def compare(state: Protocol, peer: Address, now: float) -> tuple[Send, ...]:
    """Return a request to compare all zones with a peer."""
    message = sync.request(state.table, state.table.zones, False, now)
    return (SendControl(peer, message),)


def _compare_regularly(state: Protocol, now: float) -> Iterator[Send]:
    """Compare with a peer, and with one that may have been cut off."""
    follow_up, state.bootstrap.follow_up_peer = state.bootstrap.follow_up_peer, None
    near = some_peers(state, 1)
    if near:
        yield from compare(state, near[0], now)
    elif follow_up is not None:
        yield from compare(state, follow_up, now)
    lost = _lost_peers(state)
    if lost and follow_up is None:
        yield from compare(state, state.rng.choice(lost), now)


def compare_with(
    state: Protocol, peers: Iterable[Address], now: float
) -> tuple[Send, ...]:
    """Compare all zones with peers that may know others."""
    return tuple(send for peer in peers for send in compare(state, peer, now))


def _lost_peers(state: Protocol) -> tuple[Address, ...]:
    table = state.table
    live = {member.address for member in table.live}
    ended = {a for a in table.ended_at if table.members[a].status is Status.DEAD}
    return tuple(sorted((ended | {*state.bootstrap.contacts}) - live))


__all__ = [
    "answer_request",
    "compare",
    "compare_with",
    "hear_zone",
    "synchronize",
    "take_reply",
]
