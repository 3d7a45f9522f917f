"""The task that owns membership: its datagram socket, timer and state."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from twisted.internet.defer import Deferred
from twisted.internet.protocol import DatagramProtocol

from briarslip.address import Address
from briarslip.connection.frame import Topic
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.membership import protocol
from briarslip.process.membership.anti_entropy import compare_with
from briarslip.process.membership.codec import decode_control
from briarslip.process.membership.codec import decode_datagram
from briarslip.process.membership.codec import encode_control
from briarslip.process.membership.codec import encode_datagram
from briarslip.process.membership.contact_points import CONTACTS_INTERVAL_SECONDS
from briarslip.process.membership.contact_points import FIRST_REFRESH_SECONDS
from briarslip.process.membership.contact_points import check_contacts
from briarslip.process.membership.contact_points import find_contacts
from briarslip.process.membership.contact_points import keeps_contacts
from briarslip.process.membership.dissemination import MAX_DATAGRAM_BYTES
from briarslip.process.membership.member import Status
from briarslip.process.membership.messages import SendDatagram
from briarslip.process.membership.messages import SyncReply
from briarslip.process.membership.messages import SyncRequest
from briarslip.process.membership.state import Protocol


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.process.clock import Clock
    from briarslip.process.membership.member import Endpoint
    from briarslip.process.membership.member import Member
    from briarslip.process.membership.messages import Datagram
    from briarslip.process.membership.messages import Send
    from briarslip.process.store.client import StoreClient


TICKS_PER_INTERVAL = 5


class MembershipTask:
    """Keeps this daemon a member and knows the others.

    ``on_version`` is told which version a peer runs whenever it is heard.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        rng: random.Random,
        self_member: Member,
        seeds: tuple[Address, ...],
        interval_seconds: float,
        on_version: Callable[[Address, int], None],
        store: StoreClient,
        send: Callable[[Address, Topic, bytes], None],
        check_seconds: float = CONTACTS_INTERVAL_SECONDS,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.seeds = seeds
        self.tick_seconds = interval_seconds / TICKS_PER_INTERVAL
        self.on_version = on_version
        self.store = store
        self.send_control = send
        self.check_seconds = check_seconds
        self.state = Protocol.from_member(
            self_member, seeds, rng, interval_seconds, clock.monotonic()
        )
        self.place = (self_member.availability_zone, self_member.region)
        self.datagrams = MembershipDatagrams(self.take_datagram)
        self.is_reading_contacts = False
        self.is_doubtful = False

    @property
    def live(self) -> tuple[Member, ...]:
        """Every live member, this daemon first."""
        return self.state.table.live

    @property
    def all_members(self) -> tuple[Member, ...]:
        """Every member, dead ones included."""
        table = self.state.table
        return (table.self_member, *table.members.values())

    @property
    def has_joined(self) -> bool:
        """Whether any other daemon has answered yet."""
        return self.state.bootstrap.has_joined

    @property
    def minimum_version(self) -> int:
        """The newest version that peers heard from this address before."""
        return self.state.bootstrap.minimum_version

    def last_known_version(self, address: Address) -> int:
        """Return the version last heard from an address, 0 if none was."""
        return self.state.table.last_known_version(address)

    def zone_members(self, availability_zone: str) -> tuple[Member, ...]:
        """Return the live members of one availability zone."""
        return self.state.table.zone_members(availability_zone)

    def servers_of(self, service: str) -> tuple[Member, ...]:
        """Return the live members with a server of a service."""
        return self.state.table.view.by_service.get(service, ())

    def start(self) -> None:
        """Listen and begin."""
        host, port = self.state.self_member.address
        self.reactor.listenUDP(port, self.datagrams, interface=host)
        self.reactor.callLater(FIRST_REFRESH_SECONDS, self._check_contacts)
        self._tick()

    def update_self(
        self, endpoints: tuple[Endpoint, ...], running_version: int, draining: bool
    ) -> None:
        """Tell the others at once what has changed at this daemon."""
        status = Status.LEFT if draining else Status.ALIVE
        now = self.clock.monotonic()
        self._send_all(
            protocol.update_self(self.state, endpoints, running_version, status, now)
        )

    def take_datagram(self, data: bytes, sender: Address) -> None:
        """Act on a peer's datagram."""
        datagram = decode_datagram(data, self.place)
        if isinstance(datagram, Err):
            emit(Event.MESSAGE_REFUSED, peer=sender, reason=datagram.err_value)
            return
        message = datagram.ok_value
        now = self.clock.monotonic()
        self._send_all(protocol.take_datagram(self.state, sender, message, now))
        self.on_version(sender, message.running_version)

    def receive_message(self, sender: Address, payload: bytes) -> None:
        """Act on a peer's control message."""
        decoded = decode_control(payload)
        if isinstance(decoded, Err):
            emit(Event.MESSAGE_REFUSED, peer=sender, reason=decoded.err_value)
            return
        message = decoded.ok_value
        now = self.clock.monotonic()
        self._send_all(protocol.take_control(self.state, sender, message, now))
        match message:
            case SyncRequest(member):
                self.on_version(sender, member.running_version)
            case SyncReply(version):
                self.on_version(sender, version)

    def _tick(self) -> None:
        delay = self.tick_seconds * self.rng.uniform(0.9, 1.1)
        self.reactor.callLater(delay, self._tick)
        self._send_all(protocol.tick(self.state, self.clock.monotonic()))
        if self.state.bootstrap.contacts_wanted and not self.is_reading_contacts:
            self._start_reading(self._read_contacts())
        self._report()

    def _report(self) -> None:
        """Log what has become of members, and of this daemon's judgement."""
        ended, self.state.ended = self.state.ended, []
        for member in ended:
            is_dead = member.status is Status.DEAD
            event = Event.MEMBER_DEAD if is_dead else Event.MEMBER_LEFT
            emit(event, member=member.address)
        is_doubtful = self.state.health.doubtful_since is not None
        if is_doubtful != self.is_doubtful:
            self.is_doubtful = is_doubtful
            emit(Event.PROBES_FAIL if is_doubtful else Event.PROBES_SUCCEED)

    def _start_reading(self, reading: Any) -> None:
        self.is_reading_contacts = True
        Deferred.fromCoroutine(reading).addBoth(self._reading_ended)

    def _reading_ended(self, result: object) -> None:
        self.is_reading_contacts = False
        self.state.bootstrap.contacts_wanted = False

    async def _read_contacts(self) -> None:
        contacts = await find_contacts(self.store, self.state.self_member)
        self.state.bootstrap.contacts = (*self.seeds, *contacts)

    def _check_contacts(self) -> None:
        delay = self.check_seconds * self.rng.uniform(0.8, 1.2)
        self.reactor.callLater(delay, self._check_contacts)
        if keeps_contacts(self.state.table) and not self.is_reading_contacts:
            self._start_reading(self._keep_contacts())

    async def _keep_contacts(self) -> None:
        found = await check_contacts(self.store, self.state.table)
        if isinstance(found, Err):
            emit(Event.STORE_FAILED, reason=found.err_value.reason)
            return
        table = self.state.table
        strangers = [
            address
            for zone, contacts in found.ok_value.items()
            if not table.zone_members(zone)
            for address in contacts
        ]
        now = self.clock.monotonic()
        self._send_all(compare_with(self.state, strangers, now))

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
        payload = encode_datagram(datagram, self.place)
        while len(payload) > MAX_DATAGRAM_BYTES and datagram.updates:
            datagram = replace(datagram, updates=datagram.updates[:-1])
            payload = encode_datagram(datagram, self.place)
        self.datagrams.transport.write(payload, tuple(peer))


class MembershipDatagrams(DatagramProtocol):
    """Membership's datagrams."""

    def __init__(self, on_datagram: Callable[[bytes, Address], None]) -> None:
        self.on_datagram = on_datagram

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on with its sender."""
        self.on_datagram(datagram, Address(*addr))


__all__ = ["MembershipTask"]
