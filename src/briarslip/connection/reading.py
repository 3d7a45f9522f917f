"""Pausing of the reads of a connection."""

from __future__ import annotations

from enum import Enum
from typing import Any


class PauseReason(Enum):
    """Why nothing is read from a connection."""

    FLOW_CONTROL = "the receiver of the data is slower"
    FULL_BUFFER = "enough of the next requests is buffered"
    BACKLOG = "what has been received is still being processed"


class Reading:
    """Reads from a transport unless there is a reason to pause."""

    def __init__(self, transport: Any) -> None:
        self.transport = transport
        self.reasons: set[PauseReason] = set()

    def pause(self, reason: PauseReason) -> None:
        """Pause reading until there is no reason left."""
        if not self.reasons:
            self.transport.pauseProducing()
        self.reasons.add(reason)

    def resume(self, reason: PauseReason) -> None:
        """Remove a reason; read again if it was the last one."""
        if reason not in self.reasons:
            return
        self.reasons.remove(reason)
        if not self.reasons and not self.transport.disconnecting:
            self.transport.resumeProducing()


__all__ = ["PauseReason", "Reading"]
