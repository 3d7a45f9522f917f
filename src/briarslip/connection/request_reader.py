"""Reading of a caller's requests from the bytes of its connection."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result
from twisted.web import http

from briarslip.connection.http_head import HEAD_END
from briarslip.connection.http_head import HeadError
from briarslip.connection.http_head import parse_request_head
from briarslip.connection.request_body import BodyState
from briarslip.connection.request_body import RequestBody
from briarslip.request.body import EMPTY_BODY
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.connection.caller_limits import CallerLimits
    from briarslip.connection.header_conventions import HeaderConventions
    from briarslip.connection.http_head import RequestHead
    from briarslip.request.body import Body


MAX_DEPTH = 64
HEAD_TOO_LARGE = 431
# Received bytes may end with a part of the end of the head, which does not count.
PARTIAL_END_BYTES = len(HEAD_END) - 1
LIMITS_UNKNOWN = "the limits for requests are not known"
EMPTY_LINES = re.compile(rb"(?:\r\n)++")
# Smaller bodies are received before the request is checked, so that a caller that sends
# head and body in two writes keeps its connection after a 401.
LARGE_BODY_BYTES = 64 << 10


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """A request that has been received whole."""

    head: RequestHead
    body: Body


def _too_large(status: int, reason: str, limits_known: bool) -> HeadError:
    """Return the error of a request that may be proper if the limits are unknown."""
    if limits_known:
        return HeadError(status, reason)
    return HeadError(http.SERVICE_UNAVAILABLE, LIMITS_UNKNOWN)


def _accept(head: RequestHead) -> HeadError | None:
    """Return no error: the body of each request is received."""
    return None


class RequestReader:
    """The bytes of a connection that have not been read as requests yet.

    ``head`` and ``body`` belong to the request whose body is being received.
    ``expects_continue`` is whether its caller waits for leave to send it, and
    ``limits_known`` whether its limits were known when its head was read.
    ``max_head_bytes`` is the largest limit while a head has been received in part.
    """

    def __init__(self) -> None:
        self.buffer = b""
        self.head: RequestHead | None = None
        self.body: RequestBody | None = None
        self.expects_continue = False
        self.limits_known = True
        self.max_head_bytes = 0

    @property
    def is_started(self) -> bool:
        """Whether a part of a request has been received."""
        return bool(self.buffer) or self.head is not None

    @property
    def has_backlog(self) -> bool:
        """Whether received data can be read further without more data."""
        return self.body is not None and self.body.has_backlog

    @property
    def can_advance(self) -> bool:
        """Whether there is data that has not been read."""
        return bool(self.buffer) or self.has_backlog

    @property
    def size_bytes(self) -> int:
        """The number of bytes that are kept."""
        size_bytes = len(self.buffer)
        if self.head is not None:
            size_bytes += len(self.head.headers)
        if self.body is not None:
            size_bytes += self.body.kept_bytes
        return size_bytes

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        self.buffer = self.buffer + data if self.buffer else data
        if self.head is None:
            self._skip_empty_lines()

    def read(
        self,
        limits: CallerLimits,
        conventions: HeaderConventions,
        check_large: Callable[[RequestHead], HeadError | None] = _accept,
    ) -> Result[ReadRequest | None, HeadError]:
        """Read the next request, None if it has not been received whole.

        After an error the next request can't be found. ``check_large`` may reject a
        request before its large body is received.
        """
        if self.head is None:
            error = self._read_head(limits, conventions, check_large)
            if error is not None:
                return Err(error)
        head = self.head
        if head is None:
            return Ok(None)
        if self.body is None:
            self.head = None
            self._skip_empty_lines()
            return Ok(ReadRequest(head, EMPTY_BODY))
        return self._read_body(head, self.body, limits)

    def read_ahead(
        self,
        conventions: HeaderConventions,
        is_wanted: Callable[[RequestHead], bool],
    ) -> RequestHead | None:
        """Read the next request if it is complete with its head and wanted."""
        end = self.buffer.find(HEAD_END)
        if end < 0 or self.head is not None:
            return None
        parsed = parse_request_head(self.buffer[: end + 2], conventions)
        if isinstance(parsed, Err):
            return None
        head = parsed.ok_value
        if head.length != 0 or head.depth >= MAX_DEPTH or not is_wanted(head):
            return None
        self.buffer = self.buffer[end + len(HEAD_END) :]
        self._skip_empty_lines()
        return head

    def discard(self) -> None:
        """Forget everything that has been received."""
        self.buffer = b""
        body, self.body = self.body, None
        if body is not None:
            body.discard()
        self.head = None
        self.max_head_bytes = 0

    def _skip_empty_lines(self) -> None:
        """Skip empty lines before a request (RFC 9112, section 2.2)."""
        empty = EMPTY_LINES.match(self.buffer)
        if empty is not None:
            self.buffer = self.buffer[empty.end() :]

    def _read_head(
        self,
        limits: CallerLimits,
        conventions: HeaderConventions,
        check_large: Callable[[RequestHead], HeadError | None],
    ) -> HeadError | None:
        end = self.buffer.find(HEAD_END)
        size_bytes = len(self.buffer) - PARTIAL_END_BYTES if end < 0 else end
        # A request that is half received when the limits change may keep to either.
        max_bytes = max(self.max_head_bytes, limits.head_bytes)
        if size_bytes > max_bytes and self._is_head_over(size_bytes, max_bytes):
            known = limits.are_known
            return _too_large(HEAD_TOO_LARGE, "the head is too large", known)
        if end < 0:
            self.max_head_bytes = max_bytes
            return None
        self.max_head_bytes = 0
        parsed = parse_request_head(self.buffer[: end + 2], conventions)
        if isinstance(parsed, Err):
            return parsed.err_value
        self.buffer = self.buffer[end + len(HEAD_END) :]
        head = parsed.ok_value
        if head.depth >= MAX_DEPTH:
            return HeadError(http.BAD_REQUEST, Reason.BAD_REQUEST.value)
        if head.length is None or head.length > LARGE_BODY_BYTES:
            error = check_large(head)
            if error is not None:
                return error
        self.head = head
        if head.length != 0:
            self.body = RequestBody(head.length, limits.body_bytes)
            self.limits_known = limits.are_known
            body_expected = self.body.state is BodyState.PARTIAL
            self.expects_continue = (
                head.expects_continue and body_expected and not self.buffer
            )
        return None

    def _is_head_over(self, size_bytes: int, limit_bytes: int) -> bool:
        """Return whether the first line or the headers of the head are over a limit."""
        line_bytes = self.buffer.find(b"\r\n")
        if line_bytes < 0:
            return True
        header_bytes = size_bytes - line_bytes
        return max(line_bytes, header_bytes) > limit_bytes

    def _read_body(
        self, head: RequestHead, body: RequestBody, limits: CallerLimits
    ) -> Result[ReadRequest | None, HeadError]:
        data, self.buffer = self.buffer, b""
        body.max_bytes = max(body.max_bytes, limits.body_bytes)
        body.feed(data)
        match body.state:
            case BodyState.COMPLETE:
                self.buffer = body.trailing_data
                self.head = self.body = None
                self._skip_empty_lines()
                return Ok(ReadRequest(head, body.take_content()))
            case BodyState.TOO_LARGE:
                status, reason = http.REQUEST_ENTITY_TOO_LARGE, Reason.BODY_TOO_LARGE
                known = self.limits_known and limits.are_known
                return Err(_too_large(status, reason.value, known))
            case BodyState.MALFORMED:
                return Err(HeadError(http.BAD_REQUEST, "the body is malformed"))
        return Ok(None)


__all__ = ["ReadRequest", "RequestReader"]
