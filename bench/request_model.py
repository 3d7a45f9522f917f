"""Backend servers, forwarders and arrivals in virtual time.

The decisions are the real ones, or those of the thin path to compare with;
only the servers and the way between the daemons are fakes.
"""

from __future__ import annotations

import functools
import random
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import Any

from bench.baseline_policy import BaselineAdmission
from bench.baseline_policy import BaselineForwarder
from briarslip.address import Address
from briarslip.process.membership.member import Endpoint
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status
from briarslip.request.admission import Admission
from briarslip.request.call import Load
from briarslip.request.call import ResponseHead
from briarslip.request.forwarder import CallerRequest
from briarslip.request.forwarder import Dependencies
from briarslip.request.forwarder import Forwarder
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from briarslip.version.record import Route
from briarslip.version.record import Service
from briarslip.version.routing_table import RoutingTable
from standins.virtual_time import VirtualTime


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.call import Call
    from briarslip.request.call import Dispatch
    from briarslip.request.call import ResponseSink


SLOTS = 10
FAILURE_SECONDS = 0.001
NEVER = Address("127.0.0.1", 1)


@dataclass
class ModelServer:
    """A backend server with exponential service times, by route in seconds.

    ``slowness`` falls by ``warms_by`` each second, to 1.
    """

    time: VirtualTime
    rng: random.Random
    means: dict[str, float]
    slowness: float = 1.0
    warms_by: float = 0.0
    failing: bool = False
    runs: int = 0

    def __post_init__(self) -> None:
        self.started = self.time.monotonic()

    def __call__(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Run a call; a cancelled one is only not answered."""
        self.runs += 1
        if self.failing:
            lost = Failure(Outcome.UNKNOWN, Reason.CONNECTION_LOST)
            fail = functools.partial(sink.failed, lost, None)
            return self.time.call_later(FAILURE_SECONDS, fail).cancel
        age = self.time.monotonic() - self.started
        slowness = max(1.0, self.slowness - self.warms_by * age)
        mean = self.means[call.route] * slowness

        def answer() -> None:
            sink.head(ResponseHead(200, b"", Outcome.RAN, Load(0, SLOTS)))
            sink.body(b"", True)

        return self.time.call_later(self.rng.expovariate(1.0 / mean), answer).cancel


@dataclass
class Tally:
    """What became of the calls of one route."""

    calls: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    latencies: list[float] = field(default_factory=list)

    def percentile(self, share: float) -> float:
        """Return a percentile of the answered calls' latencies in seconds."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class ModelSink:
    """Counts one answer."""

    def __init__(self, model: Model, route: str, deadline: float) -> None:
        self.model = model
        self.route = route
        self.began = model.time.monotonic()
        self.deadline = deadline

    def head(self, head: ResponseHead) -> None:
        """Take the head."""

    def body(self, _data: bytes, last: bool) -> None:
        """Take the end of an answer."""
        if last:
            tally = self.model.tallies[self.route]
            now = self.model.time.monotonic()
            tally.outcomes["good" if now <= self.deadline else "late"] += 1
            tally.latencies.append(now - self.began)

    def failed(self, failure: Failure, _load: Load | None) -> None:
        """Take a failure."""
        self.model.tallies[self.route].outcomes[failure.outcome.value] += 1


class Model:
    """Some forwarders before some servers of one service."""

    def __init__(
        self,
        routes: tuple[Route, ...],
        seed: int,
        use_baseline: bool,
        forwarders: int = 4,
        time: VirtualTime | None = None,
    ) -> None:
        self.time = time or VirtualTime()
        self.seed = seed
        self.use_baseline = use_baseline
        self.rng = random.Random(seed)
        self.routes = {route.name: route for route in routes}
        self.table = RoutingTable.from_typed_records(1, (Service("s"), *routes))
        self.members: tuple[Member, ...] = ()
        self.servers: dict[Address, ModelServer] = {}
        self.dispatches: dict[Address, Dispatch] = {}
        self.tallies = {name: Tally() for name in self.routes}
        self.forwarders = [self._forwarder(n) for n in range(forwarders)]

    def _forwarder(self, number: int) -> Any:
        dependencies = Dependencies(
            own_address=NEVER,
            availability_zone="z",
            routing_table=lambda: self.table,
            members=lambda: self.members,
            local_dispatch=lambda *_: None,
            remote_dispatch=lambda to, call, sink: self.dispatches[to](call, sink),
            version_for=lambda *_: "",
            record_attempt=lambda *_: None,
            excluded_versions=lambda *_: frozenset(),
            call_later=self.time.call_later,
            claims=None,  # type: ignore[arg-type]  # no keyed call is made
        )
        rng = random.Random(self.seed * 100 + number)
        kind = BaselineForwarder if self.use_baseline else Forwarder
        return kind(self.time, rng, dependencies)

    def add_server(self, means: dict[str, float], **options: Any) -> ModelServer:
        """Add a server with mean service times by route in seconds."""
        address = Address("127.0.0.1", 9000 + len(self.servers))
        rng = random.Random(self.seed * 1000 + len(self.servers))
        server = ModelServer(self.time, rng, means, **options)
        self.servers[address] = server
        endpoint = Endpoint("s", "1", SLOTS, 100, False)
        member = Member(address, "z", "r", 1, Status.ALIVE, 1, (endpoint,))
        self.members = (*self.members, member)
        self.dispatches[address] = (
            BaselineAdmission(SLOTS, server)
            if self.use_baseline
            else Admission(self.time, SLOTS, server, self.time.call_later)
        )
        return server

    def offer(self, route: str, rate: float, seconds: float) -> None:
        """Let calls of a route arrive as a Poisson process."""
        end = self.time.monotonic() + seconds
        rng = random.Random(f"{self.seed} {route}")

        def arrive() -> None:
            if self.time.monotonic() >= end:
                return
            self.time.call_later(rng.expovariate(rate), arrive)
            self.send(route)

        self.time.call_later(rng.expovariate(rate), arrive)

    def send(self, name: str) -> None:
        """Send one call through a random forwarder."""
        route = self.routes[name]
        deadline = self.time.monotonic() + route.timeout.total_seconds()
        self.tallies[name].calls += 1
        request = CallerRequest("GET", route.path_prefix, b"", b"", 0, None)
        forwarder = self.forwarders[int(self.rng.random() * len(self.forwarders))]
        forwarder(request, ModelSink(self, name, deadline))


def route(name: str, urgent: bool, timeout: float) -> Route:
    """Return a route of the one service."""
    priority = "urgent" if urgent else "bulk"
    limit = timedelta(seconds=timeout)
    return Route(name, "s", f"/{name}", priority, limit, True, "none")


__all__ = ["SLOTS", "Model", "ModelServer", "Tally", "route"]
