"""TCP socket options of the daemon."""

from __future__ import annotations

import socket
from typing import Any


TCP_USER_TIMEOUT_MS = 2000
# Unanswered probes after which a connection is lost; the system's default is 9.
KEEPALIVE_PROBES = 2


def set_socket_options(
    transport: Any,
    keepalive_seconds: int | None = None,
    user_timeout_ms: int | None = TCP_USER_TIMEOUT_MS,
) -> None:
    """Disable Nagle's algorithm, and set keepalive and the TCP user timeout.

    ``keepalive_seconds`` is the interval of probes on an idle connection, which is
    lost after ``KEEPALIVE_PROBES`` without an answer; None for those of the system.
    The user timeout also ends connections whose other end reads nothing for that time;
    None for no such timeout.
    """
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = getattr(transport, "getHandle", None)
    option = getattr(socket, "TCP_USER_TIMEOUT", None)
    if handle is not None and option is not None and user_timeout_ms is not None:
        handle().setsockopt(socket.IPPROTO_TCP, option, user_timeout_ms)
    if handle is not None and keepalive_seconds is not None:
        for name, value in (
            ("TCP_KEEPIDLE", keepalive_seconds),
            ("TCP_KEEPINTVL", keepalive_seconds),
            ("TCP_KEEPCNT", KEEPALIVE_PROBES),
        ):
            keepalive_option = getattr(socket, name, None)
            if keepalive_option is not None:
                handle().setsockopt(socket.IPPROTO_TCP, keepalive_option, value)


__all__ = ["set_socket_options"]
