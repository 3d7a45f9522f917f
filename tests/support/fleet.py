"""A fleet in virtual time with configuration changes and invariant checks."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred

from bench.fleet import Fleet
from briarslip.process.distribution.change_writer import write_change
from standins.local_store_client import LocalStoreClient
from tests.support.records import ids


if TYPE_CHECKING:
    from briarslip.address import Address
    from briarslip.process.distribution.change_writer import RecordWrite


class CheckedFleet:
    """A fleet whose configurations are checked at every step.

    ``violations`` describes daemons whose version decreased, and routes without
    their service.
    """

    def __init__(self, sizes: dict[str, int], seed: int = 1) -> None:
        self.fleet = Fleet(seed)
        for zone, size in sizes.items():
            self.fleet.add_zone(zone, size)
        self.new_id = ids()
        self.highest: dict[Address, int] = {}
        self.violations: list[str] = []

    def apply(self, *writes: RecordWrite) -> None:
        """Write a change, without waiting until daemons run it."""
        client = LocalStoreClient(self.fleet.store, self.fleet.clock.callLater)
        done: list[Any] = []
        work = write_change(client, writes, self.new_id)
        Deferred.fromCoroutine(work).addBoth(done.append)
        done[0].unwrap()

    def run(self, seconds: float, step: float = 0.05) -> None:
        """Advance the time, checking every daemon at each step."""
        end = self.fleet.clock.seconds() + seconds
        while self.fleet.clock.seconds() < end:
            self.fleet.run(step)
            self._check()

    def converge(self, version: int, limit: float) -> float:
        """Run until every daemon runs a version or a newer one; return the seconds.

        Infinity if that takes longer than ``limit`` seconds.
        """
        began = self.fleet.clock.seconds()
        while any(v < version for v in self.versions()):
            if self.fleet.clock.seconds() - began > limit:
                return float("inf")
            self.run(0.05)
        elapsed: float = self.fleet.clock.seconds() - began
        return elapsed

    def versions(self) -> list[int]:
        """Return the version that each running daemon runs."""
        return [d.distribution.snapshot.version for d in self.fleet.running]

    def _check(self) -> None:
        for daemon in self.fleet.running:
            table = daemon.distribution.table
            before = self.highest.get(daemon.address, 0)
            if table.version and table.version < before:
                self.violations.append(
                    f"{daemon.address}: version {before} then {table.version}"
                )
            self.highest[daemon.address] = max(before, table.version)
            for route in table.routes:
                if route.service not in table.services:
                    self.violations.append(
                        f"{daemon.address}: no service {route.service} for {route}"
                    )


__all__ = ["CheckedFleet"]
