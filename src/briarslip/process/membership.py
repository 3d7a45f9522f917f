"""Membership: who is there, learned by exchanged heartbeats."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from briarslip.process.member import Member
from briarslip.process.member import Status


if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from briarslip.address import Address
    from briarslip.process.member import Endpoint


FANOUT = 3
SILENT_SECONDS = 5.0


@dataclass(slots=True)
class Membership:
    """What this daemon knows of all daemons, itself among them."""

    self_member: Member
    seeds: tuple[Address, ...]
    members: dict[Address, Member] = field(default_factory=dict)
    heard: dict[Address, float] = field(default_factory=dict)

    @property
    def live(self) -> tuple[Member, ...]:
        """Every member that takes part, this daemon first."""
        others = (m for m in self.members.values() if m.status <= Status.SUSPECT)
        return (self.self_member, *others)

    def zone_members(self, availability_zone: str) -> tuple[Member, ...]:
        """Return the live members of one availability zone."""
        return tuple(m for m in self.live if m.availability_zone == availability_zone)


def announce(
    state: Membership,
    endpoints: tuple[Endpoint, ...],
    running_version: int,
    status: Status = Status.ALIVE,
) -> None:
    """Make a new statement of this daemon about itself."""
    state.self_member = replace(
        state.self_member,
        incarnation=state.self_member.incarnation + 1,
        endpoints=endpoints,
        running_version=running_version,
        status=status,
    )


def merge(state: Membership, members: Iterable[Member], now: float) -> bool:
    """Take over newer statements; return whether anything changed."""
    changed = False
    for member in members:
        if member.address == state.self_member.address:
            continue
        known = state.members.get(member.address)
        if known is None or (member.incarnation, member.status) > (
            known.incarnation,
            known.status,
        ):
            state.members[member.address] = member
            state.heard[member.address] = now
            changed = True
    return changed


def expire(state: Membership, now: float) -> None:
    """Mark members dead that no statement has come from."""
    for address, member in list(state.members.items()):
        silent = now - state.heard[address]
        if member.status < Status.DEAD and silent > SILENT_SECONDS:
            state.members[address] = replace(member, status=Status.DEAD)


def heartbeat_targets(state: Membership, rng: random.Random) -> tuple[Address, ...]:
    """Return the peers that get the next heartbeat."""
    known = [m.address for m in state.live if m is not state.self_member]
    own = state.self_member.address
    candidates = sorted({*known, *state.seeds} - {own})
    return tuple(rng.sample(candidates, min(FANOUT, len(candidates))))


__all__ = [
    "Membership",
    "announce",
    "expire",
    "heartbeat_targets",
    "merge",
]
