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


class StoreWatch:
    """Watches the keys under a prefix without missing an event.

    A watch that ends is reopened after a back-off, from the revision after the last
    one received. A response, also one without events, ends the row of failures that
    the back-off grows with. If the store has compacted that revision, the watch stops
    and ``on_compacted`` is called; the owner must then read the prefix again.
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
        self.watch = self.store.watch(
            self.prefix, self.next_revision, self._events, self._closed, is_resumed
        )

    def _events(self, events: tuple[WatchEvent, ...]) -> None:
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
        delay = full_jitter(
            self.rng, self.failures, RETRY_BASE_SECONDS, self.retry_cap_seconds
        )
        self.failures += 1
        self.reactor.callLater(delay, self._open, self.generation, True)


__all__ = ["StoreWatch"]
