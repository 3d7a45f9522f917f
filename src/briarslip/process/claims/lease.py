"""The lease that a daemon's claims hang on."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from result import Ok
from result import Result
from twisted.internet.defer import DeferredLock


if TYPE_CHECKING:
    from briarslip.process.clock import Clock
    from briarslip.process.store.client import StoreClient
    from briarslip.process.store.client import StoreError


LEASE_SECONDS = 3600.0
USE_SECONDS = 1800.0
MARGIN_SECONDS = 900.0


class ClaimLease:
    """One lease after the other, each used for the first half of its time.

    So a claim stands for half an hour at least and an hour at most, and a
    lease costs two platform calls an hour. Leases are never renewed.
    """

    def __init__(self, store: StoreClient, clock: Clock) -> None:
        self.store = store
        self.clock = clock
        self.lock = DeferredLock()
        self.lease = 0
        self.granted: dict[int, float] = {}

    async def take(self) -> Result[int, StoreError]:
        """Return the lease for a new claim, granting one if need be."""
        if self._usable():
            return Ok(self.lease)
        await self.lock.acquire()
        try:
            return Ok(self.lease) if self._usable() else await self._grant()
        finally:
            self.lock.release()

    def _usable(self) -> bool:
        granted = self.granted.get(self.lease)
        return granted is not None and self.clock.monotonic() < granted + USE_SECONDS

    async def _grant(self) -> Result[int, StoreError]:
        asked = self.clock.monotonic()
        reply = await self.store.grant_lease(timedelta(seconds=LEASE_SECONDS))
        if isinstance(reply, Ok):
            self.lease = reply.ok_value
            self.granted = {
                lease: at
                for lease, at in self.granted.items()
                if at + LEASE_SECONDS > asked
            }
            self.granted[self.lease] = asked
        return reply

    def forget(self, lease: int) -> None:
        """Use a lease for no new claim."""
        if lease == self.lease:
            self.lease = 0

    def outlasts(self, lease: int, deadline: float) -> bool:
        """Tell whether a lease stands well beyond a call's deadline."""
        granted = self.granted.get(lease)
        if granted is None:
            return False
        now = self.clock.monotonic()
        end = granted + LEASE_SECONDS - MARGIN_SECONDS
        return now < end and deadline < end


__all__ = ["ClaimLease"]
