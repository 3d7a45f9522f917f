"""The task that holds the running configuration and distributes it to peers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

from result import Err

from briarslip.connection.frame import Topic
from briarslip.finding import format_findings
from briarslip.process.distribution.bootstrap import Bootstrap
from briarslip.process.distribution.peers import DistributionPeers
from briarslip.process.distribution.pulls import Pulls
from briarslip.process.distribution.source_activation import SourceActivation
from briarslip.process.distribution.stored_configuration import READ_INTERVAL_SECONDS
from briarslip.process.distribution.watch_duty import MAX_WATCHING_ZONE_MEMBERS
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.version.configuration_codec import Busy
from briarslip.version.configuration_codec import Deltas
from briarslip.version.configuration_codec import FullSnapshot
from briarslip.version.configuration_codec import Offer
from briarslip.version.configuration_codec import Pull
from briarslip.version.configuration_codec import VersionQuery
from briarslip.version.configuration_codec import VersionReply
from briarslip.version.configuration_codec import decode_message
from briarslip.version.configuration_codec import encode_message
from briarslip.version.distribution import MS_PER_SECOND
from briarslip.version.distribution import DistributionState
from briarslip.version.distribution import apply_deltas
from briarslip.version.distribution import decode_full_snapshot
from briarslip.version.distribution import install_snapshot
from briarslip.version.distribution import serve_pull
from briarslip.version.distribution import set_minimum_version
from briarslip.version.push_tree import push_targets


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from result import Result

    from briarslip.address import Address
    from briarslip.finding import Finding
    from briarslip.process.clock import Clock
    from briarslip.process.distribution.source import ConfigurationSource
    from briarslip.process.distribution.source import SourceFactory
    from briarslip.process.membership.member import Member
    from briarslip.process.store.client import StoreClient
    from briarslip.version.configuration_codec import ConfigurationMessage
    from briarslip.version.routing_table import RoutingTable
    from briarslip.version.snapshot import Snapshot


# How long a daemon must be chosen before it acts as a relay. When many daemons start
# at once, each sees few members at first, and would otherwise call the store.
RELAY_START_DELAY_SECONDS = 2.0
# A daemon with its own source has its peers' version after one read interval and the
# read itself, so a pull is needed only after that.
OWN_SOURCE_GRACE_SECONDS = 1.25 * READ_INTERVAL_SECONDS
SETTLING_SECONDS = 5.0


class DistributionTask:
    """Runs the newest configuration version received, and distributes it.

    ``members`` returns the live members, including this daemon. ``on_version`` is
    called after another version has become active. ``last_known_version`` returns
    the last version that a daemon at an address was known to run, including daemons
    replaced since; ``own_minimum_version`` returns the same for this daemon's
    address, as reported by peers. ``make_source`` creates the source of the
    configuration that is used in place of a ``Relay``; versions are still pushed to
    and pulled from peers.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        rng: random.Random,
        store: StoreClient,
        own_address: Address,
        availability_zone: str,
        members: Callable[[], tuple[Member, ...]],
        send: Callable[[Address, Topic, bytes], None],
        on_version: Callable[[], None],
        last_known_version: Callable[[Address], int],
        own_minimum_version: Callable[[], int],
        make_source: SourceFactory | None = None,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.own_address = own_address
        self.availability_zone = availability_zone
        self.send = send
        self.on_version = on_version
        self.last_known_version = last_known_version
        self.state = DistributionState()
        self.pulls = Pulls(reactor, clock, rng, self.state, self._send)
        self.peers = DistributionPeers(own_address, availability_zone, members)
        self.chosen_as_relay_since: float | None = None
        self.is_relay = False
        self.started = False
        self.first_version_at = math.inf
        self.version_active_at = math.inf
        # None if only relays read the store.
        self.source_activation: SourceActivation | None = None
        self.relay: ConfigurationSource
        if make_source is None:
            from briarslip.process.distribution.relay import Relay

            self.relay = Relay(
                reactor,
                clock,
                rng,
                store,
                lambda: self.state.snapshot,
                self.activate_snapshot,
                self._offer_to_other_zones,
            )
        else:
            self.relay = make_source(self._activate_newest)
            self.source_activation = SourceActivation(reactor, clock, self.relay)
        self.bootstrap = Bootstrap(
            reactor,
            clock,
            rng,
            store if make_source is None else None,
            self.peers.other_members,
            lambda peer: self._send(peer, VersionQuery()),
            own_minimum_version,
            self._set_minimum_version,
        )

    @property
    def snapshot(self) -> Snapshot:
        """The running snapshot."""
        return self.state.snapshot

    @property
    def table(self) -> RoutingTable:
        """The running routing table."""
        return self.state.table

    def update_relay_role(self, draining: bool) -> None:
        """Start or stop acting as a relay, depending on the members of the zone.

        Called periodically; the first call starts the bootstrap.
        """
        self.peers.update()
        is_chosen = self.own_address in self.peers.zone_relays and not draining
        active = is_chosen and self._is_relay_delay_over()
        if not is_chosen:
            self.chosen_as_relay_since = None
        if active != self.is_relay:
            emit(Event.RELAY_STARTED if active else Event.RELAY_STOPPED)
        self.is_relay = active
        if active:
            self.relay.rank = self.peers.own_rank
        if self.source_activation is None:
            self.relay.set_active(active)
        else:
            is_chosen = self.chosen_as_relay_since is not None
            self.source_activation.update(is_chosen, len(self.peers.zone_addresses))
            self._send_relay_heartbeat()
        if not self.started:
            self.started = True
            self.bootstrap.start()

    def _send_relay_heartbeat(self) -> None:
        """Tell the zone that this relay is in touch with the store."""
        addresses = self.peers.zone_addresses
        if (
            not self.is_relay
            or not self.relay.is_in_touch
            or len(addresses) <= MAX_WATCHING_ZONE_MEMBERS
        ):
            return
        heartbeat = encode_message(Offer(self.snapshot.version))
        for peer in addresses:
            if peer != self.own_address:
                self.send(peer, Topic.CONFIGURATION, heartbeat)

    def _record_relay_heartbeat(self, sender: Address) -> None:
        """Tell the watch of the store that a relay of this zone was heard."""
        if self.source_activation is not None and sender in self.peers.zone_relays:
            self.source_activation.record_relay()

    def _is_relay_delay_over(self) -> bool:
        """Return whether this daemon has been chosen for the relay start delay."""
        now = self.clock.monotonic()
        if self.chosen_as_relay_since is None:
            self.chosen_as_relay_since = now
        return now - self.chosen_as_relay_since >= RELAY_START_DELAY_SECONDS

    def activate_snapshot(self, snapshot: Snapshot) -> None:
        """Make a snapshot the running one if it may be run.

        It is not run if it is invalid, not newer than the running one, or below the
        minimum version.
        """
        previous_version = self.snapshot.version
        self._after_install(previous_version, install_snapshot(self.state, snapshot))

    def _activate_newest(self, snapshot: Snapshot) -> None:
        """Activate a snapshot that the own source reports to be the newest one."""
        if snapshot.version < self.snapshot.version:
            if self.relay.refutes(self.snapshot):
                return
            emit(
                Event.VERSION_IGNORED,
                version=snapshot.version,
                running=self.snapshot.version,
            )
        self._set_minimum_version(snapshot.version)
        self.activate_snapshot(snapshot)

    def _set_minimum_version(self, version: int) -> None:
        previous_version = self.snapshot.version
        if previous_version:
            return
        self._after_install(previous_version, set_minimum_version(self.state, version))

    def _after_install(
        self, previous_version: int, findings: tuple[Finding, ...]
    ) -> None:
        if findings:
            emit(Event.VERSION_REJECTED, findings=format_findings(findings))
        version = self.snapshot.version
        if version == previous_version:
            return
        self.bootstrap.stop()
        self.version_active_at = self.clock.monotonic()
        if not previous_version:
            self.first_version_at = self.version_active_at
        # The version is pushed before any request is served with it, so that the
        # zone has it in case this daemon is replaced.
        self._push(previous_version)
        emit(Event.VERSION_ACTIVE, version=version)
        for finding in self.table.retained:
            emit(Event.RECORD_RETAINED, finding=str(finding))
        self.on_version()

    def _push(self, previous_version: int) -> None:
        """Push the running version to this daemon's children in the push tree."""
        version = self.snapshot.version
        recent = self.state.recent_deltas
        message: ConfigurationMessage = Offer(version)
        if recent and recent[-1].base_version == previous_version:
            message = Deltas((recent[-1].data,))
        targets = push_targets(
            self.own_address,
            self.peers.zone_addresses,
            self.availability_zone,
            version,
        )
        for peer in targets:
            if self.peers.version_of(peer) < version:
                self._send(peer, message)
        if self.is_relay:
            self._offer_to_other_zones()

    def _offer_to_other_zones(self) -> None:
        """Offer the running version to relays of other zones that may not have it.

        This way it reaches zones that are partitioned from the store.
        """
        version = self.snapshot.version
        for peer in self.peers.other_relays:
            if self.peers.version_of(peer) < version:
                self._send(peer, Offer(version))

    def receive_peer_version(self, peer: Address, version: int) -> None:
        """Record the version that a peer runs, and pull it if it is newer."""
        self.peers.record_version(peer, version)
        if version > self.state.newest_version and peer != self.own_address:
            now = self.clock.monotonic()
            has_own_source = self.source_activation is not None and self.relay.active
            # What a daemon reads when it starts may be an older copy of the store.
            is_settled = now - self.first_version_at >= SETTLING_SECONDS
            pull_grace_seconds = (
                OWN_SOURCE_GRACE_SECONDS if has_own_source and is_settled else 0.0
            )
            self.pulls.record_source(peer, version, pull_grace_seconds)

    def receive_message(self, sender: Address, payload: bytes) -> None:
        """Handle a configuration message from a peer."""
        message = decode_message(payload)
        if isinstance(message, Err):
            emit(Event.MESSAGE_REJECTED, peer=sender, reason=message.err_value)
            return
        match message.ok_value:
            case Offer(version):
                self._record_relay_heartbeat(sender)
                self.receive_peer_version(sender, version)
            case Pull(running_version):
                self.peers.record_version(sender, running_version)
                now = self.clock.monotonic()
                pull_reply = serve_pull(self.state, running_version, now)
                if pull_reply is not None:
                    self._send(sender, pull_reply)
            case FullSnapshot() as full_snapshot:
                self._receive_snapshot(sender, decode_full_snapshot(full_snapshot))
            case Deltas(deltas):
                self._receive_snapshot(sender, apply_deltas(self.state, deltas))
            case Busy(retry_after_ms):
                self.pulls.record_busy(sender, retry_after_ms / MS_PER_SECOND)
            case VersionQuery():
                last_known = self.last_known_version(sender)
                self._send(sender, VersionReply(self.snapshot.version, last_known))
            case VersionReply() as reply:
                self.receive_peer_version(sender, reply.running_version)
                self.bootstrap.receive_reply(sender, reply)

    def _receive_snapshot(
        self, sender: Address, decoded: Result[Snapshot, str]
    ) -> None:
        if isinstance(decoded, Err):
            self.pulls.record_unusable_reply(sender)
            # Deltas of another base, for example: the sender has what is missing.
            emit(Event.PEER_VERSION_REJECTED, peer=sender, reason=decoded.err_value)
            newer_version = max(
                self.peers.version_of(sender), self.state.newest_version + 1
            )
            self.pulls.record_source(sender, newer_version)
            return
        self.peers.record_version(sender, decoded.ok_value.version)
        if not self.relay.refutes(decoded.ok_value):
            self.activate_snapshot(decoded.ok_value)
        self.pulls.record_reply(sender)

    def _send(self, peer: Address, message: ConfigurationMessage) -> None:
        self.send(peer, Topic.CONFIGURATION, encode_message(message))


__all__ = ["DistributionTask"]
