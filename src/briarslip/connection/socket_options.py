"""TCP socket options of the daemon."""

from __future__ import annotations

import socket
from typing import Any


TCP_USER_TIMEOUT_MS = 2000


def set_socket_options(transport: Any) -> None:
    """Disable Nagle's algorithm, and set keepalive and the TCP user timeout."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = getattr(transport, "getHandle", None)
    option = getattr(socket, "TCP_USER_TIMEOUT", None)
    if handle is not None and option is not None:
        handle().setsockopt(socket.IPPROTO_TCP, option, TCP_USER_TIMEOUT_MS)


__all__ = ["set_socket_options"]
