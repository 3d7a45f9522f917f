"""The bucket of one organisation at its home."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.request.quota.demand import Demand
from briarslip.request.quota.messages import Mode
from briarslip.request.quota.shares import ZoneShares


if TYPE_CHECKING:
    from collections.abc import Collection

    from briarslip.address import Address
    from briarslip.request.quota.limit import QuotaLimit


# Time in which a debt is paid back by a rate below the limit.
CORRECTION_SECONDS = 1.0
MIN_RATE_FACTOR = 0.1
MAX_RATE_FACTOR = 3.0
# An organisation stays near its limit for this time, so that its mode does not
# change with each request.
MIN_NEAR_SECONDS = 2.0
MIN_FRACTION = 0.001
# While more than this multiple of the rate is offered, the organisation stays limited:
# if the home ends or is paused just then, the daemons must not let a flood pass.
MAX_OFFERED_FACTOR = 2.5
OFFERED_SECONDS = 0.3


class Account:
    """A token bucket over the zones that report to this home.

    The rate and the burst are those of the shares that these zones hold, and each
    zone that joins or leaves takes its part of the tokens with it. ``level`` is
    stated for the whole limit. The bucket may go into debt, which is the number of
    requests that passed before a verdict reached their daemons.
    """

    def __init__(self, limit: QuotaLimit, level: float | None, now: float) -> None:
        self.limit = limit
        # Without any knowledge the tokens count as used up.
        self.level = level or 0.0
        self.is_level_known = level is not None
        self.updated_at = now
        self.mode = Mode.FAR if self.is_level_known else Mode.NEAR
        self.near_at = now
        self.joined: set[str] = set()
        # Zones whose reports are overdue, and the tokens of theirs that are withheld.
        self.overdue: frozenset[str] = frozenset()
        self.withheld = 0.0
        self.shares = ZoneShares()
        self.demand: Demand[Address] = Demand()
        self.offered: Demand[str] = Demand(OFFERED_SECONDS)

    @property
    def fraction(self) -> float:
        """The share of the limit that this home accounts for."""
        return max(MIN_FRACTION, self.shares.total(self.joined))

    def set_limit(self, limit: QuotaLimit) -> None:
        """Change the limit; a lower one applies to the tokens at once."""
        self.limit = limit
        self.level = min(self.level, limit.capacity)

    def join(
        self, zone: str, share: float | None, level: float | None, zone_count: int
    ) -> None:
        """Add a zone with its share and its part of the tokens."""
        before = self.shares.total(self.joined)
        self.shares.join(zone, share, zone_count)
        self.joined.add(zone)
        added = self.shares.total(self.joined) - before
        if level is not None and added > 0.0:
            level = min(level, self.limit.capacity)
            known = before if self.is_level_known else 0.0
            self.level = (known * self.level + added * level) / (known + added)
            self.is_level_known = True

        if level is not None and level < 0.0:
            self.mode = Mode.LIMITED

    def lower(self, zone: str, level: float | None) -> None:
        """Take over a lower level for the part of a zone that had another home."""
        if level is not None and level < self.level:
            share = self.shares.held(zone) / self.fraction
            self.level -= min(1.0, share) * (self.level - level)

    def leave(self, zone: str) -> None:
        """Remove a zone, which keeps its share and its part of the tokens."""
        self.joined.discard(zone)
        self.withheld = 0.0

    def set_overdue(self, zones: frozenset[str], now: float) -> None:
        """Withhold the tokens of zones whose reports are overdue.

        A zone that is cut off goes on to use them; if its reports were only late, they
        are given back.
        """
        if zones == self.overdue:
            return
        self.refill(now)
        self.overdue = zones
        if not zones:
            self.level = min(self.limit.capacity, self.level + self.withheld)
            self.withheld = 0.0

    def debit(
        self, relay: Address, zone: str, offered: int, admitted: int, now: float
    ) -> None:
        """Count requests of a zone that one of its relays reports."""
        self.refill(now)
        # More debt than the excess would only refuse requests of later windows.
        level = self.level - admitted / self.fraction
        self.level = max(level, -self.limit.excess)
        self.offered.add("", offered, now)
        self.demand.add(relay, offered, now)
        self.shares.demand.add(zone, offered, now)

    def refill(self, now: float) -> None:
        """Add the tokens since the last call."""
        elapsed = max(0.0, now - self.updated_at)
        tokens = elapsed * self.limit.rate_per_second
        if self.overdue:
            withheld = tokens * (1.0 - self._heard_fraction() / self.fraction)
            self.withheld += withheld
            tokens -= withheld
        self.level = min(self.limit.capacity, self.level + tokens)
        self.updated_at = now

    def _heard_fraction(self) -> float:
        return min(self.fraction, self.shares.total(self.joined - self.overdue))

    def update_mode(self, now: float) -> bool:
        """Decide the mode from the level; return whether it has changed."""
        self.refill(now)
        previous = self.mode
        self.mode = self._next_mode(now)
        return self.mode is not previous

    def _next_mode(self, now: float) -> Mode:
        limit = self.limit
        if self.mode is Mode.LIMITED:
            if self.level < 0.0 or self._is_flooded(now):
                return Mode.LIMITED
        elif self.level < -limit.tolerance:
            return Mode.LIMITED
        if self.level < limit.near_level:
            self.near_at = now
            return Mode.NEAR
        if self.level >= limit.far_level and now - self.near_at >= MIN_NEAR_SECONDS:
            return Mode.FAR
        return Mode.FAR if self.mode is Mode.FAR else Mode.NEAR

    def _is_flooded(self, now: float) -> bool:
        offered = sum(self.offered.counts(now).values()) / OFFERED_SECONDS
        allowed = self.limit.rate_per_second * self.fraction
        return offered > MAX_OFFERED_FACTOR * allowed

    def rate_per_second(self) -> float:
        """Return the rate that the zones in contact may pass while limited.

        It keeps the debt at half of the tolerance: daemons do not use all of their
        rate, and what they leave unused is given out again.
        """
        limit = self.limit
        surplus = self.level + limit.tolerance / 2
        rate = limit.rate_per_second + surplus / CORRECTION_SECONDS
        lowest = MIN_RATE_FACTOR * limit.rate_per_second
        highest = MAX_RATE_FACTOR * limit.rate_per_second
        return self._heard_fraction() * min(highest, max(lowest, rate))

    def rates(self, now: float) -> dict[Address, float]:
        """Return the rate of each relay, by demand."""
        rate = self.rate_per_second()
        return {relay: rate * share for relay, share in self.demand.shares(now).items()}

    def rebalance(self, zones: Collection[str], now: float) -> None:
        """Move shares between the zones if all of them are in contact."""
        if self.joined.issuperset(zones):
            self.joined.intersection_update(zones)
            self.shares.rebalance(zones, now)


__all__ = ["Account"]
