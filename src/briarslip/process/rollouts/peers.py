"""The peers of a daemon's rollout task, ranked once for each set of members."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.rendezvous import ranked


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.address import Address
    from briarslip.process.membership.member import Member


ANALYZERS_PER_ZONE = 2
NEAR_NEIGHBORS = 4
FAR_NEIGHBORS = 4


class RolloutPeers:
    """Who analyzes a service in a zone, and whom news are passed on to.

    All rank alike by rendezvous hash, so nobody has to be elected; should two
    daemons see other members, more of them analyze, at no harm.
    """

    def __init__(
        self,
        own: Address,
        availability_zone: str,
        members: Callable[[], tuple[Member, ...]],
    ) -> None:
        self.own = own
        self.availability_zone = availability_zone
        self.members = members
        self.places: tuple[tuple[Address, str], ...] = ()
        self.zones: dict[str, list[Address]] = {}
        self.chosen: dict[tuple[str, str], tuple[Address, ...]] = {}
        self.neighbors: tuple[Address, ...] = ()

    def refresh(self) -> None:
        """Take over the members as they are now."""
        places = tuple((m.address, m.availability_zone) for m in self.members())
        if places == self.places:
            return
        self.places = places
        self.chosen.clear()
        self.zones = {}
        for address, zone in places:
            self.zones.setdefault(zone, []).append(address)
        self.neighbors = self._neighbors()

    def _neighbors(self) -> tuple[Address, ...]:
        """Return the peers that news are passed on to, some in other zones.

        Every daemon has others, so news reach all in a few steps; a choice
        that stays keeps the number of links small.
        """
        near: list[Address] = []
        far: list[Address] = []
        for address, zone in self.places:
            if address != self.own:
                (near if zone == self.availability_zone else far).append(address)
        salt = f"news {self.own}"
        return ranked(near, salt)[:NEAR_NEIGHBORS] + ranked(far, salt)[:FAR_NEIGHBORS]

    def analyzers(self, service: str, zone: str = "") -> tuple[Address, ...]:
        """Return a zone's analyzers of a service, first rank first."""
        key = (zone or self.availability_zone, service)
        chosen = self.chosen.get(key)
        if chosen is None:
            order = ranked(self.zones.get(key[0], ()), f"analyzer {service}")
            chosen = self.chosen[key] = order[:ANALYZERS_PER_ZONE]
        return chosen

    def counterparts(self, service: str) -> tuple[Address, ...]:
        """Return the analyzers in other zones that this one sends evidence to.

        Each rank sends to the same rank, so that two paths lead to every zone.
        """
        near = self.analyzers(service)
        if self.own not in near:
            return ()
        rank = near.index(self.own)
        others = sorted(self.zones.keys() - {self.availability_zone})
        far = (self.analyzers(service, zone) for zone in others)
        return tuple(chosen[min(rank, len(chosen) - 1)] for chosen in far if chosen)


__all__ = ["RolloutPeers"]
