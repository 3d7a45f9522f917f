"""Client of the platform's store."""

from __future__ import annotations

import base64
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import urlencode

from result import Err
from result import Ok
from result import Result

from briarslip.platform.long_poll import RESUMED_WAIT
from briarslip.platform.long_poll import WATCH_WAIT
from briarslip.platform.long_poll import LongPoll
from briarslip.platform.store_copy import copy_number
from briarslip.platform.store_messages import OK
from briarslip.platform.store_messages import parse_failed_swap
from briarslip.platform.store_messages import parse_item
from briarslip.platform.store_messages import parse_page
from briarslip.platform.store_messages import parse_response
from briarslip.platform.store_messages import status_error
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.store.client import RangeReply
from briarslip.process.store.client import StoreError
from briarslip.process.store.client import SwapReply
from briarslip.process.store.http import StoreHttpClient
from briarslip.process.store.revision import copy_of
from briarslip.process.store.revision import to_revision
from briarslip.process.store.revision import to_store_revision


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.address import Address
    from briarslip.process.store.client import KeyValue
    from briarslip.process.store.client import Watch
    from briarslip.process.store.client import WatchClosed
    from briarslip.process.store.client import WatchEvent
    from briarslip.process.store.http import HttpResponse


NOT_FOUND = 404
CONDITION_FAILED = 412
CONNECT_TIMEOUT_SHARE = 0.5


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
        read_item = partial(parse_item, copy_number(response.ok_value))
        return parse_response(response.ok_value, read_item, is_write=False)

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
            read_page = partial(parse_page, copy_number(response.ok_value))
            page = parse_response(response.ok_value, read_page, is_write=False)
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
            return parse_response(
                response.ok_value,
                lambda document: parse_failed_swap(copy, document, key),
                is_write=False,
                expected=CONDITION_FAILED,
            )
        return parse_response(
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
        return parse_response(
            response.ok_value, lambda document: int(document["lease"]), is_write=True
        )

    async def keep_alive(self, lease_id: int) -> Result[timedelta | None, StoreError]:
        """Renew a lease; return its remaining time, None if it has expired."""
        response = await self._send("POST", f"/-/kv-keep/{lease_id}", body={})
        if isinstance(response, Err):
            return response
        if response.ok_value.status == NOT_FOUND:
            return Ok(None)
        return parse_response(
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
        return Err(status_error(response.ok_value, is_write=True))

    def watch(
        self,
        prefix: str,
        start_revision: int,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[WatchClosed], None],
        is_resumed: bool = False,
    ) -> Watch:
        """Watch a prefix from ``start_revision`` on (inclusive)."""
        watch = LongPoll(
            self.reactor,
            self.http,
            prefix,
            start_revision - 1,
            on_events,
            on_closed,
            self.record_copy,
            self.watches.discard,
            RESUMED_WAIT if is_resumed else WATCH_WAIT,
        )
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


__all__ = ["PlatformStore"]
