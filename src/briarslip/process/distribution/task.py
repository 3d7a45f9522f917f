"""The task that owns the running configuration and spreads it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Err

from briarslip.connection.frame import Topic
from briarslip.finding import format_findings
from briarslip.process.distribution.bootstrap import Bootstrap
from briarslip.process.distribution.relay import Relay
from briarslip.process.distribution.stored_configuration import REST_SECONDS
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
from briarslip.version.puller import Puller
from briarslip.version.puller import next_wakeup
from briarslip.version.puller import record_answer
from briarslip.version.puller import record_busy
from briarslip.version.puller import record_failure
from briarslip.version.puller import record_source
from briarslip.version.puller import start_pull
from briarslip.version.push_tree import push_targets
from briarslip.version.push_tree import relays


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

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


# How long a daemon has to be chosen before it acts as a relay, so that those
# which know few members yet, as when many return at once, leave the platform alone.
RELAY_PATIENCE_SECONDS = 2.0
# A daemon that reads the store itself has what its peers run after a rest and a read.
OWN_SOURCE_PATIENCE_SECONDS = 1.25 * REST_SECONDS


class DistributionTask:
    """Runs the newest version it learns of, and passes it on.

    ``on_version`` runs after another version has become active.
    ``last_heard_version`` returns what an address was last heard to run, also
    before it was replaced; ``own_last_version`` returns the same of this one,
    as peers have told. ``make_source`` makes what brings the configuration
    in place of the relay; peers still pass it on.
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
        last_heard_version: Callable[[Address], int],
        own_last_version: Callable[[], int],
        make_source: SourceFactory | None = None,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.own_address = own_address
        self.availability_zone = availability_zone
        self.members = members
        self.send = send
        self.on_version = on_version
        self.last_heard_version = last_heard_version
        self.state = DistributionState()
        self.puller = Puller()
        self.heard: dict[Address, int] = {}
        self.zones: dict[str, list[Address]] = {}
        self.relays_by_zone: dict[str, tuple[Address, ...]] = {}
        self.seen_members: tuple[Member, ...] = ()
        self.wake_call: Any = None
        self.chosen_since: float | None = None
        self.started = False
        self.patience = 0.0 if make_source is None else OWN_SOURCE_PATIENCE_SECONDS
        self.relay: ConfigurationSource
        if make_source is None:
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
            self.relay = make_source(self._take_newest)
        self.bootstrap = Bootstrap(
            reactor,
            clock,
            rng,
            store if make_source is None else None,
            self._other_members,
            lambda peer: self._send(peer, VersionQuery()),
            own_last_version,
            self._minimum_version_known,
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
        """Take up or lay down the relay role by the members of the zone.

        Called periodically; the first call starts the bootstrap.
        """
        self._take_members()
        chosen = self.relays_by_zone
        near = chosen[self.availability_zone]
        is_chosen = self.own_address in near and not draining
        active = is_chosen and self._patient()
        if not is_chosen:
            self.chosen_since = None
        if active != self.relay.active:
            emit(Event.RELAY_STARTED if active else Event.RELAY_STOPPED)
        if active:
            self.relay.rank = self._rank(chosen)
        self.relay.set_active(active)
        if not self.started:
            self.started = True
            self.bootstrap.start()

    def _patient(self) -> bool:
        """Tell whether this daemon has been chosen as a relay for long enough."""
        now = self.clock.monotonic()
        if self.chosen_since is None:
            self.chosen_since = now
        return now - self.chosen_since >= RELAY_PATIENCE_SECONDS

    def _rank(self, chosen: Mapping[str, Sequence[Address]]) -> int:
        """Return how many relays of all zones publish before this one."""
        everyone = sorted(
            (place, address)
            for addresses in chosen.values()
            for place, address in enumerate(addresses)
        )
        return [address for _, address in everyone].index(self.own_address)

    def _take_members(self) -> None:
        """Note the zones' addresses and what every address has run.

        An unchanged tuple of members is not looked at again.
        """
        members = self.members()
        if members is self.seen_members:
            return
        self.seen_members = members
        zones: dict[str, list[Address]] = {}
        for member in members:
            zones.setdefault(member.availability_zone, []).append(member.address)
            self._note(member.address, member.running_version)
        known = {address for addresses in zones.values() for address in addresses}
        self.heard = {a: v for a, v in self.heard.items() if a in known}
        self.zones = zones
        self.relays_by_zone = {
            zone: relays(addresses, zone) for zone, addresses in zones.items()
        }

    def _note(self, peer: Address, version: int) -> None:
        if peer != self.own_address and version > self.heard.get(peer, 0):
            self.heard[peer] = version

    def _other_members(self) -> tuple[list[Address], list[Address]]:
        """Return the other members of this zone, and those of other zones."""
        near = [a for a in self._zone_addresses() if a != self.own_address]
        far = [
            address
            for zone, addresses in self.zones.items()
            for address in addresses
            if zone != self.availability_zone
        ]
        return near, far

    def _zone_addresses(self) -> list[Address]:
        return self.zones.get(self.availability_zone, [])

    def activate_snapshot(self, snapshot: Snapshot) -> None:
        """Run a snapshot, unless an older one or none has to be run."""
        before = self.snapshot.version
        self._installed(before, install_snapshot(self.state, snapshot))

    def _take_newest(self, snapshot: Snapshot) -> None:
        """Run a snapshot of which the source says that it is the newest."""
        self._minimum_version_known(snapshot.version)
        self.activate_snapshot(snapshot)

    def _minimum_version_known(self, version: int) -> None:
        before = self.snapshot.version
        if before:
            return
        self._installed(before, set_minimum_version(self.state, version))

    def _installed(self, before: int, findings: tuple[Finding, ...]) -> None:
        if findings:
            emit(Event.VERSION_REJECTED, findings=format_findings(findings))
        version = self.snapshot.version
        if version == before:
            return
        self.bootstrap.finish()
        # Peers get the version before anything is served with it, so that it
        # is known to the zone should this daemon be replaced.
        self._push(before)
        emit(Event.VERSION_ACTIVE, version=version)
        for finding in self.table.retained:
            emit(Event.RECORD_RETAINED, finding=str(finding))
        self.on_version()

    def _push(self, before: int) -> None:
        """Pass the running version on along the tree."""
        version = self.snapshot.version
        recent = self.state.recent_deltas
        message: ConfigurationMessage = Offer(version)
        if recent and recent[-1].base_version == before:
            message = Deltas((recent[-1].data,))
        targets = push_targets(
            self.own_address, self._zone_addresses(), self.availability_zone, version
        )
        for peer in targets:
            if self.heard.get(peer, 0) < version:
                self._send(peer, message)
        if self.relay.active:
            self._offer_to_other_zones()

    def _offer_to_other_zones(self) -> None:
        """Tell the relays of other zones that are not known to be up to date.

        This reaches zones that are cut from the platform.
        """
        version = self.snapshot.version
        for zone, addresses in self.relays_by_zone.items():
            if zone == self.availability_zone:
                continue
            for peer in addresses:
                if self.heard.get(peer, 0) < version:
                    self._send(peer, Offer(version))

    def receive_peer_version(self, peer: Address, version: int) -> None:
        """Take note of what a peer runs, and pull it if it is newer."""
        self._note(peer, version)
        if version > self.state.newest_version and peer != self.own_address:
            now = self.clock.monotonic()
            patience = self.patience if self.snapshot.version else 0.0
            record_source(self.puller, peer, version, now, self.rng, patience)
            self._pull()

    def receive_message(self, sender: Address, payload: bytes) -> None:
        """Act on a configuration message of a peer."""
        message = decode_message(payload)
        if isinstance(message, Err):
            emit(Event.MESSAGE_REJECTED, peer=sender, reason=message.err_value)
            return
        match message.ok_value:
            case Offer(version):
                self.receive_peer_version(sender, version)
            case Pull(running):
                self._note(sender, running)
                now = self.clock.monotonic()
                answer = serve_pull(self.state, running, now)
                if answer is not None:
                    self._send(sender, answer)
            case FullSnapshot() as whole:
                self._take_version(sender, decode_full_snapshot(whole))
            case Deltas(deltas):
                self._take_version(sender, apply_deltas(self.state, deltas))
            case Busy(retry_after_ms):
                self._take_busy(sender, retry_after_ms / MS_PER_SECOND)
            case VersionQuery():
                last_heard = self.last_heard_version(sender)
                self._send(sender, VersionReply(self.snapshot.version, last_heard))
            case VersionReply() as reply:
                self.receive_peer_version(sender, reply.running_version)
                self.bootstrap.take_reply(sender, reply)

    def _take_version(self, sender: Address, read: Result[Snapshot, str]) -> None:
        if isinstance(read, Err):
            if self.puller.pulled_peer == sender:
                record_failure(self.puller, self.clock.monotonic(), self.rng)
            # A step that does not fit: the sender has what is missing.
            emit(Event.PEER_VERSION_REJECTED, peer=sender, reason=read.err_value)
            newer = max(self.heard.get(sender, 0), self.state.newest_version + 1)
            record_source(self.puller, sender, newer, self.clock.monotonic(), self.rng)
            self._pull()
            return
        self._note(sender, read.ok_value.version)
        self.activate_snapshot(read.ok_value)
        record_answer(self.puller, sender, self.state.newest_version)
        self._pull()

    def _take_busy(self, sender: Address, retry_after: float) -> None:
        now = self.clock.monotonic()
        record_busy(self.puller, sender, retry_after, now, self.rng)
        self._pull()

    def _pull(self) -> None:
        """Ask the next source if it is time, and come back when it will be."""
        if self.wake_call is not None and self.wake_call.active():
            self.wake_call.cancel()
        self.wake_call = None
        now = self.clock.monotonic()
        self.puller.drop_outdated_sources(self.state.newest_version)
        source = start_pull(self.puller, now, self.rng)
        if source is not None:
            self._send(source, Pull(self.snapshot.version))
        wake = next_wakeup(self.puller)
        if wake is not None:
            delay = max(wake - now, 0.001)
            self.wake_call = self.reactor.callLater(delay, self._wake)

    def _wake(self) -> None:
        self.wake_call = None
        self._pull()

    def _send(self, peer: Address, message: ConfigurationMessage) -> None:
        self.send(peer, Topic.CONFIGURATION, encode_message(message))


__all__ = ["DistributionTask"]
