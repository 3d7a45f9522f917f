"""Failure detection in a zone, after SWIM, as functions over messages.

Probes, probes through helpers, suspicion that the suspect refutes by a
greater incarnation, and statements that ride on the datagrams.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from briarslip.process.membership.member import Status
from briarslip.process.membership.member_table import is_live
from briarslip.process.membership.messages import Datagram
from briarslip.process.membership.messages import Kind
from briarslip.process.membership.messages import Send
from briarslip.process.membership.probing import HELPERS
from briarslip.process.membership.state import Protocol
from briarslip.process.membership.state import compose
from briarslip.process.membership.state import learn
from briarslip.process.membership.state import some_peers
from briarslip.process.membership.state import take_statement


if TYPE_CHECKING:
    from collections.abc import Iterator

    from briarslip.address import Address


PUSH_FANOUT = 2
URGENT_FANOUT = 4


def probe_next(state: Protocol, now: float) -> tuple[Send, ...]:
    """Probe the next member when it is time."""
    if now < state.probe_at:
        return ()
    state.probe_at = now + state.interval_seconds * state.rng.uniform(0.8, 1.2)
    for _ in range(HELPERS):
        target = state.prober.next_target(
            lambda: [member.address for member in state.table.peers], state.rng
        )
        known = state.table.members.get(target) if target else None
        if known is not None and is_live(known):
            return (probe(state, known.address, now),)
    return ()


def probe(state: Protocol, target: Address, now: float) -> Send:
    """Return a probe of a member and note it as under way."""
    sequence = state.prober.begin(target, now)
    return compose(state, target, Kind.PROBE, sequence)


def end_probes(state: Protocol, now: float) -> Iterator[Send]:
    """Ask helpers about late probes; suspect the targets of failed ones."""
    for sequence, target in state.prober.late(now):
        for helper in some_peers(state, HELPERS, target):
            yield compose(state, helper, Kind.PROBE_REQUEST, sequence, target)
    for target in state.prober.failed(now):
        state.health.record(False, now)
        known = state.table.members.get(target)
        if known is None or known.status is not Status.ALIVE:
            continue
        if state.health.may_accuse(now):
            learn(state, replace(known, status=Status.SUSPECT), now)
            yield compose(state, target, Kind.PUSH, 0)


def end_suspicions(state: Protocol, now: float) -> Iterator[Send]:
    """Ask suspects; declare those dead that had their time to refute."""
    asked = state.suspicions.to_ask(now)
    if asked is not None:
        yield compose(state, asked, Kind.PROBE, 0)
    if not state.health.may_accuse(now):
        return
    for address in state.suspicions.overdue(state.health, now):
        state.suspicions.end(address)
        known = state.table.members.get(address)
        if known is not None and known.status is Status.SUSPECT:
            version = state.table.last_known_version(address)
            dead = replace(known, status=Status.DEAD, running_version=version)
            take_statement(state, dead, now)
            yield compose(state, address, Kind.PUSH, 0)


def answer_datagram(
    state: Protocol, sender: Address, datagram: Datagram, now: float
) -> tuple[Send, ...]:
    """Return the answer that a datagram asks for."""
    sequence = datagram.sequence
    match datagram.kind:
        case Kind.PROBE:
            return (compose(state, sender, Kind.ACK, sequence),)
        case Kind.PROBE_REQUEST if datagram.target is not None:
            own_sequence = state.prober.begin_indirect_probe(sender, sequence, now)
            return (compose(state, datagram.target, Kind.PROBE, own_sequence),)
        case Kind.ACK:
            return _take_ack(state, sequence, now)
    return ()


def _take_ack(state: Protocol, sequence: int, now: float) -> tuple[Send, ...]:
    indirect = state.prober.indirect_probes.pop(sequence, None)
    if indirect is not None:
        return (compose(state, indirect.requester, Kind.ACK, indirect.sequence),)
    probe = state.prober.probes.pop(sequence, None)
    if probe is not None:
        state.health.record(True, now)
        state.suspicions.heard(probe.target, now)
    return ()


def push(state: Protocol, now: float) -> tuple[Send, ...]:
    """Pass statements on, urgent ones at once and to more peers."""
    outbox = state.outbox
    if not outbox.queued or (now < state.push_at and not outbox.is_urgent):
        return ()
    fanout = URGENT_FANOUT if outbox.is_urgent else PUSH_FANOUT
    outbox.is_urgent = False
    state.push_at = now + state.interval_seconds
    sends = (compose(state, p, Kind.PUSH, 0) for p in some_peers(state, fanout))
    return tuple(send for send in sends if send.datagram.updates)


__all__ = [
    "answer_datagram",
    "end_probes",
    "end_suspicions",
    "probe",
    "probe_next",
    "push",
]
