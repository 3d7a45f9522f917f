"""Progress of the bytes that a connection's other end has to read."""

from __future__ import annotations

from typing import Any


class WriteProgress:
    """When the socket of a transport last accepted bytes that were written to it.

    ``progressed_at`` is a time of the reactor's clock in seconds. It is only as recent
    as the last call, so a check has to come several times within the limit that it is
    compared with.
    """

    __slots__ = ("progressed_at", "sent_bytes", "written_bytes")

    def __init__(self) -> None:
        self.written_bytes = 0
        self.sent_bytes = 0
        self.progressed_at = 0.0

    def record_write(self, transport: Any, size_bytes: int, now: float) -> None:
        """Record that bytes are about to be written."""
        if not unsent_bytes(transport):
            self.sent_bytes = self.written_bytes
            self.progressed_at = now
        self.written_bytes += size_bytes

    def stalled_seconds(self, transport: Any, now: float) -> float:
        """Return for how long the socket has accepted nothing."""
        sent_bytes = self.written_bytes - unsent_bytes(transport)
        if sent_bytes > self.sent_bytes:
            self.sent_bytes = sent_bytes
            self.progressed_at = now
        return now - self.progressed_at


def unsent_bytes(transport: Any) -> int:
    """Return the number of bytes that the socket has not accepted yet."""
    buffered = len(getattr(transport, "dataBuffer", b""))
    accepted: int = getattr(transport, "offset", 0)
    waiting: int = getattr(transport, "_tempDataLen", 0)
    return buffered - accepted + waiting


__all__ = ["WriteProgress", "unsent_bytes"]
