"""A store client that calls the in-memory store directly, without sockets."""

from __future__ import annotations

import math
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import TypeVar

from result import Err
from result import Ok
from result import Result
from twisted.internet.defer import Deferred

from briarslip.process.store.client import KeyValue
from briarslip.process.store.client import RangeReply
from briarslip.process.store.client import StoreError
from briarslip.process.store.client import SwapReply
from briarslip.process.store.client import WatchClosed
from briarslip.process.store.client import WatchEvent
from briarslip.process.store.etcd_gateway import DEFAULT_TIMEOUT
from briarslip.process.store.etcd_messages import prefix_range
from standins.in_memory_store import WRITE_KINDS
from standins.in_memory_store import LeaseNotFoundError


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.process.store.client import Watch
    from standins.in_memory_store import InMemoryStore
    from standins.in_memory_store import InMemoryWatch


T = TypeVar("T")


class _LocalWatch:
    """A watch whose callbacks run through ``call_later``."""

    def __init__(self, call_later: Callable[..., object]) -> None:
        self.call_later = call_later
        self.stopped = False
        self.inner: InMemoryWatch | None = None

    def stop(self) -> None:
        """Stop the watch; no callback runs from then on."""
        self.stopped = True
        if self.inner is not None:
            self.inner.stop()

    def schedule(self, callback: Callable[[T], None], argument: T) -> None:
        """Schedule a callback with no delay; it is skipped if the watch has stopped."""
        self.call_later(0, self._run, callback, argument)

    def _run(self, callback: Callable[[T], None], argument: T) -> None:
        if not self.stopped:
            callback(argument)


class LocalStoreClient:
    """A store client for tests in virtual time.

    Calls return at once unless ``delay_ms`` is set on the store. A frozen watch
    stays open: this client has no timeout for silent watches.
    """

    def __init__(
        self,
        store: InMemoryStore,
        call_later: Callable[..., object],
        timeout: timedelta = DEFAULT_TIMEOUT,
    ) -> None:
        self.store = store
        self.call_later = call_later
        self.timeout = timeout

    async def get(self, key: str) -> Result[KeyValue | None, StoreError]:
        """Read one key."""
        return await self._call("range", lambda: self.store.get(key))

    async def range(self, prefix: str) -> Result[RangeReply, StoreError]:
        """Read every key under a prefix, in key order."""
        return await self._call(
            "range",
            lambda: RangeReply(
                self.store.range(prefix_range(prefix)), self.store.revision
            ),
        )

    async def swap(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease_id: int = 0,
    ) -> Result[SwapReply, StoreError]:
        """Write ``value`` if the key's mod revision is ``expected_revision``."""
        return await self._call(
            "txn", lambda: self.store.swap(key, value, expected_revision, lease_id)
        )

    async def grant_lease(self, ttl: timedelta) -> Result[int, StoreError]:
        """Grant a lease, in whole seconds rounded up, and return its ID."""
        rounded_ttl = timedelta(seconds=max(1, math.ceil(ttl.total_seconds())))
        return await self._call(
            "lease_grant", lambda: self.store.grant_lease(rounded_ttl)
        )

    async def keep_alive(self, lease_id: int) -> Result[timedelta | None, StoreError]:
        """Renew a lease; return its remaining time, None if it has expired."""
        return await self._call(
            "lease_keepalive", lambda: self.store.keep_alive(lease_id)
        )

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Revoke a lease; one that has expired counts as revoked."""
        reply = await self._call("lease_revoke", lambda: self.store.end_lease(lease_id))
        return reply.map(lambda _: None)

    def watch(
        self,
        prefix: str,
        start_revision: int,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[WatchClosed], None],
        is_resumed: bool = False,  # noqa: ARG002  # revisions are never given out again
    ) -> Watch:
        """Watch a prefix from ``start_revision`` on (inclusive)."""
        self.store.call_counts["watch"] += 1
        watch = _LocalWatch(self.call_later)
        if self.store.outage:
            watch.schedule(on_closed, WatchClosed("outage"))
            return watch

        def close(reason: str, compact_revision: int) -> None:
            watch.schedule(on_closed, WatchClosed(reason, compact_revision > 0))

        watch.inner = self.store.open_watch(
            prefix_range(prefix),
            start_revision,
            lambda events: watch.schedule(on_events, events),
            close,
        )
        return watch

    async def _call(
        self, kind: str, operation: Callable[[], T]
    ) -> Result[T, StoreError]:
        is_write = kind in WRITE_KINDS
        self.store.call_counts[kind] += 1
        if self.store.outage:
            # A closed connection does not say whether a write was applied.
            return Err(StoreError("outage", is_write))
        delay = timedelta(milliseconds=self.store.delay_ms)
        if delay > self.timeout:
            self.call_later(delay.total_seconds(), self._finish, kind, operation)
            await self._sleep(self.timeout)
            return Err(StoreError("timed out", is_write))
        if delay:
            await self._sleep(delay)
        return self._finish(kind, operation)

    def _finish(self, kind: str, operation: Callable[[], T]) -> Result[T, StoreError]:
        try:
            value = operation()
        except LeaseNotFoundError:
            return Err(StoreError("lease not found"))
        if self.store.consume_lost_answer(kind):
            return Err(StoreError("answer lost", maybe_applied=True))
        return Ok(value)

    async def _sleep(self, duration: timedelta) -> None:
        done: Deferred[None] = Deferred()
        self.call_later(duration.total_seconds(), done.callback, None)
        await done


__all__ = ["LocalStoreClient"]
