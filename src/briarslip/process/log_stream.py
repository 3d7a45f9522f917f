"""Log stream that never blocks on its reader."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


# About half a second of log lines at the rate limits.
MAX_BUFFERED_BYTES = 64 << 10


class LogStream:
    """Write whole lines to a non-blocking descriptor.

    Lines that a slow reader has not read yet are buffered up to
    ``MAX_BUFFERED_BYTES``; further lines are dropped and counted in
    ``dropped_lines``. If the reader closes its end, all lines are dropped and the
    process goes on. ``write_some`` has the signature of ``os.write``.
    """

    def __init__(
        self, descriptor: int, write_some: Callable[[int, bytes], int] = os.write
    ) -> None:
        self.descriptor = descriptor
        self.write_some = write_some
        self.buffer = b""
        self.dropped_lines = 0
        self.closed = False

    @classmethod
    def from_descriptor(cls, descriptor: int) -> LogStream:
        """Return a stream over a descriptor, which is set to non-blocking."""
        os.set_blocking(descriptor, False)
        return cls(descriptor)

    def write(self, text: str) -> None:
        """Write or buffer a line; drop it if the buffer is full or the reader gone."""
        data = text.encode("utf-8", "replace")
        self.flush()
        if self.closed or len(self.buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            return
        self.buffer += data
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self.buffer and not self.closed:
            try:
                written = self.write_some(self.descriptor, self.buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end; there is nowhere left to report it.
                self.closed = True
                return
            self.buffer = self.buffer[written:]

    def pop_dropped_lines(self) -> int:
        """Return the number of lines dropped since the previous call."""
        dropped_lines, self.dropped_lines = self.dropped_lines, 0
        return dropped_lines


__all__ = ["MAX_BUFFERED_BYTES", "LogStream"]
