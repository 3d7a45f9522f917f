"""A log stream that never makes the process wait for its reader."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


# About half a second of a daemon's lines at its limits.
MAX_PENDING_BYTES = 64 << 10


class LogStream:
    """Writes whole lines to a descriptor that does not block.

    What a slow reader does not take waits, up to a bound; further lines are
    left out and counted in ``lost``. ``write_some`` is ``os.write`` or acts like
    it. A reader that is gone costs its lines only.
    """

    def __init__(
        self, descriptor: int, write_some: Callable[[int, bytes], int] = os.write
    ) -> None:
        self.descriptor = descriptor
        self.write_some = write_some
        self.pending = b""
        self.lost = 0
        self.closed = False

    @classmethod
    def from_descriptor(cls, descriptor: int) -> LogStream:
        """Take over a descriptor, which no longer blocks from here on."""
        os.set_blocking(descriptor, False)
        return cls(descriptor)

    def write(self, text: str) -> None:
        """Write a line, or leave it out."""
        data = text.encode("utf-8", "replace")
        self.flush()
        if self.closed or len(self.pending) + len(data) > MAX_PENDING_BYTES:
            self.lost += 1
            return
        self.pending += data
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self.pending and not self.closed:
            try:
                written = self.write_some(self.descriptor, self.pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good; there is nowhere to tell it.
                self.closed = True
                return
            self.pending = self.pending[written:]

    def take_lost(self) -> int:
        """Return how many lines were left out since the last time."""
        lost, self.lost = self.lost, 0
        return lost


__all__ = ["MAX_PENDING_BYTES", "LogStream"]
