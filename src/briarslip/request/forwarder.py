"""Forwarding of callers' requests to backend servers."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from briarslip.process.error_log import run_each
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.request.call import Call
from briarslip.request.claim import MAX_KEY_BYTES
from briarslip.request.dependencies import Dependencies
from briarslip.request.elapsed_time import ElapsedTimeEstimator
from briarslip.request.exchange import Exchange
from briarslip.request.flow_control import FlowControl
from briarslip.request.key_check import check_key
from briarslip.request.moving_average import MovingAverages
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from briarslip.request.outstanding_requests import OutstandingRequests
from briarslip.request.placement import MoveBudget
from briarslip.request.propagation import read_context
from briarslip.request.retry import RetryBudget
from briarslip.request.server_directory import ServerDirectory
from briarslip.request.traffic_split import choose_service


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Set

    from briarslip.process.clock import Clock
    from briarslip.request.body import Body
    from briarslip.request.call import ResponseSink
    from briarslip.request.propagation import CallContext
    from briarslip.request.server import Server
    from briarslip.request.standing import Standing
    from briarslip.version.record import Organisation
    from briarslip.version.record import Route


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as a caller sent it, without hop-by-hop headers.

    ``timeout_seconds`` is the timeout that the caller sent, None if it sent none.
    """

    method: str
    target: str
    headers: bytes
    body: Body
    depth: int
    timeout_seconds: float | None
    flow: FlowControl = field(default_factory=FlowControl, compare=False)
    host: str = ""


# Share of its latency target that the expected latency in the local zone may use;
# the rest covers the spread around the mean.
LOCAL_TARGET_SHARE = 0.8
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))


class Forwarder:
    """Routes requests and forwards them to the daemon of the chosen server."""

    def __init__(
        self, clock: Clock, rng: random.Random, dependencies: Dependencies
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.dependencies = dependencies
        self.directory = ServerDirectory(dependencies.members)
        self.retry_budget = RetryBudget(dependencies.max_retry_tokens)
        self.moves = MoveBudget()
        self.latencies = MovingAverages()
        self.outstanding_requests = OutstandingRequests()
        self.elapsed_times = ElapsedTimeEstimator()
        self.exchanges: set[Exchange] = set()

    def __call__(
        self, request: CallerRequest, sink: ResponseSink
    ) -> Callable[[], None]:
        """Forward a request; return the function that cancels it."""
        table = self.dependencies.routing_table()
        if not table.version:
            return self._reject(request, sink, Reason.NO_CONFIGURATION)
        route = table.match(request.target, request.method, request.host)
        if route is None:
            return self._reject(request, sink, Reason.NO_ROUTE)
        checked = check_key(
            table, route, request.headers, self.dependencies.credentials
        )
        if checked is None:
            return self._reject(
                request, sink, Reason.UNKNOWN_KEY, event=Event.KEY_REJECTED
            )
        context = read_context(checked.headers)
        uses_claims = route.claims != "none"
        if uses_claims and len(context.idempotency_key) > MAX_KEY_BYTES:
            return self._reject(request, sink, Reason.BAD_REQUEST)
        call = self._make_call(request, route, context, checked.organisation)
        if not self.dependencies.can_finish(call.deadline, call.idempotent):
            return self._reject(request, sink, Reason.DRAINING)
        latest_deadline = self.dependencies.latest_deadline()
        if call.deadline > latest_deadline:
            # No response could be delivered later, so the call must not wait longer.
            call = replace(call, deadline=latest_deadline)
        standing = self.dependencies.standing(call)
        if standing is not None:
            call = self._prefer_other_version(call, standing)
            if not self._may_run(call, standing):
                return self._reject(request, sink, Reason.QUARANTINED, Outcome.UNKNOWN)
        if not self._admit(request, call, sink):
            return _cancel_nothing
        exchange = Exchange(
            self, call, context.is_retry, sink, route.attempts, standing
        )
        self.exchanges.add(exchange)
        exchange.start(context.idempotency_key, route.claims)
        return exchange.cancel

    def _admit(self, request: CallerRequest, call: Call, sink: ResponseSink) -> bool:
        """Count a request, or reject it because there are too many."""
        outstanding = self.outstanding_requests.pool(call.urgent)
        if not outstanding.try_add(call.service):
            self._reject(request, sink, Reason.TOO_MANY_OUTSTANDING)
            return False
        # Last, so that only requests that are forwarded count.
        wait_seconds = self.dependencies.admit_organisation(call.organisation)
        if wait_seconds is not None:
            outstanding.remove(call.service)
            self._refuse(request, sink, call.organisation, wait_seconds)
            return False
        return True

    def may_repeat(self, method: str, target: str, host: str) -> bool:
        """Return whether a request may run more than once."""
        route = self.dependencies.routing_table().match(target, method, host)
        return route is not None and _is_idempotent(route, method)

    def _prefer_other_version(self, call: Call, standing: Standing) -> Call:
        """Choose the service version anew if a suspect call has crashed the chosen one.

        If only one version crashes, the version rather than the request is the cause.
        One more random choice does not send all suspects to a version with a small
        share.
        """
        if call.service_version not in standing.crashed_versions:
            return call
        version = self.dependencies.version_for(call.service)
        return replace(call, service_version=version)

    def _may_run(self, call: Call, standing: Standing) -> bool:
        """Return whether any server may run a suspect call."""
        if not standing.is_quarantined:
            return True
        servers = self.candidate_servers(call)
        return any(standing.may_run(server.version) for server in servers)

    def _reject(
        self,
        request: CallerRequest,
        sink: ResponseSink,
        reason: Reason,
        outcome: Outcome = Outcome.NOT_RUN,
        event: Event = Event.REQUEST_FAILED,
    ) -> Callable[[], None]:
        """Reject a request before a server is chosen."""
        self._log_rejection(request, reason, outcome, event)
        sink.failed(Failure(outcome, reason), None)
        return _cancel_nothing

    def _log_rejection(
        self, request: CallerRequest, reason: Reason, outcome: Outcome, event: Event
    ) -> None:
        emit(
            event,
            request=self.dependencies.request_id(request.headers),
            method=request.method,
            host=request.host,
            target=request.target,
            outcome=outcome.value,
            reason=reason.value,
            configuration=self.dependencies.routing_table().version,
        )

    def accepts_key(self, request: CallerRequest) -> bool:
        """Return whether the body of a request is worth receiving, and log if not.

        Load pattern: callers without a valid key send large bodies.
        """
        table = self.dependencies.routing_table()
        if not table.organisations:
            return True
        route = table.match(request.target, request.method, request.host)
        credentials = self.dependencies.credentials
        if route is None or check_key(table, route, request.headers, credentials):
            return True
        self._log_rejection(
            request, Reason.UNKNOWN_KEY, Outcome.NOT_RUN, Event.KEY_REJECTED
        )
        return False

    def _refuse(
        self,
        request: CallerRequest,
        sink: ResponseSink,
        organisation: str,
        wait_seconds: float,
    ) -> None:
        """Refuse a request beyond the limit of its organisation."""
        emit(
            Event.QUOTA_EXCEEDED,
            request=self.dependencies.request_id(request.headers),
            organisation=organisation,
            retry_after=wait_seconds,
        )
        failure = Failure(Outcome.NOT_RUN, Reason.QUOTA_EXCEEDED, wait_seconds)
        sink.failed(failure, None)

    def _make_call(
        self,
        request: CallerRequest,
        route: Route,
        context: CallContext,
        organisation: Organisation | None,
    ) -> Call:
        timeout = route.timeout.total_seconds()
        now = self.clock.monotonic()
        latency_target_at = now + self.elapsed_times.remaining_target_seconds(
            route, request.timeout_seconds
        )
        if request.timeout_seconds is not None:
            timeout = min(timeout, request.timeout_seconds)
        service = choose_service(route, self.rng.random())
        priority = (organisation and organisation.priority) or route.priority
        return Call(
            method=request.method,
            target=request.target,
            headers=context.headers,
            body=request.body,
            service=service,
            service_version=self.dependencies.version_for(service),
            route=route.name,
            urgent=priority == "urgent" and not context.is_bulk,
            idempotent=_is_idempotent(route, request.method),
            depth=request.depth + 1,
            deadline=now + timeout,
            flow=request.flow,
            latency_target_at=latency_target_at,
            organisation="" if organisation is None else organisation.name,
        )

    def candidate_servers(
        self, call: Call, tried: Set[Server] = frozenset()
    ) -> list[Server]:
        """Return the servers that a call may go to, without the tried ones.

        If no server of the call's service version is left, it may go to versions
        that are not under rollout, but never to a version under rollout.
        """
        dependencies, service = self.dependencies, call.service
        servers = self._usable_servers(service, call.service_version)
        allowed = dependencies.allowed_servers(service, call.service_version)
        if allowed is not None:
            servers = [server for server in servers if server.address in allowed]
        if tried:
            servers = [server for server in servers if server not in tried]
        silent = dependencies.silent_peers()
        if silent:
            servers = [s for s in servers if s.address not in silent] or servers
        if servers or not call.service_version:
            return servers
        return [
            server
            for server in self._usable_servers(service, "")
            if server not in tried
            and dependencies.allowed_servers(service, server.version) is None
        ]

    def _usable_servers(self, service: str, version: str) -> list[Server]:
        """Return the servers outside evacuated zones whose version may get calls."""
        dependencies, now = self.dependencies, self.clock.monotonic()
        excluded_versions = dependencies.excluded_versions(service)
        servers = self.directory.find(service, version, excluded_versions, now)
        evacuated = dependencies.routing_table().evacuations
        if not evacuated:
            return servers
        return [s for s in servers if s.availability_zone not in evacuated]

    def latency_limit(self, call: Call, now: float) -> float:
        """Return the expected latency up to which a call stays in its zone.

        The unit is the mean latency of the call's route. The limit is 0 if the
        mean is unknown or the call has no latency target.
        """
        mean = self.latencies.mean(call.latency_key)
        if not mean or call.latency_target_at == math.inf:
            return 0.0
        return max(0.0, call.latency_target_at - now) * LOCAL_TARGET_SHARE / mean

    def end_waiting(self, end: float) -> None:
        """Fail the requests that still wait for a server, before the daemon stops.

        Load pattern: the requests of a daemon wait in the queues of others while it
        is stopped. Their callers can send them elsewhere if they learn in time that
        they have not run. The others have until ``end``, a time of the clock.
        """
        exchanges = tuple(self.exchanges)
        run_each(partial(exchange.end_waiting, end) for exchange in exchanges)

    def request_finished(self, exchange: Exchange) -> None:
        """Remove a request from the outstanding requests."""
        call = exchange.call
        self.exchanges.discard(exchange)
        self.outstanding_requests.pool(call.urgent).remove(call.service)


def _is_idempotent(route: Route, method: str) -> bool:
    return route.idempotent or (route.trusts_method and method in IDEMPOTENT_METHODS)


def _cancel_nothing() -> None:
    """Do nothing: the request has already been rejected."""


__all__ = ["CallerRequest", "Dependencies", "Forwarder"]
