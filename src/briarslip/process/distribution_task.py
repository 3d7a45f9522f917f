"""The task that owns the running configuration and spreads it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Err

from briarslip.connection.frame import Topic
from briarslip.finding import report
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.relay import Relay
from briarslip.process.relay import relays
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

    from briarslip.address import Address
    from briarslip.process.member import Member
    from briarslip.process.platform import PlatformClient
    from briarslip.version.distribution import Send
    from briarslip.version.routing_table import RoutingTable
    from briarslip.version.snapshot import Snapshot


class DistributionTask:
    """Runs the newest version it learns of, and passes it on.

    ``on_version`` runs after another version has become active.
    """

    def __init__(
        self,
        reactor: Any,
        platform: PlatformClient,
        own_address: Address,
        availability_zone: str,
        members: Callable[[], tuple[Member, ...]],
        send: Callable[[Address, Topic, bytes], None],
        on_version: Callable[[], None],
    ) -> None:
        self.own_address = own_address
        self.availability_zone = availability_zone
        self.members = members
        self.send = send
        self.on_version = on_version
        self.state = Distribution()
        self.relay = Relay(reactor, platform, self.take_snapshot)

    @property
    def snapshot(self) -> Snapshot:
        """The running snapshot."""
        return self.state.snapshot

    @property
    def table(self) -> RoutingTable:
        """The running routing table."""
        return self.state.table

    def choose_relays(self, draining: bool) -> None:
        """Take up or lay down the relay role by the members of the zone."""
        zone = self.availability_zone
        near = (m.address for m in self.members() if m.availability_zone == zone)
        active = self.own_address in relays(near, zone) and not draining
        if active != self.relay.active:
            emit(Event.RELAY_STARTED if active else Event.RELAY_STOPPED)
        self.relay.set_active(active)

    def take_snapshot(self, snapshot: Snapshot) -> None:
        """Run a snapshot from the platform and offer it to the others."""
        before = self.snapshot.version
        findings = install(self.state, snapshot)
        if findings:
            emit(Event.VERSION_REFUSED, findings=report(findings))
        if self.snapshot.version == before:
            return
        self._activated()
        payload = encode_message(Offer(self.snapshot.version))
        for member in self.members():
            if member.address != self.own_address:
                self.send(member.address, Topic.CONFIGURATION, payload)

    def heard_version(self, peer: Address, version: int) -> None:
        """Pull from a peer that runs a newer version."""
        self._send_all(pull_if_behind(self.state, peer, version))

    def take_message(self, sender: Address, payload: bytes) -> None:
        """Act on a configuration message of a peer."""
        message = decode_message(payload)
        if isinstance(message, Err):
            emit(Event.MESSAGE_REFUSED, peer=sender, reason=message.err_value)
            return
        before = self.snapshot.version
        self._send_all(receive(self.state, sender, message.ok_value))
        if self.snapshot.version != before:
            self._activated()

    def _activated(self) -> None:
        emit(Event.VERSION_ACTIVE, version=self.snapshot.version)
        self.on_version()

    def _send_all(self, sends: Iterable[Send]) -> None:
        for send in sends:
            self.send(send.peer, Topic.CONFIGURATION, encode_message(send.message))


__all__ = ["DistributionTask"]
