"""In-memory stand-in of the platform's key-value service.

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
KINDS = {
    "/v3/kv/range": "range",
    "/v3/kv/txn": "txn",
    "/v3/lease/grant": "lease_grant",
    "/v3/lease/keepalive": "lease_keepalive",
    "/v3/lease/revoke": "lease_revoke",
    "/v3/watch": "watch",
}


def _item_json(item: KeyValue) -> dict[str, Any]:
    return {
        "key": encode_base64(item.key.encode()),
        "value": encode_base64(item.value),
        "mod_revision": str(item.mod_revision),
        "lease": str(item.lease_id),
    }


def _event_json(event: WatchEvent) -> dict[str, Any]:
    item: dict[str, Any] = {
        "key": encode_base64(event.key.encode()),
        "mod_revision": str(event.mod_revision),
    }
    if event.value is None:
        return {"type": "DELETE", "kv": item}
    # Like the gateway, leave out the type of a put: it is the default.
    return {"kv": item | {"value": encode_base64(event.value)}}


def _range_of(message: dict[str, Any]) -> tuple[bytes, bytes]:
    return decode_base64(message["key"]), decode_base64(message.get("range_end", ""))


class GatewayResource(Resource):
    """The HTTP face of a stand-in."""

    def __init__(
        self,
        state: InMemoryStore,
        progress_interval: timedelta = PROGRESS_INTERVAL,
    ) -> None:
        base: Any = super()
        base.__init__()
        self.isLeaf = True
        self.state = state
        self.progress_interval = progress_interval
        self.answers = {
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
        counts = dict(self.state.call_counts)
        gauges = {"waiting_watches": self.state.waiting_watches}
        return json.dumps({"calls": counts, "gauges": gauges}).encode()

    def render_PUT(self, request: Any) -> bytes:  # noqa: N802 - Twisted's name
        """Set switches."""
        if request.path != b"/standin/switches":
            return _refuse(request, HTTPStatus.NOT_FOUND, 5, "no such page")
        try:
            apply_switches(self.state, json.load(request.content))
        except (ValueError, TypeError, AttributeError) as problem:
            return _refuse(request, HTTPStatus.BAD_REQUEST, 3, str(problem))
        return b"{}"

    def render_POST(self, request: Any) -> Any:  # noqa: N802 - Twisted's name
        """Serve one gateway call."""
        kind = KINDS.get(request.path.decode("utf-8", "replace"))
        if kind is None:
            return _refuse(request, HTTPStatus.NOT_FOUND, 5, "no such call")
        self.state.call_counts[kind] += 1
        if self.state.outage == OUTAGE_STATUS:
            return _refuse(request, HTTPStatus.SERVICE_UNAVAILABLE, 14, "outage")
        if self.state.outage:
            request.transport.abortConnection()
            return NOT_DONE_YET
        request.notifyFinish().addErrback(lambda _: None)
        body = request.content.read()
        if self.state.delay_ms:
            delay = self.state.delay_ms / 1000
            self.state.clock.callLater(delay, self._serve, request, kind, body)
        else:
            self._serve(request, kind, body)
        return NOT_DONE_YET

    def _serve(self, request: Any, kind: str, body: bytes) -> None:
        try:
            message = json.loads(body)
            if kind == "watch":
                self._watch(request, message["create_request"])
                return
            answer = json.dumps(self.answers[kind](message)).encode()
        except LeaseNotFoundError:
            answer = _refuse(request, HTTPStatus.NOT_FOUND, 5, "lease not found")
        except (KeyError, IndexError, TypeError, ValueError) as problem:
            answer = _refuse(request, HTTPStatus.BAD_REQUEST, 3, repr(problem))
        lost = self.state.consume_lost_answer(kind)
        if request._disconnected:
            return
        if lost:
            request.transport.abortConnection()
            return
        request.write(answer)
        request.finish()

    def _header(self) -> dict[str, str]:
        return {"revision": str(self.state.revision)}

    def _range(self, message: dict[str, Any]) -> dict[str, Any]:
        key_range = _range_of(message)
        if key_range[1]:
            items = self.state.range(key_range)
        else:
            item = self.state.get(key_range[0].decode())
            items = (item,) if item else ()
        kvs = [_item_json(item) for item in items]
        return {"header": self._header(), "kvs": kvs, "count": str(len(kvs))}

    def _txn(self, message: dict[str, Any]) -> dict[str, Any]:
        (compare,) = message["compare"]
        (success,) = message["success"]
        put = success.get("request_put", {})
        value = decode_base64(put.get("value", "")) if put else None
        reply = self.state.swap(
            decode_base64(compare["key"]).decode(),
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
        lease_id = self.state.grant_lease(timedelta(seconds=ttl))
        return {"header": self._header(), "ID": str(lease_id), "TTL": str(ttl)}

    def _lease_keepalive(self, message: dict[str, Any]) -> dict[str, Any]:
        result = {"header": self._header(), "ID": message["ID"]}
        left = self.state.keep_alive(int(message["ID"]))
        if left is not None:
            result["TTL"] = str(int(left.total_seconds()))
        return {"result": result}

    def _lease_revoke(self, message: dict[str, Any]) -> dict[str, Any]:
        if not self.state.end_lease(int(message["ID"])):
            raise LeaseNotFoundError(message["ID"])
        return {"header": self._header()}

    def _watch(self, request: Any, create: dict[str, Any]) -> None:
        if not request._disconnected:
            key_range = _range_of(create)
            start = int(create.get("start_revision", 0))
            _WatchAnswer(self.state, request, self.progress_interval).open(
                key_range, start
            )


class _WatchAnswer:
    """The long answer to one watch call."""

    def __init__(self, state: InMemoryStore, request: Any, interval: timedelta) -> None:
        self.state = state
        self.request = request
        self.interval = interval
        self.watch: InMemoryWatch | None = None
        self.timer: DelayedCall | None = None

    def open(self, key_range: tuple[bytes, bytes], start_revision: int) -> None:
        """Answer that the watch is made, then deliver its events."""
        self.request.notifyFinish().addBoth(self._finished)
        self._write({"created": True})
        self._schedule()
        self.watch = self.state.open_watch(
            key_range, start_revision, self._deliver, self._close
        )

    def _write(self, result: dict[str, Any]) -> None:
        header = {"revision": str(self.state.revision)}
        line = json.dumps({"result": {"header": header} | result})
        self.request.write(line.encode() + b"\n")

    def _deliver(self, events: tuple[WatchEvent, ...]) -> None:
        self._write({"events": [_event_json(event) for event in events]})

    def _close(self, reason: str, compact_revision: int) -> None:
        if not compact_revision:
            self.request.transport.abortConnection()
            return
        compacted = {"canceled": True, "compact_revision": str(compact_revision)}
        self._write(compacted | {"cancel_reason": reason})
        self.request.finish()

    def _schedule(self) -> None:
        delay = self.interval.total_seconds()
        self.timer = self.state.clock.callLater(delay, self._progress)

    def _progress(self) -> None:
        if not self.state.freeze_watches:
            self._write({})
        self._schedule()

    def _finished(self, _: object) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.watch is not None:
            self.watch.stop()


def _refuse(request: Any, status: HTTPStatus, code: int, text: str) -> bytes:
    request.setResponseCode(status)
    return json.dumps({"error": text, "code": code, "message": text}).encode()


def make_site(state: InMemoryStore) -> Site:
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
    site = make_site(InMemoryStore(running))
    running.listenTCP(options.port, site, interface=options.host)
    running.run()


if __name__ == "__main__":
    main()


__all__ = ["GatewayResource", "make_site"]
