"""Stand-in of an etcd store: an in-memory store behind etcd's JSON gateway.

Run it with ``python -m standins.platform --port N``.
"""

from __future__ import annotations

import argparse
import json
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET
from twisted.web.server import Site

from briarslip.process.store.etcd_messages import decode_base64
from briarslip.process.store.etcd_messages import encode_base64
from standins.in_memory_store import OUTAGE_STATUS
from standins.in_memory_store import InMemoryStore
from standins.in_memory_store import InMemoryWatch
from standins.in_memory_store import LeaseNotFoundError
from standins.in_memory_store import apply_switches


if TYPE_CHECKING:
    from twisted.internet.base import DelayedCall

    from briarslip.process.store.client import KeyValue
    from briarslip.process.store.client import WatchEvent


PROGRESS_INTERVAL = timedelta(seconds=1)
CALL_KINDS = {
    "/v3/kv/range": "range",
    "/v3/kv/txn": "txn",
    "/v3/lease/grant": "lease_grant",
    "/v3/lease/keepalive": "lease_keepalive",
    "/v3/lease/revoke": "lease_revoke",
    "/v3/watch": "watch",
}


def _encode_item(item: KeyValue) -> dict[str, Any]:
    return {
        "key": encode_base64(item.key.encode()),
        "value": encode_base64(item.value),
        "mod_revision": str(item.mod_revision),
        "lease": str(item.lease_id),
    }


def _encode_event(event: WatchEvent) -> dict[str, Any]:
    item: dict[str, Any] = {
        "key": encode_base64(event.key.encode()),
        "mod_revision": str(event.mod_revision),
    }
    if event.value is None:
        return {"type": "DELETE", "kv": item}
    # As etcd's gateway does, omit the type of a put: it is the default value.
    return {"kv": item | {"value": encode_base64(event.value)}}


def _decode_range(message: dict[str, Any]) -> tuple[bytes, bytes]:
    return decode_base64(message["key"]), decode_base64(message.get("range_end", ""))


class GatewayResource(Resource):
    """Serves an in-memory store with the JSON API of etcd's gateway."""

    def __init__(
        self,
        store: InMemoryStore,
        progress_interval: timedelta = PROGRESS_INTERVAL,
    ) -> None:
        base: Any = super()
        base.__init__()
        self.isLeaf = True
        self.store = store
        self.progress_interval = progress_interval
        self.gathered_reads: list[tuple[Any, dict[str, Any]]] = []
        self.handlers = {
            "range": self._range,
            "txn": self._txn,
            "lease_grant": self._lease_grant,
            "lease_keepalive": self._lease_keepalive,
            "lease_revoke": self._lease_revoke,
        }

    def render_GET(self, request: Any) -> bytes:  # noqa: N802 - Twisted's name
        """Answer with the calls by kind and the gauges."""
        if request.path != b"/standin/counts":
            return _make_error(request, HTTPStatus.NOT_FOUND, 5, "no such path")
        counts = dict(self.store.call_counts)
        gauges = {"waiting_watches": self.store.waiting_watches}
        return json.dumps({"calls": counts, "gauges": gauges}).encode()

    def render_PUT(self, request: Any) -> bytes:  # noqa: N802 - Twisted's name
        """Set fault switches."""
        if request.path != b"/standin/switches":
            return _make_error(request, HTTPStatus.NOT_FOUND, 5, "no such path")
        try:
            apply_switches(self.store, json.load(request.content))
        except (ValueError, TypeError, AttributeError) as error:
            return _make_error(request, HTTPStatus.BAD_REQUEST, 3, str(error))
        return b"{}"

    def render_POST(self, request: Any) -> Any:  # noqa: N802 - Twisted's name
        """Serve one gateway call."""
        kind = CALL_KINDS.get(request.path.decode("utf-8", "replace"))
        if kind is None:
            return _make_error(request, HTTPStatus.NOT_FOUND, 5, "no such call")
        self.store.call_counts[kind] += 1
        if self.store.outage == OUTAGE_STATUS:
            return _make_error(request, HTTPStatus.SERVICE_UNAVAILABLE, 14, "outage")
        if self.store.outage:
            request.transport.abortConnection()
            return NOT_DONE_YET
        request.notifyFinish().addErrback(lambda _: None)
        body = request.content.read()
        if self.store.delay_ms:
            delay = self.store.delay_ms / 1000
            self.store.clock.callLater(delay, self._serve, request, kind, body)
        else:
            self._serve(request, kind, body)
        return NOT_DONE_YET

    def _serve(self, request: Any, kind: str, body: bytes) -> None:
        try:
            message = json.loads(body)
            if kind == "watch":
                self._watch(request, message["create_request"])
                return
            if kind == "range" and self._is_gathered(message):
                self._gather(request, message)
                return
            response = json.dumps(self.handlers[kind](message)).encode()
        except LeaseNotFoundError:
            response = _make_error(request, HTTPStatus.NOT_FOUND, 5, "lease not found")
        except (KeyError, IndexError, TypeError, ValueError) as error:
            response = _make_error(request, HTTPStatus.BAD_REQUEST, 3, repr(error))
        is_lost = self.store.consume_lost_answer(kind)
        if request._disconnected:
            return
        if is_lost:
            request.transport.abortConnection()
            return
        request.write(response)
        request.finish()

    def _is_gathered(self, message: dict[str, Any]) -> bool:
        key, range_end = _decode_range(message)
        gather_key = self.store.gather_key
        return bool(gather_key) and not range_end and key.decode() == gather_key

    def _gather(self, request: Any, message: dict[str, Any]) -> None:
        """Hold a read; answer all of them once there are enough."""
        self.gathered_reads.append((request, message))
        if len(self.gathered_reads) < self.store.gather_count:
            return
        reads, self.gathered_reads = self.gathered_reads, []
        self.store.gather_key = ""
        for held_request, held_message in reads:
            if not held_request._disconnected:
                held_request.write(json.dumps(self._range(held_message)).encode())
                held_request.finish()

    def _header(self) -> dict[str, str]:
        return {"revision": str(self.store.revision)}

    def _range(self, message: dict[str, Any]) -> dict[str, Any]:
        key_range = _decode_range(message)
        if key_range[1]:
            items = self.store.range(key_range)
        else:
            item = self.store.get(key_range[0].decode())
            items = (item,) if item else ()
        kvs = [_encode_item(item) for item in items]
        return {"header": self._header(), "kvs": kvs, "count": str(len(kvs))}

    def _txn(self, message: dict[str, Any]) -> dict[str, Any]:
        (compare,) = message["compare"]
        (success,) = message["success"]
        put = success.get("request_put", {})
        value = decode_base64(put.get("value", "")) if put else None
        reply = self.store.swap(
            decode_base64(compare["key"]).decode(),
            value,
            int(compare["mod_revision"]),
            int(put.get("lease", 0)),
        )
        if reply.swapped:
            return {"header": self._header(), "succeeded": True, "responses": [{}]}
        kvs = [_encode_item(reply.current)] if reply.current else []
        response = {"response_range": {"header": self._header(), "kvs": kvs}}
        return {"header": self._header(), "responses": [response]}

    def _lease_grant(self, message: dict[str, Any]) -> dict[str, Any]:
        ttl = int(message["TTL"])
        lease_id = self.store.grant_lease(timedelta(seconds=ttl))
        return {"header": self._header(), "ID": str(lease_id), "TTL": str(ttl)}

    def _lease_keepalive(self, message: dict[str, Any]) -> dict[str, Any]:
        result = {"header": self._header(), "ID": message["ID"]}
        remaining = self.store.keep_alive(int(message["ID"]))
        if remaining is not None:
            result["TTL"] = str(int(remaining.total_seconds()))
        return {"result": result}

    def _lease_revoke(self, message: dict[str, Any]) -> dict[str, Any]:
        if not self.store.end_lease(int(message["ID"])):
            raise LeaseNotFoundError(message["ID"])
        return {"header": self._header()}

    def _watch(self, request: Any, create: dict[str, Any]) -> None:
        if not request._disconnected:
            key_range = _decode_range(create)
            start = int(create.get("start_revision", 0))
            _WatchResponse(self.store, request, self.progress_interval).open(
                key_range, start
            )


class _WatchResponse:
    """The response to one watch call, which stays open to stream events."""

    def __init__(
        self, store: InMemoryStore, request: Any, progress_interval: timedelta
    ) -> None:
        self.store = store
        self.request = request
        self.progress_interval = progress_interval
        self.watch: InMemoryWatch | None = None
        self.timer: DelayedCall | None = None

    def open(self, key_range: tuple[bytes, bytes], start_revision: int) -> None:
        """Write that the watch is created, then stream its events."""
        self.request.notifyFinish().addBoth(self._finished)
        self._write({"created": True})
        self._schedule_progress()
        self.watch = self.store.open_watch(
            key_range, start_revision, self._deliver, self._close
        )

    def _write(self, result: dict[str, Any]) -> None:
        header = {"revision": str(self.store.revision)}
        line = json.dumps({"result": {"header": header} | result})
        self.request.write(line.encode() + b"\n")

    def _deliver(self, events: tuple[WatchEvent, ...]) -> None:
        self._write({"events": [_encode_event(event) for event in events]})

    def _close(self, reason: str, compact_revision: int) -> None:
        if not compact_revision:
            self.request.transport.abortConnection()
            return
        compacted = {"canceled": True, "compact_revision": str(compact_revision)}
        self._write(compacted | {"cancel_reason": reason})
        self.request.finish()

    def _schedule_progress(self) -> None:
        delay = self.progress_interval.total_seconds()
        self.timer = self.store.clock.callLater(delay, self._send_progress)

    def _send_progress(self) -> None:
        if not self.store.freeze_watches:
            self._write({})
        self._schedule_progress()

    def _finished(self, _: object) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.watch is not None:
            self.watch.stop()


def _make_error(request: Any, status: HTTPStatus, code: int, text: str) -> bytes:
    request.setResponseCode(status)
    return json.dumps({"error": text, "code": code, "message": text}).encode()


def make_site(store: InMemoryStore) -> Site:
    """Return the HTTP site that serves a store."""
    # Twisted has no type hints for this class.
    site_class: Any = Site
    site: Site = site_class(GatewayResource(store))
    return site


def main() -> None:
    """Serve a new store until the process is stopped."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--host", default="127.0.0.1")
    options = parser.parse_args()
    typed_reactor: Any = reactor
    site = make_site(InMemoryStore(typed_reactor))
    typed_reactor.listenTCP(options.port, site, interface=options.host)
    typed_reactor.run()


if __name__ == "__main__":
    main()


__all__ = ["GatewayResource", "make_site"]
