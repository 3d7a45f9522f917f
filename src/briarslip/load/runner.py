"""Runs a plan against its targets."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from briarslip.load.answer import Verdict
from briarslip.load.answer import check
from briarslip.load.client import LoadConnectionFactory
from briarslip.load.schedule import arrivals
from briarslip.load.tally import Tally


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from typing import Any

    from briarslip.load.answer import Answer
    from briarslip.load.client import LoadConnection
    from briarslip.load.plan import Plan
    from briarslip.load.plan import Target
    from briarslip.load.schedule import Arrival


CONNECT_TIMEOUT_SECONDS = 5.0
# Pollers wait in whole milliseconds, so the last stretch is polled through.
POLL_AHEAD_SECONDS = 0.002


class Runner:
    """Sends each request when it is due, whatever became of the others."""

    def __init__(
        self, plan: Plan, reactor: Any, on_done: Callable[[Tally], None]
    ) -> None:
        self.plan = plan
        self.reactor = reactor
        self.on_done = on_done
        self.tally = Tally()
        self.arrivals: Iterator[Arrival] = arrivals(plan)
        self.next: Arrival | None = None
        self.pools = {t.name: Pool(self, t) for t in plan.targets}
        self.in_flight = 0
        self.began = 0.0

    @property
    def now(self) -> float:
        """Seconds since the run began."""
        return float(self.reactor.seconds()) - self.began

    def start(self) -> None:
        """Begin the run."""
        self.began = self.reactor.seconds()
        if self.plan.arrivals == "closed":
            for _ in range(self.plan.connections * len(self.pools)):
                self._next_closed()
            return
        self.next = next(self.arrivals, None)
        self._send_due()

    def _send_due(self) -> None:
        while self.next is not None and self.next.at <= self.now:
            arrival, self.next = self.next, next(self.arrivals, None)
            self._begin(arrival)
        if self.next is None:
            self._finish_if_idle()
            return
        wait = self.next.at - self.now - POLL_AHEAD_SECONDS
        self.reactor.callLater(max(0.0, wait), self._send_due)

    def _next_closed(self) -> None:
        """Send the next request now; its place in time is when it starts."""
        arrival = next(self.arrivals, None)
        end = (self.plan.warm_up + self.plan.measured).total_seconds()
        if arrival is None or self.now >= end:
            self._finish_if_idle()
            return
        measured = self.now >= self.plan.warm_up.total_seconds()
        self._begin(
            type(arrival)(
                arrival.number, self.now, measured, arrival.target, arrival.kind
            )
        )

    def _begin(self, arrival: Arrival) -> None:
        self.in_flight += 1
        self.tally.started(arrival, self.now - arrival.at)
        Exchange(self, arrival).begin()

    def ended(self) -> None:
        """Go on after the end of a request."""
        self.in_flight -= 1
        if self.plan.arrivals == "closed":
            self._next_closed()
        elif self.next is None:
            self._finish_if_idle()

    def _finish_if_idle(self) -> None:
        if not self.in_flight:
            on_done, self.on_done = self.on_done, _ignore
            on_done(self.tally)


class Pool:
    """The connections to one target."""

    def __init__(self, runner: Runner, target: Target) -> None:
        self.runner = runner
        self.target = target
        self.idle: list[LoadConnection] = []
        self.opened = 0
        self.waiting: deque[Exchange] = deque()

    def take(self, exchange: Exchange) -> None:
        """Give an exchange its connection, now or when one is free."""
        while self.idle:
            connection = self.idle.pop()
            if connection.usable:
                exchange.connected(connection)
                return
            self.opened -= 1
        if self.opened < self.runner.plan.connections:
            self._open(exchange)
        else:
            self.waiting.append(exchange)

    def _open(self, exchange: Exchange) -> None:
        self.opened += 1
        self.runner.reactor.connectTCP(
            self.target.address.host,
            self.target.address.port,
            LoadConnectionFactory(
                exchange.connected, lambda: self._connect_failed(exchange)
            ),
            timeout=CONNECT_TIMEOUT_SECONDS,
        )

    def _connect_failed(self, exchange: Exchange) -> None:
        self.opened -= 1
        exchange.end(Verdict.NOT_CONNECTED)

    def give_back(self, connection: LoadConnection) -> None:
        """Take a connection back and serve the next that waits."""
        if connection.usable:
            self.idle.append(connection)
        else:
            self.opened -= 1
        while self.waiting:
            exchange = self.waiting.popleft()
            if not exchange.ended:
                self.take(exchange)
                return


class Exchange:
    """One request and its answer."""

    def __init__(self, runner: Runner, arrival: Arrival) -> None:
        self.runner = runner
        self.arrival = arrival
        self.pool = runner.pools[arrival.target.name]
        self.request_id = f"{runner.plan.seed}-{arrival.number}"
        self.connection: LoadConnection | None = None
        self.ended = False

    def begin(self) -> None:
        """Ask for a connection and watch the time."""
        timeout = self.runner.plan.timeout.total_seconds()
        self.timer = self.runner.reactor.callLater(timeout, self._time_out)
        self.pool.take(self)

    def connected(self, connection: LoadConnection) -> None:
        """Send the request."""
        if self.ended:
            self.pool.give_back(connection)
            return
        self.connection = connection
        kind = self.arrival.kind
        connection.send(self._request(), kind.method == "HEAD", self._answered)

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

    def _answered(self, answer: Answer | None) -> None:
        if answer is None:
            self.end(Verdict.CUT)
        else:
            verdict = check(self.request_id, self.arrival.kind, answer)
            self.end(verdict, answer.status, answer.outcome)

    def _time_out(self) -> None:
        connection = self.connection
        if connection is not None:
            connection.on_answer = None
            connection.usable = False
            connection.transport.abortConnection()
        self.end(Verdict.TIMED_OUT)

    def end(self, verdict: Verdict, status: int = 0, outcome: str = "") -> None:
        """Record the end and give the connection back."""
        if self.ended:
            return
        self.ended = True
        if self.timer.active():
            self.timer.cancel()
        latency = self.runner.now - self.arrival.at
        self.runner.tally.add(self.arrival, verdict, latency, status, outcome)
        if self.connection is not None:
            self.pool.give_back(self.connection)
        self.runner.ended()


def _ignore(tally: Tally) -> None:
    """Do nothing: the end was reported."""


__all__ = ["Runner"]
