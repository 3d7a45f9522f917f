"""Closing of sockets without the loss of requests that have arrived.

A reactor closes a listening socket or a connection one iteration after it is told
to, and reads nothing in between. What arrived meanwhile would be reset.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.main import CONNECTION_DONE
from twisted.python.failure import Failure


if TYPE_CHECKING:
    from collections.abc import Callable


def close_listener(port: Any, count_accepted: Callable[[], int]) -> None:
    """Accept all connections that wait in the backlog, then close the socket at once.

    ``count_accepted`` returns the number of open connections of the port's factory.
    """
    before = -1
    while count_accepted() > before:
        before = count_accepted()
        port.doRead()
    port.stopReading()
    port.connectionLost(Failure(CONNECTION_DONE))


def has_unsent_data(transport: Any) -> bool:
    """Return whether the transport holds bytes that the socket has not accepted."""
    return bool(
        getattr(transport, "dataBuffer", b"")
        or getattr(transport, "_tempDataBuffer", ())
    )


def read_pending(transport: Any) -> None:
    """Deliver the bytes that the socket has received to the protocol."""
    read = getattr(transport, "doRead", None)
    if read is not None and transport.connected and not transport.disconnecting:
        # The reactor meets the end of the stream again, and handles it.
        read()


def close_writing(transport: Any) -> None:
    """Close the write side: at once if everything written has been sent.

    The read side stays open, so that the other end can read all of a response even
    if it has sent more meanwhile.
    """
    if hasattr(transport, "getHandle") and not has_unsent_data(transport):
        try:
            transport.getHandle().shutdown(socket.SHUT_WR)
        except OSError:
            # The other end has closed: the reactor meets the error when it reads.
            return
        return
    transport.loseWriteConnection()


__all__ = ["close_listener", "close_writing", "has_unsent_data", "read_pending"]
