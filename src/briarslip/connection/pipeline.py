"""Requests that a caller sends before its previous one has been answered."""

from __future__ import annotations

from collections import deque
from functools import partial
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.connection.caller_exchange import CallerExchange
    from briarslip.connection.http_head import RequestHead
    from briarslip.request.call import Load
    from briarslip.request.call import ResponseHead
    from briarslip.request.outcome import Failure


# Requests of one connection that are forwarded ahead of their turn.
MAX_PIPELINED = 8
# A response that waits for its turn is read up to this size, which frees the slot of
# most servers.
MAX_HELD_BYTES = 64 << 10
# The response is paused only after a read that exceeds the limit.
MAX_READ_BYTES = 64 << 10
RESERVED_BYTES = MAX_HELD_BYTES + MAX_READ_BYTES


class PipelinedResponse:
    """Sink that holds a response back until those before it have been written."""

    def __init__(self, exchange: CallerExchange) -> None:
        self.exchange = exchange
        self.held: list[Callable[[], None]] = []
        self.held_bytes = 0
        self.is_released = False

    def head(self, head: ResponseHead) -> None:
        """Receive the status and headers."""
        self._pass_on(partial(self.exchange.head, head))

    def body(self, data: bytes, last: bool) -> None:
        """Receive a part of the body."""
        if not self.is_released:
            self.held_bytes += len(data)
            if self.held_bytes > MAX_HELD_BYTES:
                self.exchange.flow.set_paused(True)
        self._pass_on(partial(self.exchange.body, data, last))

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Receive the failure that ends the response."""
        self._pass_on(partial(self.exchange.failed, failure, load))

    def _pass_on(self, event: Callable[[], None]) -> None:
        if self.is_released:
            event()
        else:
            self.held.append(event)

    def release(self) -> None:
        """Write what has been held back, and the rest as it arrives."""
        self.is_released = True
        held, self.held = self.held, []
        self.held_bytes = 0
        for event in held:
            event()


class Pipeline:
    """The requests of a connection that are forwarded while another one is answered.

    Load pattern: a caller sends several requests at once. If they were forwarded one
    after the other, the last would wait for the sum of all their times. Only requests
    that may be repeated are forwarded ahead: the caller sends them again if the
    connection ends before.
    """

    def __init__(self) -> None:
        self.responses: deque[PipelinedResponse] = deque()

    def __len__(self) -> int:
        return len(self.responses)

    @property
    def is_full(self) -> bool:
        """Whether no more requests are forwarded ahead of their turn."""
        return len(self.responses) >= MAX_PIPELINED

    @property
    def reserved_bytes(self) -> int:
        """The most bytes that responses may hold while they wait for their turn."""
        return len(self.responses) * RESERVED_BYTES

    def add(self, exchange: CallerExchange) -> PipelinedResponse:
        """Add a request; return the sink for its response."""
        response = PipelinedResponse(exchange)
        self.responses.append(response)
        return response

    def pop(self) -> PipelinedResponse:
        """Remove and return the response whose turn it is."""
        return self.responses.popleft()

    def cancel(self) -> int:
        """Cancel all requests; return their number."""
        responses, self.responses = self.responses, deque()
        for response in responses:
            response.exchange.caller_disconnected()
        return len(responses)


def is_simple(head: RequestHead) -> bool:
    """Return whether a request has no body and does not end its connection."""
    return head.length == 0 and head.keep_alive and head.minor_version == b"1"


__all__ = [
    "MAX_PIPELINED",
    "RESERVED_BYTES",
    "Pipeline",
    "PipelinedResponse",
    "is_simple",
]
