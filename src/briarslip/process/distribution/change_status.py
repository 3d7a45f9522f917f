"""The status of each change, which operators read from the store."""

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
REJECTED = "refused"
# A change is normally incomplete for a moment while its records are being written.
INCOMPLETE_REPORT_DELAY_SECONDS = 10.0
INCOMPLETE = "incomplete"
MAX_WRITTEN_STATUSES = 4096
UNCHANGED_NOTE = "what was accepted last stays in force"


class ChangeStatuses:
    """Writes change statuses to the store by compare-and-swap.

    The status ``accepted`` is never replaced. The keys are attached to a lease, so
    that the store deletes them when it expires. ``written`` caches the value of each
    written status by change, which saves store calls; ``incomplete_since`` maps
    incomplete changes to the time in seconds at which they were first seen.
    """

    def __init__(self, store: StoreClient) -> None:
        self.store = store
        self.written: dict[str, bytes] = {}
        self.incomplete_since: dict[str, float] = {}
        self.lease_id = 0
        self.lease_reuse_until = 0.0

    @property
    def has_unreported_incomplete(self) -> bool:
        """Whether there are incomplete changes whose status is not written yet."""
        return not self.incomplete_since.keys() <= self.written.keys()

    async def report(self, acceptance: Acceptance, now: float) -> None:
        """Write the statuses of the changes considered in one publishing round."""
        version = acceptance.snapshot.version
        shadowed = [str(key) for key in acceptance.shadowed]
        await self.report_accepted(acceptance.accepted, version, now, shadowed)
        for rejection in acceptance.rejected:
            findings = [str(finding) for finding in rejection.findings]
            body = {"state": REJECTED, "findings": findings, "note": UNCHANGED_NOTE}
            await self._write(rejection.change, body, now)
        self.incomplete_since = {
            change: self.incomplete_since.get(change, now)
            for change in acceptance.incomplete
        }
        for change, since in self.incomplete_since.items():
            if now - since >= INCOMPLETE_REPORT_DELAY_SECONDS:
                await self._write(
                    change, {"state": INCOMPLETE, "note": UNCHANGED_NOTE}, now
                )

    async def report_accepted(
        self,
        changes: Iterable[str],
        version: int,
        now: float,
        shadowed: Iterable[str] = (),
    ) -> None:
        """Write that the changes were accepted in a version.

        ``shadowed`` are records without effect since a newer schema replaces them.
        """
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
        get_reply = await self.store.get(key)
        if isinstance(get_reply, Err):
            return
        current = get_reply.ok_value
        if current is not None and (
            current.value == value or is_accepted(current.value)
        ):
            self._record_written(change, value)
            return
        lease_id = await self._current_lease(now)
        if lease_id is None:
            return
        revision = current.mod_revision if current else 0
        reply = await self.store.swap(key, value, revision, lease_id)
        if isinstance(reply, Err):
            # The lease may have expired, so the next status is written with a new one.
            self.lease_reuse_until = 0.0
        elif reply.ok_value.swapped:
            self._record_written(change, value)

    async def _current_lease(self, now: float) -> int | None:
        """Return the id of the statuses' lease, None if the store grants none."""
        if now >= self.lease_reuse_until:
            granted = await self.store.grant_lease(STATUS_TTL)
            if isinstance(granted, Err):
                return None
            self.lease_id = granted.ok_value
            self.lease_reuse_until = now + LEASE_REUSE_SECONDS
        return self.lease_id

    def _record_written(self, change: str, value: bytes) -> None:
        if len(self.written) >= MAX_WRITTEN_STATUSES:
            del self.written[next(iter(self.written))]
        self.written[change] = value


def is_accepted(value: bytes) -> bool:
    """Return whether a stored status states that its change was accepted."""
    try:
        return bool(json.loads(value)["state"] == ACCEPTED)
    except MALFORMED_JSON_ERRORS:
        return False


__all__ = [
    "ACCEPTED",
    "CHANGE_STATUS_PREFIX",
    "INCOMPLETE",
    "REJECTED",
    "ChangeStatuses",
    "is_accepted",
]
