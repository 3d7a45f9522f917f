"""Client of the platform's store."""

from __future__ import annotations

import base64
import binascii
import json
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar
from urllib.parse import urlencode

from result import Err
from result import Ok
from result import Result

from briarslip.process.store.client import KeyValue
from briarslip.process.store.client import RangeReply
from briarslip.process.store.client import StoreError
from briarslip.process.store.client import SwapReply
from briarslip.process.store.client import WatchClosed
from briarslip.process.store.client import WatchEvent
from briarslip.process.store.http import HttpResponseSink
from briarslip.process.store.http import StoreHttpClient


if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred

    from briarslip.address import Address
    from briarslip.process.store.client import Watch
    from briarslip.process.store.http import HttpResponse


T = TypeVar("T")

OK = 200
NOT_FOUND = 404
GONE = 410
CONDITION_FAILED = 412
# Of these the platform says that nothing was done.
NOT_APPLIED = frozenset((400, 403, 404, 405, 410, 412, 413, 429, 503))
WATCH_WAIT = timedelta(seconds=10)
# For the answer of a watch that has waited its whole time.
WATCH_MARGIN = timedelta(seconds=2)
CONNECT_TIMEOUT_SHARE = 0.5
MALFORMED_ERRORS = (KeyError, TypeError, ValueError, AttributeError, binascii.Error)


class PlatformStore:
    """A store client that speaks to the platform's store."""

    def __init__(self, reactor: Any, http: StoreHttpClient, timeout: timedelta) -> None:
        self.reactor = reactor
        self.http = http
        self.timeout = timeout

    @classmethod
    def from_address(
        cls, reactor: Any, address: Address, timeout: timedelta
    ) -> PlatformStore:
        """Make a client of the store at an address."""
        connect = timeout.total_seconds() * CONNECT_TIMEOUT_SHARE
        return cls(reactor, StoreHttpClient(reactor, address, connect), timeout)

    async def get(self, key: str) -> Result[KeyValue | None, StoreError]:
        """Read one key."""
        answer = await self._send("GET", "/-/kv-key", {"key": key})
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == NOT_FOUND:
            return Ok(None)
        return _parse_response(answer.ok_value, _parse_item, is_write=False)

    async def range(self, prefix: str) -> Result[RangeReply, StoreError]:
        """Read every key under a prefix, in key order, page by page."""
        items: list[KeyValue] = []
        revision = 0
        after = ""
        while True:
            query = {"prefix": prefix, **({"after": after} if after else {})}
            answer = await self._send("GET", "/-/kv-range", query)
            if isinstance(answer, Err):
                return answer
            page = _parse_response(answer.ok_value, _parse_page, is_write=False)
            if isinstance(page, Err):
                return page
            found, more, current = page.ok_value
            # Pages are no snapshot: what changes meanwhile comes by the watch.
            revision = revision or current
            items.extend(found)
            if not more or not found:
                return Ok(RangeReply(tuple(items), revision))
            after = found[-1].key

    async def swap(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease_id: int = 0,
    ) -> Result[SwapReply, StoreError]:
        """Write ``value`` if the key's revision is ``expected_revision``."""
        message: dict[str, Any] = {
            "precondition": [{"key": key, "revision": expected_revision}],
            "puts": [],
            "remove": [key] if value is None else [],
        }
        if value is not None:
            text = base64.b64encode(value).decode("ascii")
            message["puts"] = [{"key": key, "value": text, "lease": lease_id}]
        answer = await self._send("POST", "/-/kv-txn", body=message)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == CONDITION_FAILED:
            return _parse_response(
                answer.ok_value,
                lambda reply: _parse_failed_swap(reply, key),
                is_write=False,
                expected=CONDITION_FAILED,
            )
        return _parse_response(
            answer.ok_value,
            lambda reply: SwapReply(True, int(reply["revision"])),
            is_write=True,
        )

    async def grant_lease(self, ttl: timedelta) -> Result[int, StoreError]:
        """Grant a lease and return its id."""
        milliseconds = round(ttl.total_seconds() * 1000)
        answer = await self._send("POST", "/-/kv-lease", body={"ttl-ms": milliseconds})
        if isinstance(answer, Err):
            return answer
        return _parse_response(
            answer.ok_value, lambda r: int(r["lease"]), is_write=True
        )

    async def keep_alive(self, lease_id: int) -> Result[timedelta | None, StoreError]:
        """Renew a lease; return what is left of it, None if it has lapsed."""
        answer = await self._send("POST", f"/-/kv-keep/{lease_id}", body={})
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == NOT_FOUND:
            return Ok(None)
        return _parse_response(
            answer.ok_value,
            lambda reply: timedelta(milliseconds=int(reply["ttl-ms"])),
            is_write=True,
        )

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Revoke a lease; one that has lapsed already counts as revoked."""
        answer = await self._send("DELETE", f"/-/kv-lease-end/{lease_id}", body={})
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status in (OK, NOT_FOUND):
            return Ok(None)
        return Err(_status_error(answer.ok_value, is_write=True))

    def watch(
        self,
        prefix: str,
        start_revision: int,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[WatchClosed], None],
    ) -> Watch:
        """Watch a prefix from ``start_revision`` on (inclusive)."""
        watch = LongPoll(self, prefix, start_revision - 1, on_events, on_closed)
        watch.poll()
        return watch

    async def _send(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: dict[str, Any] | None = None,
    ) -> Result[HttpResponse, StoreError]:
        target = f"{path}?{urlencode(query)}" if query else path
        return await self.http.request(
            method, target, body, self.timeout, is_write=body is not None
        )


class LongPoll:
    """A watch: one waiting call after the other."""

    def __init__(
        self,
        store: PlatformStore,
        prefix: str,
        after: int,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[WatchClosed], None],
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.after = after
        self.on_events = on_events
        self.on_closed = on_closed
        self.is_stopped = False
        self.pending_response: Deferred[Any] | None = None

    def poll(self) -> None:
        """Send the next call."""
        query = {
            "prefix": self.prefix,
            "after": str(self.after),
            "wait-ms": str(int(WATCH_WAIT.total_seconds() * 1000)),
        }
        sink = HttpResponseSink()
        target = f"/-/kv-watch?{urlencode(query)}"
        sink.cancel_request = self.store.http.open_stream("GET", target, None, sink)
        self.pending_response = sink.response
        limit = (WATCH_WAIT + WATCH_MARGIN).total_seconds()
        sink.response.addTimeout(limit, self.store.reactor)
        sink.response.addCallbacks(self._response_received, self._timed_out)

    def stop(self) -> None:
        """Stop the watch; no callback runs afterwards."""
        self.is_stopped = True
        waiting, self.pending_response = self.pending_response, None
        if waiting is not None:
            waiting.cancel()

    def _timed_out(self, _: Any) -> None:
        self._close("no answer in time")

    def _response_received(self, result: Result[HttpResponse, Any]) -> None:
        self.pending_response = None
        if self.is_stopped:
            return
        if isinstance(result, Err):
            self._close(result.err_value.reason.value)
            return
        answer = result.ok_value
        if answer.status == GONE:
            self._close("the history is no longer kept", compacted=True)
            return
        read = _parse_response(answer, _parse_changes, is_write=False)
        if isinstance(read, Err):
            self._close(read.err_value.reason)
            return
        events, current = read.ok_value
        if events:
            # An answer without events may leave out what a dropped history
            # held, so only one with events tells how far the watch has come.
            self.after = max(self.after, current)
            self.on_events(events)
        if not self.is_stopped:
            self.poll()

    def _close(self, reason: str, *, compacted: bool = False) -> None:
        if self.is_stopped:
            return
        self.is_stopped = True
        self.pending_response = None
        self.on_closed(WatchClosed(reason, compacted))


def _parse_response(
    answer: HttpResponse,
    read: Callable[[dict[str, Any]], T],
    *,
    is_write: bool,
    expected: int = OK,
) -> Result[T, StoreError]:
    if answer.status != expected:
        return Err(_status_error(answer, is_write=is_write))
    try:
        return Ok(read(json.loads(answer.body)))
    except MALFORMED_ERRORS as error:
        reason = f"malformed answer: {type(error).__name__}: {error}"
        return Err(StoreError(reason, is_write))


def _status_error(answer: HttpResponse, *, is_write: bool) -> StoreError:
    is_unclear = answer.status not in NOT_APPLIED
    return StoreError(f"HTTP status {answer.status}", is_write and is_unclear)


def _parse_item(reply: dict[str, Any]) -> KeyValue:
    return KeyValue(
        key=str(reply["key"]),
        value=base64.b64decode(reply["value"], validate=True),
        mod_revision=int(reply["revision"]),
        lease_id=int(reply.get("lease", 0)),
    )


def _parse_page(reply: dict[str, Any]) -> tuple[list[KeyValue], bool, int]:
    items = [_parse_item(item) for item in reply["items"]]
    return items, bool(reply["has-more"]), int(reply["current-rev"])


def _parse_failed_swap(reply: dict[str, Any], key: str) -> SwapReply:
    current = [
        _parse_item(i) for i in reply["items"] if i.get("revision") and "value" in i
    ]
    found = next((item for item in current if item.key == key), None)
    return SwapReply(False, found.mod_revision if found else 0, found)


def _parse_changes(reply: dict[str, Any]) -> tuple[tuple[WatchEvent, ...], int]:
    events = tuple(_parse_event(event) for event in reply["events"])
    return events, int(reply["current-rev"])


def _parse_event(event: dict[str, Any]) -> WatchEvent:
    if event.get("removed"):
        return WatchEvent(str(event["key"]), None, int(event["revision"]))
    item = _parse_item(event)
    return WatchEvent(item.key, item.value, item.mod_revision)


__all__ = ["PlatformStore"]
