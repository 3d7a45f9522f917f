"""The control tasks of one daemon of a fleet, its reactor and its store client."""

from __future__ import annotations

import random
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import Any

from result import Err

from bench.fleet_clock import FleetClock
from briarslip.address import Address
from briarslip.connection.frame import Topic
from briarslip.process.distribution.task import DistributionTask
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status
from briarslip.process.membership.task import MembershipTask
from briarslip.process.store.client import StoreError
from briarslip.process.store.client import WatchClosed
from standins.local_store_client import LocalStoreClient


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from twisted.internet.base import DelayedCall

    from bench.fleet import Fleet
    from briarslip.process.distribution.source import ConfigurationSource
    from briarslip.process.membership.member import Endpoint
    from briarslip.version.snapshot import Snapshot


RELAY_ROLE_INTERVAL_SECONDS = 0.5
HEARTBEAT_SECONDS = 0.5
RECEIVE_QUEUE_DATAGRAMS = 400


class FleetReactor:
    """The reactor of one daemon, as far as tasks use one.

    While the daemon is paused, calls and messages wait in ``pending``; datagrams are
    dropped once ``RECEIVE_QUEUE_DATAGRAMS`` wait there. A dead daemon runs nothing.
    """

    def __init__(self, fleet: Fleet, address: Address) -> None:
        self.fleet = fleet
        self.address = address
        self.is_dead = False
        self.is_paused = False
        self.pending: list[Callable[[], None]] = []
        self.datagrams: Any = None

    def callLater(self, delay: float, call: Any, *args: Any, **kw: Any) -> DelayedCall:
        """Schedule a call; it waits while paused and is dropped when dead."""
        return self.fleet.clock.callLater(
            delay, self.run, lambda: call(*args, **kw), False
        )

    def seconds(self) -> float:
        """Return the virtual time in seconds."""
        return float(self.fleet.clock.seconds())

    def run(self, call: Callable[[], None], is_datagram: bool) -> None:
        """Run a call now, or when the daemon resumes."""
        if self.is_dead:
            return
        if not self.is_paused:
            call()
        elif not is_datagram or len(self.pending) < RECEIVE_QUEUE_DATAGRAMS:
            self.pending.append(call)

    def resume(self) -> None:
        """Resume, and run the pending calls."""
        self.is_paused = False
        pending, self.pending = self.pending, []
        for call in pending:
            call()

    def listenUDP(  # noqa: N802  # Twisted's name
        self, port: int, protocol: Any, interface: str = ""
    ) -> None:
        """Attach a datagram protocol; the port must be that of the daemon's address."""
        if (interface, port) != self.address:
            raise OSError(
                f"cannot bind {interface}:{port}: this daemon is {self.address}"
            )
        protocol.transport = self
        self.datagrams = protocol

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, as the transport of the protocol."""
        self.fleet.send_datagram(self.address, Address(*address), data)


class FleetStoreClient(LocalStoreClient):
    """A daemon's store client, which fails while its zone is partitioned from it."""

    def __init__(self, fleet: Fleet, zone: str, reactor: FleetReactor) -> None:
        super().__init__(fleet.store, reactor.callLater)
        self.fleet = fleet
        self.zone = zone
        self.watches: list[tuple[Any, Any]] = []

    async def _call(self, kind: str, operation: Callable[[], Any]) -> Any:
        if self.zone in self.fleet.store_partitions:
            return Err(StoreError("cut off", kind not in ("range",)))
        return await super()._call(kind, operation)

    def watch(
        self,
        prefix: str,
        start_revision: int,
        on_events: Any,
        on_closed: Any,
        is_resumed: bool = False,
    ) -> Any:
        """Watch a prefix; a partition from the store closes the watch."""
        watch: Any = super().watch(
            prefix, start_revision, on_events, on_closed, is_resumed
        )
        self.watches.append((watch, on_closed))
        if self.zone in self.fleet.store_partitions:
            self.close_watches(True)
        return watch

    def close_watches(self, notify: bool) -> None:
        """Stop every watch, and call its ``on_closed`` if ``notify`` is set."""
        watches, self.watches = self.watches, []
        for watch, on_closed in watches:
            if watch.inner is not None:
                watch.inner.stop()
            if notify:
                watch.schedule(on_closed, WatchClosed("cut off"))
            else:
                watch.stop()


class FleetDaemon:
    """The control tasks of one daemon."""

    def __init__(self, fleet: Fleet, address: Address, zone: str, region: str) -> None:
        self.fleet = fleet
        self.address = address
        self.zone = zone
        self.region = region
        self.endpoints: tuple[Endpoint, ...] = ()
        self.draining = False
        self.clock = FleetClock(fleet.clock)
        self.clock.skew = fleet.clock_skews.get(address, timedelta(0))
        self.rng = random.Random(fleet.rng.random())
        self.reactor = FleetReactor(fleet, address)
        self.store_client = FleetStoreClient(fleet, zone, self.reactor)
        self.versions: list[int] = []
        self._create_tasks()

    def _create_tasks(self) -> None:
        """Create the tasks and connect them as the daemon does."""
        member = Member(
            address=self.address,
            availability_zone=self.zone,
            region=self.region,
            incarnation=int(self.clock.now().timestamp() * 1000),
            status=Status.ALIVE,
            running_version=0,
            endpoints=(),
        )
        self.membership = MembershipTask(
            self.reactor,
            self.clock,
            self.rng,
            member,
            self.fleet.seeds,
            HEARTBEAT_SECONDS,
            lambda peer, version: self.distribution.receive_peer_version(peer, version),
            self.store_client,
            self.send_control,
        )
        self.distribution = DistributionTask(
            self.reactor,
            self.clock,
            self.rng,
            self.store_client,
            self.address,
            self.zone,
            lambda: self.membership.live,
            self.send_control,
            self.record_active_version,
            self.membership.last_known_version,
            lambda: self.membership.minimum_version,
            self.fleet.make_source and self._make_source,
        )

    def _make_source(
        self, on_snapshot: Callable[[Snapshot], None]
    ) -> ConfigurationSource:
        """Return this daemon's own source, in a fleet that has them."""
        assert self.fleet.make_source is not None
        return self.fleet.make_source(
            self.reactor, self.rng, self.store_client, on_snapshot
        )

    def start(self) -> None:
        """Start the tasks."""
        self.membership.start()
        self.update_relay_role()

    def update_relay_role(self) -> None:
        """Update the relay role, periodically."""
        self.distribution.update_relay_role(self.draining)
        self.reactor.callLater(RELAY_ROLE_INTERVAL_SECONDS, self.update_relay_role)

    def record_active_version(self) -> None:
        """Record the version that runs now, and announce it to the members."""
        self.versions.append(self.distribution.snapshot.version)
        self.update_member()

    def update_member(self) -> None:
        """Update this daemon's member entry from its own state."""
        version = self.distribution.snapshot.version
        self.membership.update_self(self.endpoints, version, self.draining)

    def set_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Set the endpoints, in place of announcements of backend servers."""
        self.endpoints = tuple(endpoints)
        self.update_member()

    def drain(self) -> None:
        """Start a graceful shutdown."""
        self.draining = True
        self.update_member()

    def send_control(self, peer: Address, topic: Topic, payload: bytes) -> None:
        """Send a control message, which is dropped if the peer is unreachable."""
        self.fleet.send_control(self.address, peer, topic, payload)

    def receive_control(self, sender: Address, topic: Topic, payload: bytes) -> None:
        """Receive a control message and give it to the task of its topic."""
        if topic is Topic.CONFIGURATION:
            self.distribution.receive_message(sender, payload)
        elif topic is Topic.MEMBERSHIP:
            self.membership.receive_message(sender, payload)


__all__ = ["FleetDaemon"]
