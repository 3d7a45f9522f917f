"""HTTP server for callers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import ServerFactory
from twisted.internet.protocol import connectionDone
from twisted.web import http

from briarslip.connection.caller_exchange import CONNECTION_CLOSE_LINE
from briarslip.connection.caller_exchange import CallerExchange
from briarslip.connection.caller_exchange import error_response
from briarslip.connection.caller_limits import DEFAULT_LIMITS
from briarslip.connection.caller_limits import default_retry_after_seconds
from briarslip.connection.header_conventions import DEFAULT_CONVENTIONS
from briarslip.connection.http_head import HEAD_END
from briarslip.connection.http_head import parse_request_head
from briarslip.connection.immediate_write import write_immediately
from briarslip.connection.request_body import BodyState
from briarslip.connection.request_body import RequestBody
from briarslip.connection.socket_close import close_writing
from briarslip.connection.socket_close import has_unsent_data
from briarslip.connection.socket_close import read_pending
from briarslip.connection.socket_options import set_socket_options
from briarslip.connection.write_progress import WriteProgress
from briarslip.process.error_log import record_error
from briarslip.process.error_log import run_each
from briarslip.request.forwarder import CallerRequest
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IAddress
    from twisted.python.failure import Failure as TwistedFailure

    from briarslip.connection.caller_limits import CallerLimits
    from briarslip.connection.header_conventions import HeaderConventions
    from briarslip.connection.http_head import HeadError
    from briarslip.connection.http_head import RequestHead
    from briarslip.request.call import ResponseSink


MAX_DEPTH = 64
HEAD_TOO_LARGE = 431
SWEEP_SECONDS = 0.5
# Time for requests that are on their way when the idle connections are closed.
CLOSING_IDLE_SECONDS = 0.2
CLOSING_SWEEP_SECONDS = 0.1
# Time for the caller to read the last response and to close its side.
LINGER_SECONDS = 1.0
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerConnection(Protocol):
    """A caller's connection, which handles one request at a time."""

    transport: Any

    def __init__(self, factory: CallerHttpFactory) -> None:
        self.factory = factory
        self.buffer = b""
        self.request_head: RequestHead | None = None
        self.request_body: RequestBody | None = None
        self.exchange: CallerExchange | None = None
        self.close_after_response = factory.draining
        self.closed = False
        self.processing = False
        self.reading = True
        self.paused = False
        self.last_active_at = factory.now
        self.write_progress = WriteProgress()

    def connectionMade(self) -> None:
        """Register the connection and receive backpressure of its transport."""
        # The read timeout alone bounds how long a caller may stop reading.
        set_socket_options(self.transport, user_timeout_ms=None)
        self.transport.registerProducer(self, True)
        self.factory.connections.add(self)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Cancel the current request."""
        self.factory.connections.discard(self)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            self.factory.in_flight -= 1
            exchange.caller_disconnected()

    def dataReceived(self, data: bytes) -> None:
        """Receive bytes; a pipelined request waits for the response before it.

        Bytes that arrive after the last response are discarded.
        """
        if self.closed:
            return
        self.last_active_at = self.factory.now
        self.buffer = self.buffer + data if self.buffer else data
        if self.exchange is None:
            self._process_buffer()
        elif len(self.buffer) > self.factory.limits().head_bytes:
            self.reading = False
            self.transport.pauseProducing()

    def pauseProducing(self) -> None:
        """Pause the response, since the caller reads too slowly."""
        self.paused = True
        if self.exchange is not None:
            self.exchange.flow.set_paused(True)

    def resumeProducing(self) -> None:
        """Resume the response."""
        self.paused = False
        self.last_active_at = self.factory.now
        if self.exchange is not None:
            self.exchange.flow.set_paused(False)

    def stopProducing(self) -> None:
        """Do nothing: ``connectionLost`` cancels the request."""

    def write(self, data: bytes) -> None:
        """Write bytes of a response."""
        self.write_progress.record_write(self.transport, len(data), self.factory.now)
        write_immediately(self.transport, data)

    def response_finished(self) -> None:
        """Continue with the next request, or close the connection."""
        self.exchange = None
        self.factory.in_flight -= 1
        self.last_active_at = self.factory.now
        if self.close_after_response:
            self.close()
            return
        if not self.reading:
            self.reading = True
            self.transport.resumeProducing()
        if self.buffer and not self.processing:
            self._process_buffer()

    def close(self) -> None:
        """Close the write side once everything written has been sent.

        The caller closes its side when it has read the last response; what it sends
        until then would destroy that response if the socket was closed already.
        """
        if self.closed:
            return
        self.closed = True
        self.close_after_response = True
        self.buffer = b""
        self.last_active_at = self.factory.now
        self.transport.unregisterProducer()
        self.paused = False
        if not self.reading:
            self.transport.resumeProducing()
        close_writing(self.transport)

    def close_if_idle(self) -> None:
        """Close the connection, unless a request has arrived meanwhile."""
        read_pending(self.transport)
        if self.exchange is None and self.request_head is None and not self.buffer:
            self.close()

    def abort(self) -> None:
        """Abort the connection, discarding unsent bytes."""
        if self.exchange is not None:
            self.exchange = None
            self.factory.in_flight -= 1
        self.close_after_response = True
        self.buffer = b""
        self.transport.abortConnection()

    def _process_buffer(self) -> None:
        self.processing = True
        while self.buffer and self.exchange is None and self._process_next():
            pass
        self.processing = False

    def _process_next(self) -> bool:
        """Process the buffer up to a head or body; return whether to continue."""
        if self.request_head is None and not self._parse_head():
            return False
        return self._read_body()

    def _parse_head(self) -> bool:
        end = self.buffer.find(HEAD_END)
        max_bytes = self.factory.limits().head_bytes
        if end < 0 and len(self.buffer) <= max_bytes:
            return False
        if not 0 <= end <= max_bytes:
            self.reject(HEAD_TOO_LARGE, "the head is too large")
            return False
        parsed = parse_request_head(self.buffer[: end + 2], self.factory.conventions)
        if isinstance(parsed, Err):
            error: HeadError = parsed.err_value
            self.reject(error.status, error.reason)
            return False
        self.buffer = self.buffer[end + len(HEAD_END) :]
        head = self.request_head = parsed.ok_value
        if head.depth >= MAX_DEPTH:
            self.reject(http.BAD_REQUEST, Reason.BAD_REQUEST.value)
            return False
        if head.length != 0:
            self._begin_body(head)
        return True

    def _begin_body(self, head: RequestHead) -> None:
        self.request_body = RequestBody(head.length, self.factory.limits().body_bytes)
        body_expected = self.request_body.state is BodyState.PARTIAL
        if head.expects_continue and body_expected and not self.buffer:
            self.write(CONTINUE_RESPONSE)

    def _read_body(self) -> bool:
        body = self.request_body
        if body is None:
            self._dispatch(b"")
            return True
        data, self.buffer = self.buffer, b""
        body.feed(data)
        if body.state is BodyState.COMPLETE:
            self.buffer = body.trailing_data
            self._dispatch(body.content)
            return True
        if body.state is BodyState.TOO_LARGE:
            status = http.REQUEST_ENTITY_TOO_LARGE
            self.reject(status, Reason.BODY_TOO_LARGE.value)
        elif body.state is BodyState.MALFORMED:
            self.reject(http.BAD_REQUEST, "the body is malformed")
        return False

    def _dispatch(self, body: bytes) -> None:
        head = self.request_head
        assert head is not None  # The body is read only after its head.
        self.request_head = self.request_body = None
        self.close_after_response = self.close_after_response or not head.keep_alive
        exchange = self.exchange = CallerExchange(self, head)
        exchange.flow.paused = self.paused
        self.factory.in_flight += 1
        request = CallerRequest(
            method=head.method.decode("latin-1"),
            target=head.target.decode("latin-1"),
            headers=head.headers + self.factory.added_headers,
            body=body,
            depth=head.depth,
            timeout_seconds=None if head.timeout_ms is None else head.timeout_ms / 1000,
            flow=exchange.flow,
            host=head.host,
        )
        try:
            cancel = self.factory.forward(request, exchange)
        except Exception as error:
            record_error(error)
            exchange.failed(Failure(Outcome.UNKNOWN, Reason.INTERNAL_ERROR), None)
            return
        if not exchange.ended:
            exchange.cancel = cancel

    def reject(self, status: int, text: str) -> None:
        """Reject a request after which the next can't be found, and close."""
        self.request_head = self.request_body = None
        outcome = self.factory.conventions.outcome_line(Outcome.NOT_RUN.value)
        self.write(error_response(status, text, outcome + CONNECTION_CLOSE_LINE))
        self.close()


class CallerHttpFactory(ServerFactory):
    """Builds the connections of callers and closes inactive ones.

    ``added_headers`` are header lines appended to those of each request.
    ``retry_after_seconds`` returns the seconds for the Retry-After header of a request
    that was not run, from the estimate of the daemon that rejected it.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        forward: Callable[[CallerRequest, ResponseSink], Callable[[], None]],
        limits: Callable[[], CallerLimits] = lambda: DEFAULT_LIMITS,
        conventions: HeaderConventions = DEFAULT_CONVENTIONS,
        added_headers: bytes = b"",
        retry_after_seconds: Callable[
            [float | None], float
        ] = default_retry_after_seconds,
    ) -> None:
        self.reactor = reactor
        self.forward = forward
        self.limits = limits
        self.conventions = conventions
        self.added_headers = added_headers
        self.retry_after_seconds = retry_after_seconds
        self.connections: set[CallerConnection] = set()
        self.in_flight = 0
        self.draining = False
        self.closing = False
        self.sweep_call: Any = None

    @property
    def now(self) -> float:
        """The time of the reactor's clock in seconds."""
        return float(self.reactor.seconds())

    def startFactory(self) -> None:  # noqa: N802 (Twisted)
        """Start to check for inactive connections."""
        self.sweep()

    def stopFactory(self) -> None:  # noqa: N802 (Twisted)
        """Stop checking for inactive connections, unless draining."""
        if (
            self.sweep_call is not None
            and self.sweep_call.active()
            and not self.draining
        ):
            self.sweep_call.cancel()

    def buildProtocol(self, addr: IAddress | None) -> CallerConnection:
        """Build the connection of one caller."""
        return CallerConnection(self)

    def drain(self) -> None:
        """Close each connection after its next response."""
        self.draining = True
        for connection in self.connections:
            connection.close_after_response = True

    def close_idle(self) -> None:
        """Close each connection once it is idle for ``CLOSING_IDLE_SECONDS``.

        Load pattern: most daemons of a zone are restarted one after the other while
        their callers keep sending. Each of them refuses connections from the time
        when its port is closed until it has started again.
        """
        self.closing = True
        if self.sweep_call is not None and self.sweep_call.active():
            self.sweep_call.reset(CLOSING_SWEEP_SECONDS)

    def sweep(self) -> None:
        """Close the connections that have been inactive for too long."""
        seconds = CLOSING_SWEEP_SECONDS if self.closing else SWEEP_SECONDS
        self.sweep_call = self.reactor.callLater(seconds, self.sweep)
        connections = tuple(self.connections)
        run_each(partial(self._close_if_inactive, c) for c in connections)

    def _close_if_inactive(self, connection: CallerConnection) -> None:
        inactive_seconds = self.now - connection.last_active_at
        limits = self.limits()
        transport = connection.transport
        if connection.paused or has_unsent_data(transport):
            # How long the request took says nothing about the caller's reading.
            stalled = connection.write_progress.stalled_seconds(transport, self.now)
            if stalled > limits.idle_timeout_seconds:
                if connection.exchange is not None:
                    connection.exchange.caller_disconnected()
                connection.abort()
            return
        if connection.closed:
            if inactive_seconds > LINGER_SECONDS:
                connection.transport.loseConnection()
            return
        if connection.exchange is not None:
            return
        request_started = connection.buffer or connection.request_head is not None
        idle_limit = (
            CLOSING_IDLE_SECONDS if self.closing else limits.idle_timeout_seconds
        )
        if inactive_seconds <= (
            limits.read_timeout_seconds if request_started else idle_limit
        ):
            return
        if request_started:
            connection.reject(http.REQUEST_TIMEOUT, "the request took too long")
        else:
            connection.close_if_idle()


__all__ = ["CallerConnection", "CallerHttpFactory"]
