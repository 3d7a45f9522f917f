"""Scheduler of the frames that are written to a peer link."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

from briarslip.connection.frame_codec import encode_frame
from briarslip.connection.immediate_write import write_immediately


if TYPE_CHECKING:
    from typing import Any

    from briarslip.connection.frame import Frame
    from briarslip.connection.outgoing_body import OutgoingBody


LENGTH_PREFIX = struct.Struct("!I")


class LinkWriter:
    """Sends frames at once and bodies in round-robin order, urgent ones first.

    Bodies wait while the transport signals backpressure (``congested``).
    """

    def __init__(self, transport: Any) -> None:
        self.transport = transport
        self.congested = False
        self.batch: list[bytes] | None = None
        self.urgent_queue: dict[int, OutgoingBody] = {}
        self.bulk_queue: dict[int, OutgoingBody] = {}

    def send(self, frame: Frame) -> None:
        """Send one frame, ahead of the queued bodies."""
        data = encode_frame(frame)
        data = LENGTH_PREFIX.pack(len(data)) + data
        if self.batch is None:
            write_immediately(self.transport, data)
        else:
            self.batch.append(data)

    def start_batch(self) -> None:
        """Collect frames until ``send_batch`` sends them in one write."""
        self.batch = []

    def send_batch(self) -> None:
        """Send the collected frames."""
        batch, self.batch = self.batch, None
        if batch:
            write_immediately(self.transport, b"".join(batch))

    def enqueue(self, body: OutgoingBody) -> None:
        """Queue a body, send what the transport accepts and update its flow."""
        queue = self.urgent_queue if body.urgent else self.bulk_queue
        if body.is_sendable:
            queue.setdefault(body.stream, body)
            self.send_queued()
        if not body.is_sent:
            body.update_flow()

    def discard(self, stream: int) -> None:
        """Remove the body of a cancelled or ended stream."""
        self.urgent_queue.pop(stream, None)
        self.bulk_queue.pop(stream, None)

    def send_queued(self) -> None:
        """Send parts of the queued bodies until the transport is congested."""
        while not self.congested:
            queue = self.urgent_queue or self.bulk_queue
            if not queue:
                return
            stream, body = next(iter(queue.items()))
            del queue[stream]
            self.send(body.next_frame())
            if body.is_sent:
                if body.on_sent is not None:
                    body.on_sent()
                continue
            if body.is_sendable:
                queue[stream] = body
            body.update_flow()

    def pauseProducing(self) -> None:
        """Stop sending bodies, since the transport's buffer is full."""
        self.congested = True

    def resumeProducing(self) -> None:
        """Resume sending the queued bodies."""
        self.congested = False
        self.send_queued()

    def stopProducing(self) -> None:
        """Discard the queued bodies."""
        self.urgent_queue.clear()
        self.bulk_queue.clear()


__all__ = ["LinkWriter"]
