"""The state of the platform stand-in: keys, leases, watches and switches."""

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
OUTAGES = (OUTAGE_NONE, OUTAGE_CLOSE, OUTAGE_STATUS)
WRITE_KINDS = frozenset({"txn", "lease_grant", "lease_keepalive", "lease_revoke"})


class LeaseNotFoundError(Exception):
    """A lease that does not exist was named."""


@dataclass(slots=True)
class _Lease:
    """A lease, its expiry call and its keys."""

    ttl: timedelta
    expiry: DelayedCall
    keys: set[str] = field(default_factory=set)


class InMemoryWatch:
    """A waiting watch; ``next_revision`` is the first one not yet delivered."""

    def __init__(
        self,
        state: InMemoryStore,
        key_range: tuple[bytes, bytes],
        start_revision: int,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[str, int], None],
    ) -> None:
        self.state = state
        self.key_range = key_range
        self.next_revision = start_revision
        self.on_events = on_events
        self.on_closed = on_closed

    def stop(self) -> None:
        """Stop the watch without a callback."""
        self.state.forget_watch(self)


def in_range(key: str, key_range: tuple[bytes, bytes]) -> bool:
    """Tell whether a key lies in a range as etcd defines it."""
    start, end = key_range
    raw = key.encode()
    if not end:
        return raw == start
    return raw >= start and (end == b"\0" or raw < end)


class InMemoryStore:
    """Keys, leases, watches, call counts and fault switches; no sockets."""

    def __init__(
        self, clock: Any, history_limit: int = HISTORY_LIMIT_REVISIONS
    ) -> None:
        self.clock = clock
        self.revision = 1
        self.oldest_revision = 2
        self.call_counts: Counter[str] = Counter()
        self.delay_ms = 0
        self.lose_answers = 0
        self._outage = OUTAGE_NONE
        self._freeze_watches = False
        self.history_limit = history_limit
        self.history: deque[tuple[WatchEvent, ...]] = deque()
        self.items: dict[str, KeyValue] = {}
        self.leases: dict[int, _Lease] = {}
        self.last_lease_id = 1000
        # A dict keeps the order of opening, so that runs repeat exactly.
        self.watches: dict[InMemoryWatch, None] = {}

    @property
    def waiting_watches(self) -> int:
        """The number of watches now open."""
        return len(self.watches)

    @property
    def outage(self) -> str:
        """How calls are refused; empty when they are served."""
        return self._outage

    @outage.setter
    def outage(self, how: str) -> None:
        if how not in OUTAGES:
            raise ValueError(f"outage is one of {OUTAGES}, not {how!r}")
        self._outage = how
        if how:
            for watch in tuple(self.watches):
                self._close_watch(watch, "outage", 0)

    @property
    def freeze_watches(self) -> bool:
        """Whether watches stay open but say nothing."""
        return self._freeze_watches

    @freeze_watches.setter
    def freeze_watches(self, frozen: bool) -> None:
        self._freeze_watches = frozen
        self._pump_all()

    def consume_lost_answer(self, kind: str) -> bool:
        """Tell whether the answer to this call is lost, and count it off."""
        if kind not in WRITE_KINDS or self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True

    def get(self, key: str) -> KeyValue | None:
        """Return one key."""
        return self.items.get(key)

    def range(self, key_range: tuple[bytes, bytes]) -> tuple[KeyValue, ...]:
        """Return the keys of a range in key order."""
        keys = sorted(key for key in self.items if in_range(key, key_range))
        return tuple(self.items[key] for key in keys)

    def swap(
        self, key: str, value: bytes | None, expected_revision: int, lease_id: int = 0
    ) -> SwapReply:
        """Write or delete a key if its mod revision is the expected one."""
        current = self.items.get(key)
        found_revision = current.mod_revision if current else 0
        if found_revision != expected_revision:
            return SwapReply(False, self.revision, current)
        if value is None:
            self._delete((key,) if current else ())
        else:
            self._put(key, value, lease_id)
        return SwapReply(True, self.revision)

    def grant_lease(self, ttl: timedelta) -> int:
        """Grant a lease and return its id."""
        self.last_lease_id += 1
        lease_id = self.last_lease_id
        expiry = self.clock.callLater(ttl.total_seconds(), self.end_lease, lease_id)
        self.leases[lease_id] = _Lease(ttl, expiry)
        return lease_id

    def keep_alive(self, lease_id: int) -> timedelta | None:
        """Renew a lease; None if there is none."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return None
        lease.expiry.reset(lease.ttl.total_seconds())
        return lease.ttl

    def end_lease(self, lease_id: int) -> bool:
        """End a lease and delete its keys; False if there is none."""
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            return False
        if lease.expiry.active():
            lease.expiry.cancel()
        self._delete(tuple(sorted(lease.keys)))
        return True

    def open_watch(
        self,
        key_range: tuple[bytes, bytes],
        start_revision: int,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[str, int], None],
    ) -> InMemoryWatch:
        """Open a watch; ``on_closed`` gets the reason and compact revision."""
        start = start_revision or self.revision + 1
        watch = InMemoryWatch(self, key_range, start, on_events, on_closed)
        self.watches[watch] = None
        self._pump(watch)
        return watch

    def forget_watch(self, watch: InMemoryWatch) -> None:
        """Drop a watch without a callback."""
        self.watches.pop(watch, None)

    def _put(self, key: str, value: bytes, lease_id: int) -> None:
        if lease_id and lease_id not in self.leases:
            raise LeaseNotFoundError(lease_id)
        self._detach(key)
        if lease_id:
            self.leases[lease_id].keys.add(key)
        self.revision += 1
        self.items[key] = KeyValue(key, value, self.revision, lease_id)
        self._record((WatchEvent(key, value, self.revision),))

    def _delete(self, keys: tuple[str, ...]) -> None:
        if not keys:
            return
        self.revision += 1
        for key in keys:
            self._detach(key)
            del self.items[key]
        self._record(tuple(WatchEvent(key, None, self.revision) for key in keys))

    def _detach(self, key: str) -> None:
        item = self.items.get(key)
        if item and item.lease_id in self.leases:
            self.leases[item.lease_id].keys.discard(key)

    def _record(self, events: tuple[WatchEvent, ...]) -> None:
        self.history.append(events)
        if len(self.history) > self.history_limit:
            self.history.popleft()
            self.oldest_revision += 1
        self._pump_all()

    def _pump_all(self) -> None:
        for watch in tuple(self.watches):
            self._pump(watch)

    def _pump(self, watch: InMemoryWatch) -> None:
        if self._freeze_watches or watch not in self.watches:
            return
        # A fresh store has compacted nothing: revision 1 is empty, not lost.
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
        self.forget_watch(watch)
        watch.on_closed(reason, compact_revision)


def apply_switches(state: InMemoryStore, switches: dict[str, Any]) -> None:
    """Set the switches named; an unknown name changes nothing."""
    known = {"outage", "delay_ms", "lose_answers", "freeze_watches", "lapse_lease"}
    if unknown := sorted(switches.keys() - known):
        raise ValueError(f"unknown switches: {unknown}")
    for name, value in switches.items():
        if name == "lapse_lease":
            state.end_lease(int(value))
        else:
            setattr(state, name, value)


__all__ = [
    "OUTAGE_STATUS",
    "WRITE_KINDS",
    "InMemoryStore",
    "InMemoryWatch",
    "LeaseNotFoundError",
    "apply_switches",
]
