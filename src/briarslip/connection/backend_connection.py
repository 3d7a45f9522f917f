"""A persistent HTTP/1.1 connection to the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.protocol import connectionDone
from twisted.web import http

from briarslip.connection.http_head import HOP_BY_HOP
from briarslip.request.call import ResponseHead
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from twisted.python.failure import Failure as TwistedFailure

    from briarslip.request.call import Call
    from briarslip.request.call import Load
    from briarslip.request.call import ResponseSink


NOT_RUN_HEADER = b"briarslip-not-run"
BODILESS_STATUSES = frozenset((204, 304))


class BackendConnection(http.HTTPClient):
    """Carries one request after the other; owned by a backend pool."""

    transport: Any

    def __init__(
        self,
        load: Callable[[], Load],
        on_idle: Callable[[BackendConnection], None],
        on_lost: Callable[[BackendConnection], None],
        on_made: Callable[[BackendConnection], None],
    ) -> None:
        self.on_made = on_made
        self.load = load
        self.on_idle = on_idle
        self.on_lost = on_lost
        self.sink: ResponseSink | None = None
        self.method = ""
        self._reset()

    def _reset(self) -> None:
        self.firstLine = True
        self.length: int | None = None
        self.status = 0
        self.lines: list[bytes] = []
        self.shed = False
        self.keep = True
        self.chunked = False
        self.decoder: http._ChunkedTransferDecoder | None = None

    def connectionMade(self) -> None:
        """Report the connection."""
        self.transport.setTcpNoDelay(True)
        self.on_made(self)

    def start(self, call: Call, sink: ResponseSink) -> None:
        """Send a request; its answer goes to ``sink``."""
        self._reset()
        self.sink = sink
        self.method = call.method
        head = f"{call.method} {call.target} HTTP/1.1\r\n".encode("latin-1")
        length = b""
        if call.body or call.method in ("POST", "PUT", "PATCH"):
            length = b"Content-Length: %d\r\n" % len(call.body)
        self.transport.write(b"".join((head, call.headers, length, b"\r\n", call.body)))

    def handleStatus(self, version: bytes, status: bytes, message: bytes) -> None:
        """Take the status line."""
        self.status = int(status)
        self.keep = version == b"HTTP/1.1"

    def handleHeader(self, key: bytes, val: bytes) -> None:
        """Take one header."""
        name = key.lower()
        if name == b"transfer-encoding":
            self.chunked = val.strip().lower() == b"chunked"
        elif name == b"connection" and val.strip().lower() == b"close":
            self.keep = False
        elif name == NOT_RUN_HEADER:
            self.shed = True
        if name not in HOP_BY_HOP:
            self.lines.append(b"%s: %s\r\n" % (key, val))

    def handleEndHeaders(self) -> None:
        """Pass the head on and get ready for the body."""
        if self.sink is None:
            self.transport.abortConnection()
            return
        if 100 <= self.status < 200:
            self._reset()
            return
        outcome = Outcome.NOT_RUN if self.shed else Outcome.RAN
        headers = b"".join(self.lines)
        self.sink.head(ResponseHead(self.status, headers, outcome, self.load()))
        if self.method == "HEAD" or self.status in BODILESS_STATUSES:
            self.length = 0
        if self.chunked:
            self.length = None
            self.decoder = http._ChunkedTransferDecoder(self._part, self._chunks_end)
        elif self.length == 0:
            self._end(b"")

    def rawDataReceived(self, data: bytes) -> None:
        """Take body bytes."""
        if self.sink is None:
            self.transport.abortConnection()
            return
        if self.decoder is not None:
            self._decode_chunks(self.decoder, data)
            return
        if self.length is None:
            self._part(data)
            return
        if len(data) > self.length:
            self.keep = False
        part = data[: self.length]
        self.length -= len(part)
        if self.length == 0:
            self._end(part)
        else:
            self._part(part)

    def _decode_chunks(
        self, decoder: http._ChunkedTransferDecoder, data: bytes
    ) -> None:
        try:
            decoder.dataReceived(data)
        except (http._MalformedChunkedDataError, ValueError):
            self.transport.abortConnection()

    def _part(self, data: bytes) -> None:
        if self.sink is not None and data:
            self.sink.body(data, False)

    def _chunks_end(self, rest: bytes) -> None:
        if rest:
            self.keep = False
        self._end(b"")

    def _end(self, data: bytes) -> None:
        sink, self.sink = self.sink, None
        if self.keep:
            self.setLineMode(b"")
            self.firstLine = True
            self.on_idle(self)
        else:
            self.transport.loseConnection()
        if sink is not None:
            sink.body(data, True)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Fail the request under way, unless the close ends its body."""
        sink, self.sink = self.sink, None
        self.on_lost(self)
        if sink is None:
            return
        until_close = self.status and self.length is None and self.decoder is None
        if (
            until_close
            and not self.firstLine
            and reason.check(type(connectionDone.value))
        ):
            sink.body(b"", True)
            return
        cause = Reason.TRUNCATED if self.status else Reason.CONNECTION_LOST
        sink.failed(Failure(Outcome.UNKNOWN, cause), self.load())


__all__ = ["BackendConnection"]
