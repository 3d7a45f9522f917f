"""The connections to one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.protocol import ClientFactory

from briarslip.connection.backend_connection import BackendConnection
from briarslip.connection.header_conventions import DEFAULT_CONVENTIONS
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
    from briarslip.connection.header_conventions import HeaderConventions
    from briarslip.request.call import Call
    from briarslip.request.call import ResponseHead
    from briarslip.request.call import ResponseSink


CONNECT_TIMEOUT_SECONDS = 1.0
# A connection idle for longer may be closed or lost track of at the other end,
# so that what is sent on it might run without its answer coming back.
MAX_IDLE_NON_IDEMPOTENT_SECONDS = 2.0
MAX_IDLE_SECONDS = 20.0
# A call given up after so long without an answer casts doubt on the connections
# that were idle beside its own.
UNRESPONSIVE_AFTER_SECONDS = 1.0


class BackendPool:
    """Opens connections on demand and reuses the one last used."""

    def __init__(
        self,
        reactor: Any,
        address: Address,
        slots: int,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
        conventions: HeaderConventions = DEFAULT_CONVENTIONS,
    ) -> None:
        self.reactor = reactor
        self.address = address
        self.slots = slots
        self.connect_timeout = connect_timeout
        self.conventions = conventions
        self.in_flight = 0
        self.idle: list[BackendConnection] = []
        self.connections: set[BackendConnection] = set()
        self.closed = False

    @property
    def load(self) -> Load:
        """The requests at the server now."""
        return Load(self.in_flight, self.slots)

    def __call__(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Send a call to the server; the returned function gives it up."""
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
                timeout=self.connect_timeout,
            )
        return exchange.cancel

    def _pop_idle(self, call: Call) -> BackendConnection | None:
        """Return the connection used last, if it can be trusted with a call."""
        max_idle_seconds = (
            MAX_IDLE_SECONDS if call.idempotent else MAX_IDLE_NON_IDEMPOTENT_SECONDS
        )
        idle_since_limit = self.reactor.seconds() - max_idle_seconds
        if self.idle and self.idle[-1].idle_since >= idle_since_limit:
            return self.idle.pop()
        self.close_idle(self.reactor.seconds() - MAX_IDLE_SECONDS)
        return None

    def close_idle(self, before: float) -> None:
        """Close the connections that have been idle since before a time."""
        for connection in list(self.idle):
            if connection.idle_since < before:
                self.idle.remove(connection)
                connection.transport.loseConnection()

    def release(self, connection: BackendConnection) -> None:
        """Keep a connection for the next call."""
        if self.closed:
            connection.transport.loseConnection()
            return
        connection.idle_since = self.reactor.seconds()
        self.idle.append(connection)

    def close(self) -> None:
        """Close the idle connections, and each other one after its answer."""
        self.closed = True
        for connection in self.connections:
            connection.close_after_response = True
        self.close_idle(float("inf"))

    def remove(self, connection: BackendConnection) -> None:
        """Forget a closed connection."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)


class BackendExchange:
    """One request and its answer at the backend server."""

    def __init__(self, pool: BackendPool, call: Call, sink: ResponseSink) -> None:
        self.pool = pool
        self.call = call
        self.sink: ResponseSink | None = sink
        self.connection: BackendConnection | None = None
        self.started_at = pool.reactor.seconds()
        self.ended = False

    def start(self, connection: BackendConnection) -> None:
        """Send the request on a connection."""
        if self.ended:
            self.pool.release(connection)
            return
        self.connection = connection
        connection.start(self.call, self)

    def head(self, head: ResponseHead) -> None:
        """Pass the head on."""
        if self.sink is not None:
            self.sink.head(head)

    def body(self, data: bytes, last: bool) -> None:
        """Pass a body part on."""
        sink = self.sink
        if last:
            self._finish()
        if sink is not None:
            sink.body(data, last)

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Pass a failure on."""
        sink = self.sink
        self._finish()
        if sink is not None:
            sink.failed(failure, load)

    def cancel(self) -> None:
        """Give the request up; the server sees its connection close."""
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
        """Count the request out; leave no reference cycle to collect."""
        if not self.ended:
            self.ended = True
            self.sink = None
            self.pool.in_flight -= 1


class ConnectionFactory(ClientFactory):
    """Opens one connection for one waiting exchange."""

    noisy = False

    def __init__(self, pool: BackendPool, exchange: BackendExchange) -> None:
        self.pool = pool
        self.exchange = exchange

    def buildProtocol(self, addr: IAddress | None) -> BackendConnection:
        """Build the connection; the exchange starts once it is made."""
        pool = self.pool
        connection = BackendConnection(
            load=lambda: pool.load,
            on_idle=pool.release,
            on_lost=pool.remove,
            on_made=self.exchange.start,
            conventions=pool.conventions,
        )
        pool.connections.add(connection)
        return connection

    def clientConnectionFailed(
        self, connector: IConnector, reason: TwistedFailure
    ) -> None:
        """Fail the exchange: nothing was sent."""
        failure = Failure(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
        self.exchange.failed(failure, self.pool.load)


__all__ = ["BackendPool"]
