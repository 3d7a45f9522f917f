"""Virtual fleet whose backend servers state a limit of requests a second."""

from __future__ import annotations

import random
from bisect import bisect_left
from functools import partial
from typing import TYPE_CHECKING

from briarslip.process.membership.member import Endpoint
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status
from briarslip.request.admission import Admission
from briarslip.request.call import Load
from briarslip.request.call import ResponseHead
from briarslip.request.call import ServerStatus
from briarslip.request.outcome import Outcome
from standins.virtual_time import VirtualTime
from tests.request.support import ForwarderHarness
from tests.request.support import RecordingSink
from tests.request.support import address


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.address import Address
    from briarslip.request.call import Call
    from briarslip.request.call import ResponseSink
    from tests.request.support import SentCall


SEED = 24
SLOTS = 12
WORK_SECONDS = 0.16
NETWORK_SECONDS = 0.001
WINDOW_SECONDS = 4.0
BURST_FACTOR = 1.5
SLACK_REQUESTS = 5


class LimitedServer:
    """A backend server with its daemon's admission; ``limit`` is what it states."""

    def __init__(self, time: VirtualTime, rng: random.Random) -> None:
        self.time = time
        self.rng = rng
        self.limit: float | None = None
        self.arrivals: list[float] = []
        self.restart_daemon()

    def restart_daemon(self, max_first_calls: int | None = None) -> None:
        """Replace the daemon's admission by one that knows nothing."""
        self.admission = Admission(
            self.time,
            SLOTS,
            self.run,
            self.time.call_later,
            max_first_calls=max_first_calls,
        )

    def run(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Run a call and state the limit that holds when it ends."""
        self.arrivals.append(self.time.monotonic())

        def respond() -> None:
            status = ServerStatus(self.limit)
            load = Load(0, SLOTS)
            sink.head(ResponseHead(200, b"", Outcome.RAN, load, status))
            sink.body(b"", True)

        work_seconds = WORK_SECONDS * self.rng.lognormvariate(-0.125, 0.5)
        return self.time.call_later(work_seconds, respond).cancel

    def count(self, begin: float, end: float) -> int:
        """Return the number of calls that arrived in a span of time."""
        return bisect_left(self.arrivals, end) - bisect_left(self.arrivals, begin)

    def busiest_window(self, begin: float, end: float) -> int:
        """Return the most calls in any four seconds of a span of time."""
        starts = [at for at in self.arrivals if begin <= at <= end - WINDOW_SECONDS]
        return max((self.count(at, at + WINDOW_SECONDS) for at in starts), default=0)


class LimitedFleet:
    """Daemons that forward requests to ``servers`` backend servers of one service."""

    def __init__(self, daemons: int, servers: int = 1) -> None:
        self.time = VirtualTime()
        self.rng = random.Random(SEED)
        self.servers: dict[Address, LimitedServer] = {
            address(number): LimitedServer(self.time, self.rng)
            for number in range(servers)
        }
        endpoints = (Endpoint("holds", "1", SLOTS, 100, False),)
        members = [
            Member(peer, "klang", "default", 1, Status.ALIVE, 1, endpoints)
            for peer in self.servers
        ]
        self.daemons = [
            ForwarderHarness(*members, seed=number, time=self.time)
            for number in range(daemons)
        ]
        for daemon in self.daemons:
            daemon.on_send = self.deliver
        self.sinks: list[RecordingSink] = []

    def deliver(self, sent: SentCall) -> None:
        """Pass a call on to the daemon of its server."""
        self.time.call_later(NETWORK_SECONDS, self.submit, sent)

    def submit(self, sent: SentCall) -> None:
        """Hand a call to the admission of its server."""
        if not sent.cancelled:
            self.servers[sent.address].admission(sent.call, sent.sink)

    def schedule_requests(
        self, per_second: float, begin: float, end: float, daemons: int | None = None
    ) -> None:
        """Schedule random requests at the first ``daemons`` daemons, or at all."""
        origins = self.daemons[:daemons]
        at = begin
        while (at := at + self.rng.expovariate(per_second)) < end:
            origin = self.rng.choice(origins)
            self.time.call_later(at, partial(self._request, origin))

    def _request(self, origin: ForwarderHarness) -> None:
        sink, _ = origin.request("GET")
        self.sinks.append(sink)


def allowed_requests(limit: float) -> float:
    """Return how many requests a limit allows in four seconds, by the users' rule."""
    return BURST_FACTOR * limit * WINDOW_SECONDS + SLACK_REQUESTS


__all__ = [
    "SLOTS",
    "WINDOW_SECONDS",
    "LimitedFleet",
    "LimitedServer",
    "allowed_requests",
]
