"""A watch over the JSON gateway of etcd v3."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone

from briarslip.process.etcd_messages import watch_event
from briarslip.process.platform import WatchClosed


if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from twisted.internet.base import DelayedCall
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from briarslip.process.platform import WatchEvent


MAX_WATCH_LINE_BYTES = 8 * 1024 * 1024


def close_transport(transport: Any) -> None:
    """Close a connection if there is one."""
    if transport is not None:
        transport.loseConnection()


class GatewayWatch(Protocol):
    """One long answer of the gateway, read line by line."""

    def __init__(
        self,
        reactor: Any,
        silence: timedelta,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[WatchClosed], None],
    ) -> None:
        self.reactor = reactor
        self.silence = silence
        self.on_events = on_events
        self.on_closed = on_closed
        self.buffer = bytearray()
        self.pending: Deferred[Any] | None = None
        self.ended = False
        self.timer: DelayedCall = reactor.callLater(
            silence.total_seconds(), self._end, "no line within the silence allowed"
        )

    def start(self, pending: Deferred[Any]) -> None:
        """Take over the request that opens the watch."""
        self.pending = pending
        pending.addCallbacks(self._opened, self._failed)

    def stop(self) -> None:
        """Stop the watch; no callback runs afterwards."""
        if self.ended:
            return
        self.ended = True
        self.buffer.clear()
        if self.timer.active():
            self.timer.cancel()
        if self.transport is not None:
            close_transport(self.transport)
        elif self.pending is not None:
            self.pending.cancel()

    def dataReceived(self, data: bytes) -> None:
        """Take the complete lines out of what came."""
        if self.ended:
            return
        self.buffer += data
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = rest
        if lines:
            self.timer.reset(self.silence.total_seconds())
        for line in lines:
            if line.strip() and not self.ended:
                self._take_line(line)
        if len(self.buffer) > MAX_WATCH_LINE_BYTES:
            self._end("a line is too long")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tell that the connection is gone."""
        self._end(f"connection lost: {reason.getErrorMessage()}")

    def _opened(self, response: Any) -> None:
        if not self.ended and response.code != HTTPStatus.OK:
            response.deliverBody(self)
            self._end(f"HTTP status {response.code}")
            return
        response.deliverBody(self)
        if self.ended:
            close_transport(self.transport)

    def _failed(self, failure: Failure) -> None:
        self._end(failure.getErrorMessage())

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


__all__ = ["GatewayWatch", "close_transport"]
