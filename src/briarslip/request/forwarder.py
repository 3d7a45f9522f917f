"""The way of a caller's request to a backend server."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.request.call import Call
from briarslip.request.claim import MAX_KEY_BYTES
from briarslip.request.dependencies import Dependencies
from briarslip.request.elapsed_time import ElapsedTimeEstimator
from briarslip.request.exchange import Exchange
from briarslip.request.flow_control import FlowControl
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from briarslip.request.outstanding_requests import OutstandingRequests
from briarslip.request.propagation import read_context
from briarslip.request.retry import RetryBudget
from briarslip.request.server_directory import ServerDirectory
from briarslip.request.service_time import ServiceTimes
from briarslip.request.traffic_split import choose_part


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Set

    from briarslip.process.clock import Clock
    from briarslip.request.call import ResponseSink
    from briarslip.request.propagation import CallContext
    from briarslip.request.server import Server
    from briarslip.version.record import Route


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
    flow: FlowControl = field(default_factory=FlowControl, compare=False)
    host: str = ""


# Of its target a call may be expected to need this much in its own zone; the
# rest is for the spread around the mean.
TARGET_SHARE = 0.8
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))


class Forwarder:
    """Routes requests and hands them to the chosen server's daemon."""

    def __init__(
        self, clock: Clock, rng: random.Random, dependencies: Dependencies
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.dependencies = dependencies
        self.directory = ServerDirectory(dependencies.members)
        self.retry_budget = RetryBudget(dependencies.max_retry_tokens)
        self.latencies = ServiceTimes()
        self.outstanding = OutstandingRequests()
        self.ages = ElapsedTimeEstimator()

    def __call__(
        self, request: CallerRequest, sink: ResponseSink
    ) -> Callable[[], None]:
        """Serve a request; the returned function gives it up."""
        table = self.dependencies.routing_table()
        if not table.version:
            return self._refuse(request, sink, Reason.NO_CONFIGURATION)
        route = table.match(request.target, request.method, request.host)
        if route is None:
            return self._refuse(request, sink, Reason.NO_ROUTE)
        context = read_context(request.headers)
        if len(context.key) > MAX_KEY_BYTES:
            return self._refuse(request, sink, Reason.BAD_REQUEST)
        call = self._call(request, route, context)
        if not self.outstanding.pool(call.urgent).enter(call.service):
            return self._refuse(request, sink, Reason.TOO_MANY_OUTSTANDING)
        exchange = Exchange(self, call, context.retried, sink, route.attempts)
        exchange.start(context.key, route.claims)
        return exchange.cancel

    def _refuse(
        self, request: CallerRequest, sink: ResponseSink, reason: Reason
    ) -> Callable[[], None]:
        """Refuse a request before any server is chosen."""
        emit(
            Event.REQUEST_FAILED,
            request=self.dependencies.request_id(request.headers),
            method=request.method,
            host=request.host,
            target=request.target,
            outcome=Outcome.NOT_RUN.value,
            reason=reason.value,
            configuration=self.dependencies.routing_table().version,
        )
        sink.failed(Failure(Outcome.NOT_RUN, reason), None)
        return _nothing

    def _call(self, request: CallerRequest, route: Route, context: CallContext) -> Call:
        timeout = route.timeout.total_seconds()
        now = self.clock.monotonic()
        latency_target_at = now + self.ages.target_left(route, request.timeout)
        if request.timeout is not None:
            timeout = min(timeout, request.timeout)
        service = choose_part(route, self.rng.random())
        return Call(
            method=request.method,
            target=request.target,
            headers=context.headers,
            body=request.body,
            service=service,
            service_version=self.dependencies.version_for(service),
            route=route.name,
            urgent=route.priority == "urgent" and not context.bulk,
            idempotent=route.idempotent or request.method in IDEMPOTENT_METHODS,
            depth=request.depth + 1,
            deadline=now + timeout,
            flow=request.flow,
            latency_target_at=latency_target_at,
        )

    def servers(self, call: Call, tried: Set[Server] = frozenset()) -> list[Server]:
        """Return the servers that a call may go to, less those it has tried.

        A call that its version can't serve goes to one that is not under
        rollout, never the other way round.
        """
        dependencies, service = self.dependencies, call.service
        excluded = dependencies.excluded_versions(service)
        now = self.clock.monotonic()
        found = self.directory.find(service, call.service_version, excluded, now)
        focus = dependencies.allowed_servers(service, call.service_version)
        if focus is not None:
            found = [server for server in found if server.address in focus]
        if tried:
            found = [server for server in found if server not in tried]
        silent = dependencies.silent_peers()
        if silent:
            found = [s for s in found if s.address not in silent] or found
        if found or not call.service_version:
            return found
        return [
            server
            for server in self.directory.find(service, "", excluded, now)
            if server not in tried
            and dependencies.allowed_servers(service, server.version) is None
        ]

    def latency_limit(self, call: Call, now: float) -> float:
        """Return up to which latency a call does well enough in its own zone.

        It is in mean times of the call's route, 0 where nothing is known.
        """
        mean = self.latencies.mean(call.latency_key)
        if not mean or call.latency_target_at == math.inf:
            return 0.0
        return max(0.0, call.latency_target_at - now) * TARGET_SHARE / mean

    def finished(self, call: Call) -> None:
        """Count a request out."""
        self.outstanding.pool(call.urgent).leave(call.service)


def _nothing() -> None:
    """Cancel nothing: the call has ended."""


__all__ = ["CallerRequest", "Dependencies", "Forwarder"]
