"""Socket writes that do not wait for the next iteration of the reactor."""

from __future__ import annotations

from typing import Any


def write_immediately(transport: Any, data: bytes) -> None:
    """Send as much of ``data`` as the socket accepts now and buffer the rest.

    ``transport.write`` registers with the poller and sends in the next iteration
    of the reactor, which costs two more system calls and one more iteration per
    write. If earlier data is still buffered, ``data`` is buffered after it.
    """
    send = getattr(transport, "writeSomeData", None)
    if (
        send is None
        or transport.dataBuffer
        or transport._tempDataBuffer
        or transport.disconnecting
        or not transport.connected
    ):
        transport.write(data)
        return
    sent = send(data)
    if not isinstance(sent, int):
        # The transport meets the error again when it sends, and handles it.
        sent = 0
    if sent < len(data):
        transport.write(data[sent:] if sent else data)


__all__ = ["write_immediately"]
