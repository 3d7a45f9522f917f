"""The connections of the load generator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone
from twisted.web import http

from briarslip.load.response import Response


if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from twisted.internet.interfaces import IAddress
    from twisted.internet.interfaces import IConnector
    from twisted.python.failure import Failure


HEADER_END = b"\r\n\r\n"


class LoadConnection(Protocol):
    """Sends one request at a time and collects each complete response.

    The connection can be used again after a response while ``is_reusable`` is set.
    """

    transport: Any

    def __init__(self, on_connected: Callable[[LoadConnection], None]) -> None:
        self.on_connected = on_connected
        self.on_response: Callable[[Response | None], None] | None = None
        self.is_reusable = True
        self._reset(b"")

    def _reset(self, rest: bytes) -> None:
        self.buffer = rest
        self.status = 0
        self.outcome = ""
        self.body_bytes_left: int | None = None
        self.body_parts: list[bytes] = []
        self.decoder: Any = None
        self.in_body = False

    def connectionMade(self) -> None:
        """Notify the owner that the connection is established."""
        self.transport.setTcpNoDelay(True)
        self.on_connected(self)

    def send(
        self,
        request: bytes,
        has_no_body: bool,
        on_response: Callable[[Response | None], None],
    ) -> None:
        """Send a request; ``on_response`` gets the response, None if it was cut short.

        With ``has_no_body``, the response ends after its header (HEAD requests).
        """
        self._reset(b"")
        self.has_no_body = has_no_body
        self.on_response = on_response
        self.transport.write(request)

    def dataReceived(self, data: bytes) -> None:
        """Receive bytes of the response; unsolicited bytes abort the connection."""
        if self.on_response is None:
            self.transport.abortConnection()
        elif self.in_body:
            self._receive_body(data)
        else:
            self.buffer += data
            self._parse_head()

    def _parse_head(self) -> None:
        head, separator, rest = self.buffer.partition(HEADER_END)
        if not separator:
            return
        lines = head.split(b"\r\n")
        self.status = int(lines[0].split(b" ", 2)[1])
        if self.status < 200:
            self.buffer = rest
            self._parse_head()
            return
        self.in_body = True
        chunked = self._parse_headers(lines[1:])
        if self.has_no_body or self.status in (204, 304):
            self.body_bytes_left = 0
        elif chunked:
            self.decoder = http._ChunkedTransferDecoder(
                self.body_parts.append, self._finish_response
            )
        self._receive_body(rest)

    def _parse_headers(self, lines: list[bytes]) -> bool:
        chunked = False
        for line in lines:
            name, _, value = line.partition(b":")
            match name.lower():
                case b"content-length":
                    self.body_bytes_left = int(value)
                case b"transfer-encoding":
                    chunked = True
                case b"connection":
                    self.is_reusable = value.strip().lower() != b"close"
                case b"briarslip-outcome":
                    self.outcome = value.strip().decode("latin-1")
        return chunked

    def _receive_body(self, data: bytes) -> None:
        if self.decoder is not None:
            self.decoder.dataReceived(data)
            return
        self.body_parts.append(data)
        if self.body_bytes_left is None:
            self.is_reusable = False
            return
        self.body_bytes_left -= len(data)
        if self.body_bytes_left <= 0:
            self._finish_response(b"")

    def _finish_response(self, rest: bytes) -> None:
        if rest or (self.body_bytes_left is not None and self.body_bytes_left < 0):
            self.is_reusable = False
        if not self.is_reusable:
            self.transport.loseConnection()
        self._deliver(Response(self.status, self.outcome, b"".join(self.body_parts)))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report a pending response as cut short."""
        self.is_reusable = False
        self._deliver(None)

    def _deliver(self, response: Response | None) -> None:
        on_response, self.on_response = self.on_response, None
        if on_response is not None:
            on_response(response)


class LoadConnectionFactory(ClientFactory):
    """Builds the protocol of one connection."""

    noisy = False

    def __init__(
        self,
        on_connected: Callable[[LoadConnection], None],
        on_failed: Callable[[], None],
    ) -> None:
        self.on_connected = on_connected
        self.on_failed = on_failed

    def buildProtocol(self, addr: IAddress | None) -> LoadConnection:
        """Return the protocol of the new connection."""
        return LoadConnection(self.on_connected)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        """Notify the owner that the connection could not be established."""
        self.on_failed()


__all__ = ["LoadConnection", "LoadConnectionFactory"]
