"""Bodies of callers' requests, collected in memory up to a limit."""

from __future__ import annotations

from enum import Enum
from typing import Any

from twisted.web import http


class BodyState(Enum):
    """How far a body has come."""

    PARTIAL = "partial"
    WHOLE = "whole"
    TOO_LARGE = "too large"
    MALFORMED = "malformed"


class RequestBody:
    """Takes the bytes after a request's head until the body is whole.

    ``length`` is None for a chunked body. ``rest`` holds what follows it.
    """

    def __init__(self, length: int | None, max_bytes: int) -> None:
        self.left = length
        self.max_bytes = max_bytes
        self.size = 0
        self.parts: list[bytes] = []
        self.rest = b""
        self.state = BodyState.PARTIAL
        self.decoder: Any = None
        if length is None:
            self.decoder = http._ChunkedTransferDecoder(self._take, self._end)
        elif length > max_bytes:
            self.state = BodyState.TOO_LARGE

    @property
    def content(self) -> bytes:
        """The body so far."""
        return b"".join(self.parts)

    def feed(self, data: bytes) -> None:
        """Take bytes."""
        if self.state is not BodyState.PARTIAL:
            return
        if self.decoder is not None:
            self._feed_chunked(data)
            return
        left = self.left or 0
        self._take(data[:left])
        self.left = left - min(left, len(data))
        if self.left == 0:
            self._end(data[left:])

    def _feed_chunked(self, data: bytes) -> None:
        try:
            self.decoder.dataReceived(data)
        except (http._MalformedChunkedDataError, ValueError):
            self.state = BodyState.MALFORMED

    def _take(self, data: bytes) -> None:
        self.size += len(data)
        if self.size > self.max_bytes:
            self.state = BodyState.TOO_LARGE
            self.parts.clear()
        else:
            self.parts.append(data)

    def _end(self, rest: bytes) -> None:
        self.rest = rest
        if self.state is BodyState.PARTIAL:
            self.state = BodyState.WHOLE


__all__ = ["BodyState", "RequestBody"]
