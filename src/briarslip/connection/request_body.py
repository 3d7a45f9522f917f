"""Bodies of callers' requests, buffered in memory up to a limit."""

from __future__ import annotations

from enum import Enum
from typing import Any

from twisted.web import http


class BodyState(Enum):
    """State of a body that is being received."""

    PARTIAL = "partial"
    COMPLETE = "complete"
    TOO_LARGE = "too large"
    MALFORMED = "malformed"


class RequestBody:
    """Parser of the bytes after a request's head, up to the end of its body.

    ``length`` is in bytes, None for a chunked body. ``trailing_data`` holds the
    bytes that follow the body.
    """

    def __init__(self, length: int | None, max_bytes: int) -> None:
        self.remaining_bytes = length
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self.parts: list[bytes] = []
        self.trailing_data = b""
        self.state = BodyState.PARTIAL
        self.decoder: Any = None
        if length is None:
            self.decoder = http._ChunkedTransferDecoder(self._append, self._end)
        elif length > max_bytes:
            self.state = BodyState.TOO_LARGE

    @property
    def content(self) -> bytes:
        """The body received so far."""
        return b"".join(self.parts)

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.state is not BodyState.PARTIAL:
            return
        if self.decoder is not None:
            self._feed_chunked(data)
            return
        remaining_bytes = self.remaining_bytes or 0
        self._append(data[:remaining_bytes])
        self.remaining_bytes = remaining_bytes - min(remaining_bytes, len(data))
        if self.remaining_bytes == 0:
            self._end(data[remaining_bytes:])

    def _feed_chunked(self, data: bytes) -> None:
        try:
            self.decoder.dataReceived(data)
        except (http._MalformedChunkedDataError, ValueError):
            self.state = BodyState.MALFORMED

    def _append(self, data: bytes) -> None:
        self.size_bytes += len(data)
        if self.size_bytes > self.max_bytes:
            self.state = BodyState.TOO_LARGE
            self.parts.clear()
        else:
            self.parts.append(data)

    def _end(self, trailing_data: bytes) -> None:
        self.trailing_data = trailing_data
        if self.state is BodyState.PARTIAL:
            self.state = BodyState.COMPLETE


__all__ = ["BodyState", "RequestBody"]
