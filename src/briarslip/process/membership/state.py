"""The state of the membership protocol, and how statements are taken into it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from briarslip.process.membership.dissemination import ByteBudget
from briarslip.process.membership.dissemination import Outbox
from briarslip.process.membership.dissemination import is_draining
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status
from briarslip.process.membership.member_table import MemberTable
from briarslip.process.membership.member_table import is_live
from briarslip.process.membership.member_table import is_refutable
from briarslip.process.membership.member_table import merge_update
from briarslip.process.membership.member_table import raise_incarnation
from briarslip.process.membership.messages import Datagram
from briarslip.process.membership.messages import Kind
from briarslip.process.membership.messages import SendDatagram
from briarslip.process.membership.probing import Prober
from briarslip.process.membership.suspicion import LocalHealth
from briarslip.process.membership.suspicion import Suspicions
from briarslip.process.membership.sync import Bootstrap
from briarslip.process.membership.zone_digest import ZoneLinks


if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from briarslip.address import Address


MAX_SPREAD_STATEMENTS = 50
URGENT_BYTES_PER_SECOND = 512.0
URGENT_BURST_BYTES = 8_192.0
DATAGRAM_BYTES_PER_SECOND = 768.0
DATAGRAM_BURST_BYTES = 2_048.0
SYNC_BYTES_PER_SECOND = 512.0
SYNC_BURST_BYTES = 8_192.0


@dataclass(slots=True)
class Protocol:
    """The state of membership at one daemon."""

    table: MemberTable
    bootstrap: Bootstrap
    rng: random.Random
    interval_seconds: float
    ticked_at: float
    prober: Prober = field(default_factory=Prober)
    health: LocalHealth = field(default_factory=LocalHealth)
    suspicions: Suspicions = field(default_factory=Suspicions)
    outbox: Outbox = field(
        default_factory=lambda: Outbox(
            ByteBudget(URGENT_BYTES_PER_SECOND, URGENT_BURST_BYTES),
            ByteBudget(DATAGRAM_BYTES_PER_SECOND, DATAGRAM_BURST_BYTES),
        )
    )
    links: ZoneLinks = field(default_factory=ZoneLinks)
    sync_budget: ByteBudget = field(
        default_factory=lambda: ByteBudget(SYNC_BYTES_PER_SECOND, SYNC_BURST_BYTES)
    )
    ended: list[Member] = field(default_factory=list)
    probe_at: float = 0.0
    push_at: float = 0.0
    forget_at: float = 0.0

    @classmethod
    def from_member(
        cls,
        member: Member,
        contacts: tuple[Address, ...],
        rng: random.Random,
        interval_seconds: float,
        now: float,
    ) -> Protocol:
        """Build the state of a daemon that knows nobody yet."""
        return cls(MemberTable(member), Bootstrap(contacts), rng, interval_seconds, now)

    @property
    def budgets(self) -> tuple[ByteBudget, ...]:
        """Every byte budget, which time has to fill."""
        return (self.outbox.urgent_budget, self.outbox.budget, self.sync_budget)

    @property
    def self_member(self) -> Member:
        """This daemon as it states itself."""
        return self.table.self_member


def compose(
    state: Protocol,
    peer: Address,
    kind: Kind,
    sequence: int,
    target: Address | None = None,
) -> SendDatagram:
    """Return a datagram with as many statements as the byte budget allows.

    A peer that is not held to be alive is told just that, to let it refute.
    """
    self_member = state.self_member
    known = state.table.members.get(peer)
    if known is not None and known.status in (Status.SUSPECT, Status.DEAD):
        # Others' statements would be lost on it, and count as passed on.
        picked: tuple[Member, ...] = (known,)
    else:
        implied = {self_member.availability_zone, self_member.region}
        picked = state.outbox.pick(zone_size(state), implied)
    datagram = Datagram(kind, sequence, self_member.running_version, picked, target)
    return SendDatagram(peer, datagram)


def zone_size(state: Protocol) -> int:
    """Return the number of live members of the own zone."""
    return len(state.table.zone_members(state.self_member.availability_zone))


def some_peers(
    state: Protocol, count: int, other_than: Address | None = None
) -> tuple[Address, ...]:
    """Return a few random peers of the own zone, none of them suspect."""
    peers = [
        member.address
        for member in state.table.peers
        if member.status is Status.ALIVE and member.address != other_than
    ]
    return tuple(state.rng.sample(peers, min(count, len(peers))))


def learn(state: Protocol, update: Member, now: float) -> Member | None:
    """Take a statement that may be new; return it if it was."""
    if update.address == state.self_member.address:
        _refute(state, update)
        return None
    known = state.table.members.get(update.address)
    is_near = update.availability_zone == state.self_member.availability_zone
    is_alive = known is not None and known.status is Status.ALIVE
    if is_near and is_alive and update.status is Status.DEAD:
        # Another's word alone does not end a member of the own zone.
        update = replace(update, status=Status.SUSPECT)
    return take_statement(state, update, now)


def learn_all(
    state: Protocol, updates: Iterable[Member], now: float, passes_on: bool = True
) -> None:
    """Take statements from a control message; many at once spread no further.

    What is not spread reaches the others by their own comparisons.
    """
    learned = [learn(state, update, now) for update in updates]
    news = [member for member in learned if member is not None]
    if passes_on and len(news) <= MAX_SPREAD_STATEMENTS:
        return
    for member in news:
        if not is_draining(member):
            state.outbox.queued.pop(member.address, None)


def take_statement(state: Protocol, update: Member, now: float) -> Member | None:
    """Take a statement as it stands; return the member if it is news."""
    zone = update.availability_zone
    state.table.zone_last_contact_at.setdefault(zone, now)
    known = state.table.members.get(update.address)
    changed = merge_update(state.table, update, now)
    if changed is None:
        return None
    was_accused = known is not None and known.status in (Status.SUSPECT, Status.DEAD)
    if changed.status is Status.SUSPECT and zone == state.self_member.availability_zone:
        state.suspicions.begin(changed.address, now)
    else:
        state.suspicions.end(changed.address)
    if known is not None and not is_live(changed) and zone == state.table.zone:
        state.ended.append(changed)
    spread(state, changed, was_accused and changed.status is Status.ALIVE)
    return changed


def spread(state: Protocol, update: Member, refutes: bool = False) -> None:
    """Queue a statement for the own zone, and for those carried to."""
    state.outbox.put(update, refutes)
    is_near = update.availability_zone == state.self_member.availability_zone
    if is_near and update.status is not Status.SUSPECT:
        state.links.put(update)


def _refute(state: Protocol, update: Member) -> None:
    if is_refutable(state.table, update):
        raise_incarnation(state.table, update.incarnation)
        spread(state, state.self_member, refutes=True)


__all__ = [
    "Protocol",
    "compose",
    "learn",
    "learn_all",
    "some_peers",
    "spread",
    "take_statement",
    "zone_size",
]
