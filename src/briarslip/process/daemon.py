"""The daemon: assembly of its tasks, and its listening sockets."""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from briarslip.connection.buffer_budget import BufferBudget
from briarslip.connection.caller_http import CallerHttpFactory
from briarslip.connection.caller_limits import UNKNOWN_LIMITS
from briarslip.connection.caller_limits import CallerLimits
from briarslip.connection.client_errors import ClientErrors
from briarslip.connection.deadline_wheel import DeadlineWheel
from briarslip.connection.frame import Hello
from briarslip.connection.frame import Topic
from briarslip.connection.local_http import LocalHttpFactory
from briarslip.connection.peer_link_pool import PeerLinkPool
from briarslip.process.adapters import Adapters
from briarslip.process.adapters import ServerCallbacks
from briarslip.process.admin import admin_endpoints
from briarslip.process.announcements import too_many_servers
from briarslip.process.claims.claims import StoreClaims
from briarslip.process.clock import SystemClock
from briarslip.process.cold_rules import cold_rule
from briarslip.process.configuration_state import configuration_state
from briarslip.process.distribution.task import DistributionTask
from briarslip.process.draining_records import DrainingRecords
from briarslip.process.evacuations import Evacuations
from briarslip.process.events import DROPPED_LINES
from briarslip.process.events import EVENT_COUNTS
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.forwarder_dependencies import forwarder_dependencies
from briarslip.process.gauges import gauges
from briarslip.process.local_servers import MAX_SERVERS
from briarslip.process.local_servers import LocalServers
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status
from briarslip.process.membership.task import MembershipTask
from briarslip.process.metrics import Metrics
from briarslip.process.quarantine.task import QuarantineTask
from briarslip.process.quota.limit_source import LimitSource
from briarslip.process.quota.task import QuotaTask
from briarslip.process.reactor_delay import ReactorDelay
from briarslip.process.resource_limits import buffer_capacity_bytes
from briarslip.process.resource_limits import max_caller_connections
from briarslip.process.rollouts.report import RolloutReporter
from briarslip.process.rollouts.task import RolloutTask
from briarslip.process.service_levels import ServiceLevels
from briarslip.process.shutdown_steps import make_shutdown
from briarslip.request.claim import CLAIMS_SERVICE
from briarslip.request.crash import CrashId
from briarslip.request.forwarder import Forwarder
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from briarslip.request.retry import retry_tokens
from briarslip.request.retry_after import retry_after_seconds
from briarslip.request.standing import SuspectCalls


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.address import Address
    from briarslip.connection.frame import ControlFrame
    from briarslip.connection.http_head import RequestHead
    from briarslip.process.announcements import Announcement
    from briarslip.process.clock import Clock
    from briarslip.process.settings import Settings
    from briarslip.request.attempt_result import AttemptResult
    from briarslip.request.call import Call
    from briarslip.request.call import ResponseSink


PERIODIC_WORK_SECONDS = 0.5
# A daemon without other members reports itself ready after this time.
READY_ALONE_SECONDS = 3.0


class Daemon:
    """The tasks and the listening sockets of the process."""

    def __init__(
        self,
        settings: Settings,
        reactor: Any,
        clock: Clock,
        rng: random.Random,
        adapters: Adapters,
    ) -> None:
        self.settings = settings
        self.adapters = adapters
        self.rng = rng
        self.reactor = reactor
        self.clock = clock
        self.started_at = clock.monotonic()
        self.shutdown = make_shutdown(self)
        own_address = settings.listen.peers
        zone = settings.daemon.availability_zone
        self.store = adapters.store
        self.evacuations = Evacuations(
            clock, zone, settings.limits, lambda: self.distribution.table
        )
        self.servers = LocalServers(
            reactor,
            clock,
            settings.limits.announcement_lease.total_seconds(),
            self.update_membership,
            self.excluded_versions,
            lambda server, pool: self.rollouts.collector.instrument(server, pool),
            adapters.conventions,
            SuspectCalls(
                lambda call: self.quarantine.standing(call),
                lambda *call: self.quarantine.call_completed(*call),
                lambda *crash: self.quarantine.report_crash(*crash),
            ),
            lambda server: self.draining_records.record(server),
            lambda service: cold_rule(
                settings.limits, self.distribution.table, service
            ),
            self.evacuations.is_own_zone_evacuated,
        )
        self.claims = StoreClaims(
            self.store,
            clock,
            rng,
            reactor.callLater,
            own_address,
            lambda peer, call, sink: self.links.dispatch_to(peer, call, sink),
        )
        hello = Hello(str(own_address), zone)
        self.deadline_wheel = DeadlineWheel(reactor, clock)
        self.buffers = BufferBudget(clock, buffer_capacity_bytes(settings.limits))
        self.links = PeerLinkPool(
            reactor, clock, hello, self.serve, self.receive_control, rng, self.buffers
        )
        self.membership = MembershipTask(
            reactor,
            clock,
            rng,
            self._own_member(),
            settings.membership.seeds,
            settings.membership.heartbeat_interval.total_seconds(),
            lambda peer, version: self.distribution.receive_peer_version(peer, version),
            self.store,
            self.links.send_control,
            settings.membership.contacts_interval.total_seconds(),
            self.servers.restore_draining,
        )
        self.draining_records = DrainingRecords(
            reactor, rng, self.store, own_address, self.servers.restore_draining
        )
        adapters.add_restore_listener(self.membership.store_restored)
        self.distribution = DistributionTask(
            reactor,
            clock,
            rng,
            self.store,
            own_address,
            zone,
            lambda: self.membership.live,
            self.links.send_control,
            self.version_changed,
            self.membership.last_known_version,
            lambda: self.membership.minimum_version,
            adapters.make_source,
        )
        self.rollouts = RolloutTask(
            reactor,
            clock,
            rng,
            self._own_member(),
            lambda: self.distribution.table,
            lambda: self.membership.live,
            self.links.send_control,
            self.store,
        )
        self.quarantine = QuarantineTask(
            reactor,
            clock,
            rng,
            CrashId(own_address, self._own_member().incarnation, 0),
            lambda: self.rollouts.peers.neighbors,
            self.links.send_control,
        )
        self.quotas = QuotaTask(
            reactor,
            clock,
            rng,
            own_address,
            zone,
            LimitSource(lambda: self.distribution.table.organisations),
            lambda: self.membership.live,
            self.links.send_control,
        )
        self.rollout_reporter = RolloutReporter(
            reactor,
            self.store,
            rng,
            self.rollouts,
            lambda: self.distribution.snapshot.version,
            adapters.rollout_codec,
        )
        self.service_levels = ServiceLevels(clock)
        self.client_errors = ClientErrors(partial(configuration_state, self))
        self.reactor_delay = ReactorDelay(reactor, clock)
        self.metrics = Metrics(
            EVENT_COUNTS, DROPPED_LINES, gauges(self), self.client_errors.counts
        )
        self.forwarder = Forwarder(clock, rng, forwarder_dependencies(self))
        self.callers = CallerHttpFactory(
            reactor,
            self.forwarder,
            self.caller_limits,
            adapters.conventions,
            adapters.conventions.caller_service_line(adapters.caller_service),
            partial(retry_after_seconds, rng),
            self.buffers,
            partial(max_caller_connections, settings.limits),
            self.may_repeat,
            self.forwarder.accepts_key,
            self.client_errors,
        )

    @classmethod
    def from_settings(cls, settings: Settings, reactor: Any) -> Daemon:
        """Return a daemon with the system's clock and the default adapters."""
        adapters = Adapters.from_settings(settings, reactor)
        return cls(settings, reactor, SystemClock(), random.Random(), adapters)

    @property
    def is_draining(self) -> bool:
        """Whether the graceful shutdown has begun."""
        return self.shutdown.is_draining

    def _own_member(self) -> Member:
        return Member(
            address=self.settings.listen.peers,
            availability_zone=self.settings.daemon.availability_zone,
            region=self.settings.daemon.region,
            incarnation=int(self.clock.now().timestamp() * 1000),
            status=Status.ALIVE,
            running_version=0,
            endpoints=(),
        )

    def start(self) -> None:
        """Open the listening sockets and start the tasks and the periodic work."""
        listen = self.settings.listen
        self.membership.start()
        self.draining_records.load()
        self._listen(listen.peers, self.links.server_factory())
        self.caller_port = self._listen(listen.callers, self.callers)
        callbacks = ServerCallbacks(self.receive_announcement, self.servers.deregister)
        self._listen(
            listen.announcements,
            LocalHttpFactory(self.reactor, self.adapters.server_endpoints(callbacks)),
        )
        if listen.readiness is not None:
            endpoints = self.adapters.readiness_endpoints(lambda: self.is_ready)
            self._listen(listen.readiness, LocalHttpFactory(self.reactor, endpoints))
        self._listen(
            listen.admin, LocalHttpFactory(self.reactor, admin_endpoints(self))
        )
        emit(Event.DAEMON_STARTED, peer=listen.peers, callers=listen.callers)
        self.rollouts.start()
        self.quarantine.start()
        self.quotas.start()
        self.rollout_reporter.start()
        self.reactor_delay.start()
        self.run_periodic_work()

    def _listen(self, address: Address, factory: Any) -> Any:
        return self.reactor.listenTCP(address.port, factory, interface=address.host)

    def run_periodic_work(self) -> None:
        """Expire backend servers, update the relay role, and schedule the next run."""
        self.reactor.callLater(PERIODIC_WORK_SECONDS, self.run_periodic_work)
        self.servers.expire()
        self.distribution.update_relay_role(self.is_draining)

    def version_changed(self) -> None:
        """Apply what the new configuration orders for this zone, and publish it."""
        self.evacuations.update()
        self.servers.apply_evacuation()
        self.update_membership()

    def update_membership(self) -> None:
        """Publish this daemon's servers, version and drain state to the members."""
        version = self.distribution.snapshot.version
        self.membership.update_self(self.servers.endpoints, version, self.is_draining)

    def serve(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Serve a call that arrived over a peer link; return its cancel function."""
        if call.service == CLAIMS_SERVICE:
            return self.claims.serve(call, sink)
        dispatch = self.servers.dispatch_for(call.service, call.service_version)
        is_rejecting = self.shutdown.is_rejecting_calls or not self.shutdown.can_finish(
            call.deadline, call.idempotent
        )
        if dispatch is None or is_rejecting:
            reason = Reason.DRAINING if is_rejecting else Reason.NO_SERVER
            sink.failed(Failure(Outcome.NOT_RUN, reason), None)
            return lambda: None
        return dispatch(call, sink)

    def version_for(self, service: str) -> str:
        """Return the service version that a call must go to; empty if any will do."""
        return self.rollouts.version_for(service)

    def excluded_versions(self, service: str) -> frozenset[str]:
        """Return the service versions that must get no calls."""
        return self.rollouts.excluded_versions(service)

    def record_attempt(self, attempt: AttemptResult) -> None:
        """Record a finished attempt in the metrics and the service levels."""
        self.metrics.record(attempt)
        self.service_levels.record(attempt, self.distribution.table.objectives)

    def receive_control(self, sender: Address, frame: ControlFrame) -> None:
        """Dispatch a peer's control message to the task for its topic."""
        if frame.topic is Topic.CONFIGURATION:
            self.distribution.receive_message(sender, frame.payload)
        elif frame.topic is Topic.MEMBERSHIP:
            self.membership.receive_message(sender, frame.payload)
        elif frame.topic is Topic.EVIDENCE:
            self.rollouts.receive_message(sender, frame.payload)
        elif frame.topic is Topic.QUARANTINE:
            self.quarantine.receive_message(sender, frame.payload)
        elif frame.topic is Topic.QUOTA:
            self.quotas.receive_message(sender, frame.payload)

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent to this daemon."""
        if self.is_draining or not self.distribution.snapshot.version:
            return False
        uptime_seconds = self.clock.monotonic() - self.started_at
        return self.membership.has_joined or uptime_seconds >= READY_ALONE_SECONDS

    def may_repeat(self, head: RequestHead) -> bool:
        """Return whether a caller's request may run more than once."""
        method, target = head.method.decode("latin-1"), head.target.decode("latin-1")
        return self.forwarder.may_repeat(method, target, head.host)

    def caller_limits(self) -> CallerLimits:
        """Return the limits on callers of the configuration, or else the settings."""
        table, body_bytes = self.distribution.table, self.settings.limits.max_body_bytes
        if table.caller_limits is not None:
            return CallerLimits.from_record(table.caller_limits)
        if not table.version or body_bytes is None:
            return UNKNOWN_LIMITS
        return CallerLimits(body_bytes=body_bytes)

    def max_retry_tokens(self) -> float:
        """Return the size of this daemon's retry budget."""
        slack = self.settings.limits.retry_slack
        return retry_tokens(slack, len(self.membership.live))

    def receive_announcement(self, announcement: Announcement) -> str:
        """Apply a local server's announcement; return why it is rejected, or empty."""
        if self.servers.receive(announcement):
            return ""
        return str(too_many_servers(MAX_SERVERS))

    def drain(self) -> None:
        """Start the graceful shutdown."""
        self.shutdown.begin()


__all__ = ["Daemon"]
