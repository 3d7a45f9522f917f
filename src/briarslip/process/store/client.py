"""The interface to the key-value store.

Code that uses it does not depend on the protocol of a store. The only atomic
operation that a store must have is compare-and-swap of a single key.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from result import Result


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key and its value, with the store revision of the last write to it.

    ``lease_id`` is 0 if the key is not attached to a lease. ``lost_at`` is the
    revision at which a store that was restored from a copy was read without this
    item, 0 if it has the item. ``removed_at`` is the revision at which the key was
    known to be removed, 0 if it was not.
    """

    key: str
    value: bytes
    mod_revision: int
    lease_id: int = 0
    lost_at: int = 0
    removed_at: int = 0


@dataclass(frozen=True, slots=True)
class RangeReply:
    """The keys under a prefix, and the store revision at which they were read."""

    items: tuple[KeyValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class SwapReply:
    """The outcome of a compare-and-swap.

    If ``swapped`` is false, the key had another revision than expected, and
    ``current`` is the key as found (None if it does not exist). ``revision`` is the
    store revision after the operation.
    """

    swapped: bool
    revision: int
    current: KeyValue | None = None


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change of a key; ``value`` is None if the key was deleted."""

    key: str
    value: bytes | None
    mod_revision: int


@dataclass(frozen=True, slots=True)
class WatchClosed:
    """The end of a watch.

    ``compacted`` is true if the store has compacted the requested revision, so that
    the range must be read again before the next watch.
    """

    reason: str
    compacted: bool = False


@dataclass(frozen=True, slots=True)
class StoreError:
    """A failed store operation.

    ``maybe_applied`` is true if a write may have taken effect although no response
    was received. The writer must then determine its outcome before it continues.
    """

    reason: str
    maybe_applied: bool = False


class Watch(Protocol):
    """A watch that is open."""

    def stop(self) -> None:
        """Stop the watch; no callback runs afterwards."""


class StoreClient(Protocol):
    """Access to the key-value store. Keys are text, values are bytes."""

    async def get(self, key: str) -> Result[KeyValue | None, StoreError]:
        """Read one key; return None if it does not exist."""

    async def range(self, prefix: str) -> Result[RangeReply, StoreError]:
        """Read every key under a prefix, in key order."""

    async def swap(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease_id: int = 0,
    ) -> Result[SwapReply, StoreError]:
        """Write ``value`` if the key's mod revision is ``expected_revision``.

        Revision 0 means that the key must not exist. None as ``value`` deletes the
        key. The key is attached to the lease ``lease_id`` unless that is 0.
        """

    async def grant_lease(self, ttl: timedelta) -> Result[int, StoreError]:
        """Grant a lease and return its id."""

    async def keep_alive(self, lease_id: int) -> Result[timedelta | None, StoreError]:
        """Renew a lease; return its remaining time, None if it has expired."""

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Revoke a lease and delete the keys attached to it."""

    def watch(
        self,
        prefix: str,
        start_revision: int,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[WatchClosed], None],
        is_resumed: bool = False,
    ) -> Watch:
        """Watch the keys under a prefix from ``start_revision`` on (inclusive).

        ``is_resumed`` is whether an earlier watch up to that revision broke off, so
        that the store may have been restored since. ``on_events`` may be called without
        events, when the store has said that there are none. ``on_closed`` is called
        once, if the watch ends other than by ``stop``.
        """


__all__ = [
    "KeyValue",
    "RangeReply",
    "StoreClient",
    "StoreError",
    "SwapReply",
    "Watch",
    "WatchClosed",
    "WatchEvent",
]
