"""Fleets for membership tests, and the statuses that their daemons observe."""

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


CONVERGE_SECONDS = 90.0


def endpoint(service: str, version: str = "1", draining: bool = False) -> Endpoint:
    """Return an announced backend server."""
    return Endpoint(service, version, 10, 130, draining)


def status_seen_by(observer: FleetDaemon, daemon: FleetDaemon) -> Status | None:
    """Return the status of a daemon in the observer's table, None if unknown."""
    for member in observer.membership.all_members:
        if member.address == daemon.address:
            return member.status
    return None


def observers(
    fleet: Fleet, daemon: FleetDaemon, *statuses: Status | None
) -> tuple[FleetDaemon, ...]:
    """Return the running daemons that see another with one of the statuses."""
    others = (d for d in fleet.running if d is not daemon)
    return tuple(d for d in others if status_seen_by(d, daemon) in statuses)


def is_alive_everywhere(fleet: Fleet, daemons: Iterable[FleetDaemon]) -> bool:
    """Tell whether every running daemon sees all of these as ALIVE."""
    return all(
        not observers(fleet, d, None, Status.SUSPECT, Status.DEAD, Status.LEFT)
        for d in daemons
    )


def routes_to(observer: FleetDaemon, daemon: FleetDaemon, service: str) -> bool:
    """Tell whether the observer routes new requests of a service to a daemon."""
    return any(
        member.address == daemon.address
        and any(e.service == service and not e.draining for e in member.endpoints)
        for member in observer.membership.live
    )


def converged_fleet(zones: Iterable[str], size: int, seed: int = 1) -> Fleet:
    """Return a fleet in which all daemons see each other with their endpoints.

    Raises TimeoutError if it has not converged in ``CONVERGE_SECONDS``.
    """
    fleet = Fleet(seed)
    for zone in zones:
        fleet.add_zone(zone, size)
    fleet.apply(service("service-0"))
    fleet.run(1.5)
    for number, daemon in enumerate(fleet.daemons.values()):
        daemon.set_endpoints((endpoint(f"service-{number % 4}"),))
    converged_after = fleet.run_until(
        lambda: all(
            len(daemon.membership.live) == len(fleet.daemons)
            and all(m.endpoints for m in daemon.membership.live)
            and daemon.distribution.snapshot.version == 1
            for daemon in fleet.daemons.values()
        ),
        CONVERGE_SECONDS,
        0.5,
    )
    if converged_after > CONVERGE_SECONDS:
        raise TimeoutError(f"fleet did not converge within {CONVERGE_SECONDS} s")
    return fleet


NOT_LIVE = (Status.DEAD, Status.LEFT, None)


class FleetTestCase(unittest.TestCase):
    """Assertions shared by tests of a fleet."""

    def assert_none_evicted(
        self, fleet: Fleet, daemons: Iterable[FleetDaemon], seconds: float
    ) -> None:
        """Advance the time; no one may see one of these daemons as not live."""
        chosen = tuple(daemons)
        for _ in range(int(seconds / 0.25)):
            fleet.run(0.25)
            for daemon in chosen:
                evicted_by = [
                    str(observer.address)
                    for observer in observers(fleet, daemon, *NOT_LIVE)
                ]
                self.assertEqual([], evicted_by, f"{daemon.address} was evicted")

    def assert_within(
        self, fleet: Fleet, seconds: float, condition: Callable[[], bool]
    ) -> None:
        """Advance the time until a condition holds, for some seconds at most."""
        self.assertLessEqual(fleet.run_until(condition, seconds + 0.1), seconds)


__all__ = [
    "converged_fleet",
    "endpoint",
    "is_alive_everywhere",
    "observers",
    "routes_to",
    "status_seen_by",
]
