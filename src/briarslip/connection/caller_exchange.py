"""One request of a caller and its response, in HTTP/1.1 wire form."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from twisted.web import http

from briarslip.connection.caller_request import describe_head
from briarslip.connection.client_errors import TOO_MANY_REQUESTS
from briarslip.connection.http_head import declared_length
from briarslip.request.flow_control import FlowControl
from briarslip.request.outcome import VERDICT_REASONS
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.connection.caller_connection import CallerConnection
    from briarslip.connection.http_head import RequestHead
    from briarslip.request.call import Load
    from briarslip.request.call import ResponseHead
    from briarslip.request.outcome import Failure


UNPROCESSABLE = 422
MS_PER_SECOND = 1000
BODILESS_STATUSES = frozenset((204, 304))
STATUS_LINES = {
    status: b"HTTP/1.1 %d %s\r\n" % (status, phrase)
    for status, phrase in (
        *http.RESPONSES.items(),
        (TOO_MANY_REQUESTS, b"Too Many Requests"),
    )
}
FAILURE_STATUSES = {
    Reason.NO_ROUTE: http.NOT_FOUND,
    Reason.UNKNOWN_KEY: http.UNAUTHORIZED,
    Reason.BAD_REQUEST: http.BAD_REQUEST,
    Reason.BODY_TOO_LARGE: http.REQUEST_ENTITY_TOO_LARGE,
    Reason.DEADLINE: http.GATEWAY_TIMEOUT,
    Reason.ALREADY_FORWARDED: http.CONFLICT,
    Reason.KEY_MISMATCH: UNPROCESSABLE,
}
EXACT_RETRY_AFTER_REASONS = frozenset((Reason.QUOTA_EXCEEDED, Reason.SHED))
CONNECTION_CLOSE_LINE = b"Connection: close\r\n"


class CallerExchange:
    """Sink that writes one response to a caller.

    A truncated response aborts the connection, so that the caller cannot
    mistake it for a complete one.
    """

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
        self.declared_bytes: int | None = None
        self.sent_bytes = 0
        self.earlier_requests = connection.request_count

    def head(self, head: ResponseHead) -> None:
        """Buffer the head until the first part of the body."""
        self.response_head = head

    def body(self, data: bytes, last: bool) -> None:
        """Write a part of the body, preceded by the head if it is the first."""
        if self.ended:
            return
        head_bytes = b""
        if not self.started:
            head_bytes = self._start_response(data, last)
        self.sent_bytes += len(data)
        if self._has_wrong_length(last):
            self._abort()
            return
        self.connection.write(head_bytes + self._frame_body(data, last))
        if last:
            self._finish_response()

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Send an error response, or abort a response that has started."""
        if self.ended:
            return
        if self.started:
            self._abort()
            return
        default_status = (
            http.SERVICE_UNAVAILABLE
            if failure.outcome is Outcome.NOT_RUN
            else http.BAD_GATEWAY
        )
        status = FAILURE_STATUSES.get(failure.reason, default_status)
        conventions = self.connection.factory.conventions
        header_lines = (
            conventions.outcome_line(failure.outcome.value) + self._connection_line()
        )
        if failure.outcome is Outcome.NOT_RUN and failure.reason not in VERDICT_REASONS:
            if failure.reason is Reason.QUOTA_EXCEEDED:
                status = TOO_MANY_REQUESTS
            else:
                status = http.SERVICE_UNAVAILABLE
            seconds = self._retry_after_seconds(failure)
            header_lines += conventions.retry_after_line(seconds)
        if failure.reason is Reason.UNKNOWN_KEY:
            header_lines += conventions.challenge_line
        received = describe_head(self.request_head, conventions, self.earlier_requests)
        self.connection.factory.client_errors.record(
            status, failure.reason.value, received
        )
        bodiless = self.request_head.method == b"HEAD"
        response = error_response(status, failure.reason.value, header_lines, bodiless)
        self.connection.write(response)
        self._finish_response()

    def _retry_after_seconds(self, failure: Failure) -> float:
        """Return the seconds after which the caller may retry.

        Those of a limit and of a server are exact: an earlier request would be
        refused again.
        """
        seconds = failure.retry_after_seconds
        if failure.reason in EXACT_RETRY_AFTER_REASONS and seconds is not None:
            return math.ceil(seconds * MS_PER_SECOND) / MS_PER_SECOND
        return self.connection.factory.retry_after_seconds(seconds)

    def caller_disconnected(self) -> None:
        """Cancel the request, since its caller has disconnected."""
        if self.ended:
            return
        self._cancel_request()

    def _cancel_request(self) -> None:
        self.ended = True
        cancel, self.cancel = self.cancel, None
        if cancel is not None:
            cancel()

    def _start_response(self, data: bytes, last: bool) -> bytes:
        head = self.response_head
        assert head is not None  # Each response starts with its head.
        self.started = True
        self.declared_bytes = declared_length(head.headers)
        request = self.request_head
        self.bodiless = request.method == b"HEAD" or head.status in BODILESS_STATUSES
        framing = b""
        if not self.bodiless and self.declared_bytes is None:
            if last:
                self.declared_bytes = len(data)
                framing = b"Content-Length: %d\r\n" % len(data)
            elif request.minor_version == b"1":
                self.chunked = True
                framing = b"Transfer-Encoding: chunked\r\n"
            else:
                self.connection.close_after_response = True
        line = STATUS_LINES.get(head.status) or b"HTTP/1.1 %d \r\n" % head.status
        conventions = self.connection.factory.conventions
        outcome = conventions.outcome_line(head.outcome.value)
        close = self._connection_line()
        return b"".join((line, head.headers, outcome, framing, close, b"\r\n"))

    def _has_wrong_length(self, last: bool) -> bool:
        if self.declared_bytes is None or self.bodiless:
            return False
        return self.sent_bytes > self.declared_bytes or (
            last and self.sent_bytes < self.declared_bytes
        )

    def _frame_body(self, data: bytes, last: bool) -> bytes:
        if self.bodiless:
            return b""
        if not self.chunked:
            return data
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        return chunk + b"0\r\n\r\n" if last else chunk

    def _connection_line(self) -> bytes:
        if self.connection.closes_after_this_response:
            return CONNECTION_CLOSE_LINE
        if self.request_head.minor_version == b"0":
            return b"Connection: keep-alive\r\n"
        return b""

    def _finish_response(self) -> None:
        self.ended = True
        self.cancel = None
        self.connection.response_finished()

    def _abort(self) -> None:
        """Cancel the request and abort the connection."""
        self._cancel_request()
        self.connection.abort()


def error_response(
    status: int, text: str, header_lines: bytes, bodiless: bool = False
) -> bytes:
    """Return a complete error response with additional ``header_lines``."""
    body = f"{text}\n".encode()
    head = b"Content-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"
    parts = (
        STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status,
        head % len(body),
        header_lines,
        b"\r\n",
        b"" if bodiless else body,
    )
    return b"".join(parts)


__all__ = ["CONNECTION_CLOSE_LINE", "CallerExchange", "error_response"]
