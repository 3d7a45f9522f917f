"""HTTP server for callers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.protocol import ServerFactory
from twisted.web import http

from briarslip.connection.buffer_budget import BufferBudget
from briarslip.connection.caller_connection import CallerConnection
from briarslip.connection.caller_limits import DEFAULT_LIMITS
from briarslip.connection.caller_limits import default_retry_after_seconds
from briarslip.connection.caller_request import make_request
from briarslip.connection.caller_timeouts import close_if_inactive
from briarslip.connection.client_errors import ClientErrors
from briarslip.connection.connection_table import ConnectionTable
from briarslip.connection.connection_table import no_limit
from briarslip.connection.header_conventions import DEFAULT_CONVENTIONS
from briarslip.connection.http_head import HeadError
from briarslip.connection.input_scheduler import InputScheduler
from briarslip.process.clock import SystemClock
from briarslip.process.error_log import run_each
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.request.body import EMPTY_BODY
from briarslip.request.flow_control import FlowControl
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IAddress

    from briarslip.connection.caller_limits import CallerLimits
    from briarslip.connection.header_conventions import HeaderConventions
    from briarslip.connection.http_head import RequestHead
    from briarslip.request.call import ResponseSink
    from briarslip.request.forwarder import CallerRequest


SWEEP_SECONDS = 0.5
CLOSING_SWEEP_SECONDS = 0.1


def _wait_for_response(head: RequestHead) -> bool:
    """Return false: each request waits for the response before it."""
    return False


class CallerHttpFactory(ServerFactory):
    """Builds the connections of callers and closes inactive ones.

    ``added_headers`` are header lines appended to those of each request.
    ``retry_after_seconds`` returns the seconds for the Retry-After header of a request
    that was not run, from the estimate of the daemon that rejected it. ``budget``
    limits what is buffered. ``max_connections`` returns the largest number of
    connections. ``may_repeat`` returns whether a request may be forwarded while the one
    before it on the connection has not been answered.
    ``accepts_key`` returns whether the key of a request whose body is still to be
    received is accepted. ``client_errors`` counts the requests ended with 3xx or 4xx.
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
        budget: BufferBudget | None = None,
        max_connections: Callable[[], int] = no_limit,
        may_repeat: Callable[[RequestHead], bool] = _wait_for_response,
        accepts_key: Callable[[CallerRequest], bool] = lambda _: True,
        client_errors: ClientErrors | None = None,
    ) -> None:
        self.may_repeat = may_repeat
        self.reactor = reactor
        self.scheduler = InputScheduler(reactor)
        self.forward = forward
        self.limits = limits
        self.conventions = conventions
        self.added_headers = added_headers
        self.accepts_key = accepts_key
        self.client_errors = client_errors or ClientErrors()
        self.retry_after_seconds = retry_after_seconds
        self.budget = budget or BufferBudget.unlimited(SystemClock())
        self.table = ConnectionTable[CallerConnection](max_connections)
        self.in_flight = 0
        self.draining = False
        self.closing = False
        self.sweep_call: Any = None

    @property
    def connections(self) -> set[CallerConnection]:
        """The open connections."""
        return self.table.connections

    def add(self, connection: CallerConnection) -> None:
        """Add a connection, and close another one if there are too many."""
        surplus = self.table.add(connection)
        if surplus is not None:
            emit(Event.CONNECTIONS_FULL, connections=len(self.connections))
            surplus.close_at_once()

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

    def check_key(self, head: RequestHead) -> HeadError | None:
        """Return the error of a request whose key is not accepted."""
        request = make_request(head, EMPTY_BODY, FlowControl(), self.added_headers)
        if self.accepts_key(request):
            return None
        return HeadError(http.UNAUTHORIZED, Reason.UNKNOWN_KEY.value)

    def rejection_line(self, status: int) -> bytes:
        """Return the header line that goes with the status of a rejection."""
        if status == http.UNAUTHORIZED:
            return self.conventions.challenge_line
        if status == http.SERVICE_UNAVAILABLE:
            return self.conventions.retry_after_line(self.retry_after_seconds(None))
        return b""

    @property
    def unfinished_count(self) -> int:
        """The number of requests that are received or served, or whose response waits.

        A response waits until the caller has read enough of what was sent before.
        """
        waiting = sum(c.is_reading or c.has_unsent_response for c in self.connections)
        return self.in_flight + waiting

    def reject_unread(self) -> None:
        """Reject the requests that have been received in part, since the daemon stops.

        Load pattern: a caller sends a body slowly while the daemon is stopped; it
        learns in time that the request has not run.
        """
        reading = tuple(c for c in self.connections if c.is_reading)
        run_each((c.reject_as_not_run for c in reading), Reason.DRAINING)

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
        limits = self.limits()
        connections = tuple(self.connections)
        run_each(
            partial(close_if_inactive, c, limits, self.now, self.closing)
            for c in connections
        )


__all__ = ["CallerHttpFactory"]
