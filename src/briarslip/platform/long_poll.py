"""Watches of the platform's store, made of long polls."""

from __future__ import annotations

from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import urlencode

from result import Err

from briarslip.platform.store_copy import copy_number
from briarslip.platform.store_messages import parse_changes
from briarslip.platform.store_messages import parse_response
from briarslip.process.error_log import run_each
from briarslip.process.store.client import WatchClosed
from briarslip.process.store.http import HttpResponseSink
from briarslip.process.store.revision import copy_of
from briarslip.process.store.revision import to_store_revision


if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result
    from twisted.internet.defer import Deferred

    from briarslip.process.store.client import WatchEvent
    from briarslip.process.store.http import HttpResponse
    from briarslip.process.store.http import StoreHttpClient


GONE = 410
# A connection that went silent, a poll that the store has forgotten, or a restore shows
# only when a poll ends. A change must be in force within 3 s of either.
WATCH_WAIT = timedelta(seconds=1)
# For the first poll after a watch broke off, so that it is answered at once: a store
# that was restored meanwhile may have passed the watched revision again, and then only
# a response tells that it was restored.
RESUMED_WAIT = timedelta(milliseconds=1)
# Until a response begins, also of a store that answers late.
RESPONSE_START_TIMEOUT = WATCH_WAIT + timedelta(seconds=1.25)
# For a whole response, which has the configuration and may come on a slow link.
RESPONSE_TIMEOUT = timedelta(seconds=12)


class LongPoll:
    """A watch made of consecutive long polls.

    ``after_revision`` is the revision after which the next poll asks for changes,
    ``wait`` the time that the store may take to answer it. ``on_events`` receives the
    changes of each response, which may be none.
    ``record_copy`` records the copy of the store that a response is from, and returns
    False if it is outdated. ``on_ended`` is called once, however the watch ends.
    """

    def __init__(
        self,
        reactor: Any,
        http: StoreHttpClient,
        prefix: str,
        after_revision: int,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[WatchClosed], None],
        record_copy: Callable[[HttpResponse], bool],
        on_ended: Callable[[LongPoll], None],
        wait: timedelta = WATCH_WAIT,
    ) -> None:
        self.reactor = reactor
        self.http = http
        self.prefix = prefix
        self.after_revision = after_revision
        self.wait = wait
        self.on_events = on_events
        self.on_closed = on_closed
        self.record_copy = record_copy
        self.on_ended = on_ended
        self.ended = False
        self.pending_response: Deferred[Any] | None = None

    def poll(self) -> None:
        """Send the next poll."""
        query = {
            "prefix": self.prefix,
            "after": str(to_store_revision(self.after_revision)),
            "wait-ms": str(int(self.wait.total_seconds() * 1000)),
        }
        sink = HttpResponseSink()
        target = f"/-/kv-watch?{urlencode(query)}"
        sink.cancel_request = self.http.open_stream("GET", target, None, sink)
        self.pending_response = sink.response
        sink.response.addTimeout(RESPONSE_TIMEOUT.total_seconds(), self.reactor)
        sink.response.addCallbacks(self._response_received, self._timed_out)
        start_seconds = RESPONSE_START_TIMEOUT.total_seconds()
        self.reactor.callLater(start_seconds, self._cancel_silent, sink)

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
        self.on_ended(self)
        pending_response, self.pending_response = self.pending_response, None
        if pending_response is not None:
            pending_response.cancel()

    def _cancel_silent(self, sink: HttpResponseSink) -> None:
        """Cancel a poll whose response has not begun in time."""
        pending = self.pending_response
        if pending is not None and pending is sink.response and not sink.status:
            pending.cancel()

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
        if not self.record_copy(response):
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
        read_changes = partial(parse_changes, copy_number(response))
        parsed = parse_response(response, read_changes, is_write=False)
        if isinstance(parsed, Err):
            self._end(parsed.err_value.reason)
            return
        events, current_revision = parsed.ok_value
        if events:
            # A response without events may skip changes whose history was
            # compacted, so only a response with events advances the watch.
            self.after_revision = max(self.after_revision, current_revision)
        self.wait = WATCH_WAIT
        # The watch goes on if the changes can't be applied.
        run_each((self.on_events,), events)
        if not self.ended:
            self.poll()

    def _end(self, reason: str, *, compacted: bool = False) -> None:
        if self.ended:
            return
        self.ended = True
        self.on_ended(self)
        self.pending_response = None
        self.on_closed(WatchClosed(reason, compacted))


__all__ = ["RESUMED_WAIT", "WATCH_WAIT", "LongPoll"]
