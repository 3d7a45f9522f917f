"""The table of members: own zone in detail, other zones by their digests."""

from __future__ import annotations

import hashlib
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from functools import lru_cache
from typing import TYPE_CHECKING

from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status


if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarslip.address import Address
    from briarslip.process.membership.member import Endpoint


FORGET_SECONDS = 600.0
KEEP_VERSION_SECONDS = 86_400.0
MAX_KEPT_VERSIONS = 4_096
FORGET_ZONE_SECONDS = 7_200.0
CHECKSUM_MASK = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class RecordedVersion:
    """The newest version that a daemon at an address was heard to run."""

    version: int
    recorded_at: float


@dataclass(frozen=True, slots=True)
class View:
    """The live members, sorted out once for each change of the table."""

    live: tuple[Member, ...]
    by_zone: dict[str, tuple[Member, ...]]
    by_service: dict[str, tuple[Member, ...]]

    @classmethod
    def from_members(cls, members: Iterable[Member]) -> View:
        """Sort out members."""
        live = tuple(members)
        zones: dict[str, list[Member]] = {}
        services: dict[str, list[Member]] = {}
        for member in live:
            zones.setdefault(member.availability_zone, []).append(member)
            for service in {endpoint.service for endpoint in member.endpoints}:
                services.setdefault(service, []).append(member)
        return cls(
            live,
            {zone: tuple(found) for zone, found in zones.items()},
            {service: tuple(found) for service, found in services.items()},
        )


@dataclass(slots=True)
class MemberTable:
    """What this daemon knows of all daemons, itself among them."""

    self_member: Member
    members: dict[Address, Member] = field(default_factory=dict)
    ended_at: dict[Address, float] = field(default_factory=dict)
    versions: dict[Address, RecordedVersion] = field(default_factory=dict)
    zone_last_contact_at: dict[str, float] = field(default_factory=dict)
    revisions: Counter[str] = field(default_factory=Counter)
    checksums: dict[str, tuple[int, int]] = field(default_factory=dict)
    cached_view: View | None = None

    @property
    def zone(self) -> str:
        """The availability zone of this daemon."""
        return self.self_member.availability_zone

    @property
    def view(self) -> View:
        """The live members, sorted out."""
        if self.cached_view is None:
            others = (m for m in self.members.values() if is_live(m))
            self.cached_view = View.from_members((self.self_member, *others))
        return self.cached_view

    @property
    def live(self) -> tuple[Member, ...]:
        """Every member that takes part, this daemon first."""
        return self.view.live

    @property
    def peers(self) -> tuple[Member, ...]:
        """The other live members of the own zone."""
        self_member = self.self_member
        return tuple(m for m in self.zone_members(self.zone) if m is not self_member)

    @property
    def zones(self) -> tuple[str, ...]:
        """The zones of which any member is known, in order."""
        return tuple(sorted(self.revisions.keys() | {self.zone}))

    def zone_members(self, availability_zone: str) -> tuple[Member, ...]:
        """Return the live members of one availability zone."""
        return self.view.by_zone.get(availability_zone, ())

    def last_known_version(self, address: Address) -> int:
        """Return the version last heard from an address, 0 if none was."""
        heard = self.versions.get(address)
        return heard.version if heard else 0

    def changed(self, zone: str) -> None:
        """Drop what was worked out from the members of a zone."""
        self.revisions[zone] += 1
        self.cached_view = None


def is_live(member: Member) -> bool:
    """Tell whether a member takes part; a suspect one still does."""
    return member.status <= Status.SUSPECT


def is_newer(update: Member, known: Member) -> bool:
    """Tell whether a statement goes before what is known."""
    return (update.incarnation, update.status) > (
        known.incarnation,
        known.status,
    )


def update_self_member(
    state: MemberTable,
    endpoints: tuple[Endpoint, ...],
    running_version: int,
    status: Status,
) -> bool:
    """State what this daemon has; return whether others must be told.

    The running version alone is no news: every message carries it.
    """
    self_member = state.self_member
    is_news = (self_member.endpoints, self_member.status) != (endpoints, status)
    state.self_member = replace(
        self_member,
        incarnation=self_member.incarnation + is_news,
        endpoints=endpoints,
        running_version=running_version,
        status=status,
    )
    state.cached_view = None
    if is_news:
        state.changed(state.zone)
    return is_news


def raise_incarnation(state: MemberTable, above: int) -> None:
    """Go above what was said of this daemon."""
    self_member = state.self_member
    state.self_member = replace(
        self_member, incarnation=max(self_member.incarnation, above) + 1
    )
    state.changed(state.zone)


def is_refutable(state: MemberTable, update: Member) -> bool:
    """Tell whether a statement about this daemon's address is not its own."""
    self_member = state.self_member
    if update.incarnation != self_member.incarnation:
        return update.incarnation > self_member.incarnation
    if update.status is Status.ALIVE:
        return update.endpoints != self_member.endpoints
    return self_member.status is not Status.LEFT


def merge_update(state: MemberTable, update: Member, now: float) -> Member | None:
    """Take over a statement about another; return the member if it is news."""
    address = update.address
    known = state.members.get(address)
    if known is not None and not is_newer(update, known):
        return None
    if known is not None and update.status is not Status.ALIVE:
        version = max(known.running_version, update.running_version)
        update = replace(update, endpoints=known.endpoints, running_version=version)
    state.members[address] = update
    if is_live(update):
        state.ended_at.pop(address, None)
    else:
        state.ended_at.setdefault(address, now)
    hear_version(state, address, update.running_version, now)
    state.changed(update.availability_zone)
    return update


def hear_version(
    state: MemberTable, address: Address, version: int, now: float
) -> None:
    """Note the version that an address runs; it never goes back."""
    kept = max(version, state.last_known_version(address))
    if kept:
        state.versions.pop(address, None)
        state.versions[address] = RecordedVersion(kept, now)


def forget(state: MemberTable, now: float) -> None:
    """Drop members that ended long ago, and what is kept of addresses."""
    for address, ended_at in list(state.ended_at.items()):
        if now - ended_at > FORGET_SECONDS:
            del state.ended_at[address]
            member = state.members.pop(address)
            state.changed(member.availability_zone)
    _forget_versions(state, now)
    _forget_zones(state, now)


def _forget_versions(state: MemberTable, now: float) -> None:
    # The addresses stand in the order in which they were heard.
    for address, heard in list(state.versions.items()):
        is_old = now - heard.recorded_at > KEEP_VERSION_SECONDS
        if not is_old and len(state.versions) <= MAX_KEPT_VERSIONS:
            return
        del state.versions[address]


def _forget_zones(state: MemberTable, now: float) -> None:
    for zone, last_contact_at in list(state.zone_last_contact_at.items()):
        if zone == state.zone or now - last_contact_at <= FORGET_ZONE_SECONDS:
            continue
        for address, member in list(state.members.items()):
            if member.availability_zone == zone:
                del state.members[address]
                state.ended_at.pop(address, None)
        del state.zone_last_contact_at[zone]
        state.changed(zone)
        del state.revisions[zone]
        state.checksums.pop(zone, None)


def checksum(state: MemberTable, zone: str) -> int:
    """Return the checksum of a zone's live members and their incarnations."""
    revision = state.revisions.get(zone, 0)
    cached = state.checksums.get(zone)
    if cached is not None and cached[0] == revision:
        return cached[1]
    total = sum(
        _checksum_part(member.address, member.incarnation)
        for member in state.zone_members(zone)
        if is_live(member)
    )
    state.checksums[zone] = (revision, total & CHECKSUM_MASK)
    return total & CHECKSUM_MASK


@lru_cache(maxsize=4096)
def _checksum_part(address: Address, incarnation: int) -> int:
    text = f"{address} {incarnation}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


__all__ = [
    "MemberTable",
    "checksum",
    "forget",
    "hear_version",
    "is_live",
    "is_newer",
    "is_refutable",
    "merge_update",
    "raise_incarnation",
    "update_self_member",
]
