"""The task that owns membership: its datagram socket, timer and state."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Err
from twisted.internet.protocol import DatagramProtocol

from briarslip.address import Address
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.member import Status
from briarslip.process.membership import Membership
from briarslip.process.membership import announce
from briarslip.process.membership import expire
from briarslip.process.membership import heartbeat_targets
from briarslip.process.membership import merge
from briarslip.process.membership_codec import decode_heartbeat
from briarslip.process.membership_codec import encode_heartbeat


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from briarslip.process.clock import Clock
    from briarslip.process.member import Endpoint
    from briarslip.process.member import Member


class MembershipTask:
    """Exchanges heartbeats with other daemons.

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
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.interval_seconds = interval_seconds
        self.on_version = on_version
        self.state = Membership(self_member, seeds)
        self.datagrams = HeartbeatProtocol(self.take_heartbeat)

    @property
    def live(self) -> tuple[Member, ...]:
        """Every live member, this daemon first."""
        return self.state.live

    @property
    def known(self) -> tuple[Member, ...]:
        """Every member, dead ones included."""
        return (self.state.self_member, *self.state.members.values())

    def start(self) -> None:
        """Listen and begin the heartbeats."""
        host, port = self.state.self_member.address
        self.reactor.listenUDP(port, self.datagrams, interface=host)
        self._tick()

    def update(
        self, endpoints: tuple[Endpoint, ...], running_version: int, draining: bool
    ) -> None:
        """Tell the others at once what has changed at this daemon."""
        status = Status.LEFT if draining else Status.ALIVE
        announce(self.state, endpoints, running_version, status)
        self._send_heartbeats()

    def take_heartbeat(self, data: bytes, sender: Address) -> None:
        """Merge a peer's heartbeat."""
        members = decode_heartbeat(data)
        if isinstance(members, Err):
            emit(Event.MESSAGE_REFUSED, peer=sender, reason=members.err_value)
            return
        merge(self.state, members.ok_value, self.clock.monotonic())
        for member in members.ok_value:
            if member.address == sender:
                self.on_version(sender, member.running_version)

    def _tick(self) -> None:
        own = self.state.self_member
        announce(self.state, own.endpoints, own.running_version, own.status)
        expire(self.state, self.clock.monotonic())
        self._send_heartbeats()
        delay = self.interval_seconds * self.rng.uniform(0.8, 1.2)
        self.reactor.callLater(delay, self._tick)

    def _send_heartbeats(self) -> None:
        if self.datagrams.transport is None:
            return
        payload = encode_heartbeat(self.state.live)
        for peer in heartbeat_targets(self.state, self.rng):
            self.datagrams.transport.write(payload, tuple(peer))


class HeartbeatProtocol(DatagramProtocol):
    """Heartbeats as datagrams."""

    def __init__(self, on_heartbeat: Callable[[bytes, Address], None]) -> None:
        self.on_heartbeat = on_heartbeat

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on with its sender."""
        self.on_heartbeat(datagram, Address(*addr))


__all__ = ["MembershipTask"]
