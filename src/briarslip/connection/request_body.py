"""Bodies of callers' requests, buffered in memory up to a limit."""

from __future__ import annotations

from enum import Enum

from result import Err

from briarslip.connection.chunked_decoder import ChunkedDecoder
from briarslip.request.body import Body


# The pieces of a body are joined to parts of this size, the most that is read at once.
# A piece of its own would cost some 50 bytes more.
PART_BYTES = 64 << 10


class BodyState(Enum):
    """State of a body that is being received."""

    PARTIAL = "partial"
    COMPLETE = "complete"
    TOO_LARGE = "too large"
    MALFORMED = "malformed"


class RequestBody:
    """Parser of the bytes after a request's head, up to the end of its body.

    ``length`` is in bytes, None for a chunked body. ``trailing_data`` holds the
    bytes that follow the body. ``joined`` holds the pieces of the next
    part.
    """

    def __init__(self, length: int | None, max_bytes: int) -> None:
        self.remaining_bytes = length
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self.parts: list[bytes] = []
        self.joined = bytearray()
        self.trailing_data = b""
        self.state = BodyState.PARTIAL
        self.decoder: ChunkedDecoder | None = None
        if length is None:
            self.decoder = ChunkedDecoder()
        elif length > max_bytes:
            self.state = BodyState.TOO_LARGE

    @property
    def has_backlog(self) -> bool:
        """Whether received data can be parsed further without more data."""
        return self.state is BodyState.PARTIAL and (
            self.decoder is not None and self.decoder.has_backlog
        )

    @property
    def kept_bytes(self) -> int:
        """The number of bytes that are kept, parsed or not."""
        undecoded = b"" if self.decoder is None else self.decoder.undecoded
        return self.size_bytes + len(undecoded)

    def take_content(self) -> Body:
        """Return the body received so far, and keep none of it."""
        content = Body.from_parts((*self.parts, bytes(self.joined)))
        self.discard()
        return content

    def discard(self) -> None:
        """Free what has been received."""
        self.parts.clear()
        self.joined.clear()
        self.decoder = None

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.state is not BodyState.PARTIAL:
            return
        if self.decoder is not None:
            self._feed_chunks(self.decoder, data)
            return
        remaining_bytes = self.remaining_bytes or 0
        self._append(data[:remaining_bytes])
        self.remaining_bytes = remaining_bytes - min(remaining_bytes, len(data))
        if self.remaining_bytes == 0:
            self._end(data[remaining_bytes:])

    def _feed_chunks(self, decoder: ChunkedDecoder, data: bytes) -> None:
        part = decoder.decode(data)
        if isinstance(part, Err):
            self.state = BodyState.MALFORMED
            return
        self._append(part.ok_value)
        if decoder.is_complete:
            self._end(decoder.undecoded)

    def _append(self, data: bytes) -> None:
        self.size_bytes += len(data)
        if self.size_bytes > self.max_bytes:
            self.state = BodyState.TOO_LARGE
        elif not self.joined and len(data) == PART_BYTES:
            self.parts.append(data)
        else:
            self._join(data)

    def _join(self, data: bytes) -> None:
        self.joined += data
        while len(self.joined) >= PART_BYTES:
            self.parts.append(bytes(memoryview(self.joined)[:PART_BYTES]))
            del self.joined[:PART_BYTES]

    def _end(self, trailing_data: bytes) -> None:
        self.trailing_data = trailing_data
        if self.state is BodyState.PARTIAL:
            self.state = BodyState.COMPLETE


__all__ = ["BodyState", "RequestBody"]
