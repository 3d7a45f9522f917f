"""Writing of a request's body to a connection as fast as the other end reads it."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from briarslip.request.body import Body


class BodyWriter:
    """Producer that hands the parts of a body to a transport.

    A transport copies what it can't send at once, so a large body must not be written
    to it in one piece.
    """

    def __init__(self, transport: Any, body: Body) -> None:
        self.transport = transport
        self.parts = deque(body.parts)
        self.paused = False

    @property
    def is_done(self) -> bool:
        """Whether the transport has taken all parts."""
        return not self.parts

    def start(self) -> None:
        """Write parts until the transport is full; go on when it has room."""
        self.transport.registerProducer(self, True)
        self.resumeProducing()

    def resumeProducing(self) -> None:
        """Write parts until the transport is full again."""
        self.paused = False
        while self.parts and not self.paused:
            self.transport.write(self.parts.popleft())
        if not self.parts:
            self.transport.unregisterProducer()

    def pauseProducing(self) -> None:
        """Stop writing, since the transport is full."""
        self.paused = True

    def stopProducing(self) -> None:
        """Drop the parts that are left, since the connection is lost."""
        self.parts.clear()


__all__ = ["BodyWriter"]
