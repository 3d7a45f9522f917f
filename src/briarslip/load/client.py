"""The connections of the load generator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone
from twisted.web import http

from briarslip.load.answer import Answer


if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from twisted.internet.interfaces import IAddress
    from twisted.internet.interfaces import IConnector
    from twisted.python.failure import Failure


HEAD_END = b"\r\n\r\n"


class LoadConnection(Protocol):
    """Sends one request after the other and collects each whole answer."""

    transport: Any

    def __init__(self, on_made: Callable[[LoadConnection], None]) -> None:
        self.on_made = on_made
        self.on_answer: Callable[[Answer | None], None] | None = None
        self.usable = True
        self._reset(b"")

    def _reset(self, rest: bytes) -> None:
        self.buffer = rest
        self.status = 0
        self.outcome = ""
        self.left: int | None = None
        self.parts: list[bytes] = []
        self.decoder: Any = None
        self.in_body = False

    def connectionMade(self) -> None:
        """Report the connection."""
        self.transport.setTcpNoDelay(True)
        self.on_made(self)

    def send(
        self, request: bytes, bodiless: bool, on_answer: Callable[[Answer | None], None]
    ) -> None:
        """Send a request; ``on_answer`` gets its answer, None if it is cut."""
        self._reset(b"")
        self.bodiless = bodiless
        self.on_answer = on_answer
        self.transport.write(request)

    def dataReceived(self, data: bytes) -> None:
        """Take bytes of the answer."""
        if self.on_answer is None:
            self.transport.abortConnection()
        elif self.in_body:
            self._take_body(data)
        else:
            self.buffer += data
            self._take_head()

    def _take_head(self) -> None:
        head, separator, rest = self.buffer.partition(HEAD_END)
        if not separator:
            return
        lines = head.split(b"\r\n")
        self.status = int(lines[0].split(b" ", 2)[1])
        if self.status < 200:
            self.buffer = rest
            self._take_head()
            return
        self.in_body = True
        chunked = self._take_headers(lines[1:])
        if self.bodiless or self.status in (204, 304):
            self.left = 0
        elif chunked:
            self.decoder = http._ChunkedTransferDecoder(self.parts.append, self._end)
        self._take_body(rest)

    def _take_headers(self, lines: list[bytes]) -> bool:
        chunked = False
        for line in lines:
            name, _, value = line.partition(b":")
            match name.lower():
                case b"content-length":
                    self.left = int(value)
                case b"transfer-encoding":
                    chunked = True
                case b"connection":
                    self.usable = value.strip().lower() != b"close"
                case b"briarslip-outcome":
                    self.outcome = value.strip().decode("latin-1")
        return chunked

    def _take_body(self, data: bytes) -> None:
        if self.decoder is not None:
            self.decoder.dataReceived(data)
            return
        self.parts.append(data)
        if self.left is None:
            self.usable = False
            return
        self.left -= len(data)
        if self.left <= 0:
            self._end(b"")

    def _end(self, rest: bytes) -> None:
        if rest or (self.left is not None and self.left < 0):
            self.usable = False
        if not self.usable:
            self.transport.loseConnection()
        self._report(Answer(self.status, self.outcome, b"".join(self.parts)))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report an answer that was cut short."""
        self.usable = False
        self._report(None)

    def _report(self, answer: Answer | None) -> None:
        on_answer, self.on_answer = self.on_answer, None
        if on_answer is not None:
            on_answer(answer)


class LoadConnectionFactory(ClientFactory):
    """Opens one connection."""

    noisy = False

    def __init__(
        self,
        on_made: Callable[[LoadConnection], None],
        on_failed: Callable[[], None],
    ) -> None:
        self.on_made = on_made
        self.on_failed = on_failed

    def buildProtocol(self, addr: IAddress | None) -> LoadConnection:
        """Build the connection."""
        return LoadConnection(self.on_made)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        """Report that there is no connection."""
        self.on_failed()


__all__ = ["LoadConnection", "LoadConnectionFactory"]
