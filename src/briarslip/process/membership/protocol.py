"""The membership protocol as functions over messages, without any I/O.

Each takes the state, a message and the time, and returns what to send.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.process.membership import zone_digest
from briarslip.process.membership.anti_entropy import answer_request
from briarslip.process.membership.anti_entropy import compare
from briarslip.process.membership.anti_entropy import hear_zone
from briarslip.process.membership.anti_entropy import synchronize
from briarslip.process.membership.anti_entropy import take_reply
from briarslip.process.membership.dissemination import is_draining
from briarslip.process.membership.failure_detector import answer_datagram
from briarslip.process.membership.failure_detector import end_probes
from briarslip.process.membership.failure_detector import end_suspicions
from briarslip.process.membership.failure_detector import probe
from briarslip.process.membership.failure_detector import probe_next
from briarslip.process.membership.failure_detector import push
from briarslip.process.membership.member import Endpoint
from briarslip.process.membership.member import Status
from briarslip.process.membership.member_table import forget
from briarslip.process.membership.member_table import hear_version
from briarslip.process.membership.member_table import raise_incarnation
from briarslip.process.membership.member_table import update_self_member
from briarslip.process.membership.messages import ControlMessage
from briarslip.process.membership.messages import Datagram
from briarslip.process.membership.messages import Send
from briarslip.process.membership.messages import SendControl
from briarslip.process.membership.messages import SyncReply
from briarslip.process.membership.messages import SyncRequest
from briarslip.process.membership.messages import Updates
from briarslip.process.membership.state import Protocol
from briarslip.process.membership.state import learn
from briarslip.process.membership.state import learn_all
from briarslip.process.membership.state import some_peers
from briarslip.process.membership.state import spread
from briarslip.process.membership.state import zone_size


if TYPE_CHECKING:
    from briarslip.address import Address


VERSION_FANOUT = 2
TOLD_PER_ZONE = 3
PAUSE_SECONDS = 2.0
FORGET_EVERY_SECONDS = 5.0


def tick(state: Protocol, now: float) -> tuple[Send, ...]:
    """Do what time asks for; return what to send."""
    for budget in state.budgets:
        budget.fill(now)
    if now - state.ticked_at > PAUSE_SECONDS:
        _resume(state, now - state.ticked_at)
    state.ticked_at = now
    zone_digest.refresh(state.links, state.table, now)
    if now >= state.forget_at:
        state.forget_at = now + FORGET_EVERY_SECONDS
        forget(state.table, now)
    return (
        *end_probes(state, now),
        *end_suspicions(state, now),
        *probe_next(state, now),
        *push(state, now),
        *zone_digest.flush(state.links, now),
        *synchronize(state, now),
    )


def update_self(
    state: Protocol,
    endpoints: tuple[Endpoint, ...],
    running_version: int,
    status: Status,
    now: float,
) -> tuple[Send, ...]:
    """State what this daemon has now; return what to send at once."""
    is_new_version = running_version != state.self_member.running_version
    if update_self_member(state.table, endpoints, running_version, status):
        spread(state, state.self_member, refutes=True)
        told = _tell_zones(state) if is_draining(state.self_member) else ()
        return (*told, *push(state, now), *zone_digest.flush(state.links, now))
    if not is_new_version:
        return ()
    # Every probe carries the version, so whoever is behind pulls.
    peers = some_peers(state, VERSION_FANOUT)
    return tuple(probe(state, peer, now) for peer in peers)


def _tell_zones(state: Protocol) -> tuple[Send, ...]:
    """Tell members of each other zone, since carriers may just have died."""
    table = state.table
    message = Updates((state.self_member,))
    sends: list[Send] = []
    for zone in table.zones:
        members = table.zone_members(zone) if zone != table.zone else ()
        chosen = state.rng.sample(members, min(TOLD_PER_ZONE, len(members)))
        sends.extend(SendControl(member.address, message) for member in chosen)
    return tuple(sends)


def take_datagram(
    state: Protocol, sender: Address, datagram: Datagram, now: float
) -> tuple[Send, ...]:
    """Act on a datagram; return the answers."""
    state.health.heard_at = now
    hear_version(state.table, sender, datagram.running_version, now)
    known = state.table.members.get(sender)
    # Who is held to be dead accuses nobody until it has refuted that itself.
    is_trusted = known is None or known.status is not Status.DEAD
    members = zone_size(state)
    for update in datagram.updates:
        state.outbox.heard(update, members)
        if is_trusted or update.address in (sender, state.self_member.address):
            learn(state, update, now)
    state.suspicions.heard(sender, now)
    sends = answer_datagram(state, sender, datagram, now)
    if known is None and sender not in state.table.members:
        return (*sends, *compare(state, sender, now))
    return sends


def take_control(
    state: Protocol, sender: Address, message: ControlMessage, now: float
) -> tuple[Send, ...]:
    """Act on a control message; return the answers."""
    match message:
        case SyncRequest():
            return answer_request(state, sender, message, now)
        case SyncReply():
            return take_reply(state, sender, message, now)
        case Updates(updates):
            hear_zone(state, sender, now)
            learn_all(state, updates, now)
    return ()


def _resume(state: Protocol, paused_seconds: float) -> None:
    """Start afresh after a pause: its probes failed for no other's fault."""
    state.prober.probes.clear()
    state.prober.indirect_probes.clear()
    state.suspicions.delay(paused_seconds)
    raise_incarnation(state.table, 0)
    spread(state, state.self_member, refutes=True)


__all__ = ["take_control", "take_datagram", "tick", "update_self"]
