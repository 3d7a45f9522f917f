"""A watch on the store that is reopened whenever it ends."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from briarslip.backoff import full_jitter


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from briarslip.process.store.client import StoreClient
    from briarslip.process.store.client import Watch
    from briarslip.process.store.client import WatchClosed
    from briarslip.process.store.client import WatchEvent


RETRY_BASE_SECONDS = 0.25
RETRY_CAP_SECONDS = 4.0
# A watch that ends sooner was refused, although its first poll may have been answered.
LASTING_SECONDS = 0.1


class StoreWatch:
    """Watches the keys under a prefix without missing an event.

    A watch that ends is reopened after a back-off, from the revision after the last
    one received. The back-off grows with ``failures``, the watches in a row that ended
    soon. ``is_broken`` is whether it has ended since the store last answered. If
    the store has compacted that revision, the watch stops and ``on_compacted`` is
    called; the owner must then read the prefix again.
    """

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        store: StoreClient,
        prefix: str,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_compacted: Callable[[], None],
        retry_cap_seconds: float = RETRY_CAP_SECONDS,
    ) -> None:
        self.reactor = reactor
        self.rng = rng
        self.store = store
        self.prefix = prefix
        self.on_events = on_events
        self.on_compacted = on_compacted
        self.retry_cap_seconds = retry_cap_seconds
        self.next_revision = 0
        self.failures = 0
        self.watch: Watch | None = None
        self.generation = 0
        self.opened_at = 0.0
        self.is_answered = False
        self.is_broken = False

    def start(self, revision: int) -> None:
        """Watch from a revision on, in place of the current watch if there is one."""
        self.stop()
        self.next_revision = revision
        self._open(self.generation)

    def stop(self) -> None:
        """Stop watching."""
        self.generation += 1
        if self.watch is not None:
            self.watch.stop()
            self.watch = None

    def _open(self, generation: int, is_resumed: bool = False) -> None:
        if generation != self.generation:
            return
        self.opened_at = self.reactor.seconds()
        self.is_answered = False
        self.watch = self.store.watch(
            self.prefix, self.next_revision, self._events, self._closed, is_resumed
        )

    def _events(self, events: tuple[WatchEvent, ...]) -> None:
        self.is_answered, self.is_broken = True, False
        if events or self._has_lasted():
            self.failures = 0
        if not events:
            return
        newest = max(event.mod_revision for event in events)
        self.next_revision = max(self.next_revision, newest + 1)
        self.on_events(events)

    def _closed(self, closed: WatchClosed) -> None:
        self.watch = None
        if closed.compacted:
            self.stop()
            self.on_compacted()
            return
        self.is_broken = True
        has_lasted = self._has_lasted()
        if has_lasted:
            self.failures = 0
        is_resumed = has_lasted or not self.is_answered
        delay = full_jitter(
            self.rng, self.failures, RETRY_BASE_SECONDS, self.retry_cap_seconds
        )
        self.failures += 1
        self.reactor.callLater(delay, self._open, self.generation, is_resumed)

    def _has_lasted(self) -> bool:
        return bool(self.reactor.seconds() - self.opened_at >= LASTING_SECONDS)


__all__ = ["StoreWatch"]
