"""The daemon: its parts and how they are connected."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

from result import Err

from briarslip.connection.caller_http import CallerHttpFactory
from briarslip.connection.frame import Hello
from briarslip.connection.frame import Topic
from briarslip.connection.local_http import JsonReply
from briarslip.connection.local_http import LocalHttpFactory
from briarslip.connection.peer_links import PeerLinks
from briarslip.process.admin import admin_endpoints
from briarslip.process.announcements import parse_announcement
from briarslip.process.claims import PlatformClaims
from briarslip.process.clock import SystemClock
from briarslip.process.distribution_task import DistributionTask
from briarslip.process.etcd_gateway import EtcdGatewayClient
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.local_servers import LocalServers
from briarslip.process.member import Member
from briarslip.process.member import Status
from briarslip.process.membership_task import MembershipTask
from briarslip.process.rollout_report import RolloutReporter
from briarslip.process.rollout_task import RolloutTask
from briarslip.process.service_levels import ServiceLevels
from briarslip.request.forwarder import Forwarder
from briarslip.request.forwarder import Surroundings
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.address import Address
    from briarslip.connection.frame import ControlFrame
    from briarslip.process.clock import Clock
    from briarslip.process.settings import Settings
    from briarslip.request.call import Call
    from briarslip.request.call import ResponseSink
    from briarslip.request.sample import Sample
    from briarslip.version.record import Route


HOUSEKEEPING_SECONDS = 0.5
DRAIN_NOTICE_SECONDS = 1.0
DRAIN_POLL_SECONDS = 0.05
MAX_DRAIN_SECONDS = 60.0


class Daemon:
    """Connects the parts of the process and owns its listening sockets."""

    def __init__(
        self, settings: Settings, reactor: Any, clock: Clock, rng: random.Random
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self.clock = clock
        self.draining = False
        own_address = settings.listen.peers
        zone = settings.daemon.availability_zone
        platform = settings.platform
        self.platform = EtcdGatewayClient.from_address(
            reactor, platform.address.host, platform.address.port, platform.timeout
        )
        self.servers = LocalServers(
            reactor,
            clock,
            settings.limits.announcement_lease.total_seconds(),
            self.update_membership,
            self.excluded,
            lambda own, backend: self.rollouts.collector.watch(own, backend),
        )
        self.claims = PlatformClaims(self.platform, clock, rng, reactor.callLater)
        hello = Hello(str(own_address), zone)
        self.links = PeerLinks(reactor, clock, hello, self.serve, self.take_control)
        self.membership = MembershipTask(
            reactor,
            clock,
            rng,
            self._self_member(),
            settings.membership.seeds,
            settings.membership.heartbeat_interval.total_seconds(),
            lambda peer, version: self.distribution.heard_version(peer, version),
        )
        self.distribution = DistributionTask(
            reactor,
            self.platform,
            own_address,
            zone,
            lambda: self.membership.live,
            self.links.send_control,
            self.update_membership,
        )
        self.rollouts = RolloutTask(
            reactor,
            clock,
            rng,
            self._self_member(),
            lambda: self.distribution.table,
            lambda: self.membership.live,
            self.links.send_control,
        )
        self.rollout_reporter = RolloutReporter(
            reactor,
            self.platform,
            rng,
            self.rollouts,
            lambda: self.distribution.snapshot.version,
        )
        self.service_levels = ServiceLevels(clock)
        self.forwarder = Forwarder(clock, rng, self._surroundings())

    @classmethod
    def from_settings(cls, settings: Settings, reactor: Any) -> Daemon:
        """Build a daemon on the system's clock and random source."""
        return cls(settings, reactor, SystemClock(), random.Random())

    def _self_member(self) -> Member:
        return Member(
            address=self.settings.listen.peers,
            availability_zone=self.settings.daemon.availability_zone,
            region=self.settings.daemon.region,
            incarnation=int(self.clock.now().timestamp() * 1000),
            status=Status.ALIVE,
            running_version=0,
            endpoints=(),
        )

    def _surroundings(self) -> Surroundings:
        return Surroundings(
            own_address=self.settings.listen.peers,
            availability_zone=self.settings.daemon.availability_zone,
            table=lambda: self.distribution.table,
            members=lambda: self.membership.live,
            local=self.servers.admission,
            remote=self.links.dispatch_to,
            version_for=self.version_for,
            record=self.record,
            excluded=self.excluded,
            focus=self.rollouts.focus,
            call_later=self.reactor.callLater,
            claims=self.claims,
        )

    def start(self) -> None:
        """Listen and begin the periodic work."""
        listen = self.settings.listen
        limits = self.settings.limits
        self.membership.start()
        self._listen(listen.peers, self.links.server_factory())
        self._listen(
            listen.callers,
            CallerHttpFactory(self.reactor, self.forwarder, limits.max_body_bytes),
        )
        self._listen(
            listen.announcements,
            LocalHttpFactory(
                self.reactor, {("PUT", "/v1/announcement"): self.take_announcement}
            ),
        )
        self._listen(
            listen.admin, LocalHttpFactory(self.reactor, admin_endpoints(self))
        )
        emit(Event.DAEMON_STARTED, peer=listen.peers, callers=listen.callers)
        self.rollouts.start()
        self.rollout_reporter.start()
        self.keep_house()

    def _listen(self, address: Address, factory: Any) -> Any:
        return self.reactor.listenTCP(address.port, factory, interface=address.host)

    def keep_house(self) -> None:
        """Do the periodic work of the process."""
        self.servers.expire()
        self.distribution.choose_relays(self.draining)
        self.reactor.callLater(HOUSEKEEPING_SECONDS, self.keep_house)

    def update_membership(self) -> None:
        """Tell the other daemons what has changed here."""
        version = self.distribution.snapshot.version
        self.membership.update(self.servers.endpoints, version, self.draining)

    def serve(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Serve a call that came over a peer link."""
        admission = self.servers.admission(call.service, call.service_version)
        if admission is None or self.draining:
            reason = Reason.DRAINING if self.draining else Reason.NO_SERVER
            sink.failed(Failure(Outcome.NOT_RUN, reason), None)
            return lambda: None
        return admission(call, sink)

    def version_for(self, route: Route) -> str:
        """Return the service version a call of this route must go to, if any."""
        return self.rollouts.version_for(route)

    def excluded(self, service: str) -> frozenset[str]:
        """Return the versions of a service that must get no work."""
        return self.rollouts.excluded(service)

    def record(self, sample: Sample) -> None:
        """Take what a finished attempt tells about its server."""
        self.service_levels.record(sample, self.distribution.table.objectives)

    def take_control(self, sender: Address, frame: ControlFrame) -> None:
        """Act on a control message of a peer."""
        if frame.topic is Topic.CONFIGURATION:
            self.distribution.take_message(sender, frame.payload)
        elif frame.topic is Topic.EVIDENCE:
            self.rollouts.take_message(sender, frame.payload)

    def take_announcement(self, body: bytes) -> JsonReply:
        """Take what a backend server beside this daemon says of itself."""
        parsed = parse_announcement(body)
        if isinstance(parsed, Err):
            return JsonReply(400, {"findings": [str(f) for f in parsed.err_value]})
        self.servers.take(parsed.ok_value)
        return JsonReply(200, {"taken": True})

    def drain(self) -> None:
        """Stop gracefully: no new work, then exit when none is in flight."""
        if self.draining:
            return
        self.draining = True
        emit(Event.DAEMON_DRAINING)
        self.update_membership()
        deadline = self.clock.monotonic() + MAX_DRAIN_SECONDS
        self.reactor.callLater(DRAIN_NOTICE_SECONDS, self._stop_when_idle, deadline)

    def _stop_when_idle(self, deadline: float) -> None:
        if not self.servers.in_flight or self.clock.monotonic() > deadline:
            emit(Event.DAEMON_STOPPED)
            self.reactor.stop()
            return
        self.reactor.callLater(DRAIN_POLL_SECONDS, self._stop_when_idle, deadline)


__all__ = ["Daemon"]
