"""The peers of a daemon's rollout task, ranked again when the members change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.rendezvous import rank_by_hash


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.address import Address
    from briarslip.process.membership.member import Member


ANALYZERS_PER_ZONE = 2
SAME_ZONE_NEIGHBORS = 4
OTHER_ZONE_NEIGHBORS = 4


class RolloutPeers:
    """The analyzers of each service and zone, and the neighbors for dissemination.

    Every daemon ranks the members by the same rendezvous hash, so analyzers need
    no election. Daemons whose member lists differ may choose different analyzers;
    a service then has more of them, which does no harm.
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
        self.member_zones: tuple[tuple[Address, str], ...] = ()
        self.addresses_by_zone: dict[str, list[Address]] = {}
        self.analyzer_cache: dict[tuple[str, str], tuple[Address, ...]] = {}
        self.neighbors: tuple[Address, ...] = ()

    def refresh(self) -> None:
        """Update the rankings if the members or their zones have changed."""
        member_zones = tuple((m.address, m.availability_zone) for m in self.members())
        if member_zones == self.member_zones:
            return
        self.member_zones = member_zones
        self.analyzer_cache.clear()
        self.addresses_by_zone = {}
        for address, zone in member_zones:
            self.addresses_by_zone.setdefault(zone, []).append(address)
        self.neighbors = self._choose_neighbors()

    def _choose_neighbors(self) -> tuple[Address, ...]:
        """Return the peers that state updates are sent to, in this and other zones.

        The hash is salted with the own address, so daemons choose different
        neighbors and an update reaches all daemons in a few hops. The choice is
        stable, which keeps the number of peer links small.
        """
        same_zone: list[Address] = []
        other_zones: list[Address] = []
        for address, zone in self.member_zones:
            if address != self.own_address:
                (same_zone if zone == self.availability_zone else other_zones).append(
                    address
                )
        salt = f"news {self.own_address}"
        return (
            rank_by_hash(same_zone, salt)[:SAME_ZONE_NEIGHBORS]
            + rank_by_hash(other_zones, salt)[:OTHER_ZONE_NEIGHBORS]
        )

    def analyzers(self, service: str, zone: str = "") -> tuple[Address, ...]:
        """Return the analyzers of a service in a zone (default: own), by rank."""
        key = (zone or self.availability_zone, service)
        analyzers = self.analyzer_cache.get(key)
        if analyzers is None:
            ranking = rank_by_hash(
                self.addresses_by_zone.get(key[0], ()), f"analyzer {service}"
            )
            analyzers = self.analyzer_cache[key] = ranking[:ANALYZERS_PER_ZONE]
        return analyzers

    def counterparts(self, service: str) -> tuple[Address, ...]:
        """Return the analyzers in other zones that this daemon forwards evidence to.

        Each analyzer forwards to the analyzers of its own rank, so two paths lead
        to every zone. Empty if this daemon does not analyze the service.
        """
        zone_analyzers = self.analyzers(service)
        if self.own_address not in zone_analyzers:
            return ()
        rank = zone_analyzers.index(self.own_address)
        other_zones = sorted(self.addresses_by_zone.keys() - {self.availability_zone})
        rankings = (self.analyzers(service, zone) for zone in other_zones)
        return tuple(ranks[min(rank, len(ranks) - 1)] for ranks in rankings if ranks)


__all__ = ["RolloutPeers"]
