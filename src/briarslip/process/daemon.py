"""The daemon: its parts and how they are connected."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from twisted.internet.protocol import DatagramProtocol

from briarslip.address import Address
from briarslip.connection.backend_pool import BackendPool
from briarslip.connection.caller_http import CallerHttpFactory
from briarslip.connection.frame import Hello
from briarslip.connection.frame import Topic
from briarslip.connection.local_http import JsonReply
from briarslip.connection.local_http import LocalHttpFactory
from briarslip.connection.peer_links import PeerLinks
from briarslip.process.announcements import parse_announcement
from briarslip.process.clock import SystemClock
from briarslip.process.etcd_gateway import EtcdGatewayClient
from briarslip.process.member import Member
from briarslip.process.member import Status
from briarslip.process.membership import Membership
from briarslip.process.membership import announce
from briarslip.process.membership import expire
from briarslip.process.membership import heartbeat_targets
from briarslip.process.membership import merge
from briarslip.process.membership_codec import decode_heartbeat
from briarslip.process.membership_codec import encode_heartbeat
from briarslip.process.relay import Relay
from briarslip.process.relay import relays
from briarslip.request.admission import Admission
from briarslip.request.forwarder import Forwarder
from briarslip.request.forwarder import Surroundings
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from briarslip.version.configuration_codec import Offer
from briarslip.version.configuration_codec import decode_message
from briarslip.version.configuration_codec import encode_message
from briarslip.version.distribution import Distribution
from briarslip.version.distribution import install
from briarslip.version.distribution import pull_if_behind
from briarslip.version.distribution import receive


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.connection.frame import ControlFrame
    from briarslip.process.announcements import Announcement
    from briarslip.process.clock import Clock
    from briarslip.process.settings import Settings
    from briarslip.request.call import Call
    from briarslip.request.call import ResponseSink
    from briarslip.version.distribution import Send
    from briarslip.version.snapshot import Snapshot


DRAIN_NOTICE_SECONDS = 1.0
DRAIN_POLL_SECONDS = 0.05
MAX_DRAIN_SECONDS = 60.0


class LocalServer:
    """A backend server beside this daemon."""

    def __init__(
        self, announcement: Announcement, now: float, reactor: Any, clock: Clock
    ) -> None:
        self.announcement = announcement
        self.heard = now
        slots = announcement.endpoint.slots
        self.pool = BackendPool(reactor, announcement.address, slots)
        self.admission = Admission(clock, slots, self.pool)


class Daemon:
    """Owns the sockets, timers and state of the process."""

    def __init__(
        self, settings: Settings, reactor: Any, clock: Clock, rng: random.Random
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.draining = False
        self.servers: dict[Address, LocalServer] = {}
        self.distribution = Distribution()
        own = Member(
            address=settings.listen.peers,
            availability_zone=settings.daemon.availability_zone,
            region=settings.daemon.region,
            incarnation=int(clock.now().timestamp() * 1000),
            status=Status.ALIVE,
            running_version=0,
            endpoints=(),
        )
        self.membership = Membership(own, settings.membership.seeds)
        hello = Hello(str(own.address), own.availability_zone)
        self.links = PeerLinks(reactor, clock, hello, self.serve, self.take_control)
        self.forwarder = Forwarder(clock, rng, self._surroundings())
        platform = settings.platform
        self.platform = EtcdGatewayClient.from_address(
            reactor, platform.address.host, platform.address.port, platform.timeout
        )
        self.relay = Relay(reactor, self.platform, self.take_snapshot)
        self.datagrams = HeartbeatProtocol(self.take_heartbeat)

    @classmethod
    def from_settings(cls, settings: Settings, reactor: Any) -> Daemon:
        """Build a daemon on the system's clock and random source."""
        return cls(settings, reactor, SystemClock(), random.Random())

    def start(self) -> None:
        """Listen and begin the heartbeats."""
        listen = self.settings.listen
        self._listen(listen.peers, self.links.server_factory())
        self.reactor.listenUDP(
            listen.peers.port, self.datagrams, interface=listen.peers.host
        )
        limits = self.settings.limits
        callers = CallerHttpFactory(self.reactor, self.forwarder, limits.max_body_bytes)
        self.caller_port = self._listen(listen.callers, callers)
        self._listen(
            listen.announcements,
            LocalHttpFactory(
                self.reactor, {("PUT", "/v1/announcement"): self.take_announcement}
            ),
        )
        self._listen(
            listen.admin,
            LocalHttpFactory(
                self.reactor,
                {
                    ("GET", "/v1/status"): self.status,
                    ("GET", "/v1/members"): self.member_list,
                },
            ),
        )
        self.heartbeat()

    def _listen(self, address: Address, factory: Any) -> Any:
        return self.reactor.listenTCP(address.port, factory, interface=address.host)

    def _surroundings(self) -> Surroundings:
        return Surroundings(
            own_address=self.settings.listen.peers,
            availability_zone=self.settings.daemon.availability_zone,
            table=lambda: self.distribution.table,
            members=lambda: self.membership.live,
            local=self.local_server,
            remote=self.links.dispatch_to,
        )

    def local_server(self, service: str) -> Admission | None:
        """Return the admission of a local server of a service."""
        for server in self.servers.values():
            endpoint = server.announcement.endpoint
            if endpoint.service == service and not endpoint.draining:
                return server.admission
        return None

    def serve(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Serve a call that came over a peer link."""
        admission = self.local_server(call.service)
        if admission is None or self.draining:
            reason = Reason.DRAINING if self.draining else Reason.NO_SERVER
            sink.failed(Failure(Outcome.NOT_RUN, reason), None)
            return lambda: None
        return admission(call, sink)

    def heartbeat(self) -> None:
        """Tell some peers what this daemon knows, and plan the next time."""
        now = self.clock.monotonic()
        self._expire_servers(now)
        expire(self.membership, now)
        self._announce_self()
        self._send_heartbeats()
        own = self.membership.self_member
        zone = self.membership.zone_members(own.availability_zone)
        chosen = relays((m.address for m in zone), own.availability_zone)
        self.relay.set_active(own.address in chosen and not self.draining)
        interval = self.settings.membership.heartbeat_interval.total_seconds()
        self.reactor.callLater(interval * self.rng.uniform(0.8, 1.2), self.heartbeat)

    def _announce_self(self) -> None:
        status = Status.LEFT if self.draining else Status.ALIVE
        endpoints = tuple(s.announcement.endpoint for s in self.servers.values())
        version = self.distribution.snapshot.version
        announce(self.membership, endpoints, version, status)

    def _send_heartbeats(self) -> None:
        payload = encode_heartbeat(self.membership.live)
        for peer in heartbeat_targets(self.membership, self.rng):
            self.datagrams.send(peer, payload)

    def _expire_servers(self, now: float) -> None:
        lease = self.settings.limits.announcement_lease.total_seconds()
        for address, server in list(self.servers.items()):
            if now - server.heard > lease:
                del self.servers[address]

    def take_heartbeat(self, data: bytes, sender: Address) -> None:
        """Merge a peer's heartbeat and pull if it runs a newer version."""
        members = decode_heartbeat(data)
        if isinstance(members, Err):
            return
        merge(self.membership, members.ok_value, self.clock.monotonic())
        for member in members.ok_value:
            if member.address == sender:
                version = member.running_version
                self._send_all(pull_if_behind(self.distribution, sender, version))

    def take_control(self, sender: Address, frame: ControlFrame) -> None:
        """Act on a control message of a peer."""
        if frame.topic is not Topic.CONFIGURATION:
            return
        message = decode_message(frame.payload)
        if not isinstance(message, Err):
            self._send_all(receive(self.distribution, sender, message.ok_value))

    def take_snapshot(self, snapshot: Snapshot) -> None:
        """Run a snapshot from the platform and offer it to the others."""
        before = self.distribution.snapshot.version
        install(self.distribution, snapshot)
        if self.distribution.snapshot.version == before:
            return
        payload = encode_message(Offer(self.distribution.snapshot.version))
        for member in self.membership.live[1:]:
            self.links.send_control(member.address, Topic.CONFIGURATION, payload)

    def _send_all(self, sends: Iterable[Send]) -> None:
        for send in sends:
            payload = encode_message(send.message)
            self.links.send_control(send.peer, Topic.CONFIGURATION, payload)

    def take_announcement(self, body: bytes) -> JsonReply:
        """Take what a backend server beside this daemon says of itself."""
        parsed = parse_announcement(body)
        if isinstance(parsed, Err):
            return JsonReply(400, {"findings": [str(f) for f in parsed.err_value]})
        announcement = parsed.ok_value
        now = self.clock.monotonic()
        server = self.servers.get(announcement.address)
        if server is None:
            server = LocalServer(announcement, now, self.reactor, self.clock)
            self.servers[announcement.address] = server
        changed = server.announcement != announcement or server.heard == now
        server.announcement = announcement
        server.heard = now
        if changed:
            self._announce_self()
            self._send_heartbeats()
        return JsonReply(200, {"taken": True})

    def status(self, _: bytes) -> JsonReply:
        """Report this daemon's state."""
        snapshot = self.distribution.snapshot
        return JsonReply(
            200,
            {
                "peer": str(self.settings.listen.peers),
                "availability_zone": self.settings.daemon.availability_zone,
                "running_version": snapshot.version,
                "digest": snapshot.digest,
                "routes": [route.name for route in self.distribution.table.routes],
                "relay": self.relay.active,
                "draining": self.draining,
            },
        )

    def member_list(self, _: bytes) -> JsonReply:
        """Report every member this daemon knows."""
        return JsonReply(
            200,
            [
                {
                    "peer": str(member.address),
                    "availability_zone": member.availability_zone,
                    "status": member.status.name.lower(),
                    "running_version": member.running_version,
                    "services": [e.service for e in member.endpoints],
                }
                for member in (
                    self.membership.self_member,
                    *self.membership.members.values(),
                )
            ],
        )

    def drain(self) -> None:
        """Stop gracefully: no new work, then exit when none is in flight."""
        if self.draining:
            return
        self.draining = True
        self._announce_self()
        self._send_heartbeats()
        deadline = self.clock.monotonic() + MAX_DRAIN_SECONDS
        self.reactor.callLater(DRAIN_NOTICE_SECONDS, self._stop_when_idle, deadline)

    def _stop_when_idle(self, deadline: float) -> None:
        idle = not any(server.admission.in_flight for server in self.servers.values())
        if idle or self.clock.monotonic() > deadline:
            self.reactor.stop()
            return
        self.reactor.callLater(DRAIN_POLL_SECONDS, self._stop_when_idle, deadline)


class HeartbeatProtocol(DatagramProtocol):
    """Heartbeats as datagrams."""

    def __init__(self, on_heartbeat: Callable[[bytes, Address], None]) -> None:
        self.on_heartbeat = on_heartbeat

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on with its sender."""
        self.on_heartbeat(datagram, Address(*addr))

    def send(self, peer: Address, payload: bytes) -> None:
        """Send one datagram."""
        self.transport.write(payload, tuple(peer))


__all__ = ["Daemon"]
