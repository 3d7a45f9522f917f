"""The state of the membership protocol, and how updates are applied to it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from briarslip.process.membership.dissemination import ByteBudget
from briarslip.process.membership.dissemination import Outbox
from briarslip.process.membership.dissemination import is_draining
from briarslip.process.membership.draining_servers import DrainingServer
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status
from briarslip.process.membership.member_table import MemberTable
from briarslip.process.membership.member_table import is_live
from briarslip.process.membership.member_table import is_refutable
from briarslip.process.membership.member_table import merge_update
from briarslip.process.membership.member_table import raise_incarnation
from briarslip.process.membership.messages import Datagram
from briarslip.process.membership.messages import DatagramKind
from briarslip.process.membership.messages import SendDatagram
from briarslip.process.membership.probing import Prober
from briarslip.process.membership.suspicion import LocalHealth
from briarslip.process.membership.suspicion import Suspicions
from briarslip.process.membership.sync import SyncState
from briarslip.process.membership.zone_bridge import ZoneBridge


if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from briarslip.address import Address


MAX_FORWARDED_UPDATES = 50
URGENT_BYTES_PER_SECOND = 512.0
URGENT_BURST_BYTES = 8_192.0
DATAGRAM_BYTES_PER_SECOND = 768.0
DATAGRAM_BURST_BYTES = 2_048.0
SYNC_BYTES_PER_SECOND = 512.0
SYNC_BURST_BYTES = 8_192.0


@dataclass(slots=True)
class ProtocolState:
    """The state of the membership protocol at one daemon.

    Times are monotonic seconds; ``interval_seconds`` is the mean probe interval.
    ``departed`` are members of this daemon's zone that were declared dead or left
    and have not been logged yet, ``own_draining`` the servers beside this daemon
    that peers know to be draining and that are not handled yet.
    """

    table: MemberTable
    sync_state: SyncState
    rng: random.Random
    interval_seconds: float
    last_tick_at: float
    prober: Prober = field(default_factory=Prober)
    health: LocalHealth = field(default_factory=LocalHealth)
    suspicions: Suspicions = field(default_factory=Suspicions)
    outbox: Outbox = field(
        default_factory=lambda: Outbox(
            ByteBudget(URGENT_BYTES_PER_SECOND, URGENT_BURST_BYTES),
            ByteBudget(DATAGRAM_BYTES_PER_SECOND, DATAGRAM_BURST_BYTES),
        )
    )
    bridge: ZoneBridge = field(default_factory=ZoneBridge)
    sync_budget: ByteBudget = field(
        default_factory=lambda: ByteBudget(SYNC_BYTES_PER_SECOND, SYNC_BURST_BYTES)
    )
    departed: list[Member] = field(default_factory=list)
    own_draining: list[DrainingServer] = field(default_factory=list)
    next_probe_at: float = 0.0
    next_push_at: float = 0.0
    next_expiry_at: float = 0.0

    @classmethod
    def from_member(
        cls,
        member: Member,
        contact_points: tuple[Address, ...],
        rng: random.Random,
        interval_seconds: float,
        now: float,
    ) -> ProtocolState:
        """Build the state of a daemon that knows no other member yet."""
        return cls(
            MemberTable(member), SyncState(contact_points), rng, interval_seconds, now
        )

    @property
    def budgets(self) -> tuple[ByteBudget, ...]:
        """Every byte budget that the tick refills."""
        return (self.outbox.urgent_budget, self.outbox.budget, self.sync_budget)

    @property
    def own_member(self) -> Member:
        """This daemon's own member."""
        return self.table.own_member


def build_datagram(
    state: ProtocolState,
    peer: Address,
    kind: DatagramKind,
    sequence: int,
    target: Address | None = None,
) -> SendDatagram:
    """Return a datagram with as many updates as the byte budgets allow.

    A peer that is suspected or declared dead gets only the update about itself,
    so that it can refute it.
    """
    own_member = state.own_member
    known_member = state.table.members.get(peer)
    if known_member is not None and known_member.status in (
        Status.SUSPECT,
        Status.DEAD,
    ):
        # Other updates would count as transmitted and most likely be lost.
        selected: tuple[Member, ...] = (known_member,)
    else:
        implied_names = {own_member.availability_zone, own_member.region}
        selected = state.outbox.select(zone_size(state), implied_names)
    datagram = Datagram(kind, sequence, own_member.running_version, selected, target)
    return SendDatagram(peer, datagram)


def zone_size(state: ProtocolState) -> int:
    """Return the number of live members of this daemon's zone."""
    return len(state.table.zone_members(state.own_member.availability_zone))


def random_peers(
    state: ProtocolState, count: int, excluded: Address | None = None
) -> tuple[Address, ...]:
    """Return up to ``count`` random peers of this daemon's zone that are ALIVE."""
    peers = [
        member.address
        for member in state.table.peers
        if member.status is Status.ALIVE and member.address != excluded
    ]
    return tuple(state.rng.sample(peers, min(count, len(peers))))


def receive_update(state: ProtocolState, update: Member, now: float) -> Member | None:
    """Apply an update received from a peer; return the member if it changed.

    An update about this daemon is refuted where it is wrong. A peer's report that
    an ALIVE member of this zone is dead only makes it suspect.
    """
    if update.address == state.own_member.address:
        draining = [e for e in update.endpoints if e.draining and e.incarnation]
        record_own_draining(state, map(DrainingServer.from_endpoint, draining), now)
        _refute(state, update)
        return None
    known_member = state.table.members.get(update.address)
    is_same_zone = update.availability_zone == state.own_member.availability_zone
    is_alive = known_member is not None and known_member.status is Status.ALIVE
    if is_same_zone and is_alive and update.status is Status.DEAD:
        # Each daemon probes a suspect of its zone itself before declaring it dead.
        update = replace(update, status=Status.SUSPECT)
    return apply_update(state, update, now)


def receive_updates(
    state: ProtocolState, updates: Iterable[Member], now: float, forward: bool = True
) -> None:
    """Apply updates from a control message; disseminate them unless they are many.

    Draining is always disseminated. Updates that are not, because ``forward`` is
    false or more than ``MAX_FORWARDED_UPDATES`` members changed, reach the other
    members by their own anti-entropy syncs.
    """
    applied = [receive_update(state, update, now) for update in updates]
    changed_members = [member for member in applied if member is not None]
    if forward and len(changed_members) <= MAX_FORWARDED_UPDATES:
        return
    for member in changed_members:
        if not is_draining(member):
            state.outbox.queued.pop(member.address, None)


def apply_update(state: ProtocolState, update: Member, now: float) -> Member | None:
    """Apply an update as it is; return the member if it changed.

    Starts or removes the suspicion of the member and disseminates the change.
    """
    zone = update.availability_zone
    state.table.zone_last_contact_at.setdefault(zone, now)
    known_member = state.table.members.get(update.address)
    changed = merge_update(state.table, update, now)
    if changed is None:
        return None
    was_suspected = known_member is not None and known_member.status in (
        Status.SUSPECT,
        Status.DEAD,
    )
    if changed.status is Status.SUSPECT and zone == state.own_member.availability_zone:
        state.suspicions.start(changed.address, now)
    else:
        state.suspicions.remove(changed.address)
    if known_member is not None and not is_live(changed) and zone == state.table.zone:
        state.departed.append(changed)
    disseminate(state, changed, was_suspected and changed.status is Status.ALIVE)
    return changed


def disseminate(
    state: ProtocolState, update: Member, is_refutation: bool = False
) -> None:
    """Queue an update for this daemon's zone and for the zones that it bridges to."""
    state.outbox.put(update, is_refutation)
    is_same_zone = update.availability_zone == state.own_member.availability_zone
    if is_same_zone and update.status is not Status.SUSPECT:
        state.bridge.put(update)


def record_own_draining(
    state: ProtocolState, servers: Iterable[DrainingServer], now: float
) -> None:
    """Record servers beside this daemon that peers know to be draining.

    An earlier process at this address may have published that.
    """
    address, table = state.own_member.address, state.table
    state.own_draining.extend(
        server for server in servers if table.draining_servers.add(address, server, now)
    )


def _refute(state: ProtocolState, update: Member) -> None:
    """Refute a wrong update about this daemon by a greater incarnation."""
    if is_refutable(state.table, update):
        raise_incarnation(state.table, update.incarnation)
        disseminate(state, state.own_member, is_refutation=True)


__all__ = [
    "ProtocolState",
    "apply_update",
    "build_datagram",
    "disseminate",
    "random_peers",
    "receive_update",
    "receive_updates",
    "record_own_draining",
    "zone_size",
]
