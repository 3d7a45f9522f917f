"""Execution of a load plan against its targets."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from briarslip.load.client import LoadConnectionFactory
from briarslip.load.response import Verdict
from briarslip.load.response import check_response
from briarslip.load.schedule import arrivals
from briarslip.load.tally import Tally


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from typing import Any

    from briarslip.load.client import LoadConnection
    from briarslip.load.plan import LoadPlan
    from briarslip.load.plan import Target
    from briarslip.load.response import Response
    from briarslip.load.schedule import Arrival


CONNECT_TIMEOUT_SECONDS = 5.0
# The reactor's poller rounds timeouts to whole milliseconds. Timers fire this much
# early, and the rest is busy-polled, so that requests start on time.
BUSY_POLL_SECONDS = 0.002


class LoadRunner:
    """Sends requests according to a plan and collects their results.

    In an open loop each request is sent when it is due, whether or not earlier
    ones have ended. ``on_done`` is called once with the results.
    """

    def __init__(
        self, plan: LoadPlan, reactor: Any, on_done: Callable[[Tally], None]
    ) -> None:
        self.plan = plan
        self.reactor = reactor
        self.on_done = on_done
        self.tally = Tally()
        self.arrivals: Iterator[Arrival] = arrivals(plan)
        self.next_arrival: Arrival | None = None
        self.pools = {t.name: ConnectionPool(self, t) for t in plan.targets}
        self.in_flight = 0
        self.started_at = 0.0

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return float(self.reactor.seconds()) - self.started_at

    def start(self) -> None:
        """Start the run."""
        self.started_at = self.reactor.seconds()
        if self.plan.arrivals == "closed":
            for _ in range(self.plan.connections * len(self.pools)):
                self._send_next_closed()
            return
        self.next_arrival = next(self.arrivals, None)
        self._send_due()

    def _send_due(self) -> None:
        while (
            self.next_arrival is not None and self.next_arrival.due_seconds <= self.now
        ):
            arrival, self.next_arrival = self.next_arrival, next(self.arrivals, None)
            self._start_exchange(arrival)
        if self.next_arrival is None:
            self._finish_if_idle()
            return
        wait = self.next_arrival.due_seconds - self.now - BUSY_POLL_SECONDS
        self.reactor.callLater(max(0.0, wait), self._send_due)

    def _send_next_closed(self) -> None:
        """Send the next request of a closed loop at once; it is due at its start."""
        arrival = next(self.arrivals, None)
        end = (self.plan.warm_up + self.plan.measured).total_seconds()
        if arrival is None or self.now >= end:
            self._finish_if_idle()
            return
        is_measured = self.now >= self.plan.warm_up.total_seconds()
        self._start_exchange(
            type(arrival)(
                arrival.number, self.now, is_measured, arrival.target, arrival.kind
            )
        )

    def _start_exchange(self, arrival: Arrival) -> None:
        self.in_flight += 1
        self.tally.record_start(arrival, self.now - arrival.due_seconds)
        Exchange(self, arrival).start()

    def exchange_finished(self) -> None:
        """Continue after the end of an exchange."""
        self.in_flight -= 1
        if self.plan.arrivals == "closed":
            self._send_next_closed()
        elif self.next_arrival is None:
            self._finish_if_idle()

    def _finish_if_idle(self) -> None:
        if not self.in_flight:
            on_done, self.on_done = self.on_done, _already_finished
            on_done(self.tally)


class ConnectionPool:
    """Pool of at most ``plan.connections`` connections to one target."""

    def __init__(self, runner: LoadRunner, target: Target) -> None:
        self.runner = runner
        self.target = target
        self.idle: list[LoadConnection] = []
        self.open_connections = 0
        self.waiting_exchanges: deque[Exchange] = deque()

    def acquire(self, exchange: Exchange) -> None:
        """Give an exchange a connection, at once or when one becomes free."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_reusable:
                exchange.send_on(connection)
                return
            self.open_connections -= 1
        if self.open_connections < self.runner.plan.connections:
            self._open(exchange)
        else:
            self.waiting_exchanges.append(exchange)

    def _open(self, exchange: Exchange) -> None:
        self.open_connections += 1
        self.runner.reactor.connectTCP(
            self.target.address.host,
            self.target.address.port,
            LoadConnectionFactory(
                exchange.send_on, lambda: self._connect_failed(exchange)
            ),
            timeout=CONNECT_TIMEOUT_SECONDS,
        )

    def _connect_failed(self, exchange: Exchange) -> None:
        self.open_connections -= 1
        exchange.finish(Verdict.NOT_CONNECTED)

    def release(self, connection: LoadConnection) -> None:
        """Return a connection to the pool and serve the next waiting exchange."""
        if connection.is_reusable:
            self.idle.append(connection)
        else:
            self.open_connections -= 1
        while self.waiting_exchanges:
            exchange = self.waiting_exchanges.popleft()
            if not exchange.is_finished:
                self.acquire(exchange)
                return


class Exchange:
    """One request and its response."""

    def __init__(self, runner: LoadRunner, arrival: Arrival) -> None:
        self.runner = runner
        self.arrival = arrival
        self.pool = runner.pools[arrival.target.name]
        self.request_id = f"{runner.plan.seed}-{arrival.number}"
        self.connection: LoadConnection | None = None
        self.is_finished = False

    def start(self) -> None:
        """Start the timeout and request a connection."""
        timeout = self.runner.plan.timeout.total_seconds()
        self.timer = self.runner.reactor.callLater(timeout, self._time_out)
        self.pool.acquire(self)

    def send_on(self, connection: LoadConnection) -> None:
        """Send the request on a connection, or release it if the exchange has ended."""
        if self.is_finished:
            self.pool.release(connection)
            return
        self.connection = connection
        kind = self.arrival.kind
        connection.send(self._request(), kind.method == "HEAD", self._response_received)

    def _request(self) -> bytes:
        kind = self.arrival.kind
        address = self.arrival.target.address
        length = ""
        if kind.body_bytes or kind.method in ("POST", "PUT", "PATCH"):
            length = f"Content-Length: {kind.body_bytes}\r\n"
        head = (
            f"{kind.method} {kind.path} HTTP/1.1\r\nHost: {address}\r\n"
            f"Request-Id: {self.request_id}\r\n{length}\r\n"
        )
        return head.encode() + b"x" * kind.body_bytes

    def _response_received(self, response: Response | None) -> None:
        if response is None:
            self.finish(Verdict.TRUNCATED)
        else:
            verdict = check_response(self.request_id, self.arrival.kind, response)
            self.finish(verdict, response.status, response.outcome)

    def _time_out(self) -> None:
        connection = self.connection
        if connection is not None:
            connection.on_response = None
            connection.is_reusable = False
            connection.transport.abortConnection()
        self.finish(Verdict.TIMED_OUT)

    def finish(self, verdict: Verdict, status: int = 0, outcome: str = "") -> None:
        """Record the result once and release the connection."""
        if self.is_finished:
            return
        self.is_finished = True
        if self.timer.active():
            self.timer.cancel()
        latency = self.runner.now - self.arrival.due_seconds
        self.runner.tally.record_result(self.arrival, verdict, latency, status, outcome)
        if self.connection is not None:
            self.pool.release(self.connection)
        self.runner.exchange_finished()


def _already_finished(tally: Tally) -> None:
    """Ignore a second report of the end."""


__all__ = ["LoadRunner"]
