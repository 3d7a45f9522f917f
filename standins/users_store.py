"""Stand-in of the users' store: its rules in memory, without sockets."""

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
STALE_SHARE = 0.1
RESERVED = ("op/", "servers/")


@dataclass(frozen=True, slots=True)
class Item:
    """A stored key."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int

    def document(self) -> dict[str, Any]:
        """Return the item as the wire carries it."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


@dataclass(slots=True)
class Lease:
    """A lease, its end by the store's clock, and what hangs on it."""

    ttl_ms: int
    ends_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Reply:
    """A status and a JSON body."""

    status: int
    body: dict[str, Any]


class UsersStore:
    """Items, history and leases. ``now`` returns seconds that never go back.

    ``writes_per_s`` and ``reads_per_s`` bound the calls of each whole second;
    0 sets no bound. ``calls`` counts calls by their path.
    """

    def __init__(
        self,
        now: Callable[[], float],
        writes_per_s: int = 0,
        reads_per_s: int = 0,
        history: int = 1000,
    ) -> None:
        self.now = now
        self.limits = {"write": writes_per_s, "read": reads_per_s}
        self.used: Counter[tuple[str, int]] = Counter()
        self.history = history
        self.revision = 1
        self.items: dict[str, Item] = {}
        self.events: list[tuple[int, dict[str, Any]]] = []
        self.forgotten = 0
        self.leases: dict[int, Lease] = {}
        self.next_lease = 100
        self.calls: Counter[str] = Counter()
        self.waiters: list[Callable[[], None]] = []

    def put(self, key: str, value: bytes) -> int:
        """Write as the operator does; return the revision."""
        self.revision += 1
        self._write(key, value, 0)
        self._wake()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove as the operator does."""
        self.revision += 1
        self._remove(key)
        self._wake()

    def compact_history(self) -> None:
        """Drop every event that is kept."""
        self.events.clear()
        self.forgotten = self.revision

    def call(
        self, method: str, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> Reply | None:
        """Answer a call; None for a watch that has to wait."""
        self.expire()
        name, _, argument = path.removeprefix("/-/").partition("/")
        self.calls[name] += 1
        handlers: dict[str, Callable[[], Reply | None]] = {
            "kv-key": lambda: self._get(query),
            "kv-range": lambda: self._range(query),
            "kv-watch": lambda: self.events_after(query),
            "kv-txn": lambda: self._txn(body),
            "kv-lease": lambda: self._grant(body),
            "kv-keep": lambda: self._keep(int(argument)),
            "kv-lease-end": lambda: self._end(int(argument)),
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
        self.used[second] += 1
        return not self.limits[kind] or self.used[second] <= self.limits[kind]

    def expire(self) -> None:
        """End the leases that have lapsed."""
        for number, lease in list(self.leases.items()):
            if lease.ends_at <= self.now():
                self._end(number)

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
        """Return the events after a revision, None while there are none."""
        after, prefix = int(query["after"]), query["prefix"]
        if after < self.forgotten:
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
        rows, puts = body.get("precondition", []), body.get("puts", [])
        removed = body.get("remove", [])
        if len(rows) + len(puts) + len(removed) > MAX_ENTRIES:
            return Reply(400, {"error": "too many entries"})
        names = [put["key"] for put in puts] + removed
        if any(name.startswith(RESERVED) for name in names):
            return Reply(403, {"error": "reserved"})
        if any(len(name.encode()) > MAX_KEY_BYTES for name in names):
            return Reply(400, {"error": "the key is too long"})
        values = [base64.b64decode(put["value"], validate=True) for put in puts]
        held = [row for row in rows if self._revision_of(row["key"]) != row["revision"]]
        if held:
            found = [self.items.get(row["key"]) for row in rows]
            return Reply(412, {"items": [i.document() for i in found if i]})
        if any(p.get("lease") and p["lease"] not in self.leases for p in puts):
            return Reply(404, {"error": "no such lease"})
        self.revision += 1
        for put, value in zip(puts, values, strict=True):
            self._write(put["key"], value, put.get("lease", 0))
        for name in removed:
            self._remove(name)
        self._wake()
        return Reply(200, {"revision": self.revision})

    def _revision_of(self, key: str) -> int:
        item = self.items.get(key)
        return item.revision if item else 0

    def _write(self, key: str, value: bytes, lease: int) -> None:
        before = self.items.get(key)
        created = before.created if before else self.revision
        if before and before.lease in self.leases:
            self.leases[before.lease].keys.discard(key)
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        if lease:
            self.leases[lease].keys.add(key)
        self._note(item.document())

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._note({"key": key, "revision": self.revision, "removed": True})

    def _note(self, event: dict[str, Any]) -> None:
        self.events.append((self.revision, event))
        if len(self.events) > self.history:
            self.forgotten = self.events.pop(0)[0]

    def _grant(self, body: dict[str, Any]) -> Reply:
        ttl = int(body["ttl-ms"])
        number = self.next_lease = self.next_lease + 1
        self.leases[number] = Lease(ttl, self.now() + ttl / 1000)
        return Reply(200, {"lease": number, "ttl-ms": ttl})

    def _keep(self, number: int) -> Reply:
        lease = self.leases.get(number)
        if lease is None:
            return Reply(404, {"error": "no such lease"})
        lease.ends_at = self.now() + lease.ttl_ms / 1000
        return Reply(200, {"ttl-ms": lease.ttl_ms})

    def _end(self, number: int) -> Reply:
        lease = self.leases.pop(number, None)
        if lease is None:
            return Reply(404, {"error": "no such lease"})
        if lease.keys:
            self.revision += 1
            for key in sorted(lease.keys):
                self._remove(key)
            self._wake()
        return Reply(200, {})

    def _wake(self) -> None:
        waiters, self.waiters = self.waiters, []
        for wake in waiters:
            wake()


__all__ = ["Item", "Reply", "UsersStore"]
