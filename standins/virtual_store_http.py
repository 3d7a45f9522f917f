"""HTTP client of the users' store stand-in in virtual time, without sockets."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qsl

from result import Err
from result import Ok
from result import Result

from briarslip.process.store.client import StoreError
from briarslip.process.store.http import HttpResponse
from briarslip.process.store.http import HttpResponseSink
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from standins.users_store import Reply


if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from briarslip.request.call import ResponseSink
    from standins.users_store import UsersStore


LATENCY_SECONDS = 0.002
# A connection that went silent is found by probes one and two seconds later.
PROBE_SECONDS = 2.0
CONNECTION_LOST = Failure(Outcome.UNKNOWN, Reason.CONNECTION_LOST)


class VirtualStoreHttp:
    """The requests of one daemon to a store.

    ``fault`` is that of the daemon's path: silent (no answer), reset, busy (503) or
    many (429). A response that is due while there is a fault is lost.
    """

    def __init__(self, reactor: Any, clock: Any, store: UsersStore) -> None:
        self.reactor = reactor
        self.clock = clock
        self.store = store
        self.fault = ""
        self.polls: list[_Request] = []

    def break_polls(self, silently: bool = False) -> None:
        """Lose the connections of open polls, with a reset or without one."""
        polls, self.polls = self.polls, []
        for poll in polls:
            poll.is_lost = True
            self.reactor.callLater(PROBE_SECONDS if silently else 0.0, poll.fail)

    async def request(
        self,
        method: str,
        target: str,
        message: dict[str, Any] | None,
        timeout: timedelta,
        *,
        is_write: bool,
    ) -> Result[HttpResponse, StoreError]:
        """Send a request and return its response, or an error after ``timeout``."""
        sink = HttpResponseSink()
        self.open_stream(method, target, message, sink)
        sink.response.addTimeout(timeout.total_seconds(), self.reactor)
        try:
            result = await sink.response
        except Exception:
            return Err(StoreError("no response in time", is_write))
        if isinstance(result, Err):
            return Err(StoreError(result.err_value.reason.value, is_write))
        return Ok(result.ok_value)

    def open_stream(
        self,
        method: str,
        target: str,
        message: dict[str, Any] | None,
        sink: ResponseSink,
    ) -> Callable[[], None]:
        """Send a request; return the function that cancels it."""
        assert isinstance(sink, HttpResponseSink)
        request = _Request(self, method, target, message or {}, sink)
        self.clock.callLater(LATENCY_SECONDS, request.arrive)
        return request.cancel


class _Request:
    """A request on its way, and its response."""

    def __init__(
        self,
        http: VirtualStoreHttp,
        method: str,
        target: str,
        message: dict[str, Any],
        sink: HttpResponseSink,
    ) -> None:
        self.http = http
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(parse_qsl(query))
        self.message = message
        self.sink = sink
        self.is_lost = False

    def arrive(self) -> None:
        """Run the request at the store, or apply the fault."""
        fault = self.http.fault
        if fault == "silent":
            return
        if fault == "reset":
            self.http.reactor.run(self.fail, False)
            return
        if fault in ("busy", "many"):
            self.answer(Reply(503 if fault == "busy" else 429, {}))
            return
        store = self.http.store
        reply = store.call(self.method, self.path, self.query, self.message)
        if reply is not None:
            self.answer(reply)
            return
        self.http.polls.append(self)
        store.waiters.append(self.notify)
        wait_seconds = int(self.query["wait-ms"]) / 1000
        self.http.clock.callLater(wait_seconds, self.end_wait)

    def notify(self) -> None:
        """Answer a poll if there are events now."""
        if self.is_lost or self not in self.http.polls:
            return
        reply = self.http.store.events_after(self.query)
        if reply is None:
            self.http.store.waiters.append(self.notify)
        else:
            self.answer(reply)

    def end_wait(self) -> None:
        """Answer a poll for which there were no events."""
        if self in self.http.polls:
            revision = self.http.store.revision
            self.answer(Reply(200, {"events": [], "current-rev": revision}))

    def answer(self, reply: Reply) -> None:
        """Send the response, which is lost while the path has a fault."""
        if self in self.http.polls:
            self.http.polls.remove(self)
        headers = b"Store-Era: %d\r\n" % self.http.store.era
        body = json.dumps(reply.body).encode()
        self.http.clock.callLater(
            LATENCY_SECONDS,
            self.http.reactor.run,
            lambda: self.receive(HttpResponse(reply.status, body, headers)),
            False,
        )

    def receive(self, response: HttpResponse) -> None:
        """Deliver the response to the daemon."""
        lost = self.is_lost or self.http.fault in ("silent", "reset")
        if not lost and not self.sink.response.called:
            self.sink.response.callback(Ok(response))

    def fail(self) -> None:
        """Report the loss of the connection to the daemon."""
        if not self.sink.response.called:
            self.sink.response.callback(Err(CONNECTION_LOST))

    def cancel(self) -> None:
        """Forget the request."""
        self.is_lost = True
        if self in self.http.polls:
            self.http.polls.remove(self)


__all__ = ["VirtualStoreHttp"]
