"""Requests to a store over HTTP/1.1, with JSON bodies.

The daemon's own connections serve here too: Twisted's HTTP client would add
1.3 MB of resident memory.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError

from briarslip.connection.backend_pool import MAX_IDLE_SECONDS
from briarslip.connection.backend_pool import BackendPool
from briarslip.process.store.client import StoreError
from briarslip.request.call import Call
from briarslip.request.outcome import Outcome


if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from briarslip.address import Address
    from briarslip.request.call import Load
    from briarslip.request.call import ResponseHead
    from briarslip.request.call import ResponseSink
    from briarslip.request.outcome import Failure


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """The status and the body of one HTTP answer."""

    status: int
    body: bytes


class HttpResponseSink:
    """Gathers one answer; to cancel ``response`` closes the connection."""

    def __init__(self) -> None:
        self.status = 0
        self.received = bytearray()
        self.cancel_request: Callable[[], None] | None = None
        self.response: Deferred[Result[HttpResponse, Failure]] = Deferred(self._cancel)

    def _cancel(self, _: object) -> None:
        if self.cancel_request is not None:
            self.cancel_request()

    def head(self, head: ResponseHead) -> None:
        """Keep the status."""
        self.status = head.status

    def body(self, data: bytes, last: bool) -> None:
        """Keep what came."""
        self.received += data
        if last:
            self.response.callback(Ok(HttpResponse(self.status, bytes(self.received))))

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Tell that the answer is broken off or never came."""
        self.response.callback(Err(failure))


class StoreHttpClient:
    """The connections to one store; ``connect_timeout`` is in seconds."""

    def __init__(self, reactor: Any, address: Address, connect_timeout: float) -> None:
        self.reactor = reactor
        lines = f"Host: {address}\r\nContent-Type: application/json\r\n"
        self.headers = lines.encode("latin-1")
        self.pool = BackendPool(reactor, address, 0, connect_timeout)
        # A watch that opens on a connection long idle could fail with it.
        self.watch_pool = BackendPool(reactor, address, 0, connect_timeout)

    def send(
        self, method: str, target: str, message: dict[str, Any] | None = None
    ) -> Deferred[Result[HttpResponse, Failure]]:
        """Send a request and return its whole answer."""
        sink = HttpResponseSink()
        self.pool.close_idle(self.reactor.seconds() - MAX_IDLE_SECONDS)
        sink.cancel_request = self.pool(self._call(method, target, message), sink)
        return sink.response

    async def request(
        self,
        method: str,
        target: str,
        message: dict[str, Any] | None,
        timeout: timedelta,
        *,
        is_write: bool,
    ) -> Result[HttpResponse, StoreError]:
        """Send a request; return its whole answer, or why there is none in time."""
        response = self.send(method, target, message)
        response.addTimeout(timeout.total_seconds(), self.reactor)
        try:
            result = await response
        except DeferredTimeoutError:
            return Err(StoreError("no answer in time", is_write))
        if isinstance(result, Ok):
            return Ok(result.ok_value)
        failure = result.err_value
        unclear = failure.outcome is not Outcome.NOT_RUN
        return Err(StoreError(failure.reason.value, is_write and unclear))

    def open_stream(
        self,
        method: str,
        target: str,
        message: dict[str, Any] | None,
        sink: ResponseSink,
    ) -> Callable[[], None]:
        """Send a request that is answered late, or without an end.

        Return how to give it up.
        """
        return self.watch_pool(self._call(method, target, message), sink)

    def _call(self, method: str, target: str, message: dict[str, Any] | None) -> Call:
        return Call(
            method=method,
            target=target,
            headers=self.headers,
            body=b"" if message is None else json.dumps(message).encode(),
            service="",
            service_version="",
            route="",
            urgent=False,
            # Each write names the revision that it replaces, so an idle
            # connection may be used again as for a read.
            idempotent=True,
            depth=0,
            deadline=0.0,
        )


__all__ = ["HttpResponse", "StoreHttpClient"]
