"""A watch over the JSON gateway of etcd v3."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

from briarslip.process.store.client import WatchClosed
from briarslip.process.store.etcd_messages import watch_event


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
    """One long answer of the gateway, read line by line."""

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
        self.timer: DelayedCall = reactor.callLater(
            silence_timeout.total_seconds(),
            self._end,
            "no line received within the silence timeout",
        )

    def start(self, open_stream: Callable[[], Callable[[], None]]) -> None:
        """Send the request that opens the watch; it returns how to give it up."""
        self.cancel_request = open_stream()

    def stop(self) -> None:
        """Stop the watch; no callback runs afterwards."""
        if self.ended:
            return
        self.ended = True
        self.buffer.clear()
        if self.timer.active():
            self.timer.cancel()
        if self.cancel_request is not None:
            self.cancel_request()

    def head(self, head: ResponseHead) -> None:
        """Refuse any status but the one of success."""
        if head.status != HTTPStatus.OK:
            self._end(f"HTTP status {head.status}")

    def body(self, data: bytes, last: bool) -> None:
        """Take the complete lines out of what came."""
        if self.ended:
            return
        self._take(data)
        if last:
            self._end("the answer has ended")

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Tell that the connection is gone or was never made."""
        self._end(failure.reason.value)

    def _take(self, data: bytes) -> None:
        self.buffer += data
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = rest
        if lines:
            self.timer.reset(self.silence_timeout.total_seconds())
        for line in lines:
            if line.strip() and not self.ended:
                self._take_line(line)
        if len(self.buffer) > MAX_WATCH_LINE_BYTES:
            self._end("a line is too long")

    def _take_line(self, line: bytes | bytearray) -> None:
        try:
            message = json.loads(line)
            if "error" in message:
                self._end(f"watch refused: {message['error']}")
                return
            result = message["result"]
            compact_revision = int(result.get("compact_revision", 0))
            canceled = result.get("canceled", False)
            events = tuple(watch_event(event) for event in result.get("events", ()))
        except (KeyError, TypeError, ValueError, AttributeError) as problem:
            self._end(f"malformed line: {type(problem).__name__}: {problem}")
            return
        if canceled or compact_revision:
            reason = result.get("cancel_reason", "") or "canceled by the service"
            self._end(reason, compacted=compact_revision > 0)
        elif events:
            self.on_events(events)

    def _end(self, reason: str, *, compacted: bool = False) -> None:
        if self.ended:
            return
        self.stop()
        self.on_closed(WatchClosed(reason, compacted))


__all__ = ["GatewayWatch"]
