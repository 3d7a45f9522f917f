"""The writing side of a peer link: urgent bodies first, in bounded parts."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

from briarslip.connection.frame import encode_frame
from briarslip.connection.write_now import write_now


if TYPE_CHECKING:
    from typing import Any

    from briarslip.connection.frame import Frame
    from briarslip.connection.outgoing_body import OutgoingBody


LENGTH = struct.Struct("!I")


class LinkWriter:
    """Sends frames; bodies take turns while the transport can take more."""

    def __init__(self, transport: Any) -> None:
        self.transport = transport
        self.congested = False
        self.held: list[bytes] | None = None
        self.urgent: dict[int, OutgoingBody] = {}
        self.bulk: dict[int, OutgoingBody] = {}

    def send(self, frame: Frame) -> None:
        """Send one frame, ahead of the queued bodies."""
        data = encode_frame(frame)
        data = LENGTH.pack(len(data)) + data
        if self.held is None:
            write_now(self.transport, data)
        else:
            self.held.append(data)

    def hold(self) -> None:
        """Collect what is sent until ``release``, to send it in one write."""
        self.held = []

    def release(self) -> None:
        """Send what was collected."""
        held, self.held = self.held, None
        if held:
            write_now(self.transport, b"".join(held))

    def take(self, body: OutgoingBody) -> None:
        """Send what can be sent of a body, now or in its turn."""
        queue = self.urgent if body.urgent else self.bulk
        if body.sendable:
            queue.setdefault(body.stream, body)
            self.pump()
        if not body.done:
            body.set_pressure()

    def drop(self, stream: int) -> None:
        """Forget a body that is no longer wanted."""
        self.urgent.pop(stream, None)
        self.bulk.pop(stream, None)

    def pump(self) -> None:
        """Send parts in turn until the transport has enough."""
        while not self.congested:
            queue = self.urgent or self.bulk
            if not queue:
                return
            stream, body = next(iter(queue.items()))
            del queue[stream]
            self.send(body.next_frame())
            if body.done:
                if body.on_done is not None:
                    body.on_done()
                continue
            if body.sendable:
                queue[stream] = body
            body.set_pressure()

    def pauseProducing(self) -> None:
        """Leave bodies queued: the transport has enough."""
        self.congested = True

    def resumeProducing(self) -> None:
        """Go on with the queued bodies."""
        self.congested = False
        self.pump()

    def stopProducing(self) -> None:
        """Forget the queued bodies."""
        self.urgent.clear()
        self.bulk.clear()


__all__ = ["LinkWriter"]
