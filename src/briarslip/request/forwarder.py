"""The way of a caller's request to a backend server."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarslip.request.call import Call
from briarslip.request.choice import candidates
from briarslip.request.choice import choose
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from briarslip.request.sample import Sample


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.address import Address
    from briarslip.process.clock import Clock
    from briarslip.process.member import Member
    from briarslip.request.call import Dispatch
    from briarslip.request.call import Load
    from briarslip.request.call import ResponseHead
    from briarslip.request.call import ResponseSink
    from briarslip.version.record import Route
    from briarslip.version.routing_table import RoutingTable


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as a caller sent it, without hop-by-hop headers.

    ``timeout`` is what the caller allows in seconds, None if it says nothing.
    """

    method: str
    target: str
    headers: bytes
    body: bytes
    depth: int
    timeout: float | None


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What the forwarder sees of the daemon around it."""

    own_address: Address
    availability_zone: str
    table: Callable[[], RoutingTable]
    members: Callable[[], Iterable[Member]]
    local: Callable[[str, str], Dispatch | None]
    remote: Callable[[Address, Call, ResponseSink], Callable[[], None]]
    version_for: Callable[[Route], str]
    record: Callable[[Sample], None]


FIRST_ERROR_STATUS = 500
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))


class Forwarder:
    """Routes requests and hands them to the chosen server's daemon."""

    def __init__(
        self, clock: Clock, rng: random.Random, surroundings: Surroundings
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.surroundings = surroundings
        self.in_flight: Counter[Address] = Counter()

    def __call__(
        self, request: CallerRequest, sink: ResponseSink
    ) -> Callable[[], None]:
        """Serve a request; the returned function gives it up."""
        table = self.surroundings.table()
        if not table.version:
            return _refuse(sink, Reason.NO_CONFIGURATION)
        route = table.match(request.target, request.method)
        if route is None:
            return _refuse(sink, Reason.NO_ROUTE)
        call = self._call(request, route)
        version = call.service_version
        members = candidates(self.surroundings.members(), call.service, version)
        zone = self.surroundings.availability_zone
        member = choose(members, zone, self.in_flight.__getitem__, self.rng)
        if member is None:
            return _refuse(sink, Reason.NO_SERVER)
        return self._send(member.address, call, sink)

    def _call(self, request: CallerRequest, route: Route) -> Call:
        timeout = route.timeout.total_seconds()
        if request.timeout is not None:
            timeout = min(timeout, request.timeout)
        return Call(
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            service=route.service,
            service_version=self.surroundings.version_for(route),
            route=route.name,
            urgent=route.priority == "urgent",
            idempotent=route.idempotent or request.method in IDEMPOTENT_METHODS,
            depth=request.depth + 1,
            deadline=self.clock.monotonic() + timeout,
        )

    def _send(
        self, address: Address, call: Call, sink: ResponseSink
    ) -> Callable[[], None]:
        self.in_flight[address] += 1
        attempt = Attempt(self, address, call, sink)
        if address != self.surroundings.own_address:
            return self.surroundings.remote(address, call, attempt)
        dispatch = self.surroundings.local(call.service, call.service_version)
        if dispatch is None:
            attempt.failed(Failure(Outcome.NOT_RUN, Reason.NO_SERVER), None)
            return _nothing
        return dispatch(call, attempt)


class Attempt:
    """One hand-over of a call to one server."""

    def __init__(
        self,
        forwarder: Forwarder,
        address: Address,
        call: Call,
        sink: ResponseSink,
    ) -> None:
        self.forwarder = forwarder
        self.address = address
        self.call = call
        self.sink = sink
        self.began = forwarder.clock.monotonic()
        self.outcome = Outcome.UNKNOWN
        self.status = 0

    def head(self, head: ResponseHead) -> None:
        """Pass the head on."""
        self.outcome = head.outcome
        self.status = head.status
        self.sink.head(head)

    def body(self, data: bytes, last: bool) -> None:
        """Pass a body part on."""
        if last:
            self._end(self.outcome, self.status >= FIRST_ERROR_STATUS)
        self.sink.body(data, last)

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Pass a failure on."""
        self._end(failure.outcome, True)
        self.sink.failed(failure, load)

    def _end(self, outcome: Outcome, failed: bool) -> None:
        self.forwarder.in_flight[self.address] -= 1
        latency = self.forwarder.clock.monotonic() - self.began
        call = self.call
        self.forwarder.surroundings.record(
            Sample(
                service=call.service,
                version=call.service_version,
                route=call.route,
                server=self.address,
                outcome=outcome,
                failed=failed,
                latency=latency,
            )
        )


def _nothing() -> None:
    """Cancel nothing: the call has ended."""


def _refuse(sink: ResponseSink, reason: Reason) -> Callable[[], None]:
    sink.failed(Failure(Outcome.NOT_RUN, reason), None)
    return _nothing


__all__ = ["CallerRequest", "Forwarder", "Surroundings"]
