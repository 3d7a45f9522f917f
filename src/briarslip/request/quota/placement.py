"""Which daemons are the relays and the homes of a group of organisations."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from briarslip.rendezvous import rank_by_hash


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.address import Address
    from briarslip.process.membership.member import Member


RELAY_RANKS = 3
WITNESSES = 5
HOME_RANKS = 2


class Placement:
    """Rankings of the live members, made again when these change.

    Every daemon ranks by the same rendezvous hash. Daemons whose member lists differ
    may report to different relays or homes for a while.
    """

    def __init__(
        self,
        own_address: Address,
        zone: str,
        members: Callable[[], tuple[Member, ...]],
    ) -> None:
        self.own_address = own_address
        self.zone = zone
        self.members = members
        self.seen: tuple[Member, ...] | None = None
        self.zones: dict[Address, str] = {}
        self.addresses: dict[str, list[Address]] = {}
        self.ranks: dict[tuple[int, str, int], tuple[Address, ...]] = {}
        self.home_ranks: dict[int, tuple[Address, ...]] = {}

    def refresh(self) -> None:
        """Rank anew if the members have changed."""
        members = self.members()
        if members is self.seen:
            return
        self.seen = members
        zones = {member.address: member.availability_zone for member in members}
        if zones == self.zones:
            return
        self.zones = zones
        self.addresses = {}
        for address, zone in zones.items():
            self.addresses.setdefault(zone, []).append(address)
        self.ranks.clear()
        self.home_ranks.clear()

    @property
    def zone_members(self) -> tuple[Address, ...]:
        """The daemons of this zone."""
        return tuple(self.addresses.get(self.zone, ()))

    @property
    def zone_names(self) -> tuple[str, ...]:
        """The zones with a live member."""
        return tuple(self.addresses)

    @property
    def fixed_share(self) -> float:
        """The share of a limit that a daemon may pass that reaches no relay."""
        return 1.0 / (max(1, len(self.addresses)) * max(1, len(self.zone_members)))

    def relays(self, group: int, zone: str = "") -> tuple[Address, ...]:
        """Return the daemons of a zone (default: own) that may be the relay."""
        return self._rank(group, zone or self.zone, RELAY_RANKS)

    def _rank(self, group: int, zone: str, count: int) -> tuple[Address, ...]:
        key = (group, zone, count)
        ranks = self.ranks.get(key)
        if ranks is None:
            ranks = rank_by_hash(self.addresses.get(zone, ()), f"quota {group}")
            ranks = self.ranks[key] = ranks[:count]
        return ranks

    def homes(self, group: int) -> tuple[Address, ...]:
        """Return the first relay of each zone by the rank of the zone, then the next.

        The home should be the same for all zones, also if several daemons have ended.
        """
        homes = self.home_ranks.get(group)
        if homes is None:
            zones = self._ranked_zones(group)
            homes = self.home_ranks[group] = tuple(
                self.relays(group, zone)[rank]
                for rank in range(HOME_RANKS)
                for zone in zones
                if rank < len(self.relays(group, zone))
            )
        return homes

    def witnesses(self, group: int) -> tuple[Address, ...]:
        """Return other daemons of this zone that answer if the zone is connected."""
        ranks = self._rank(group, self.zone, WITNESSES + 1)
        return tuple(a for a in ranks if a != self.own_address)

    def _ranked_zones(self, group: int) -> list[str]:
        def salted_hash(zone: str) -> bytes:
            return hashlib.blake2b(f"quota {group} {zone}".encode()).digest()

        return sorted(self.addresses, key=salted_hash)


__all__ = ["Placement"]
