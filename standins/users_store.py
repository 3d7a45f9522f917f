"""In-memory stand-in of the users' store, without sockets."""

from __future__ import annotations

import base64
import binascii
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from collections.abc import Callable


MAX_KEY_BYTES = 200
MAX_ENTRIES = 32
PAGE_ITEMS = 500
RESERVED_PREFIXES = ("op/", "servers/")


@dataclass(frozen=True, slots=True)
class Item:
    """A stored key with the revision of its creation and its lease ID, 0 for none."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int

    def document(self) -> dict[str, Any]:
        """Return the item as the JSON object of the store's API."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


@dataclass(slots=True)
class Lease:
    """A lease, its expiry by the store's clock, and the keys attached to it."""

    ttl_ms: int
    expires_at_seconds: float
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP status and a JSON body."""

    status: int
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The items of a store at a revision."""

    revision: int
    items: dict[str, Item]


class UsersStore:
    """Items, events and leases. ``now`` returns monotonic seconds.

    ``writes_per_s`` and ``reads_per_s`` limit the calls in each whole second; 0 means
    no limit. ``history_limit`` is the number of events kept. ``calls`` counts calls
    by the first segment of their path. ``era`` counts how often the store was
    restored from a copy.
    """

    def __init__(
        self,
        now: Callable[[], float],
        writes_per_s: int = 0,
        reads_per_s: int = 0,
        history_limit: int = 1000,
    ) -> None:
        self.now = now
        self.call_limits = {"write": writes_per_s, "read": reads_per_s}
        self.calls_by_second: Counter[tuple[str, int]] = Counter()
        self.history_limit = history_limit
        self.era = 0
        self.revision = 1
        self.items: dict[str, Item] = {}
        self.events: list[tuple[int, dict[str, Any]]] = []
        self.compacted_revision = 0
        self.leases: dict[int, Lease] = {}
        self.last_lease_id = 100
        self.calls: Counter[str] = Counter()
        self.waiters: list[Callable[[], None]] = []

    def put(self, key: str, value: bytes) -> int:
        """Write any key, also a reserved one, as an operator; return the revision."""
        self.revision += 1
        self._write(key, value, 0)
        self._notify_waiters()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove any key, also a reserved one, as an operator."""
        self.revision += 1
        self._remove(key)
        self._notify_waiters()

    def compact_history(self) -> None:
        """Discard all events, so that watches from an older revision fail."""
        self.events.clear()
        self.compacted_revision = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy of the items, as it may be restored later."""
        return StoreCopy(self.revision, dict(self.items))

    def restore(self, copy: StoreCopy) -> None:
        """Lose everything written since a copy; revisions go on from there.

        The events before are kept, but leases are lost with their keys.
        """
        self.era += 1
        self.revision = copy.revision
        self.items = {k: item for k, item in copy.items.items() if not item.lease}
        self.leases.clear()
        self.events = [entry for entry in self.events if entry[0] <= copy.revision]
        self._notify_waiters()

    def call(
        self, method: str, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> Reply | None:
        """Return the reply to a call, None for a watch without events yet."""
        self.expire_leases()
        name, _, argument = path.removeprefix("/-/").partition("/")
        self.calls[name] += 1
        handlers: dict[str, Callable[[], Reply | None]] = {
            "kv-key": lambda: self._get(query),
            "kv-range": lambda: self._range(query),
            "kv-watch": lambda: self.events_after(query),
            "kv-txn": lambda: self._txn(body),
            "kv-lease": lambda: self._grant_lease(body),
            "kv-keep": lambda: self._keep_alive(int(argument)),
            "kv-lease-end": lambda: self._end_lease(int(argument)),
        }
        handler = handlers.get(name)
        is_read = name in ("kv-key", "kv-range", "kv-watch")
        if handler is None or is_read != (method == "GET"):
            return Reply(404, {"error": "no such call"})
        if not self._admit(name, query):
            return Reply(429, {"error": "too many calls"})
        try:
            return handler()
        except (KeyError, TypeError, ValueError, binascii.Error) as error:
            return Reply(400, {"error": repr(error)})

    def _admit(self, name: str, query: dict[str, str]) -> bool:
        if query.get("allow-stale") == "1" or name == "kv-keep":
            return True
        kind = "write" if name in ("kv-txn", "kv-lease", "kv-lease-end") else "read"
        second = (kind, int(self.now()))
        self.calls_by_second[second] += 1
        return (
            not self.call_limits[kind]
            or self.calls_by_second[second] <= self.call_limits[kind]
        )

    def expire_leases(self) -> None:
        """End the leases whose TTL has passed, and remove their keys."""
        for lease_id, lease in list(self.leases.items()):
            if lease.expires_at_seconds <= self.now():
                self._end_lease(lease_id)

    def _get(self, query: dict[str, str]) -> Reply:
        item = self.items.get(query["key"])
        if item is None:
            return Reply(404, {"current-rev": self.revision})
        return Reply(200, item.document() | {"current-rev": self.revision})

    def _range(self, query: dict[str, str]) -> Reply:
        prefix, after = query["prefix"], query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key].document() for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return Reply(
            200, {"items": page, "has-more": more, "current-rev": self.revision}
        )

    def events_after(self, query: dict[str, str]) -> Reply | None:
        """Return the events under a prefix after a revision, None if there are none."""
        after, prefix = int(query["after"]), query["prefix"]
        if after < self.compacted_revision or after > self.revision:
            return Reply(410, {"current-rev": self.revision})
        found = [
            event
            for revision, event in self.events
            if revision > after and event["key"].startswith(prefix)
        ]
        if not found:
            return None
        return Reply(200, {"events": found, "current-rev": self.revision})

    def _txn(self, body: dict[str, Any]) -> Reply:
        preconditions, puts = body.get("precondition", []), body.get("puts", [])
        removed_keys = body.get("remove", [])
        if len(preconditions) + len(puts) + len(removed_keys) > MAX_ENTRIES:
            return Reply(400, {"error": "too many entries"})
        written_keys = [put["key"] for put in puts] + removed_keys
        if any(key.startswith(RESERVED_PREFIXES) for key in written_keys):
            return Reply(403, {"error": "reserved"})
        if any(len(key.encode()) > MAX_KEY_BYTES for key in written_keys):
            return Reply(400, {"error": "the key is too long"})
        values = [base64.b64decode(put["value"], validate=True) for put in puts]
        failed_preconditions = [
            condition
            for condition in preconditions
            if self._revision_of(condition["key"]) != condition["revision"]
        ]
        if failed_preconditions:
            found = [self.items.get(condition["key"]) for condition in preconditions]
            return Reply(412, {"items": [i.document() for i in found if i]})
        if any(p.get("lease") and p["lease"] not in self.leases for p in puts):
            return Reply(404, {"error": "no such lease"})
        self.revision += 1
        for put, value in zip(puts, values, strict=True):
            self._write(put["key"], value, put.get("lease", 0))
        for key in removed_keys:
            self._remove(key)
        self._notify_waiters()
        return Reply(200, {"revision": self.revision})

    def _revision_of(self, key: str) -> int:
        item = self.items.get(key)
        return item.revision if item else 0

    def _write(self, key: str, value: bytes, lease: int) -> None:
        previous = self.items.get(key)
        created = previous.created if previous else self.revision
        if previous and previous.lease in self.leases:
            self.leases[previous.lease].keys.discard(key)
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        if lease:
            self.leases[lease].keys.add(key)
        self._record_event(item.document())

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._record_event({"key": key, "revision": self.revision, "removed": True})

    def _record_event(self, event: dict[str, Any]) -> None:
        self.events.append((self.revision, event))
        if len(self.events) > self.history_limit:
            self.compacted_revision = self.events.pop(0)[0]

    def _grant_lease(self, body: dict[str, Any]) -> Reply:
        ttl_ms = int(body["ttl-ms"])
        lease_id = self.last_lease_id = self.last_lease_id + 1
        self.leases[lease_id] = Lease(ttl_ms, self.now() + ttl_ms / 1000)
        return Reply(200, {"lease": lease_id, "ttl-ms": ttl_ms})

    def _keep_alive(self, lease_id: int) -> Reply:
        lease = self.leases.get(lease_id)
        if lease is None:
            return Reply(404, {"error": "no such lease"})
        lease.expires_at_seconds = self.now() + lease.ttl_ms / 1000
        return Reply(200, {"ttl-ms": lease.ttl_ms})

    def _end_lease(self, lease_id: int) -> Reply:
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            return Reply(404, {"error": "no such lease"})
        if lease.keys:
            self.revision += 1
            for key in sorted(lease.keys):
                self._remove(key)
            self._notify_waiters()
        return Reply(200, {})

    def _notify_waiters(self) -> None:
        waiters, self.waiters = self.waiters, []
        for notify in waiters:
            notify()


__all__ = ["Item", "Reply", "StoreCopy", "UsersStore"]
