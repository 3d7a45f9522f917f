"""Pool of the connections to one backend server."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.protocol import ClientFactory

from briarslip.connection.backend_connection import BackendConnection
from briarslip.connection.header_conventions import DEFAULT_CONVENTIONS
from briarslip.connection.input_scheduler import InputScheduler
from briarslip.request.call import Load
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from twisted.internet.interfaces import IAddress
    from twisted.internet.interfaces import IConnector
    from twisted.python.failure import Failure as TwistedFailure

    from briarslip.address import Address
    from briarslip.connection.crash_detector import CrashDetector
    from briarslip.connection.header_conventions import HeaderConventions
    from briarslip.request.call import Call
    from briarslip.request.call import ResponseHead
    from briarslip.request.call import ResponseSink


CONNECT_TIMEOUT_SECONDS = 1.0
# The server may have closed or lost a connection that was idle for longer, so that
# a request sent on it might run without its response arriving.
MAX_IDLE_NON_IDEMPOTENT_SECONDS = 2.0
MAX_IDLE_SECONDS = 20.0
# A call cancelled after this long without a response head suggests that the other
# connections that have been idle since before it are broken too.
UNRESPONSIVE_AFTER_SECONDS = 1.0
# Calls whose connection is lost are held as long; the server is on the same machine.
PROBE_TIMEOUT_SECONDS = 0.25
# A process that ends closes its connections one by one.
MAX_END_SECONDS = 0.5
LOST_CONNECTION_REASONS = frozenset((Reason.CONNECTION_LOST, Reason.TRUNCATED))


def _ignore_restart() -> None:
    """Do nothing at a sign of a restart."""


class BackendPool:
    """Opens connections on demand and reuses the most recently used idle one.

    ``slots`` is the number of requests that the server runs at a time. If
    ``crash_detector`` is set, it learns of each call whose connection is lost.
    ``on_restart_sign`` is called when the server refuses a connection or has closed all
    of them within a short time.
    """

    def __init__(
        self,
        reactor: Any,
        address: Address,
        slots: int,
        connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
        conventions: HeaderConventions = DEFAULT_CONVENTIONS,
        keepalive_seconds: int | None = None,
    ) -> None:
        self.keepalive_seconds = keepalive_seconds
        self.reactor = reactor
        self.scheduler = InputScheduler(reactor)
        self.address = address
        self.slots = slots
        self.connect_timeout_seconds = connect_timeout_seconds
        self.conventions = conventions
        self.in_flight = 0
        self.idle: list[BackendConnection] = []
        self.connections: set[BackendConnection] = set()
        self.closed = False
        self.crash_detector: CrashDetector | None = None
        self.on_restart_sign: Callable[[], None] = _ignore_restart
        self.end_began_at = self.last_closed_at = -math.inf

    @property
    def load(self) -> Load:
        """The number of requests at the server and its slots."""
        return Load(self.in_flight, self.slots)

    def __call__(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Send a call to the server and return the function that cancels it."""
        self.in_flight += 1
        exchange = BackendExchange(self, call, sink)
        connection = self._pop_idle(call)
        if connection is not None:
            exchange.start(connection)
        else:
            factory = ConnectionFactory(self, exchange)
            self.reactor.connectTCP(
                self.address.host,
                self.address.port,
                factory,
                timeout=self.connect_timeout_seconds,
            )
        return exchange.cancel

    def probe(self, on_result: Callable[[bool], None]) -> None:
        """Try to open a connection; call back with whether the server refuses it."""
        self.reactor.connectTCP(
            self.address.host,
            self.address.port,
            ProbeFactory(self, on_result),
            timeout=PROBE_TIMEOUT_SECONDS,
        )

    def new_connection(
        self, on_connected: Callable[[BackendConnection], None]
    ) -> BackendConnection:
        """Return a connection of this pool that is about to be established."""
        connection = BackendConnection(
            load=lambda: self.load,
            on_idle=self.release,
            on_lost=self.remove,
            on_connected=on_connected,
            scheduler=self.scheduler,
            conventions=self.conventions,
            keepalive_seconds=self.keepalive_seconds,
        )
        connection.connected_at = self.reactor.seconds()
        self.connections.add(connection)
        return connection

    def _pop_idle(self, call: Call) -> BackendConnection | None:
        """Remove and return the last used idle connection.

        Return None if it has been idle for too long for this call.
        """
        max_idle_seconds = (
            MAX_IDLE_SECONDS if call.idempotent else MAX_IDLE_NON_IDEMPOTENT_SECONDS
        )
        idle_since_limit = self.reactor.seconds() - max_idle_seconds
        if self.idle and self.idle[-1].idle_since >= idle_since_limit:
            return self.idle.pop()
        self.close_idle(self.reactor.seconds() - MAX_IDLE_SECONDS)
        return None

    def close_idle(self, before: float) -> None:
        """Close the connections that became idle before a reactor time."""
        for connection in list(self.idle):
            if connection.idle_since < before:
                self.idle.remove(connection)
                connection.transport.loseConnection()

    def release(self, connection: BackendConnection) -> None:
        """Return a connection to the pool for the next call."""
        if self.closed:
            connection.transport.loseConnection()
            return
        connection.idle_since = self.reactor.seconds()
        self.idle.append(connection)

    def close(self) -> None:
        """Close idle connections now, and the others after their response."""
        self.closed = True
        for connection in self.connections:
            connection.close_after_response = True
        self.close_idle(float("inf"))

    def remove(self, connection: BackendConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        if connection.closed_by_server and not self.closed:
            self._closed_by_server()

    def _closed_by_server(self) -> None:
        """Report a sign of a restart if no connection is left from before it."""
        now = self.reactor.seconds()
        if now - self.last_closed_at > MAX_END_SECONDS:
            self.end_began_at = now
        self.last_closed_at = now
        if all(one.connected_at > self.end_began_at for one in self.connections):
            self.on_restart_sign()

    def connection_failed(self, reason: TwistedFailure | None) -> None:
        """Report a sign of a restart if a connection was refused."""
        if reason is not None and reason.check(RefusedError) and not self.closed:
            self.on_restart_sign()


class BackendExchange:
    """One request to the backend server and its response."""

    def __init__(self, pool: BackendPool, call: Call, sink: ResponseSink) -> None:
        self.pool = pool
        self.call = call
        self.sink: ResponseSink | None = sink
        self.connection: BackendConnection | None = None
        self.started_at = pool.reactor.seconds()
        self.ended = False

    def start(self, connection: BackendConnection) -> None:
        """Send the request, or release the connection if it was cancelled."""
        if self.ended:
            self.pool.release(connection)
            return
        self.connection = connection
        connection.start(self.call, self)

    def head(self, head: ResponseHead) -> None:
        """Forward the response head."""
        if self.sink is not None:
            self.sink.head(head)

    def body(self, data: bytes, last: bool) -> None:
        """Forward a part of the body."""
        sink = self.sink
        if last:
            self._finish()
        if sink is not None:
            sink.body(data, last)

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Forward a failure, if the connection was lost once its cause is known."""
        detector = self.pool.crash_detector
        if (
            detector is None
            or self.ended
            or failure.reason not in LOST_CONNECTION_REASONS
        ):
            self._fail(failure, load)
            return
        detector.connection_lost(
            self.call,
            failure.reason,
            lambda reason: self._fail(replace(failure, reason=reason), load),
        )

    def _fail(self, failure: Failure, load: Load | None) -> None:
        sink = self.sink
        self._finish()
        if sink is not None:
            sink.failed(failure, load)

    def cancel(self) -> None:
        """Cancel the request by closing its connection."""
        if self.ended:
            return
        self._finish()
        if self.connection is not None:
            waited_seconds = self.pool.reactor.seconds() - self.started_at
            if (
                self.connection.response_head is None
                and waited_seconds >= UNRESPONSIVE_AFTER_SECONDS
            ):
                self.pool.close_idle(self.started_at)
            self.connection.cancel()

    def _finish(self) -> None:
        """Stop counting the request and break the reference cycle with its sink."""
        if not self.ended:
            self.ended = True
            self.sink = None
            self.pool.in_flight -= 1


class ConnectionFactory(ClientFactory):
    """Opens one connection for one waiting request."""

    noisy = False

    def __init__(self, pool: BackendPool, exchange: BackendExchange) -> None:
        self.pool = pool
        self.exchange: BackendExchange | None = exchange

    def buildProtocol(self, addr: IAddress | None) -> BackendConnection | None:
        """Build the connection, which sends the request once established.

        The factory lives as long as the connection, so it must not keep the request.
        """
        exchange, self.exchange = self.exchange, None
        return None if exchange is None else self.pool.new_connection(exchange.start)

    def clientConnectionFailed(
        self, connector: IConnector, reason: TwistedFailure
    ) -> None:
        """Fail the request as not run, since nothing was sent."""
        self.pool.connection_failed(reason)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            failure = Failure(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
            exchange.failed(failure, self.pool.load)


class ProbeFactory(ClientFactory):
    """Opens one connection to learn whether the server accepts it, and keeps it."""

    noisy = False

    def __init__(self, pool: BackendPool, on_result: Callable[[bool], None]) -> None:
        self.pool = pool
        self.on_result = on_result

    def buildProtocol(self, addr: IAddress | None) -> BackendConnection:
        """Build the connection, which is idle once established."""
        return self.pool.new_connection(self._accepted)

    def _accepted(self, connection: BackendConnection) -> None:
        self.pool.release(connection)
        self.on_result(False)

    def clientConnectionFailed(
        self, connector: IConnector, reason: TwistedFailure
    ) -> None:
        """Report whether the connection was refused; a timeout shows no crash."""
        self.pool.connection_failed(reason)
        self.on_result(reason.check(RefusedError) is not None)


__all__ = ["BackendPool"]
