"""The daemons that a configuration is distributed to, and the versions they run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.version.push_tree import relays


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.address import Address
    from briarslip.process.membership.member import Member


class DistributionPeers:
    """The live members by availability zone, the relays among them, their versions.

    ``members`` returns the live members, including this daemon.
    """

    def __init__(
        self,
        own_address: Address,
        availability_zone: str,
        members: Callable[[], tuple[Member, ...]],
    ) -> None:
        self.own_address = own_address
        self.availability_zone = availability_zone
        self.members = members
        self.last_members: tuple[Member, ...] = ()
        self.versions: dict[Address, int] = {}
        self.zones: dict[str, list[Address]] = {}
        self.relays_by_zone: dict[str, tuple[Address, ...]] = {}

    def update(self) -> None:
        """Update addresses, relays and versions from the live members.

        Nothing is done while ``members`` returns the same tuple.
        """
        members = self.members()
        if members is self.last_members:
            return
        self.last_members = members
        zones: dict[str, list[Address]] = {}
        for member in members:
            zones.setdefault(member.availability_zone, []).append(member.address)
            self.record_version(member.address, member.running_version)
        live = {address for addresses in zones.values() for address in addresses}
        self.versions = {a: v for a, v in self.versions.items() if a in live}
        self.zones = zones
        self.relays_by_zone = {
            zone: relays(addresses, zone) for zone, addresses in zones.items()
        }

    def record_version(self, peer: Address, version: int) -> None:
        """Record that a peer runs a version."""
        if peer != self.own_address and version > self.version_of(peer):
            self.versions[peer] = version

    def version_of(self, peer: Address) -> int:
        """Return the newest version that a peer is known to run, 0 if none."""
        return self.versions.get(peer, 0)

    @property
    def zone_addresses(self) -> list[Address]:
        """The members of this availability zone, including this daemon."""
        return self.zones.get(self.availability_zone, [])

    @property
    def zone_relays(self) -> tuple[Address, ...]:
        """The relays of this availability zone."""
        return self.relays_by_zone.get(self.availability_zone, ())

    @property
    def other_relays(self) -> list[Address]:
        """The relays of the other availability zones."""
        return [
            address
            for zone, addresses in self.relays_by_zone.items()
            for address in addresses
            if zone != self.availability_zone
        ]

    @property
    def own_rank(self) -> int:
        """The number of relays in all zones that publish before this daemon."""
        ranked = sorted(
            (position, address)
            for addresses in self.relays_by_zone.values()
            for position, address in enumerate(addresses)
        )
        return [address for _, address in ranked].index(self.own_address)

    def other_members(self) -> tuple[list[Address], list[Address]]:
        """Return the other members of this zone, and the members of other zones."""
        own_zone = [a for a in self.zone_addresses if a != self.own_address]
        other_zones = [
            address
            for zone, addresses in self.zones.items()
            for address in addresses
            if zone != self.availability_zone
        ]
        return own_zone, other_zones


__all__ = ["DistributionPeers"]
