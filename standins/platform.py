"""In-memory stand-in of the platform's key-value service.

Run it with ``python -m standins.platform --port N``.
"""

from __future__ import annotations

import argparse
import json
from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET
from twisted.web.server import Site

from briarslip.process.etcd_gateway import decode
from briarslip.process.etcd_gateway import encode
from briarslip.process.platform import KeyValue
from briarslip.process.platform import SwapReply
from briarslip.process.platform import WatchEvent


if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import DelayedCall


HISTORY_LIMIT_REVISIONS = 10_000
PROGRESS_INTERVAL = timedelta(seconds=1)
OUTAGE_NONE = ""
OUTAGE_CLOSE = "close"
OUTAGE_STATUS = "503"
OUTAGES = (OUTAGE_NONE, OUTAGE_CLOSE, OUTAGE_STATUS)
WRITE_KINDS = frozenset({"txn", "lease_grant", "lease_keepalive", "lease_revoke"})
KINDS = {
    "/v3/kv/range": "range",
    "/v3/kv/txn": "txn",
    "/v3/lease/grant": "lease_grant",
    "/v3/lease/keepalive": "lease_keepalive",
    "/v3/lease/revoke": "lease_revoke",
    "/v3/watch": "watch",
}


class LeaseNotFoundError(Exception):
    """A lease that does not exist was named."""


@dataclass(slots=True)
class _Lease:
    """A lease, its expiry call and its keys."""

    ttl: timedelta
    expiry: DelayedCall
    keys: set[str] = field(default_factory=set)


class StandInWatch:
    """A waiting watch; ``next_revision`` is the first one not yet delivered."""

    def __init__(
        self,
        state: PlatformStandIn,
        key_range: tuple[bytes, bytes],
        start_revision: int,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[str, int], None],
    ) -> None:
        self._state = state
        self.key_range = key_range
        self.next_revision = start_revision
        self.on_events = on_events
        self.on_closed = on_closed

    def stop(self) -> None:
        """Stop the watch without a callback."""
        self._state.forget_watch(self)


def in_range(key: str, key_range: tuple[bytes, bytes]) -> bool:
    """Tell whether a key lies in a range as etcd defines it."""
    start, end = key_range
    raw = key.encode()
    if not end:
        return raw == start
    return raw >= start and (end == b"\0" or raw < end)


class PlatformStandIn:
    """Keys, leases, watches, call counts and fault switches; no sockets."""

    def __init__(
        self, clock: Any, history_limit: int = HISTORY_LIMIT_REVISIONS
    ) -> None:
        self.clock = clock
        self.revision = 1
        self.oldest_revision = 2
        self.counts: Counter[str] = Counter()
        self.delay_ms = 0
        self.lose_answers = 0
        self._outage = OUTAGE_NONE
        self._freeze_watches = False
        self._history_limit = history_limit
        self._history: deque[tuple[WatchEvent, ...]] = deque()
        self._items: dict[str, KeyValue] = {}
        self._leases: dict[int, _Lease] = {}
        self._last_lease_id = 1000
        # A dict keeps the order of opening, so that runs repeat exactly.
        self._watches: dict[StandInWatch, None] = {}

    @property
    def waiting_watches(self) -> int:
        """The number of watches now open."""
        return len(self._watches)

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
            for watch in tuple(self._watches):
                self._close_watch(watch, "outage", 0)

    @property
    def freeze_watches(self) -> bool:
        """Whether watches stay open but say nothing."""
        return self._freeze_watches

    @freeze_watches.setter
    def freeze_watches(self, frozen: bool) -> None:
        self._freeze_watches = frozen
        self._pump_all()

    def take_lost_answer(self, kind: str) -> bool:
        """Tell whether the answer to this call is lost, and count it off."""
        if kind not in WRITE_KINDS or self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True

    def get(self, key: str) -> KeyValue | None:
        """Return one key."""
        return self._items.get(key)

    def range(self, key_range: tuple[bytes, bytes]) -> tuple[KeyValue, ...]:
        """Return the keys of a range in key order."""
        keys = sorted(key for key in self._items if in_range(key, key_range))
        return tuple(self._items[key] for key in keys)

    def swap(
        self, key: str, value: bytes | None, expected_revision: int, lease_id: int = 0
    ) -> SwapReply:
        """Write or delete a key if its mod revision is the expected one."""
        current = self._items.get(key)
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
        self._last_lease_id += 1
        lease_id = self._last_lease_id
        expiry = self.clock.callLater(ttl.total_seconds(), self.lapse_lease, lease_id)
        self._leases[lease_id] = _Lease(ttl, expiry)
        return lease_id

    def keep_alive(self, lease_id: int) -> timedelta | None:
        """Renew a lease; None if there is none."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return None
        lease.expiry.reset(lease.ttl.total_seconds())
        return lease.ttl

    def lapse_lease(self, lease_id: int) -> bool:
        """End a lease and delete its keys; False if there is none."""
        lease = self._leases.pop(lease_id, None)
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
    ) -> StandInWatch:
        """Open a watch; ``on_closed`` gets the reason and compact revision."""
        start = start_revision or self.revision + 1
        watch = StandInWatch(self, key_range, start, on_events, on_closed)
        self._watches[watch] = None
        self._pump(watch)
        return watch

    def forget_watch(self, watch: StandInWatch) -> None:
        """Drop a watch without a callback."""
        self._watches.pop(watch, None)

    def _put(self, key: str, value: bytes, lease_id: int) -> None:
        if lease_id and lease_id not in self._leases:
            raise LeaseNotFoundError(lease_id)
        self._detach(key)
        if lease_id:
            self._leases[lease_id].keys.add(key)
        self.revision += 1
        self._items[key] = KeyValue(key, value, self.revision, lease_id)
        self._record((WatchEvent(key, value, self.revision),))

    def _delete(self, keys: tuple[str, ...]) -> None:
        if not keys:
            return
        self.revision += 1
        for key in keys:
            self._detach(key)
            del self._items[key]
        self._record(tuple(WatchEvent(key, None, self.revision) for key in keys))

    def _detach(self, key: str) -> None:
        item = self._items.get(key)
        if item and item.lease_id in self._leases:
            self._leases[item.lease_id].keys.discard(key)

    def _record(self, events: tuple[WatchEvent, ...]) -> None:
        self._history.append(events)
        if len(self._history) > self._history_limit:
            self._history.popleft()
            self.oldest_revision += 1
        self._pump_all()

    def _pump_all(self) -> None:
        for watch in tuple(self._watches):
            self._pump(watch)

    def _pump(self, watch: StandInWatch) -> None:
        if self._freeze_watches or watch not in self._watches:
            return
        # A fresh store has compacted nothing: revision 1 is empty, not lost.
        if watch.next_revision < self.oldest_revision and self.oldest_revision > 2:
            self._close_watch(watch, "revision compacted", self.oldest_revision)
            return
        first = max(0, watch.next_revision - self.oldest_revision)
        events = tuple(
            event
            for index in range(first, len(self._history))
            for event in self._history[index]
            if in_range(event.key, watch.key_range)
        )
        watch.next_revision = max(watch.next_revision, self.revision + 1)
        if events:
            watch.on_events(events)

    def _close_watch(
        self, watch: StandInWatch, reason: str, compact_revision: int
    ) -> None:
        self.forget_watch(watch)
        watch.on_closed(reason, compact_revision)


def apply_switches(state: PlatformStandIn, switches: dict[str, Any]) -> None:
    """Set the switches named; an unknown name changes nothing."""
    known = {"outage", "delay_ms", "lose_answers", "freeze_watches", "lapse_lease"}
    if unknown := sorted(switches.keys() - known):
        raise ValueError(f"unknown switches: {unknown}")
    for name, value in switches.items():
        if name == "lapse_lease":
            state.lapse_lease(int(value))
        else:
            setattr(state, name, value)


def _item_json(item: KeyValue) -> dict[str, Any]:
    return {
        "key": encode(item.key.encode()),
        "value": encode(item.value),
        "mod_revision": str(item.mod_revision),
        "lease": str(item.lease_id),
    }


def _event_json(event: WatchEvent) -> dict[str, Any]:
    item: dict[str, Any] = {
        "key": encode(event.key.encode()),
        "mod_revision": str(event.mod_revision),
    }
    if event.value is None:
        return {"type": "DELETE", "kv": item}
    # Like the gateway, leave out the type of a put: it is the default.
    return {"kv": item | {"value": encode(event.value)}}


def _range_of(message: dict[str, Any]) -> tuple[bytes, bytes]:
    return decode(message["key"]), decode(message.get("range_end", ""))


class GatewayResource(Resource):
    """The HTTP face of a stand-in."""

    def __init__(
        self,
        state: PlatformStandIn,
        progress_interval: timedelta = PROGRESS_INTERVAL,
    ) -> None:
        base: Any = super()
        base.__init__()
        self.isLeaf = True
        self._state = state
        self._progress_interval = progress_interval
        self._answers = {
            "range": self._range,
            "txn": self._txn,
            "lease_grant": self._lease_grant,
            "lease_keepalive": self._lease_keepalive,
            "lease_revoke": self._lease_revoke,
        }

    def render_GET(self, request: Any) -> bytes:  # noqa: N802 - Twisted's name
        """Answer with the call counts."""
        if request.path != b"/standin/counts":
            return _refuse(request, HTTPStatus.NOT_FOUND, 5, "no such page")
        counts = dict(self._state.counts)
        gauges = {"waiting_watches": self._state.waiting_watches}
        return json.dumps({"calls": counts, "gauges": gauges}).encode()

    def render_PUT(self, request: Any) -> bytes:  # noqa: N802 - Twisted's name
        """Set switches."""
        if request.path != b"/standin/switches":
            return _refuse(request, HTTPStatus.NOT_FOUND, 5, "no such page")
        try:
            apply_switches(self._state, json.load(request.content))
        except (ValueError, TypeError, AttributeError) as problem:
            return _refuse(request, HTTPStatus.BAD_REQUEST, 3, str(problem))
        return b"{}"

    def render_POST(self, request: Any) -> Any:  # noqa: N802 - Twisted's name
        """Serve one gateway call."""
        kind = KINDS.get(request.path.decode("utf-8", "replace"))
        if kind is None:
            return _refuse(request, HTTPStatus.NOT_FOUND, 5, "no such call")
        self._state.counts[kind] += 1
        if self._state.outage == OUTAGE_STATUS:
            return _refuse(request, HTTPStatus.SERVICE_UNAVAILABLE, 14, "outage")
        if self._state.outage:
            request.transport.abortConnection()
            return NOT_DONE_YET
        request.notifyFinish().addErrback(lambda _: None)
        body = request.content.read()
        if self._state.delay_ms:
            delay = self._state.delay_ms / 1000
            self._state.clock.callLater(delay, self._serve, request, kind, body)
        else:
            self._serve(request, kind, body)
        return NOT_DONE_YET

    def _serve(self, request: Any, kind: str, body: bytes) -> None:
        try:
            message = json.loads(body)
            if kind == "watch":
                self._watch(request, message["create_request"])
                return
            answer = json.dumps(self._answers[kind](message)).encode()
        except LeaseNotFoundError:
            answer = _refuse(request, HTTPStatus.NOT_FOUND, 5, "lease not found")
        except (KeyError, IndexError, TypeError, ValueError) as problem:
            answer = _refuse(request, HTTPStatus.BAD_REQUEST, 3, repr(problem))
        lost = self._state.take_lost_answer(kind)
        if request._disconnected:
            return
        if lost:
            request.transport.abortConnection()
            return
        request.write(answer)
        request.finish()

    def _header(self) -> dict[str, str]:
        return {"revision": str(self._state.revision)}

    def _range(self, message: dict[str, Any]) -> dict[str, Any]:
        key_range = _range_of(message)
        if key_range[1]:
            items = self._state.range(key_range)
        else:
            item = self._state.get(key_range[0].decode())
            items = (item,) if item else ()
        kvs = [_item_json(item) for item in items]
        return {"header": self._header(), "kvs": kvs, "count": str(len(kvs))}

    def _txn(self, message: dict[str, Any]) -> dict[str, Any]:
        (compare,) = message["compare"]
        (success,) = message["success"]
        put = success.get("request_put", {})
        value = decode(put.get("value", "")) if put else None
        reply = self._state.swap(
            decode(compare["key"]).decode(),
            value,
            int(compare["mod_revision"]),
            int(put.get("lease", 0)),
        )
        if reply.swapped:
            return {"header": self._header(), "succeeded": True, "responses": [{}]}
        kvs = [_item_json(reply.current)] if reply.current else []
        found = {"response_range": {"header": self._header(), "kvs": kvs}}
        return {"header": self._header(), "responses": [found]}

    def _lease_grant(self, message: dict[str, Any]) -> dict[str, Any]:
        ttl = int(message["TTL"])
        lease_id = self._state.grant_lease(timedelta(seconds=ttl))
        return {"header": self._header(), "ID": str(lease_id), "TTL": str(ttl)}

    def _lease_keepalive(self, message: dict[str, Any]) -> dict[str, Any]:
        result = {"header": self._header(), "ID": message["ID"]}
        left = self._state.keep_alive(int(message["ID"]))
        if left is not None:
            result["TTL"] = str(int(left.total_seconds()))
        return {"result": result}

    def _lease_revoke(self, message: dict[str, Any]) -> dict[str, Any]:
        if not self._state.lapse_lease(int(message["ID"])):
            raise LeaseNotFoundError(message["ID"])
        return {"header": self._header()}

    def _watch(self, request: Any, create: dict[str, Any]) -> None:
        if not request._disconnected:
            key_range = _range_of(create)
            start = int(create.get("start_revision", 0))
            _WatchAnswer(self._state, request, self._progress_interval).open(
                key_range, start
            )


class _WatchAnswer:
    """The long answer to one watch call."""

    def __init__(
        self, state: PlatformStandIn, request: Any, interval: timedelta
    ) -> None:
        self._state = state
        self._request = request
        self._interval = interval
        self._watch: StandInWatch | None = None
        self._timer: DelayedCall | None = None

    def open(self, key_range: tuple[bytes, bytes], start_revision: int) -> None:
        """Answer that the watch is made, then deliver its events."""
        self._request.notifyFinish().addBoth(self._finished)
        self._write({"created": True})
        self._schedule()
        self._watch = self._state.open_watch(
            key_range, start_revision, self._deliver, self._close
        )

    def _write(self, result: dict[str, Any]) -> None:
        header = {"revision": str(self._state.revision)}
        line = json.dumps({"result": {"header": header} | result})
        self._request.write(line.encode() + b"\n")

    def _deliver(self, events: tuple[WatchEvent, ...]) -> None:
        self._write({"events": [_event_json(event) for event in events]})

    def _close(self, reason: str, compact_revision: int) -> None:
        if not compact_revision:
            self._request.transport.abortConnection()
            return
        compacted = {"canceled": True, "compact_revision": str(compact_revision)}
        self._write(compacted | {"cancel_reason": reason})
        self._request.finish()

    def _schedule(self) -> None:
        delay = self._interval.total_seconds()
        self._timer = self._state.clock.callLater(delay, self._progress)

    def _progress(self) -> None:
        if not self._state.freeze_watches:
            self._write({})
        self._schedule()

    def _finished(self, _: object) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._watch is not None:
            self._watch.stop()


def _refuse(request: Any, status: HTTPStatus, code: int, text: str) -> bytes:
    request.setResponseCode(status)
    return json.dumps({"error": text, "code": code, "message": text}).encode()


def make_site(state: PlatformStandIn) -> Site:
    """Return the HTTP site of a stand-in."""
    # Twisted leaves the class without types.
    site_class: Any = Site
    site: Site = site_class(GatewayResource(state))
    return site


def main() -> None:
    """Serve a stand-in until stopped."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--host", default="127.0.0.1")
    options = parser.parse_args()
    running: Any = reactor
    site = make_site(PlatformStandIn(running))
    running.listenTCP(options.port, site, interface=options.host)
    running.run()


if __name__ == "__main__":
    main()


__all__ = [
    "GatewayResource",
    "LeaseNotFoundError",
    "PlatformStandIn",
    "StandInWatch",
    "apply_switches",
    "in_range",
    "make_site",
]
