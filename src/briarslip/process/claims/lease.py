"""The store lease that a daemon's claims are attached to."""

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
NEW_CLAIMS_SECONDS = 1800.0
EXPIRY_MARGIN_SECONDS = 900.0


class ClaimLease:
    """A sequence of leases, each used for new claims in the first half of its time.

    A claim therefore lasts for half an hour at least and an hour at most, and the
    leases cost two store calls an hour. Leases are never renewed.
    """

    def __init__(self, store: StoreClient, clock: Clock) -> None:
        self.store = store
        self.clock = clock
        self.lock = DeferredLock()
        self.current_lease_id = 0
        self.granted_at: dict[int, float] = {}

    async def get_lease_id(self) -> Result[int, StoreError]:
        """Return the ID of the lease for a new claim; request a new lease if needed."""
        if self._is_usable():
            return Ok(self.current_lease_id)
        await self.lock.acquire()
        try:
            return (
                Ok(self.current_lease_id) if self._is_usable() else await self._grant()
            )
        finally:
            self.lock.release()

    def _is_usable(self) -> bool:
        granted_at = self.granted_at.get(self.current_lease_id)
        return (
            granted_at is not None
            and self.clock.monotonic() < granted_at + NEW_CLAIMS_SECONDS
        )

    async def _grant(self) -> Result[int, StoreError]:
        requested_at = self.clock.monotonic()
        reply = await self.store.grant_lease(timedelta(seconds=LEASE_SECONDS))
        if isinstance(reply, Ok):
            self.current_lease_id = reply.ok_value
            self.granted_at = {
                lease_id: at
                for lease_id, at in self.granted_at.items()
                if at + LEASE_SECONDS > requested_at
            }
            self.granted_at[self.current_lease_id] = requested_at
        return reply

    def retire(self, lease_id: int) -> None:
        """Use a lease for no further claims."""
        if lease_id == self.current_lease_id:
            self.current_lease_id = 0

    def outlasts(self, lease_id: int, deadline: float) -> bool:
        """Whether a lease lasts well beyond a call's deadline.

        The margin is ``EXPIRY_MARGIN_SECONDS``; ``deadline`` is a reading of the
        monotonic clock in seconds. False for a lease that is not among the unexpired
        leases of this daemon.
        """
        granted_at = self.granted_at.get(lease_id)
        if granted_at is None:
            return False
        now = self.clock.monotonic()
        end = granted_at + LEASE_SECONDS - EXPIRY_MARGIN_SECONDS
        return now < end and deadline < end


__all__ = ["ClaimLease"]
