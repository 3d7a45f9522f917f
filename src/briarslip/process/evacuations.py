"""The zones whose servers get no requests, by order of the operator."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from briarslip.process.events import Event
from briarslip.process.events import emit


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.process.clock import Clock
    from briarslip.process.settings import LimitSettings
    from briarslip.version.record import Evacuation
    from briarslip.version.routing_table import RoutingTable


@dataclass(frozen=True, slots=True)
class KnownEvacuation:
    """An order in force, and when this daemon learned of it on the monotonic clock."""

    order: Evacuation
    known_since: float


class Evacuations:
    """The orders in the running configuration, with their age at this daemon.

    If the settings have a bound for them, the deployment gives such orders. A daemon
    without a configuration may then have missed one, so its own zone counts as
    evacuated.
    """

    def __init__(
        self,
        clock: Clock,
        own_zone: str,
        limits: LimitSettings,
        table: Callable[[], RoutingTable],
    ) -> None:
        self.clock = clock
        self.own_zone = own_zone
        self.is_expected = limits.evacuation is not None
        self.table = table
        self.known: dict[str, KnownEvacuation] = {}

    def is_own_zone_evacuated(self) -> bool:
        """Return whether servers in this daemon's zone must not get calls."""
        table = self.table()
        if not table.version:
            return self.is_expected
        return self.own_zone in table.evacuations

    def update(self) -> None:
        """Log the orders that the running configuration brings or no longer has."""
        previous, now = self.known, self.clock.monotonic()
        self.known = {
            zone: KnownEvacuation(
                order, previous[zone].known_since if zone in previous else now
            )
            for zone, order in self.table().evacuations.items()
        }
        for zone, known in self.known.items():
            if zone not in previous:
                emit(Event.EVACUATION_STARTED, **self._fields(known))
        for zone, known in previous.items():
            if zone not in self.known:
                emit(Event.EVACUATION_ENDED, **self._fields(known))

    def documents(self) -> list[dict[str, Any]]:
        """Return the orders in force for operators, by zone."""
        return [self._fields(self.known[zone]) for zone in sorted(self.known)]

    def _fields(self, known: KnownEvacuation) -> dict[str, Any]:
        return {
            "zone": known.order.zone,
            "order": known.order.order,
            "version": self.table().version,
            "age_s": round(self.clock.monotonic() - known.known_since, 1),
            "own": known.order.zone == self.own_zone,
        }


__all__ = ["Evacuations"]
