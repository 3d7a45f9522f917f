"""Decoding of chunked bodies (RFC 9112, section 7.1) in steps of bounded work."""

from __future__ import annotations

import re

from result import Err
from result import Ok
from result import Result


# Chunks and trailer lines that are decoded in one step.
MAX_LINES_PER_STEP = 64
MAX_SIZE_LINE_BYTES = 1024
MAX_TRAILER_BYTES = 64 << 10
LINE_END = b"\r\n"
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]++)(?:;[\t\x20-\x5b\x5d-\x7e\x80-\xff]*+)?")


class ChunkedDecoder:
    """Decoder of one chunked body.

    Load pattern: a body in chunks of a few bytes. A read of the socket then holds
    thousands of them, and to decode all of them at once would hold up the reactor.

    ``undecoded`` holds the received bytes that have not been decoded, which after the
    end of the body are those that follow it. ``has_backlog`` is whether they can be
    decoded further without more data. ``chunk_bytes_left`` counts what is missing of
    the current chunk's data, None between two chunks.
    """

    def __init__(self) -> None:
        self.undecoded = b""
        self.position = 0
        self.chunk_bytes_left: int | None = None
        self.trailer_bytes: int | None = None
        self.is_complete = False
        self.has_backlog = False
        self.error = ""

    def decode(self, data: bytes) -> Result[bytes, str]:
        """Decode received bytes, at most ``MAX_LINES_PER_STEP`` lines of them.

        Return the bytes of the body that they hold, or why they are malformed. The
        rest is decoded by the next call.
        """
        self.undecoded = self.undecoded + data if self.undecoded else data
        self.position = 0
        self.has_backlog = False
        parts: list[bytes] = []
        lines_left = MAX_LINES_PER_STEP
        while not self.is_complete:
            if self.chunk_bytes_left is not None:
                has_advanced = self._take_chunk_data(parts)
            elif lines_left:
                lines_left -= 1
                has_advanced = self._take_line()
            else:
                self.has_backlog = self.position < len(self.undecoded)
                break
            if not has_advanced:
                break
        self.undecoded = self.undecoded[self.position :]
        return Err(self.error) if self.error else Ok(b"".join(parts))

    def _take_chunk_data(self, parts: list[bytes]) -> bool:
        """Take data of the current chunk; return whether the chunk has ended."""
        missing_bytes = self.chunk_bytes_left or 0
        part = self.undecoded[self.position : self.position + missing_bytes]
        if part:
            parts.append(part)
            self.position += len(part)
            self.chunk_bytes_left = missing_bytes = missing_bytes - len(part)
        if missing_bytes:
            return False
        end = self.undecoded[self.position : self.position + len(LINE_END)]
        if end != LINE_END:
            if len(end) == len(LINE_END):
                self.error = f"a chunk ends with {end!r}, expected {LINE_END!r}"
            return False
        self.position += len(LINE_END)
        self.chunk_bytes_left = None
        return True

    def _take_line(self) -> bool:
        """Take the size line of a chunk or a trailer line, if it is complete."""
        if self.trailer_bytes is None:
            return self._take_size_line()
        return self._take_trailer_line(self.trailer_bytes)

    def _take_size_line(self) -> bool:
        limit = self.position + MAX_SIZE_LINE_BYTES
        end = self.undecoded.find(LINE_END, self.position, limit + 1)
        if end < 0:
            if len(self.undecoded) > limit:
                self.error = f"a size line is longer than {MAX_SIZE_LINE_BYTES} bytes"
            return False
        match = SIZE_LINE.fullmatch(self.undecoded, self.position, end)
        if match is None:
            line = self.undecoded[self.position : end]
            self.error = f"got the size line {line!r}, expected a hexadecimal number"
            return False
        self.position = end + len(LINE_END)
        size_bytes = int(match[1], 16)
        if size_bytes:
            self.chunk_bytes_left = size_bytes
        else:
            self.trailer_bytes = 0
        return True

    def _take_trailer_line(self, trailer_bytes: int) -> bool:
        """Take a trailer line, which is ignored; the body ends with an empty one."""
        end = self.undecoded.find(LINE_END, self.position)
        next_position = len(self.undecoded) if end < 0 else end + len(LINE_END)
        if end == self.position:
            self.is_complete = True
        elif trailer_bytes + next_position - self.position > MAX_TRAILER_BYTES:
            self.error = f"the trailers are longer than {MAX_TRAILER_BYTES} bytes"
            return False
        if end < 0:
            return False
        self.trailer_bytes = trailer_bytes + next_position - self.position
        self.position = next_position
        return True


__all__ = ["MAX_LINES_PER_STEP", "ChunkedDecoder"]
