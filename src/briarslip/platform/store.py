"""Client of the platform's store."""

from __future__ import annotations

import base64
import binascii
import json
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar
from urllib.parse import urlencode

from result import Err
from result import Ok
from result import Result

from briarslip.platform.store_copy import copy_number
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.store.client import KeyValue
from briarslip.process.store.client import RangeReply
from briarslip.process.store.client import StoreError
from briarslip.process.store.client import SwapReply
from briarslip.process.store.client import WatchClosed
from briarslip.process.store.client import WatchEvent
from briarslip.process.store.http import HttpResponseSink
from briarslip.process.store.http import StoreHttpClient
from briarslip.process.store.revision import copy_of
from briarslip.process.store.revision import to_revision
from briarslip.process.store.revision import to_store_revision


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
# With these statuses the store guarantees that it has not applied the request.
NEVER_APPLIED_STATUSES = frozenset((400, 403, 404, 405, 410, 412, 413, 429, 503))
WATCH_WAIT = timedelta(seconds=10)
# Time for the response of a poll that has waited the whole ``WATCH_WAIT``.
WATCH_MARGIN = timedelta(seconds=2)
CONNECT_TIMEOUT_SHARE = 0.5
MALFORMED_ERRORS = (KeyError, TypeError, ValueError, AttributeError, binascii.Error)


class PlatformStore:
    """Implementation of ``StoreClient`` for the platform's store over HTTP.

    ``copy`` is the number of the copy that the store works on, None before its first
    response. ``restore_listeners`` are called when it has risen.
    """

    def __init__(self, reactor: Any, http: StoreHttpClient, timeout: timedelta) -> None:
        self.reactor = reactor
        self.http = http
        self.timeout = timeout
        self.copy: int | None = None
        self.watches: set[LongPoll] = set()
        self.restore_listeners: list[Callable[[], None]] = []

    @classmethod
    def from_address(
        cls, reactor: Any, address: Address, timeout: timedelta
    ) -> PlatformStore:
        """Return a client of the store at an address."""
        connect_timeout_seconds = timeout.total_seconds() * CONNECT_TIMEOUT_SHARE
        return cls(
            reactor, StoreHttpClient(reactor, address, connect_timeout_seconds), timeout
        )

    async def get(self, key: str) -> Result[KeyValue | None, StoreError]:
        """Read one key."""
        response = await self._send("GET", "/-/kv-key", {"key": key})
        if isinstance(response, Err):
            return response
        if response.ok_value.status == NOT_FOUND:
            return Ok(None)
        parse_item = partial(_parse_item, copy_number(response.ok_value))
        return _parse_response(response.ok_value, parse_item, is_write=False)

    async def range(self, prefix: str) -> Result[RangeReply, StoreError]:
        """Read all keys under a prefix, in key order, page by page."""
        items: list[KeyValue] = []
        revision = 0
        after_key = ""
        while True:
            query = {"prefix": prefix, **({"after": after_key} if after_key else {})}
            response = await self._send("GET", "/-/kv-range", query)
            if isinstance(response, Err):
                return response
            parse_page = partial(_parse_page, copy_number(response.ok_value))
            page = _parse_response(response.ok_value, parse_page, is_write=False)
            if isinstance(page, Err):
                return page
            page_items, has_more, page_revision = page.ok_value
            if revision and copy_of(revision) != copy_of(page_revision):
                return Err(StoreError("the store was restored between two pages"))
            # Pages are read at different revisions: a watch from the first page's
            # revision delivers the changes made while the others were read.
            revision = revision or page_revision
            items.extend(page_items)
            if not has_more or not page_items:
                return Ok(RangeReply(tuple(items), revision))
            after_key = page_items[-1].key

    async def swap(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease_id: int = 0,
    ) -> Result[SwapReply, StoreError]:
        """Write ``value`` if the key's revision is ``expected_revision``."""
        if expected_revision and copy_of(expected_revision) != self.copy:
            return Err(StoreError(f"{key} was read before the store was restored"))
        store_revision = to_store_revision(expected_revision)
        transaction: dict[str, Any] = {
            "precondition": [{"key": key, "revision": store_revision}],
            "puts": [],
            "remove": [key] if value is None else [],
        }
        if value is not None:
            text = base64.b64encode(value).decode("ascii")
            transaction["puts"] = [{"key": key, "value": text, "lease": lease_id}]
        response = await self._send("POST", "/-/kv-txn", body=transaction)
        if isinstance(response, Err):
            return response
        copy = copy_number(response.ok_value)
        if expected_revision and copy_of(expected_revision) != copy:
            # The condition may have held for another value with that revision.
            return Err(
                StoreError(f"the store was restored while {key} was written", True)
            )
        if response.ok_value.status == CONDITION_FAILED:
            return _parse_response(
                response.ok_value,
                lambda document: _parse_failed_swap(copy, document, key),
                is_write=False,
                expected=CONDITION_FAILED,
            )
        return _parse_response(
            response.ok_value,
            lambda document: SwapReply(
                True, to_revision(copy, int(document["revision"]))
            ),
            is_write=True,
        )

    async def grant_lease(self, ttl: timedelta) -> Result[int, StoreError]:
        """Grant a lease and return its id."""
        milliseconds = round(ttl.total_seconds() * 1000)
        response = await self._send(
            "POST", "/-/kv-lease", body={"ttl-ms": milliseconds}
        )
        if isinstance(response, Err):
            return response
        return _parse_response(
            response.ok_value, lambda document: int(document["lease"]), is_write=True
        )

    async def keep_alive(self, lease_id: int) -> Result[timedelta | None, StoreError]:
        """Renew a lease; return its remaining time, None if it has expired."""
        response = await self._send("POST", f"/-/kv-keep/{lease_id}", body={})
        if isinstance(response, Err):
            return response
        if response.ok_value.status == NOT_FOUND:
            return Ok(None)
        return _parse_response(
            response.ok_value,
            lambda document: timedelta(milliseconds=int(document["ttl-ms"])),
            is_write=True,
        )

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Revoke a lease; an expired one counts as revoked."""
        response = await self._send("DELETE", f"/-/kv-lease-end/{lease_id}", body={})
        if isinstance(response, Err):
            return response
        if response.ok_value.status in (OK, NOT_FOUND):
            return Ok(None)
        return Err(_status_error(response.ok_value, is_write=True))

    def watch(
        self,
        prefix: str,
        start_revision: int,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[WatchClosed], None],
    ) -> Watch:
        """Watch a prefix from ``start_revision`` on (inclusive)."""
        watch = LongPoll(self, prefix, start_revision - 1, on_events, on_closed)
        self.watches.add(watch)
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
        is_write = body is not None
        response = await self.http.request(
            method, target, body, self.timeout, is_write=is_write
        )
        if isinstance(response, Ok) and not self.record_copy(response.ok_value):
            return Err(StoreError("the response is from before a restore", is_write))
        return response

    def record_copy(self, response: HttpResponse) -> bool:
        """Record the copy that a response is from; return False if it is outdated.

        When the store has been restored, every watch from before ends as after a
        compaction, since its revisions mean other changes now.
        """
        copy, previous = copy_number(response), self.copy
        if previous is not None and copy < previous:
            return False
        self.copy = copy
        if previous is not None and copy > previous:
            emit(Event.STORE_RESTORED, copy=copy, previous=previous)
            for watch in tuple(self.watches):
                watch.end_if_outdated(copy)
            for listener in self.restore_listeners:
                listener()
        return True


class LongPoll:
    """A watch made of consecutive long polls.

    ``after_revision`` is the revision after which the next poll asks for changes.
    """

    def __init__(
        self,
        store: PlatformStore,
        prefix: str,
        after_revision: int,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[WatchClosed], None],
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.after_revision = after_revision
        self.on_events = on_events
        self.on_closed = on_closed
        self.ended = False
        self.pending_response: Deferred[Any] | None = None

    def poll(self) -> None:
        """Send the next poll."""
        query = {
            "prefix": self.prefix,
            "after": str(to_store_revision(self.after_revision)),
            "wait-ms": str(int(WATCH_WAIT.total_seconds() * 1000)),
        }
        sink = HttpResponseSink()
        target = f"/-/kv-watch?{urlencode(query)}"
        sink.cancel_request = self.store.http.open_stream("GET", target, None, sink)
        self.pending_response = sink.response
        limit_seconds = (WATCH_WAIT + WATCH_MARGIN).total_seconds()
        sink.response.addTimeout(limit_seconds, self.store.reactor)
        sink.response.addCallbacks(self._response_received, self._timed_out)

    def end_if_outdated(self, copy: int) -> None:
        """End the watch as after a compaction if it began in another copy."""
        if copy_of(self.after_revision) == copy:
            return
        pending_response = self.pending_response
        self._end("the store was restored", compacted=True)
        if pending_response is not None:
            pending_response.cancel()

    def stop(self) -> None:
        """Stop the watch; no callback runs afterwards."""
        self.ended = True
        self.store.watches.discard(self)
        pending_response, self.pending_response = self.pending_response, None
        if pending_response is not None:
            pending_response.cancel()

    def _timed_out(self, _: Any) -> None:
        self._end("no response in time")

    def _response_received(self, result: Result[HttpResponse, Any]) -> None:
        self.pending_response = None
        if self.ended:
            return
        if isinstance(result, Err):
            self._end(result.err_value.reason.value)
            return
        response = result.ok_value
        if not self.store.record_copy(response):
            self._end("the response is from before a restore")
            return
        self.end_if_outdated(copy_number(response))
        if self.ended:
            return
        if response.status == GONE:
            self._end(
                "the history after the watched revision has been compacted",
                compacted=True,
            )
            return
        parse_changes = partial(_parse_changes, copy_number(response))
        parsed = _parse_response(response, parse_changes, is_write=False)
        if isinstance(parsed, Err):
            self._end(parsed.err_value.reason)
            return
        events, current_revision = parsed.ok_value
        if events:
            # A response without events may skip changes whose history was
            # compacted, so only a response with events advances the watch.
            self.after_revision = max(self.after_revision, current_revision)
            self.on_events(events)
        if not self.ended:
            self.poll()

    def _end(self, reason: str, *, compacted: bool = False) -> None:
        if self.ended:
            return
        self.ended = True
        self.store.watches.discard(self)
        self.pending_response = None
        self.on_closed(WatchClosed(reason, compacted))


def _parse_response(
    response: HttpResponse,
    convert: Callable[[dict[str, Any]], T],
    *,
    is_write: bool,
    expected: int = OK,
) -> Result[T, StoreError]:
    if response.status != expected:
        return Err(_status_error(response, is_write=is_write))
    try:
        return Ok(convert(json.loads(response.body)))
    except MALFORMED_ERRORS as error:
        reason = f"malformed response: {type(error).__name__}: {error}"
        return Err(StoreError(reason, is_write))


def _status_error(response: HttpResponse, *, is_write: bool) -> StoreError:
    maybe_applied = response.status not in NEVER_APPLIED_STATUSES
    return StoreError(f"HTTP status {response.status}", is_write and maybe_applied)


def _parse_item(copy: int, document: dict[str, Any]) -> KeyValue:
    return KeyValue(
        key=str(document["key"]),
        value=base64.b64decode(document["value"], validate=True),
        mod_revision=to_revision(copy, int(document["revision"])),
        lease_id=int(document.get("lease", 0)),
    )


def _parse_page(
    copy: int, document: dict[str, Any]
) -> tuple[list[KeyValue], bool, int]:
    items = [_parse_item(copy, item) for item in document["items"]]
    revision = to_revision(copy, int(document["current-rev"]))
    return items, bool(document["has-more"]), revision


def _parse_failed_swap(copy: int, document: dict[str, Any], key: str) -> SwapReply:
    items = [
        _parse_item(copy, item)
        for item in document["items"]
        if item.get("revision") and "value" in item
    ]
    current = next((item for item in items if item.key == key), None)
    return SwapReply(False, current.mod_revision if current else 0, current)


def _parse_changes(
    copy: int, document: dict[str, Any]
) -> tuple[tuple[WatchEvent, ...], int]:
    events = tuple(_parse_event(copy, event) for event in document["events"])
    return events, to_revision(copy, int(document["current-rev"]))


def _parse_event(copy: int, event: dict[str, Any]) -> WatchEvent:
    if event.get("removed"):
        revision = to_revision(copy, int(event["revision"]))
        return WatchEvent(str(event["key"]), None, revision)
    item = _parse_item(copy, event)
    return WatchEvent(item.key, item.value, item.mod_revision)


__all__ = ["PlatformStore"]
