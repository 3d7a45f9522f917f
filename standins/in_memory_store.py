"""In-memory key-value store with etcd's revisions, leases and watches."""

from __future__ import annotations

from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from briarslip.process.store.client import KeyValue
from briarslip.process.store.client import SwapReply
from briarslip.process.store.client import WatchEvent


if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from twisted.internet.base import DelayedCall


HISTORY_LIMIT_REVISIONS = 10_000
OUTAGE_NONE = ""
OUTAGE_CLOSE = "close"
OUTAGE_STATUS = "503"
OUTAGE_MODES = (OUTAGE_NONE, OUTAGE_CLOSE, OUTAGE_STATUS)
WRITE_KINDS = frozenset({"txn", "lease_grant", "lease_keepalive", "lease_revoke"})


class LeaseNotFoundError(Exception):
    """The lease was never granted, or has ended."""


@dataclass(slots=True)
class _Lease:
    """A lease, its expiry timer and the keys attached to it."""

    ttl: timedelta
    expiry_timer: DelayedCall
    keys: set[str] = field(default_factory=set)


class InMemoryWatch:
    """An open watch; ``next_revision`` is the first revision not yet delivered."""

    def __init__(
        self,
        store: InMemoryStore,
        key_range: tuple[bytes, bytes],
        start_revision: int,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[str, int], None],
    ) -> None:
        self.store = store
        self.key_range = key_range
        self.next_revision = start_revision
        self.on_events = on_events
        self.on_closed = on_closed

    def stop(self) -> None:
        """Stop the watch without calling ``on_closed``."""
        self.store.remove_watch(self)


def in_range(key: str, key_range: tuple[bytes, bytes]) -> bool:
    """Return whether a key lies in a range of start and end key.

    As in etcd, an empty end stands for the start key alone, and an end of one zero
    byte for all keys from the start key on.
    """
    start, end = key_range
    key_bytes = key.encode()
    if not end:
        return key_bytes == start
    return key_bytes >= start and (end == b"\0" or key_bytes < end)


class InMemoryStore:
    """Keys, leases, watches, call counts by kind, and fault switches; no sockets."""

    def __init__(
        self, clock: Any, history_limit: int = HISTORY_LIMIT_REVISIONS
    ) -> None:
        self.clock = clock
        self.revision = 1
        self.oldest_revision = 2
        self.call_counts: Counter[str] = Counter()
        self.delay_ms = 0
        self.lose_answers = 0
        # Reads of this key are held until there are ``gather_count`` of them.
        self.gather_key = ""
        self.gather_count = 0
        self._outage = OUTAGE_NONE
        self._freeze_watches = False
        self.history_limit = history_limit
        self.history: deque[tuple[WatchEvent, ...]] = deque()
        self.items: dict[str, KeyValue] = {}
        self.leases: dict[int, _Lease] = {}
        self.last_lease_id = 1000
        # A dict keeps the order in which watches were opened: runs are repeatable.
        self.watches: dict[InMemoryWatch, None] = {}

    @property
    def waiting_watches(self) -> int:
        """The number of open watches."""
        return len(self.watches)

    @property
    def outage(self) -> str:
        """How calls fail: one of ``OUTAGE_MODES``, empty while they are served."""
        return self._outage

    @outage.setter
    def outage(self, mode: str) -> None:
        if mode not in OUTAGE_MODES:
            raise ValueError(f"outage must be one of {OUTAGE_MODES}, got {mode!r}")
        self._outage = mode
        if mode:
            for watch in tuple(self.watches):
                self._close_watch(watch, "outage", 0)

    @property
    def freeze_watches(self) -> bool:
        """Whether watches stay open without delivering events."""
        return self._freeze_watches

    @freeze_watches.setter
    def freeze_watches(self, frozen: bool) -> None:
        self._freeze_watches = frozen
        self._deliver_to_watches()

    def consume_lost_answer(self, kind: str) -> bool:
        """Return whether the answer to this call is lost, and count it off if so."""
        if kind not in WRITE_KINDS or self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True

    def get(self, key: str) -> KeyValue | None:
        """Return a key with its value, None if it does not exist."""
        return self.items.get(key)

    def range(self, key_range: tuple[bytes, bytes]) -> tuple[KeyValue, ...]:
        """Return the keys of a range with their values, in key order."""
        keys = sorted(key for key in self.items if in_range(key, key_range))
        return tuple(self.items[key] for key in keys)

    def swap(
        self, key: str, value: bytes | None, expected_revision: int, lease_id: int = 0
    ) -> SwapReply:
        """Write a key, or delete it if ``value`` is None, by compare-and-swap.

        The key's mod revision must be the expected one, 0 if it must not exist.
        """
        current = self.items.get(key)
        current_revision = current.mod_revision if current else 0
        if current_revision != expected_revision:
            return SwapReply(False, self.revision, current)
        if value is None:
            self._delete((key,) if current else ())
        else:
            self._put(key, value, lease_id)
        return SwapReply(True, self.revision)

    def grant_lease(self, ttl: timedelta) -> int:
        """Grant a lease and return its ID."""
        self.last_lease_id += 1
        lease_id = self.last_lease_id
        expiry_timer = self.clock.callLater(
            ttl.total_seconds(), self.end_lease, lease_id
        )
        self.leases[lease_id] = _Lease(ttl, expiry_timer)
        return lease_id

    def keep_alive(self, lease_id: int) -> timedelta | None:
        """Renew a lease and return its TTL, None if the lease does not exist."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return None
        lease.expiry_timer.reset(lease.ttl.total_seconds())
        return lease.ttl

    def end_lease(self, lease_id: int) -> bool:
        """End a lease and delete its keys; return False if it does not exist."""
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            return False
        if lease.expiry_timer.active():
            lease.expiry_timer.cancel()
        self._delete(tuple(sorted(lease.keys)))
        return True

    def open_watch(
        self,
        key_range: tuple[bytes, bytes],
        start_revision: int,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[str, int], None],
    ) -> InMemoryWatch:
        """Open a watch from ``start_revision`` on, 0 for the next revision.

        ``on_closed`` receives the reason and the compact revision, 0 if the watch
        was not closed by compaction.
        """
        start = start_revision or self.revision + 1
        watch = InMemoryWatch(self, key_range, start, on_events, on_closed)
        self.watches[watch] = None
        self._deliver_events(watch)
        return watch

    def remove_watch(self, watch: InMemoryWatch) -> None:
        """Remove a watch without calling ``on_closed``."""
        self.watches.pop(watch, None)

    def _put(self, key: str, value: bytes, lease_id: int) -> None:
        if lease_id and lease_id not in self.leases:
            raise LeaseNotFoundError(lease_id)
        self._detach_from_lease(key)
        if lease_id:
            self.leases[lease_id].keys.add(key)
        self.revision += 1
        self.items[key] = KeyValue(key, value, self.revision, lease_id)
        self._record_events((WatchEvent(key, value, self.revision),))

    def _delete(self, keys: tuple[str, ...]) -> None:
        if not keys:
            return
        self.revision += 1
        for key in keys:
            self._detach_from_lease(key)
            del self.items[key]
        self._record_events(tuple(WatchEvent(key, None, self.revision) for key in keys))

    def _detach_from_lease(self, key: str) -> None:
        item = self.items.get(key)
        if item and item.lease_id in self.leases:
            self.leases[item.lease_id].keys.discard(key)

    def _record_events(self, events: tuple[WatchEvent, ...]) -> None:
        self.history.append(events)
        if len(self.history) > self.history_limit:
            self.history.popleft()
            self.oldest_revision += 1
        self._deliver_to_watches()

    def _deliver_to_watches(self) -> None:
        for watch in tuple(self.watches):
            self._deliver_events(watch)

    def _deliver_events(self, watch: InMemoryWatch) -> None:
        if self._freeze_watches or watch not in self.watches:
            return
        # Before any compaction a watch may start at revision 1, which has no events.
        if watch.next_revision < self.oldest_revision and self.oldest_revision > 2:
            self._close_watch(watch, "revision compacted", self.oldest_revision)
            return
        first = max(0, watch.next_revision - self.oldest_revision)
        events = tuple(
            event
            for index in range(first, len(self.history))
            for event in self.history[index]
            if in_range(event.key, watch.key_range)
        )
        watch.next_revision = max(watch.next_revision, self.revision + 1)
        if events:
            watch.on_events(events)

    def _close_watch(
        self, watch: InMemoryWatch, reason: str, compact_revision: int
    ) -> None:
        self.remove_watch(watch)
        watch.on_closed(reason, compact_revision)


def apply_switches(store: InMemoryStore, switches: dict[str, Any]) -> None:
    """Set fault switches by name; raise ValueError, setting none, if one is unknown."""
    known_switches = {
        "outage",
        "delay_ms",
        "lose_answers",
        "gather_key",
        "gather_count",
        "freeze_watches",
        "lapse_lease",
    }
    if unknown := sorted(switches.keys() - known_switches):
        raise ValueError(f"unknown fault switches: {unknown}")
    for name, value in switches.items():
        if name == "lapse_lease":
            store.end_lease(int(value))
        else:
            setattr(store, name, value)


__all__ = [
    "OUTAGE_STATUS",
    "WRITE_KINDS",
    "InMemoryStore",
    "InMemoryWatch",
    "LeaseNotFoundError",
    "apply_switches",
]
