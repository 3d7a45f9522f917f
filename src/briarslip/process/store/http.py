"""Requests to a store over HTTP/1.1, with JSON bodies.

They use the daemon's own connection pool, since Twisted's HTTP client would add
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

from briarslip.connection.backend_pool import BackendPool
from briarslip.process.store.client import StoreError
from briarslip.request.body import EMPTY_BODY
from briarslip.request.body import Body
from briarslip.request.call import Call
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from briarslip.address import Address
    from briarslip.request.call import Load
    from briarslip.request.call import ResponseHead
    from briarslip.request.call import ResponseSink


# Probes on a connection that waits for changes: one that went silent would hide
# them until the poll ends.
KEEPALIVE_SECONDS = 1
# A connection that rested for longer is not used again, since it may have gone silent.
MAX_IDLE_SECONDS = 1.0
# Many times a page of the largest values, and a part of a daemon's memory.
MAX_RESPONSE_BYTES = 32 << 20


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """The status, the body and the header lines of an HTTP response."""

    status: int
    body: bytes
    headers: bytes = b""


class HttpResponseSink:
    """Collects one response in ``response``, whose cancellation cancels the request."""

    def __init__(self) -> None:
        self.status = 0
        self.headers = b""
        self.received = bytearray()
        self.cancel_request: Callable[[], None] | None = None
        self.response: Deferred[Result[HttpResponse, Failure]] = Deferred(self._cancel)

    def _cancel(self, _: object) -> None:
        if self.cancel_request is not None:
            self.cancel_request()

    def head(self, head: ResponseHead) -> None:
        """Record the status and the headers."""
        self.status = head.status
        self.headers = head.headers

    def body(self, data: bytes, last: bool) -> None:
        """Append a part of the body, and fire ``response`` after the last one."""
        if len(self.received) + len(data) > MAX_RESPONSE_BYTES:
            self._reject()
            return
        self.received += data
        if last:
            response = HttpResponse(self.status, bytes(self.received), self.headers)
            self.response.callback(Ok(response))

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Fire ``response`` with the failure that ended the request or response."""
        self.response.callback(Err(failure))

    def _reject(self) -> None:
        """Cancel the request, since its response is too long to be one."""
        self.received.clear()
        if self.cancel_request is not None:
            self.cancel_request()
        failure = Failure(Outcome.UNKNOWN, Reason.BODY_TOO_LARGE)
        self.response.callback(Err(failure))


class StoreHttpClient:
    """An HTTP client with pooled connections to one store."""

    def __init__(
        self, reactor: Any, address: Address, connect_timeout_seconds: float
    ) -> None:
        self.reactor = reactor
        header_lines = f"Host: {address}\r\nContent-Type: application/json\r\n"
        self.headers = header_lines.encode("latin-1")
        self.pool = self._make_pool(address, connect_timeout_seconds)
        # A separate pool, since a connection that was idle for long could be broken
        # and fail the watch.
        self.watch_pool = self._make_pool(address, connect_timeout_seconds)

    def _make_pool(
        self, address: Address, connect_timeout_seconds: float
    ) -> BackendPool:
        return BackendPool(
            self.reactor,
            address,
            0,
            connect_timeout_seconds,
            keepalive_seconds=KEEPALIVE_SECONDS,
        )

    def send(
        self, method: str, target: str, message: dict[str, Any] | None = None
    ) -> Deferred[Result[HttpResponse, Failure]]:
        """Send a request and return its complete response."""
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
        """Send a request; return its complete response, or an error after ``timeout``.

        If ``is_write``, the error says whether the request may have taken effect.
        """
        response = self.send(method, target, message)
        response.addTimeout(timeout.total_seconds(), self.reactor)
        try:
            result = await response
        except DeferredTimeoutError:
            return Err(StoreError(f"no response within {timeout}", is_write))
        if isinstance(result, Ok):
            return Ok(result.ok_value)
        failure = result.err_value
        maybe_applied = failure.outcome is not Outcome.NOT_RUN
        return Err(StoreError(failure.reason.value, is_write and maybe_applied))

    def open_stream(
        self,
        method: str,
        target: str,
        message: dict[str, Any] | None,
        sink: ResponseSink,
    ) -> Callable[[], None]:
        """Send a request whose response comes late or is a stream without an end.

        Return the function that cancels the request.
        """
        return self.watch_pool(self._call(method, target, message), sink)

    def _call(self, method: str, target: str, message: dict[str, Any] | None) -> Call:
        return Call(
            method=method,
            target=target,
            headers=self.headers,
            body=EMPTY_BODY
            if message is None
            else Body.from_bytes(json.dumps(message).encode()),
            service="",
            service_version="",
            route="",
            urgent=False,
            # Each write states the revision that it replaces, so it may be sent on
            # an idle connection just as a read.
            idempotent=True,
            depth=0,
            deadline=0.0,
        )


__all__ = ["HttpResponse", "StoreHttpClient"]
