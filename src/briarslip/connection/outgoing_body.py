"""Bodies that are sent over a peer link in parts of bounded size."""

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
    """The queued body of a request or response that is sent on a stream.

    ``build_first_frame`` builds the frame with the head and the first body part.
    ``credit_bytes`` is how much the receiver still accepts, None if there is no
    limit. ``flow`` pauses the source while more than ``HIGH_WATER_BYTES`` are
    queued. ``on_sent`` is called when the last frame has been sent.
    """

    __slots__ = (
        "build_first_frame",
        "credit_bytes",
        "ended",
        "flow",
        "on_sent",
        "part_offset",
        "parts",
        "queued_bytes",
        "stream",
        "urgent",
    )

    def __init__(
        self,
        stream: int,
        urgent: bool,
        build_first_frame: Callable[[bytes, bool], Frame],
        credit_bytes: int | None,
        flow: FlowControl,
    ) -> None:
        self.stream = stream
        self.urgent = urgent
        self.build_first_frame: Callable[[bytes, bool], Frame] | None = (
            build_first_frame
        )
        self.credit_bytes = credit_bytes
        self.flow = flow
        self.parts: deque[bytes] = deque()
        self.part_offset = 0
        self.queued_bytes = 0
        self.ended = False
        self.on_sent: Callable[[], None] | None = None

    def push(self, data: bytes, last: bool) -> None:
        """Queue a part of the body."""
        if data:
            self.parts.append(data)
            self.queued_bytes += len(data)
        self.ended = self.ended or last

    @property
    def is_sendable(self) -> bool:
        """Whether a frame can be sent now."""
        if self.queued_bytes:
            return self.credit_bytes is None or self.credit_bytes > 0
        return self.ended

    @property
    def is_sent(self) -> bool:
        """Whether the last frame has been sent."""
        return self.ended and not self.queued_bytes and self.build_first_frame is None

    def next_frame(self) -> Frame:
        """Remove and return the next frame, with at most ``PART_BYTES`` of body."""
        data = self._next_part()
        last = self.ended and not self.queued_bytes
        build_first_frame, self.build_first_frame = self.build_first_frame, None
        if build_first_frame is not None:
            return build_first_frame(data, last)
        return BodyFrame(self.stream, data, last)

    def update_flow(self) -> None:
        """Pause or resume the source by the number of queued bytes."""
        if self.queued_bytes > HIGH_WATER_BYTES:
            self.flow.set_paused(True)
        elif self.flow.paused and self.queued_bytes < HIGH_WATER_BYTES // 2:
            self.flow.set_paused(False)

    def _next_part(self) -> bytes:
        """Remove and return queued bytes; small parts are joined to one."""
        limit = PART_BYTES
        if self.credit_bytes is not None:
            limit = min(limit, self.credit_bytes)
        pieces: list[bytes] = []
        while self.parts and limit > 0:
            piece = self._next_piece(limit)
            pieces.append(piece)
            limit -= len(piece)
        data = pieces[0] if len(pieces) == 1 else b"".join(pieces)
        self.queued_bytes -= len(data)
        if self.credit_bytes is not None:
            self.credit_bytes -= len(data)
        return data

    def _next_piece(self, limit: int) -> bytes:
        """Remove and return at most ``limit`` bytes of the first part."""
        part = self.parts[0]
        if not self.part_offset and len(part) <= limit:
            return self.parts.popleft()
        piece = part[self.part_offset : self.part_offset + limit]
        self.part_offset += len(piece)
        if self.part_offset == len(part):
            self.parts.popleft()
            self.part_offset = 0
        return piece


__all__ = ["PART_BYTES", "WINDOW_BYTES", "OutgoingBody"]
