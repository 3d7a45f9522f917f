"""The membership protocol as functions over messages, without any I/O.

Each function receives the state, the input and the monotonic time in seconds, and
returns the messages to send.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.process.membership import zone_bridge
from briarslip.process.membership.anti_entropy import receive_sync_reply
from briarslip.process.membership.anti_entropy import record_zone_contact
from briarslip.process.membership.anti_entropy import reply_to_sync_request
from briarslip.process.membership.anti_entropy import request_sync
from briarslip.process.membership.anti_entropy import synchronize
from briarslip.process.membership.dissemination import is_draining
from briarslip.process.membership.failure_detector import check_probes
from briarslip.process.membership.failure_detector import check_suspicions
from briarslip.process.membership.failure_detector import probe
from briarslip.process.membership.failure_detector import probe_next
from briarslip.process.membership.failure_detector import push_updates
from briarslip.process.membership.failure_detector import reply_to_datagram
from briarslip.process.membership.member import Endpoint
from briarslip.process.membership.member import Status
from briarslip.process.membership.member_table import expire
from briarslip.process.membership.member_table import raise_incarnation
from briarslip.process.membership.member_table import record_version
from briarslip.process.membership.member_table import update_own_member
from briarslip.process.membership.messages import ControlMessage
from briarslip.process.membership.messages import Datagram
from briarslip.process.membership.messages import Send
from briarslip.process.membership.messages import SendControl
from briarslip.process.membership.messages import SyncReply
from briarslip.process.membership.messages import SyncRequest
from briarslip.process.membership.messages import Updates
from briarslip.process.membership.state import ProtocolState
from briarslip.process.membership.state import disseminate
from briarslip.process.membership.state import random_peers
from briarslip.process.membership.state import receive_update
from briarslip.process.membership.state import receive_updates
from briarslip.process.membership.state import zone_size


if TYPE_CHECKING:
    from briarslip.address import Address


VERSION_FANOUT = 2
NOTIFIED_PER_ZONE = 3
MIN_PAUSE_SECONDS = 2.0
EXPIRY_INTERVAL_SECONDS = 5.0


def tick(state: ProtocolState, now: float) -> tuple[Send, ...]:
    """Run the periodic work; return the messages to send."""
    for budget in state.budgets:
        budget.refill(now)
    if now - state.last_tick_at > MIN_PAUSE_SECONDS:
        _resume(state, now - state.last_tick_at)
    state.last_tick_at = now
    zone_bridge.refresh(state.bridge, state.table, now)
    if now >= state.next_expiry_at:
        state.next_expiry_at = now + EXPIRY_INTERVAL_SECONDS
        expire(state.table, now)
    return (
        *check_probes(state, now),
        *check_suspicions(state, now),
        *probe_next(state, now),
        *push_updates(state, now),
        *zone_bridge.flush(state.bridge, now),
        *synchronize(state, now),
    )


def update_self(
    state: ProtocolState,
    endpoints: tuple[Endpoint, ...],
    running_version: int,
    status: Status,
    now: float,
) -> tuple[Send, ...]:
    """Update this daemon's own member; return the messages to send at once."""
    is_new_version = running_version != state.own_member.running_version
    if update_own_member(state.table, endpoints, running_version, status):
        disseminate(state, state.own_member, is_refutation=True)
        notifications = (
            _notify_other_zones(state) if is_draining(state.own_member) else ()
        )
        return (
            *notifications,
            *push_updates(state, now),
            *zone_bridge.flush(state.bridge, now),
        )
    if not is_new_version:
        return ()
    # Every probe carries the configuration version, so a peer that is behind pulls.
    peers = random_peers(state, VERSION_FANOUT)
    return tuple(probe(state, peer, now) for peer in peers)


def _notify_other_zones(state: ProtocolState) -> tuple[Send, ...]:
    """Notify a few members of each other zone of this daemon's draining.

    The bridge members may just have died, so their dissemination is not enough.
    """
    table = state.table
    message = Updates((state.own_member,))
    sends: list[Send] = []
    for zone in table.zones:
        members = table.zone_members(zone) if zone != table.zone else ()
        chosen = state.rng.sample(members, min(NOTIFIED_PER_ZONE, len(members)))
        sends.extend(SendControl(member.address, message) for member in chosen)
    return tuple(sends)


def receive_datagram(
    state: ProtocolState, sender: Address, datagram: Datagram, now: float
) -> tuple[Send, ...]:
    """Process a datagram; return the messages to send in reply."""
    state.health.last_datagram_at = now
    record_version(state.table, sender, datagram.running_version, now)
    known_member = state.table.members.get(sender)
    # A sender that was declared dead may report on other members only after it has
    # refuted that.
    is_trusted = known_member is None or known_member.status is not Status.DEAD
    live_count = zone_size(state)
    for update in datagram.updates:
        state.outbox.record_duplicate(update, live_count)
        if is_trusted or update.address in (sender, state.own_member.address):
            receive_update(state, update, now)
    state.suspicions.restart(sender, now)
    sends = reply_to_datagram(state, sender, datagram, now)
    if known_member is None and sender not in state.table.members:
        return (*sends, *request_sync(state, sender, now))
    return sends


def receive_control(
    state: ProtocolState, sender: Address, message: ControlMessage, now: float
) -> tuple[Send, ...]:
    """Process a control message; return the messages to send in reply."""
    match message:
        case SyncRequest():
            return reply_to_sync_request(state, sender, message, now)
        case SyncReply():
            return receive_sync_reply(state, sender, message, now)
        case Updates(updates):
            record_zone_contact(state, sender, now)
            receive_updates(state, updates, now)
    return ()


def _resume(state: ProtocolState, paused_seconds: float) -> None:
    """Cancel probes and refute suspicions after a pause of this daemon.

    The probes in flight failed because of the pause, not because of their targets.
    """
    state.prober.probes.clear()
    state.prober.indirect_probes.clear()
    state.suspicions.postpone(paused_seconds)
    raise_incarnation(state.table, 0)
    disseminate(state, state.own_member, is_refutation=True)


__all__ = ["receive_control", "receive_datagram", "tick", "update_self"]
