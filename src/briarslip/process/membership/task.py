"""The task that runs the membership protocol: datagram socket, timer and state."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from twisted.internet.defer import Deferred
from twisted.internet.protocol import DatagramProtocol

from briarslip.address import Address
from briarslip.connection.frame import Topic
from briarslip.process.error_log import record_failure
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.membership import protocol
from briarslip.process.membership.anti_entropy import request_syncs
from briarslip.process.membership.codec import decode_control
from briarslip.process.membership.codec import decode_datagram
from briarslip.process.membership.codec import encode_control
from briarslip.process.membership.codec import encode_datagram
from briarslip.process.membership.contact_points import CONTACTS_INTERVAL_SECONDS
from briarslip.process.membership.contact_points import FIRST_REFRESH_DELAY_SECONDS
from briarslip.process.membership.contact_points import find_contact_points
from briarslip.process.membership.contact_points import is_maintainer
from briarslip.process.membership.contact_points import refresh_contact_points
from briarslip.process.membership.dissemination import MAX_DATAGRAM_BYTES
from briarslip.process.membership.member import Status
from briarslip.process.membership.messages import SendDatagram
from briarslip.process.membership.messages import SyncReply
from briarslip.process.membership.messages import SyncRequest
from briarslip.process.membership.state import ProtocolState


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.process.clock import Clock
    from briarslip.process.membership.draining_servers import DrainingServer
    from briarslip.process.membership.member import Endpoint
    from briarslip.process.membership.member import Member
    from briarslip.process.membership.messages import Datagram
    from briarslip.process.membership.messages import Send
    from briarslip.process.store.client import StoreClient


TICKS_PER_INTERVAL = 5
# All daemons that watch the store notice its restore at the same moment.
MAX_RESTORE_DELAY_SECONDS = 1.0


def _ignore_draining(server: DrainingServer) -> None:
    """Do nothing with a server that has been draining."""


class MembershipTask:
    """Runs the membership protocol of this daemon.

    ``on_version`` is called with the sender's address and configuration version
    for every message that carries the version. ``send_control`` sends control messages.
    ``on_draining_before`` is called with a server beside this daemon that peers know
    to be draining, as after a restart of this daemon.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        rng: random.Random,
        own_member: Member,
        seeds: tuple[Address, ...],
        interval_seconds: float,
        on_version: Callable[[Address, int], None],
        store: StoreClient,
        send_control: Callable[[Address, Topic, bytes], None],
        contacts_interval_seconds: float = CONTACTS_INTERVAL_SECONDS,
        on_draining_before: Callable[[DrainingServer], None] = _ignore_draining,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.seeds = seeds
        self.tick_seconds = interval_seconds / TICKS_PER_INTERVAL
        self.on_version = on_version
        self.store = store
        self.send_control = send_control
        self.contacts_interval_seconds = contacts_interval_seconds
        self.on_draining_before = on_draining_before
        self.state = ProtocolState.from_member(
            own_member, seeds, rng, interval_seconds, clock.monotonic()
        )
        self.locality = (own_member.availability_zone, own_member.region)
        self.datagrams = MembershipDatagrams(self.receive_datagram)
        self.is_accessing_contact_points = False
        self.is_degraded = False

    @property
    def live(self) -> tuple[Member, ...]:
        """Every live member, this daemon first."""
        return self.state.table.live

    @property
    def all_members(self) -> tuple[Member, ...]:
        """Every known member, dead and left ones included, this daemon first."""
        table = self.state.table
        return (table.own_member, *table.members.values())

    @property
    def has_joined(self) -> bool:
        """Whether this daemon has joined: another daemon has sent it members."""
        return self.state.sync_state.has_joined

    @property
    def minimum_version(self) -> int:
        """The newest configuration version that peers recorded for this address."""
        return self.state.sync_state.minimum_version

    def last_known_version(self, address: Address) -> int:
        """Return the newest configuration version recorded for an address, or 0."""
        return self.state.table.last_known_version(address)

    def zone_members(self, availability_zone: str) -> tuple[Member, ...]:
        """Return the live members of one availability zone."""
        return self.state.table.zone_members(availability_zone)

    def start(self) -> None:
        """Listen for datagrams and start the periodic work."""
        host, port = self.state.own_member.address
        self.reactor.listenUDP(port, self.datagrams, interface=host)
        self.reactor.callLater(
            FIRST_REFRESH_DELAY_SECONDS, self._maintain_contact_points
        )
        self._tick()

    def update_self(
        self, endpoints: tuple[Endpoint, ...], running_version: int, draining: bool
    ) -> None:
        """Disseminate at once what has changed at this daemon."""
        status = Status.LEFT if draining else Status.ALIVE
        now = self.clock.monotonic()
        self._send_all(
            protocol.update_self(self.state, endpoints, running_version, status, now)
        )

    def receive_datagram(self, data: bytes, sender: Address) -> None:
        """Process a peer's datagram."""
        datagram = decode_datagram(data, self.locality)
        if isinstance(datagram, Err):
            emit(Event.MESSAGE_REJECTED, peer=sender, reason=datagram.err_value)
            return
        message = datagram.ok_value
        now = self.clock.monotonic()
        self._send_all(protocol.receive_datagram(self.state, sender, message, now))
        self._report_draining_servers()
        self.on_version(sender, message.running_version)

    def receive_message(self, sender: Address, payload: bytes) -> None:
        """Process a peer's control message."""
        decoded = decode_control(payload)
        if isinstance(decoded, Err):
            emit(Event.MESSAGE_REJECTED, peer=sender, reason=decoded.err_value)
            return
        message = decoded.ok_value
        now = self.clock.monotonic()
        self._send_all(protocol.receive_control(self.state, sender, message, now))
        self._report_draining_servers()
        match message:
            case SyncRequest(member):
                self.on_version(sender, member.running_version)
            case SyncReply(version):
                self.on_version(sender, version)

    def _report_draining_servers(self) -> None:
        draining, self.state.own_draining = self.state.own_draining, []
        for server in draining:
            self.on_draining_before(server)

    def _tick(self) -> None:
        delay = self.tick_seconds * self.rng.uniform(0.9, 1.1)
        self.reactor.callLater(delay, self._tick)
        self._send_all(protocol.tick(self.state, self.clock.monotonic()))
        if (
            self.state.sync_state.needs_contact_points
            and not self.is_accessing_contact_points
        ):
            self._start_store_access(self._read_contact_points())
        self._log_changes()

    def _log_changes(self) -> None:
        """Log members that died or left, and changes of this daemon's local health."""
        departed, self.state.departed = self.state.departed, []
        for member in departed:
            is_dead = member.status is Status.DEAD
            event = Event.MEMBER_DEAD if is_dead else Event.MEMBER_LEFT
            emit(event, member=member.address)
        is_degraded = self.state.health.degraded_since is not None
        if is_degraded != self.is_degraded:
            self.is_degraded = is_degraded
            emit(Event.PROBES_FAIL if is_degraded else Event.PROBES_SUCCEED)

    def _start_store_access(self, access: Any) -> None:
        self.is_accessing_contact_points = True
        access_ended = Deferred.fromCoroutine(access)
        access_ended.addErrback(record_failure)
        access_ended.addCallback(self._store_access_ended)

    def _store_access_ended(self, result: None) -> None:
        self.is_accessing_contact_points = False
        self.state.sync_state.needs_contact_points = False

    async def _read_contact_points(self) -> None:
        contact_points = await find_contact_points(self.store, self.state.own_member)
        self.state.sync_state.contact_points = (*self.seeds, *contact_points)

    def _maintain_contact_points(self) -> None:
        delay = self.contacts_interval_seconds * self.rng.uniform(0.8, 1.2)
        self.reactor.callLater(delay, self._maintain_contact_points)
        if is_maintainer(self.state.table) and not self.is_accessing_contact_points:
            self._start_store_access(self._refresh_contact_points())

    def store_restored(self) -> None:
        """Write the contact points again if the restored store has too few."""
        delay = MAX_RESTORE_DELAY_SECONDS * self.rng.random()
        self.reactor.callLater(delay, self._rewrite_contact_points)

    def _rewrite_contact_points(self) -> None:
        if not self.is_accessing_contact_points:
            self._start_store_access(self._refresh_contact_points())

    async def _refresh_contact_points(self) -> None:
        contact_points_by_zone = await refresh_contact_points(
            self.store, self.state.table
        )
        if isinstance(contact_points_by_zone, Err):
            emit(Event.STORE_FAILED, reason=contact_points_by_zone.err_value.reason)
            return
        table = self.state.table
        unreached = [
            address
            for zone, contact_points in contact_points_by_zone.ok_value.items()
            if not table.zone_members(zone)
            for address in contact_points
        ]
        now = self.clock.monotonic()
        self._send_all(request_syncs(self.state, unreached, now))

    def _send_all(self, sends: Iterable[Send]) -> None:
        for send in sends:
            if isinstance(send, SendDatagram):
                self._send_datagram(send.peer, send.datagram)
            else:
                payload = encode_control(send.message)
                self.send_control(send.peer, Topic.MEMBERSHIP, payload)

    def _send_datagram(self, peer: Address, datagram: Datagram) -> None:
        if self.datagrams.transport is None:
            return
        payload = encode_datagram(datagram, self.locality)
        while len(payload) > MAX_DATAGRAM_BYTES and datagram.updates:
            datagram = replace(datagram, updates=datagram.updates[:-1])
            payload = encode_datagram(datagram, self.locality)
        self.datagrams.transport.write(payload, tuple(peer))


class MembershipDatagrams(DatagramProtocol):
    """The socket for membership datagrams."""

    def __init__(self, on_datagram: Callable[[bytes, Address], None]) -> None:
        self.on_datagram = on_datagram

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram with its sender's address."""
        self.on_datagram(datagram, Address(*addr))


__all__ = ["MembershipTask"]
