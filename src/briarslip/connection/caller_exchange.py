"""One request of a caller and its answer, in HTTP/1.1 wire form."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.web import http

from briarslip.connection.http_head import declared_length
from briarslip.request.flow_control import FlowControl
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.connection.caller_http import CallerConnection
    from briarslip.connection.http_head import RequestHead
    from briarslip.request.call import Load
    from briarslip.request.call import ResponseHead
    from briarslip.request.outcome import Failure


UNPROCESSABLE = 422
BODILESS_STATUSES = frozenset((204, 304))
STATUS_LINES = {
    status: b"HTTP/1.1 %d %s\r\n" % (status, phrase)
    for status, phrase in http.RESPONSES.items()
}
FAILURE_STATUSES = {
    Reason.NO_ROUTE: http.NOT_FOUND,
    Reason.BAD_REQUEST: http.BAD_REQUEST,
    Reason.BODY_TOO_LARGE: http.REQUEST_ENTITY_TOO_LARGE,
    Reason.DEADLINE: http.GATEWAY_TIMEOUT,
    Reason.ALREADY_FORWARDED: http.CONFLICT,
    Reason.KEY_MISMATCH: UNPROCESSABLE,
}
FINAL_NOT_RUN = frozenset(
    (
        Reason.NO_ROUTE,
        Reason.BAD_REQUEST,
        Reason.BODY_TOO_LARGE,
        Reason.ALREADY_FORWARDED,
        Reason.KEY_MISMATCH,
    )
)
CLOSE_LINE = b"Connection: close\r\n"


class CallerExchange:
    """The sink of one answer; a part of an answer is never sent as a whole."""

    def __init__(self, connection: CallerConnection, head: RequestHead) -> None:
        self.connection = connection
        self.request_head = head
        self.flow = FlowControl()
        self.cancel: Callable[[], None] | None = None
        self.response_head: ResponseHead | None = None
        self.started = False
        self.ended = False
        self.chunked = False
        self.bodiless = False
        self.declared: int | None = None
        self.sent = 0

    def head(self, head: ResponseHead) -> None:
        """Hold the head until the first part of the body."""
        self.response_head = head

    def body(self, data: bytes, last: bool) -> None:
        """Write a part of the body, after the head if it is the first."""
        if self.ended:
            return
        prefix = b""
        if not self.started:
            prefix = self._start(data, last)
        self.sent += len(data)
        if self._misframed(last):
            self._abort()
            return
        self.connection.write(prefix + self._framed(data, last))
        if last:
            self._finish()

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Answer with an error, or cut an answer that has begun."""
        if self.ended:
            return
        if self.started:
            self._abort()
            return
        default = (
            http.SERVICE_UNAVAILABLE
            if failure.outcome is Outcome.NOT_RUN
            else http.BAD_GATEWAY
        )
        status = FAILURE_STATUSES.get(failure.reason, default)
        conventions = self.connection.factory.conventions
        extra = conventions.outcome_line(failure.outcome.value) + self._close()
        if failure.outcome is Outcome.NOT_RUN and failure.reason not in FINAL_NOT_RUN:
            status = http.SERVICE_UNAVAILABLE
            seconds = self.connection.factory.retry_after(failure.retry_after_seconds)
            extra += conventions.retry_after_line(seconds)
        bodiless = self.request_head.method == b"HEAD"
        answer = error_answer(status, failure.reason.value, extra, bodiless)
        self.connection.write(answer)
        self._finish()

    def caller_left(self) -> None:
        """Give the request up, since nobody waits for its answer."""
        if self.ended:
            return
        self.ended = True
        if self.cancel is not None:
            self.cancel()

    def _start(self, data: bytes, last: bool) -> bytes:
        head = self.response_head
        assert head is not None  # Every source sends its head first.
        self.started = True
        self.declared = declared_length(head.headers)
        request = self.request_head
        self.bodiless = request.method == b"HEAD" or head.status in BODILESS_STATUSES
        framing = b""
        if not self.bodiless and self.declared is None:
            if last:
                self.declared = len(data)
                framing = b"Content-Length: %d\r\n" % len(data)
            elif request.minor_version == b"1":
                self.chunked = True
                framing = b"Transfer-Encoding: chunked\r\n"
            else:
                self.connection.closing = True
        line = STATUS_LINES.get(head.status) or b"HTTP/1.1 %d \r\n" % head.status
        conventions = self.connection.factory.conventions
        outcome = conventions.outcome_line(head.outcome.value)
        close = self._close()
        return b"".join((line, head.headers, outcome, framing, close, b"\r\n"))

    def _misframed(self, last: bool) -> bool:
        if self.declared is None or self.bodiless:
            return False
        return self.sent > self.declared or (last and self.sent < self.declared)

    def _framed(self, data: bytes, last: bool) -> bytes:
        if self.bodiless:
            return b""
        if not self.chunked:
            return data
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        return chunk + b"0\r\n\r\n" if last else chunk

    def _close(self) -> bytes:
        if self.connection.closing:
            return CLOSE_LINE
        if self.request_head.minor_version == b"0":
            return b"Connection: keep-alive\r\n"
        return b""

    def _finish(self) -> None:
        self.ended = True
        self.cancel = None
        self.connection.finished()

    def _abort(self) -> None:
        """Cut the connection, so that no caller takes a part for the whole."""
        self.ended = True
        if self.cancel is not None:
            self.cancel()
        self.connection.abort()


def error_answer(status: int, text: str, extra: bytes, bodiless: bool = False) -> bytes:
    """Return a whole error answer; ``extra`` holds further header lines."""
    body = f"{text}\n".encode()
    head = b"Content-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"
    parts = (
        STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status,
        head % len(body),
        extra,
        b"\r\n",
        b"" if bodiless else body,
    )
    return b"".join(parts)


__all__ = ["CLOSE_LINE", "CallerExchange", "error_answer"]
