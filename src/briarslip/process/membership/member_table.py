"""The table of all known members and its merge rules."""

from __future__ import annotations

import hashlib
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from functools import lru_cache
from typing import TYPE_CHECKING

from briarslip.process.membership.draining_servers import DrainingServers
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status


if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarslip.address import Address
    from briarslip.process.membership.member import Endpoint


DEPARTED_RETENTION_SECONDS = 600.0
VERSION_RETENTION_SECONDS = 86_400.0
MAX_RETAINED_VERSIONS = 4_096
ZONE_RETENTION_SECONDS = 7_200.0
CHECKSUM_MASK = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class RecordedVersion:
    """The newest configuration version known to have run at an address.

    ``recorded_at`` is the time of the last report from the address.
    """

    version: int
    recorded_at: float


@dataclass(frozen=True, slots=True)
class View:
    """The live members, indexed by zone; rebuilt when the table changes."""

    live: tuple[Member, ...]
    by_zone: dict[str, tuple[Member, ...]]

    @classmethod
    def from_members(cls, members: Iterable[Member]) -> View:
        """Index members by zone."""
        live = tuple(members)
        zones: dict[str, list[Member]] = {}
        for member in live:
            zones.setdefault(member.availability_zone, []).append(member)
        return cls(live, {zone: tuple(group) for zone, group in zones.items()})


@dataclass(slots=True)
class MemberTable:
    """All members that this daemon knows, itself included.

    ``members`` has the other members; ``departed_at`` the times at which those
    that are DEAD or LEFT became so. ``versions`` is ordered by the time of
    the last report. ``revisions`` counts the changes of each zone, and
    ``checksums`` caches a checksum with its revision. Times are monotonic seconds.
    """

    own_member: Member
    members: dict[Address, Member] = field(default_factory=dict)
    departed_at: dict[Address, float] = field(default_factory=dict)
    versions: dict[Address, RecordedVersion] = field(default_factory=dict)
    zone_last_contact_at: dict[str, float] = field(default_factory=dict)
    revisions: Counter[str] = field(default_factory=Counter)
    checksums: dict[str, tuple[int, int]] = field(default_factory=dict)
    draining_servers: DrainingServers = field(default_factory=DrainingServers)
    cached_view: View | None = None

    @property
    def zone(self) -> str:
        """The availability zone of this daemon."""
        return self.own_member.availability_zone

    @property
    def view(self) -> View:
        """The live members, indexed."""
        if self.cached_view is None:
            others = (m for m in self.members.values() if is_live(m))
            self.cached_view = View.from_members((self.own_member, *others))
        return self.cached_view

    @property
    def live(self) -> tuple[Member, ...]:
        """Every live member, this daemon first."""
        return self.view.live

    @property
    def peers(self) -> tuple[Member, ...]:
        """The other live members of this daemon's zone."""
        own_member = self.own_member
        return tuple(m for m in self.zone_members(self.zone) if m is not own_member)

    @property
    def zones(self) -> tuple[str, ...]:
        """The zones with a known member, sorted."""
        return tuple(sorted(self.revisions.keys() | {self.zone}))

    def zone_members(self, availability_zone: str) -> tuple[Member, ...]:
        """Return the live members of one availability zone."""
        return self.view.by_zone.get(availability_zone, ())

    def last_known_version(self, address: Address) -> int:
        """Return the newest configuration version recorded for an address, or 0."""
        recorded = self.versions.get(address)
        return recorded.version if recorded else 0

    def mark_changed(self, zone: str) -> None:
        """Invalidate what is cached about the members of a zone."""
        self.revisions[zone] += 1
        self.cached_view = None


def is_live(member: Member) -> bool:
    """Return whether a member is live; a suspect still is."""
    return member.status <= Status.SUSPECT


def is_newer(update: Member, known_member: Member) -> bool:
    """Return whether an update supersedes the known member."""
    return (update.incarnation, update.status) > (
        known_member.incarnation,
        known_member.status,
    )


def update_own_member(
    table: MemberTable,
    endpoints: tuple[Endpoint, ...],
    running_version: int,
    status: Status,
) -> bool:
    """Update this daemon's own member; return whether to disseminate it.

    A change of the running version alone need not be disseminated, since every
    message carries it.
    """
    own_member = table.own_member
    is_changed = (own_member.endpoints, own_member.status) != (endpoints, status)
    table.own_member = replace(
        own_member,
        incarnation=own_member.incarnation + is_changed,
        endpoints=endpoints,
        running_version=running_version,
        status=status,
    )
    table.cached_view = None
    if is_changed:
        table.mark_changed(table.zone)
    return is_changed


def raise_incarnation(table: MemberTable, above: int) -> None:
    """Raise this daemon's incarnation above its own and the given one."""
    own_member = table.own_member
    table.own_member = replace(
        own_member, incarnation=max(own_member.incarnation, above) + 1
    )
    table.mark_changed(table.zone)


def is_refutable(table: MemberTable, update: Member) -> bool:
    """Return whether an update about this daemon's address has to be refuted.

    It has if its incarnation is greater, which an earlier process at the address
    may have used, or if the incarnation is the same and the content is wrong.
    """
    own_member = table.own_member
    if update.incarnation != own_member.incarnation:
        return update.incarnation > own_member.incarnation
    if update.status is Status.ALIVE:
        return update.endpoints != own_member.endpoints
    return own_member.status is not Status.LEFT


def merge_update(table: MemberTable, update: Member, now: float) -> Member | None:
    """Merge an update about another daemon; return the member if it changed.

    An update that is not ALIVE keeps the known endpoints and the newer version. A
    server that has been draining is so in each later update, also from a restarted
    daemon, to which a late report may have said otherwise.
    """
    address = update.address
    if table.draining_servers.record(address, update.endpoints, now):
        _mark_draining(table, address)
    endpoints = table.draining_servers.with_draining(address, update.endpoints)
    if endpoints != update.endpoints:
        update = replace(update, endpoints=endpoints)
    known_member = table.members.get(address)
    if known_member is not None and not is_newer(update, known_member):
        return None
    if known_member is not None and update.status is not Status.ALIVE:
        version = max(known_member.running_version, update.running_version)
        update = replace(
            update, endpoints=known_member.endpoints, running_version=version
        )
    table.members[address] = update
    if is_live(update):
        table.departed_at.pop(address, None)
    else:
        table.departed_at.setdefault(address, now)
    record_version(table, address, update.running_version, now)
    table.mark_changed(update.availability_zone)
    return update


def _mark_draining(table: MemberTable, address: Address) -> None:
    """Mark the servers of a member that have been draining before."""
    member = table.members.get(address)
    if member is None:
        return
    endpoints = table.draining_servers.with_draining(address, member.endpoints)
    if endpoints != member.endpoints:
        table.members[address] = replace(member, endpoints=endpoints)
        table.mark_changed(member.availability_zone)


def record_version(
    table: MemberTable, address: Address, version: int, now: float
) -> None:
    """Record the configuration version of an address; it never decreases."""
    newest = max(version, table.last_known_version(address))
    if newest:
        table.versions.pop(address, None)
        table.versions[address] = RecordedVersion(newest, now)


def expire(table: MemberTable, now: float) -> None:
    """Evict members that departed long ago, old versions, and zones out of contact."""
    for address, departed_at in list(table.departed_at.items()):
        if now - departed_at > DEPARTED_RETENTION_SECONDS:
            del table.departed_at[address]
            member = table.members.pop(address)
            table.mark_changed(member.availability_zone)
    table.draining_servers.expire(now)
    _expire_versions(table, now)
    _expire_zones(table, now)


def _expire_versions(table: MemberTable, now: float) -> None:
    # The versions are ordered by ``recorded_at``, oldest first.
    for address, recorded in list(table.versions.items()):
        is_old = now - recorded.recorded_at > VERSION_RETENTION_SECONDS
        if not is_old and len(table.versions) <= MAX_RETAINED_VERSIONS:
            return
        del table.versions[address]


def _expire_zones(table: MemberTable, now: float) -> None:
    for zone, last_contact_at in list(table.zone_last_contact_at.items()):
        if zone == table.zone or now - last_contact_at <= ZONE_RETENTION_SECONDS:
            continue
        for address, member in list(table.members.items()):
            if member.availability_zone == zone:
                del table.members[address]
                table.departed_at.pop(address, None)
        del table.zone_last_contact_at[zone]
        table.mark_changed(zone)
        del table.revisions[zone]
        table.checksums.pop(zone, None)


def checksum(table: MemberTable, zone: str) -> int:
    """Return the checksum of a zone's live members and their incarnations."""
    revision = table.revisions.get(zone, 0)
    cached = table.checksums.get(zone)
    if cached is not None and cached[0] == revision:
        return cached[1]
    total = sum(
        _checksum_part(member.address, member.incarnation)
        for member in table.zone_members(zone)
        if is_live(member)
    )
    table.checksums[zone] = (revision, total & CHECKSUM_MASK)
    return total & CHECKSUM_MASK


@lru_cache(maxsize=4096)
def _checksum_part(address: Address, incarnation: int) -> int:
    text = f"{address} {incarnation}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


__all__ = [
    "MemberTable",
    "checksum",
    "expire",
    "is_live",
    "is_newer",
    "is_refutable",
    "merge_update",
    "raise_incarnation",
    "record_version",
    "update_own_member",
]
