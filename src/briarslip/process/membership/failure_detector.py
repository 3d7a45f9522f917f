"""SWIM failure detection in a zone, as functions over messages.

It has direct and indirect probes, suspicions that the suspect refutes by a
greater incarnation, and dissemination of updates piggybacked on datagrams.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from briarslip.process.membership.member import Status
from briarslip.process.membership.member_table import is_live
from briarslip.process.membership.messages import Datagram
from briarslip.process.membership.messages import DatagramKind
from briarslip.process.membership.messages import Send
from briarslip.process.membership.probing import INDIRECT_PROBERS
from briarslip.process.membership.state import ProtocolState
from briarslip.process.membership.state import apply_update
from briarslip.process.membership.state import build_datagram
from briarslip.process.membership.state import random_peers
from briarslip.process.membership.state import receive_update


if TYPE_CHECKING:
    from collections.abc import Iterator

    from briarslip.address import Address


PUSH_FANOUT = 2
URGENT_FANOUT = 4


def probe_next(state: ProtocolState, now: float) -> tuple[Send, ...]:
    """Probe the next live member when the probe interval has passed."""
    if now < state.next_probe_at:
        return ()
    state.next_probe_at = now + state.interval_seconds * state.rng.uniform(0.8, 1.2)
    for _ in range(INDIRECT_PROBERS):
        target = state.prober.next_target(
            lambda: [member.address for member in state.table.peers], state.rng
        )
        known_member = state.table.members.get(target) if target else None
        if known_member is not None and is_live(known_member):
            return (probe(state, known_member.address, now),)
    return ()


def probe(state: ProtocolState, target: Address, now: float) -> Send:
    """Start a probe of a member; return the datagram to send."""
    sequence = state.prober.start_probe(target, now)
    return build_datagram(state, target, DatagramKind.PROBE, sequence)


def check_probes(state: ProtocolState, now: float) -> Iterator[Send]:
    """Request indirect probes for late probes; suspect the targets of failed ones."""
    for sequence, target in state.prober.due_for_indirect_probe(now):
        for intermediary in random_peers(state, INDIRECT_PROBERS, target):
            yield build_datagram(
                state, intermediary, DatagramKind.PROBE_REQUEST, sequence, target
            )
    for target in state.prober.pop_timed_out(now):
        state.health.record(False, now)
        known_member = state.table.members.get(target)
        if known_member is None or known_member.status is not Status.ALIVE:
            continue
        if state.health.may_suspect(now):
            receive_update(state, replace(known_member, status=Status.SUSPECT), now)
            yield build_datagram(state, target, DatagramKind.PUSH, 0)


def check_suspicions(state: ProtocolState, now: float) -> Iterator[Send]:
    """Probe the next suspect; declare those dead whose suspicion has expired."""
    suspect = state.suspicions.next_to_probe(now)
    if suspect is not None:
        yield build_datagram(state, suspect, DatagramKind.PROBE, 0)
    if not state.health.may_suspect(now):
        return
    for address in state.suspicions.expired(state.health, now):
        state.suspicions.remove(address)
        known_member = state.table.members.get(address)
        if known_member is not None and known_member.status is Status.SUSPECT:
            version = state.table.last_known_version(address)
            dead = replace(known_member, status=Status.DEAD, running_version=version)
            apply_update(state, dead, now)
            yield build_datagram(state, address, DatagramKind.PUSH, 0)


def reply_to_datagram(
    state: ProtocolState, sender: Address, datagram: Datagram, now: float
) -> tuple[Send, ...]:
    """Return the datagrams to send in reply to a probe, probe request or ack."""
    sequence = datagram.sequence
    match datagram.kind:
        case DatagramKind.PROBE:
            return (build_datagram(state, sender, DatagramKind.ACK, sequence),)
        case DatagramKind.PROBE_REQUEST if datagram.target is not None:
            own_sequence = state.prober.start_indirect_probe(sender, sequence, now)
            return (
                build_datagram(
                    state, datagram.target, DatagramKind.PROBE, own_sequence
                ),
            )
        case DatagramKind.ACK:
            return _receive_ack(state, sequence, now)
    return ()


def _receive_ack(state: ProtocolState, sequence: int, now: float) -> tuple[Send, ...]:
    indirect = state.prober.indirect_probes.pop(sequence, None)
    if indirect is not None:
        return (
            build_datagram(
                state, indirect.requester, DatagramKind.ACK, indirect.sequence
            ),
        )
    probe = state.prober.probes.pop(sequence, None)
    if probe is not None:
        state.health.record(True, now)
        state.suspicions.restart(probe.target, now)
    return ()


def push_updates(state: ProtocolState, now: float) -> tuple[Send, ...]:
    """Push queued updates to random peers, urgent ones at once and to more peers."""
    outbox = state.outbox
    if not outbox.queued or (now < state.next_push_at and not outbox.is_urgent):
        return ()
    fanout = URGENT_FANOUT if outbox.is_urgent else PUSH_FANOUT
    outbox.is_urgent = False
    state.next_push_at = now + state.interval_seconds
    sends = (
        build_datagram(state, p, DatagramKind.PUSH, 0)
        for p in random_peers(state, fanout)
    )
    return tuple(send for send in sends if send.datagram.updates)


__all__ = [
    "check_probes",
    "check_suspicions",
    "probe",
    "probe_next",
    "push_updates",
    "reply_to_datagram",
]
