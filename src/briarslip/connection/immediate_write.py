"""Writes that do not wait for the next turn of the reactor."""

from __future__ import annotations

from typing import Any


def write_immediately(transport: Any, data: bytes) -> None:
    """Send ``data`` at once as far as the socket takes it; buffer the rest.

    ``transport.write`` alone asks the poller for writability, returns to it
    and sends in its next turn: two system calls and one turn more for each
    write. What is buffered already goes first.
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
        # The error comes up again when the transport sends by itself.
        sent = 0
    if sent < len(data):
        transport.write(data[sent:] if sent else data)


__all__ = ["write_immediately"]
