"""Bodies on their way out over a peer link, cut into bounded parts."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from briarslip.connection.frame import BodyFrame


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.connection.frame import Frame
    from briarslip.request.flow_control import FlowControl


PART_BYTES = 16 << 10
WINDOW_BYTES = 256 << 10
HIGH_WATER_BYTES = 64 << 10


class OutgoingBody:
    """A message whose first frame carries its head and first body part.

    ``credit`` is what the reader still takes, None for a reader that takes
    all. The source of the body is told to wait while much is queued.
    ``on_done`` is told when the last frame has been sent.
    """

    __slots__ = (
        "credit",
        "ended",
        "first",
        "flow",
        "offset",
        "on_done",
        "parts",
        "size",
        "stream",
        "urgent",
    )

    def __init__(
        self,
        stream: int,
        urgent: bool,
        first: Callable[[bytes, bool], Frame],
        credit: int | None,
        flow: FlowControl,
    ) -> None:
        self.stream = stream
        self.urgent = urgent
        self.first: Callable[[bytes, bool], Frame] | None = first
        self.credit = credit
        self.flow = flow
        self.parts: deque[bytes] = deque()
        self.offset = 0
        self.size = 0
        self.ended = False
        self.on_done: Callable[[], None] | None = None

    def push(self, data: bytes, last: bool) -> None:
        """Queue a part."""
        if data:
            self.parts.append(data)
            self.size += len(data)
        self.ended = self.ended or last

    @property
    def sendable(self) -> bool:
        """Whether a frame can be sent now."""
        if self.size:
            return self.credit is None or self.credit > 0
        return self.ended

    @property
    def done(self) -> bool:
        """Whether the last frame has been taken."""
        return self.ended and not self.size and self.first is None

    def next_frame(self) -> Frame:
        """Take the next frame, of at most ``PART_BYTES`` of body."""
        data = self._take()
        last = self.ended and not self.size
        first, self.first = self.first, None
        if first is not None:
            return first(data, last)
        return BodyFrame(self.stream, data, last)

    def set_pressure(self) -> None:
        """Tell the source to wait or to go on."""
        if self.size > HIGH_WATER_BYTES:
            self.flow.set_paused(True)
        elif self.flow.paused and self.size < HIGH_WATER_BYTES // 2:
            self.flow.set_paused(False)

    def _take(self) -> bytes:
        if not self.parts:
            return b""
        limit = PART_BYTES if self.credit is None else min(PART_BYTES, self.credit)
        part = self.parts[0]
        if not self.offset and len(part) <= limit:
            data = self.parts.popleft()
        else:
            data = part[self.offset : self.offset + limit]
            self.offset += len(data)
            if self.offset == len(part):
                self.parts.popleft()
                self.offset = 0
        self.size -= len(data)
        if self.credit is not None:
            self.credit -= len(data)
        return data


__all__ = ["PART_BYTES", "WINDOW_BYTES", "OutgoingBody"]
