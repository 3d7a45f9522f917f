"""The platform client: the one seam to the key-value service.

Nothing above this interface knows the wire protocol. Only single-key
compare-and-swap is assumed of the service.
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
    """A stored key with the revision that last wrote it."""

    key: str
    value: bytes
    mod_revision: int
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class RangeReply:
    """The keys under a prefix, and the store's revision at the read."""

    items: tuple[KeyValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class SwapReply:
    """The outcome of a compare-and-swap.

    When ``swapped`` is false, ``current`` is the value that stands in the way
    (None if the key does not exist).
    """

    swapped: bool
    revision: int
    current: KeyValue | None = None


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change of a key; ``value`` is None when the key was deleted."""

    key: str
    value: bytes | None
    mod_revision: int


@dataclass(frozen=True, slots=True)
class WatchClosed:
    """The end of a watch.

    ``compacted`` tells that the revision asked for is no longer kept, so that
    the watcher must read the range again before it watches.
    """

    reason: str
    compacted: bool = False


@dataclass(frozen=True, slots=True)
class StoreError:
    """A failed call.

    ``maybe_applied`` is true when a write may have taken effect although no
    answer came; the writer must read back before anything else.
    """

    reason: str
    maybe_applied: bool = False


class Watch(Protocol):
    """A running watch."""

    def stop(self) -> None:
        """Stop the watch; no callback runs afterwards."""


class StoreClient(Protocol):
    """Access to the key-value service. Keys are text, values are bytes."""

    async def get(self, key: str) -> Result[KeyValue | None, StoreError]:
        """Read one key."""

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

        Revision 0 means that the key must not exist. ``value`` None deletes.
        """

    async def grant_lease(self, ttl: timedelta) -> Result[int, StoreError]:
        """Grant a lease and return its id."""

    async def keep_alive(self, lease_id: int) -> Result[timedelta | None, StoreError]:
        """Renew a lease; return what is left of it, None if it has lapsed."""

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Revoke a lease and delete the keys attached to it."""

    def watch(
        self,
        prefix: str,
        start_revision: int,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[WatchClosed], None],
    ) -> Watch:
        """Watch a prefix from ``start_revision`` on (inclusive).

        ``on_closed`` runs once, when the watch ends other than by ``stop``.
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
