"""The control tasks of one daemon of a fleet, with what they stand on."""

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
    from briarslip.process.membership.member import Endpoint


RELAY_ROLE_INTERVAL_SECONDS = 0.5
HEARTBEAT_SECONDS = 0.5
RECEIVE_QUEUE_DATAGRAMS = 400


class FleetReactor:
    """What tasks use of a reactor, for one daemon that may stand still."""

    def __init__(self, fleet: Fleet, address: Address) -> None:
        self.fleet = fleet
        self.address = address
        self.is_dead = False
        self.is_paused = False
        self.pending: list[Callable[[], None]] = []
        self.datagrams: Any = None

    def callLater(self, delay: float, call: Any, *args: Any, **kw: Any) -> DelayedCall:
        """Run a call later, pending while paused and dropped when dead."""
        return self.fleet.clock.callLater(
            delay, self.run, lambda: call(*args, **kw), False
        )

    def run(self, call: Callable[[], None], datagram: bool) -> None:
        """Run a call now, or when the daemon goes on."""
        if self.is_dead:
            return
        if not self.is_paused:
            call()
        elif not datagram or len(self.pending) < RECEIVE_QUEUE_DATAGRAMS:
            self.pending.append(call)

    def resume(self) -> None:
        """Go on and catch up with what was pending."""
        self.is_paused = False
        pending, self.pending = self.pending, []
        for call in pending:
            call()

    def listenUDP(  # noqa: N802  # Twisted's name
        self, port: int, protocol: Any, interface: str = ""
    ) -> None:
        """Attach a datagram protocol."""
        if (interface, port) != self.address:
            raise OSError(f"{interface}:{port} is not this daemon's address")
        protocol.transport = self
        self.datagrams = protocol

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, as the protocol's transport."""
        self.fleet.send_datagram(self.address, Address(*address), data)


class FleetStoreClient(LocalStoreClient):
    """A daemon's platform client, which its zone's cut closes."""

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
        self, prefix: str, start_revision: int, on_events: Any, on_closed: Any
    ) -> Any:
        """Watch a prefix; a cut closes the watch."""
        watch: Any = super().watch(prefix, start_revision, on_events, on_closed)
        self.watches.append((watch, on_closed))
        if self.zone in self.fleet.store_partitions:
            self.close_watches(True)
        return watch

    def close_watches(self, tell: bool) -> None:
        """End every watch, by a cut or by the daemon's death."""
        watches, self.watches = self.watches, []
        for watch, on_closed in watches:
            if watch.inner is not None:
                watch.inner.stop()
            if tell:
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
        self.build()

    def build(self) -> None:
        """Connect the tasks as the daemon does."""
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
        )

    def start(self) -> None:
        """Begin the tasks."""
        self.membership.start()
        self.update_relay_role()

    def update_relay_role(self) -> None:
        """Do the periodic work of the process."""
        self.distribution.update_relay_role(self.draining)
        self.reactor.callLater(RELAY_ROLE_INTERVAL_SECONDS, self.update_relay_role)

    def record_active_version(self) -> None:
        """Note the version that runs now, and tell the members."""
        self.versions.append(self.distribution.snapshot.version)
        self.update_member()

    def update_member(self) -> None:
        """Tell the other daemons what has changed here."""
        version = self.distribution.snapshot.version
        self.membership.update_self(self.endpoints, version, self.draining)

    def set_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Take the place of announcements of backend servers."""
        self.endpoints = tuple(endpoints)
        self.update_member()

    def drain(self) -> None:
        """Begin to leave."""
        self.draining = True
        self.update_member()

    def send_control(self, peer: Address, topic: Topic, payload: bytes) -> None:
        """Send a control message, dropped if the peer can't be reached."""
        self.fleet.send_control(self.address, peer, topic, payload)

    def receive_control(self, sender: Address, topic: Topic, payload: bytes) -> None:
        """Act on a control message."""
        if topic is Topic.CONFIGURATION:
            self.distribution.receive_message(sender, payload)
        elif topic is Topic.MEMBERSHIP:
            self.membership.receive_message(sender, payload)


__all__ = ["FleetDaemon"]
