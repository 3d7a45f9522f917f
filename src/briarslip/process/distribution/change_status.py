"""What became of each change, as operators read it on the platform."""

from __future__ import annotations

import json
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import Any

from result import Err

from briarslip.malformed_json import MALFORMED_JSON_ERRORS


if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarslip.process.store.client import StoreClient
    from briarslip.version.acceptance import Acceptance


CHANGE_STATUS_PREFIX = "status/changes/"
STATUS_TTL = timedelta(days=2)
LEASE_REUSE_SECONDS = 3600.0
ACCEPTED = "accepted"
REFUSED = "refused"
# A change being written is incomplete for a moment; that is no news.
INCOMPLETE_SECONDS = 10.0
INCOMPLETE = "incomplete"
MAX_REMEMBERED = 4096
KEPT_TEXT = "what was accepted last stays in force"


class ChangeStatuses:
    """Writes statuses by compare-and-swap; ``accepted`` is never replaced.

    The keys hang on a lease, so that the platform drops them after a while.
    What has been written is remembered, to save calls.
    """

    def __init__(self, store: StoreClient) -> None:
        self.store = store
        self.written: dict[str, bytes] = {}
        self.incomplete: dict[str, float] = {}
        self.lease_id = 0
        self.lease_until = 0.0

    @property
    def is_waiting(self) -> bool:
        """Whether changes are incomplete that have not been reported yet."""
        return not self.incomplete.keys() <= self.written.keys()

    async def report(self, acceptance: Acceptance, now: float) -> None:
        """Write what became of the changes of one round."""
        version = acceptance.snapshot.version
        shadowed = [str(key) for key in acceptance.shadowed]
        await self.report_accepted(acceptance.accepted, version, now, shadowed)
        for refusal in acceptance.rejected:
            findings = [str(finding) for finding in refusal.findings]
            body = {"state": REFUSED, "findings": findings, "note": KEPT_TEXT}
            await self._write(refusal.change, body, now)
        self.incomplete = {
            change: self.incomplete.get(change, now) for change in acceptance.incomplete
        }
        for change, since in self.incomplete.items():
            if now - since >= INCOMPLETE_SECONDS:
                await self._write(change, {"state": INCOMPLETE, "note": KEPT_TEXT}, now)

    async def report_accepted(
        self,
        changes: Iterable[str],
        version: int,
        now: float,
        shadowed: Iterable[str] = (),
    ) -> None:
        """Write that changes are part of a version."""
        for change in changes:
            body: dict[str, Any] = {"state": ACCEPTED, "version": version}
            if shadowed:
                body["shadowed_by_newer_schema"] = list(shadowed)
            await self._write(change, body, now)

    async def _write(self, change: str, body: dict[str, Any], now: float) -> None:
        value = json.dumps(body, sort_keys=True).encode()
        if self.written.get(change) == value:
            return
        key = f"{CHANGE_STATUS_PREFIX}{change}"
        current = await self.store.get(key)
        if isinstance(current, Err):
            return
        found = current.ok_value
        if found is not None and (found.value == value or is_accepted(found.value)):
            self._remember(change, value)
            return
        lease_id = await self._lease(now)
        if lease_id is None:
            return
        revision = found.mod_revision if found else 0
        reply = await self.store.swap(key, value, revision, lease_id)
        if isinstance(reply, Err):
            # The lease may be gone; the next status asks for another one.
            self.lease_until = 0.0
        elif reply.ok_value.swapped:
            self._remember(change, value)

    async def _lease(self, now: float) -> int | None:
        """Return the lease for statuses, None if the platform grants none."""
        if now >= self.lease_until:
            granted = await self.store.grant_lease(STATUS_TTL)
            if isinstance(granted, Err):
                return None
            self.lease_id = granted.ok_value
            self.lease_until = now + LEASE_REUSE_SECONDS
        return self.lease_id

    def _remember(self, change: str, value: bytes) -> None:
        if len(self.written) >= MAX_REMEMBERED:
            del self.written[next(iter(self.written))]
        self.written[change] = value


def is_accepted(value: bytes) -> bool:
    """Tell whether a status says that its change was accepted."""
    try:
        return bool(json.loads(value)["state"] == ACCEPTED)
    except MALFORMED_JSON_ERRORS:
        return False


__all__ = [
    "ACCEPTED",
    "CHANGE_STATUS_PREFIX",
    "INCOMPLETE",
    "REFUSED",
    "ChangeStatuses",
    "is_accepted",
]
