"""Fleets for tests of membership, and what their daemons hold of each other."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from bench.fleet import Fleet
from briarslip.process.membership.member import Endpoint
from briarslip.process.membership.member import Status
from tests.support.records import service


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from bench.fleet import FleetDaemon


SETTLE_SECONDS = 90.0


def endpoint(service: str, version: str = "1", draining: bool = False) -> Endpoint:
    """Return a backend server as it is announced."""
    return Endpoint(service, version, 10, 130, draining)


def status_at(holder: FleetDaemon, daemon: FleetDaemon) -> Status | None:
    """Return how one daemon holds another, None if it does not know it."""
    for member in holder.membership.all_members:
        if member.address == daemon.address:
            return member.status
    return None


def holders(
    fleet: Fleet, daemon: FleetDaemon, *statuses: Status | None
) -> tuple[FleetDaemon, ...]:
    """Return the running daemons that hold another to have a status."""
    others = (d for d in fleet.running if d is not daemon)
    return tuple(d for d in others if status_at(d, daemon) in statuses)


def is_alive_everywhere(fleet: Fleet, daemons: Iterable[FleetDaemon]) -> bool:
    """Tell whether every running daemon holds all of these to be alive."""
    return all(
        not holders(fleet, d, None, Status.SUSPECT, Status.DEAD, Status.LEFT)
        for d in daemons
    )


def has_new_work(holder: FleetDaemon, daemon: FleetDaemon, service: str) -> bool:
    """Tell whether a daemon would send new work of a service to another."""
    return any(
        member.address == daemon.address
        and any(e.service == service and not e.draining for e in member.endpoints)
        for member in holder.membership.live
    )


def settled(zones: Iterable[str], size: int, seed: int = 1) -> Fleet:
    """Return a fleet in which everyone holds all others to be alive."""
    fleet = Fleet(seed)
    for zone in zones:
        fleet.add_zone(zone, size)
    fleet.apply(service("service-0"))
    fleet.run(1.5)
    for number, daemon in enumerate(fleet.daemons.values()):
        daemon.announce((endpoint(f"service-{number % 4}"),))
    whole = fleet.run_until(
        lambda: all(
            len(daemon.membership.live) == len(fleet.daemons)
            and all(m.endpoints for m in daemon.membership.live)
            and daemon.distribution.snapshot.version == 1
            for daemon in fleet.daemons.values()
        ),
        SETTLE_SECONDS,
        0.5,
    )
    if whole > SETTLE_SECONDS:
        raise TimeoutError("the fleet did not settle")
    return fleet


ENDED = (Status.DEAD, Status.LEFT, None)


class FleetTestCase(unittest.TestCase):
    """Steps shared by the tests below."""

    def assert_none_ended(
        self, fleet: Fleet, daemons: Iterable[FleetDaemon], seconds: float
    ) -> None:
        """Let time pass; nobody may hold one of these daemons to have ended."""
        chosen = tuple(daemons)
        for _ in range(int(seconds / 0.25)):
            fleet.run(0.25)
            for daemon in chosen:
                evicted_by = [str(h.address) for h in holders(fleet, daemon, *ENDED)]
                self.assertEqual([], evicted_by, f"{daemon.address} was evicted")

    def assert_within(
        self, fleet: Fleet, seconds: float, condition: Callable[[], bool]
    ) -> None:
        """Let time pass until a condition holds, for some seconds at most."""
        self.assertLessEqual(fleet.run_until(condition, seconds + 0.1), seconds)


__all__ = [
    "endpoint",
    "has_new_work",
    "holders",
    "is_alive_everywhere",
    "settled",
    "status_at",
]
