"""A watch through the JSON gateway of etcd v3."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

from briarslip.malformed_json import MALFORMED_JSON_ERRORS
from briarslip.process.store.client import WatchClosed
from briarslip.process.store.etcd_messages import parse_watch_event


if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from twisted.internet.base import DelayedCall

    from briarslip.process.store.client import WatchEvent
    from briarslip.request.call import Load
    from briarslip.request.call import ResponseHead
    from briarslip.request.outcome import Failure


MAX_WATCH_LINE_BYTES = 8 * 1024 * 1024


class GatewayWatch:
    """A watch on one gateway, whose response is a stream of lines of JSON.

    The watch ends if no line is received within ``silence_timeout``.
    """

    def __init__(
        self,
        reactor: Any,
        silence_timeout: timedelta,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[WatchClosed], None],
    ) -> None:
        self.reactor = reactor
        self.silence_timeout = silence_timeout
        self.on_events = on_events
        self.on_closed = on_closed
        self.buffer = bytearray()
        self.cancel_request: Callable[[], None] | None = None
        self.ended = False
        self.silence_timer: DelayedCall = reactor.callLater(
            silence_timeout.total_seconds(),
            self._end,
            f"no line received within {silence_timeout}",
        )

    def start(self, open_stream: Callable[[], Callable[[], None]]) -> None:
        """Open the watch by ``open_stream``, which returns a function to cancel it."""
        self.cancel_request = open_stream()

    def stop(self) -> None:
        """Stop the watch; no callback runs afterwards."""
        if self.ended:
            return
        self.ended = True
        self.buffer.clear()
        if self.silence_timer.active():
            self.silence_timer.cancel()
        if self.cancel_request is not None:
            self.cancel_request()

    def head(self, head: ResponseHead) -> None:
        """End the watch if the status is not 200."""
        if head.status != HTTPStatus.OK:
            self._end(f"expected HTTP status 200, got {head.status}")

    def body(self, data: bytes, last: bool) -> None:
        """Process the lines that are complete."""
        if self.ended:
            return
        self._receive(data)
        if last:
            self._end("the response has ended")

    def failed(self, failure: Failure, load: Load | None) -> None:
        """End the watch, since the connection was lost or could not be made."""
        self._end(failure.reason.value)

    def _receive(self, data: bytes) -> None:
        self.buffer += data
        *lines, remainder = self.buffer.split(b"\n")
        self.buffer = remainder
        if lines:
            self.silence_timer.reset(self.silence_timeout.total_seconds())
        for line in lines:
            if line.strip() and not self.ended:
                self._receive_line(line)
        if len(self.buffer) > MAX_WATCH_LINE_BYTES:
            self._end(f"received a line of more than {MAX_WATCH_LINE_BYTES} bytes")

    def _receive_line(self, line: bytes | bytearray) -> None:
        try:
            message = json.loads(line)
            if "error" in message:
                self._end(f"watch rejected: {message['error']}")
                return
            result = message["result"]
            compact_revision = int(result.get("compact_revision", 0))
            canceled = result.get("canceled", False)
            events = tuple(
                parse_watch_event(event) for event in result.get("events", ())
            )
        except MALFORMED_JSON_ERRORS as error:
            self._end(f"malformed line: {type(error).__name__}: {error}")
            return
        if canceled or compact_revision:
            reason = result.get("cancel_reason", "") or "canceled by the store"
            self._end(reason, compacted=compact_revision > 0)
        elif events:
            self.on_events(events)

    def _end(self, reason: str, *, compacted: bool = False) -> None:
        if self.ended:
            return
        self.stop()
        self.on_closed(WatchClosed(reason, compacted))


__all__ = ["GatewayWatch"]
