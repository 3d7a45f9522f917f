"""The shares of a limit that the zones hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.request.quota.demand import Demand


if TYPE_CHECKING:
    from collections.abc import Collection


# Over 5 s, the shares of an organisation with 12 requests a second varied by a third,
# and a zone that was cut off refused requests inside its part of the limit.
DEMAND_SECONDS = 20.0
# Requests that each zone is credited with, so that few requests do not move shares,
# and a zone where demand begins has a share.
PRIOR_REQUESTS = 6.0
# Smaller changes are not worth a message.
MIN_CHANGE = 0.08
MIN_SHARE = 0.001


class ZoneShares:
    """Shares of the zones of one organisation, as its home assigns them.

    ``assigned`` has the last shares that were sent, ``confirmed`` those that the
    zones say they hold. A share is raised only by what others have confirmed to have
    given up, so the zones never hold more than the whole, whichever message is lost.
    """

    def __init__(self) -> None:
        self.assigned: dict[str, float] = {}
        self.confirmed: dict[str, float] = {}
        self.demand: Demand[str] = Demand(DEMAND_SECONDS)
        # Whether what no zone holds is known to be free: all zones have been seen.
        self.has_seen_all = False

    def held(self, zone: str) -> float:
        """Return the largest share that a zone may hold."""
        return max(self.assigned.get(zone, 0.0), self.confirmed.get(zone, 0.0))

    def total(self, zones: Collection[str]) -> float:
        """Return the share that zones hold together, and what no zone holds."""
        share = sum(self.held(zone) for zone in zones)
        return min(1.0, share + (self.free if self.has_seen_all else 0.0))

    @property
    def free(self) -> float:
        """The share that none of the known zones holds."""
        return max(0.0, 1.0 - sum(self.held(zone) for zone in self.assigned))

    def join(self, zone: str, claimed: float | None, zone_count: int) -> None:
        """Add a zone with the share that it claims, or a known or an equal one."""
        others = sum(self.held(other) for other in self.assigned if other != zone)
        share = claimed
        if share is None:
            share = self.assigned.get(zone, 1.0 / max(1, zone_count))
        share = max(MIN_SHARE, min(share, 1.0 - others))
        self.assigned[zone] = self.confirmed[zone] = share

    def confirm(self, zone: str, share: float | None) -> None:
        """Record the share that a zone says it holds."""
        if share is not None and zone in self.assigned:
            self.confirmed[zone] = share

    def rebalance(self, zones: Collection[str], now: float) -> None:
        """Move shares by demand; all ``zones`` must be in contact."""
        for zone in self.assigned.keys() - set(zones):
            del self.assigned[zone]
            self.confirmed.pop(zone, None)
        self.has_seen_all = True
        counts = self.demand.counts(now)
        weights = {zone: counts.get(zone, 0.0) + PRIOR_REQUESTS for zone in zones}
        total = sum(weights.values())
        targets = {zone: weight / total for zone, weight in weights.items()}
        for zone, target in targets.items():
            if self.assigned.get(zone, 0.0) - target > MIN_CHANGE:
                self.assigned[zone] = target
        free = self.free
        for zone, target in sorted(targets.items()):
            wanted = target - self.assigned.get(zone, 0.0)
            if wanted > 0.0 and free > MIN_SHARE:
                raised = min(wanted, free)
                self.assigned[zone] = self.assigned.get(zone, 0.0) + raised
                free -= raised


__all__ = ["ZoneShares"]
