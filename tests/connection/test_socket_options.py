"""Tests of the socket options."""

from __future__ import annotations

import socket
import unittest

from briarslip.connection.socket_options import set_socket_options


class Transport:
    """A transport over a real socket."""

    def __init__(self) -> None:
        self.socket = socket.socket()

    def getHandle(self) -> socket.socket:  # noqa: N802 (Twisted)
        """Return the socket."""
        return self.socket

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802 (Twisted)
        """Set the option as Twisted does."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, enabled)

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802 (Twisted)
        """Set the option as Twisted does."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, enabled)


class SocketOptionsTest(unittest.TestCase):
    """A connection that went silent is noticed soon if probes are asked for."""

    def test_probes_start_after_the_given_time(self) -> None:
        for seconds in (1, None):
            with self.subTest(seconds):
                transport = Transport()
                self.addCleanup(transport.socket.close)
                default = transport.socket.getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_KEEPIDLE
                )
                set_socket_options(transport, seconds)
                if seconds is not None:
                    probes = transport.socket.getsockopt(
                        socket.IPPROTO_TCP, socket.TCP_KEEPCNT
                    )
                    # Lost within 3 s: a second, and two probes a second apart.
                    self.assertEqual(2, probes)
                for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
                    value = transport.socket.getsockopt(socket.IPPROTO_TCP, option)
                    if seconds is not None:
                        self.assertEqual(seconds, value)
                self.assertEqual(
                    seconds or default,
                    transport.socket.getsockopt(
                        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE
                    ),
                )


if __name__ == "__main__":
    unittest.main()
