"""A fleet of daemons' control tasks in one process, in virtual time.

Datagrams and control messages go through memory and are counted; sockets,
links and the platform's wire are left out. Each daemon has a reactor of its
own on the common clock, so that it can be paused, killed and replaced.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from itertools import count
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as TwistedClock

from briarslip.address import Address
from briarslip.connection.frame import Topic
from briarslip.process.change_writer import write_change
from briarslip.process.distribution_task import DistributionTask
from briarslip.process.member import Member
from briarslip.process.member import Status
from briarslip.process.membership_task import MembershipTask
from briarslip.process.platform import PlatformError
from briarslip.process.platform import WatchClosed
from standins.local_platform import LocalPlatformClient
from standins.platform_store import PlatformStandIn


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.process.change_writer import RecordWrite
    from briarslip.process.member import Endpoint


EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
PEER_PORT = 7000
HOUSEKEEPING_SECONDS = 0.5
HEARTBEAT_SECONDS = 0.5
ZONE_LATENCY_SECONDS = 0.0005
REGION_LATENCY_SECONDS = 0.005
DATAGRAM_HEADER_BYTES = 28
CONTROL_HEADER_BYTES = 80
RECEIVE_QUEUE_DATAGRAMS = 400
DATAGRAM = "datagram"


class HeapClock(TwistedClock):
    """Twisted's clock for tests, with a heap so that it stays fast."""

    def __init__(self) -> None:
        super().__init__()
        self.rightNow = 0.0
        self.heap: list[tuple[float, int, DelayedCall]] = []
        self.numbers = count()

    def callLater(self, delay: float, run: Any, *args: Any, **kw: Any) -> DelayedCall:
        """Run a call later."""
        due = self.seconds() + delay
        call = DelayedCall(due, run, args, kw, lambda _: None, self._push, self.seconds)
        self._push(call)
        return call

    def _push(self, call: DelayedCall) -> None:
        heapq.heappush(self.heap, (call.getTime(), next(self.numbers), call))

    def advance(self, amount: float) -> None:
        """Run what falls due within some seconds, in order."""
        end = self.rightNow + amount
        while self.heap and self.heap[0][0] <= end:
            due, _, call = heapq.heappop(self.heap)
            if call.cancelled or call.called:
                continue
            if call.getTime() > due:
                self._push(call)
                continue
            self.rightNow = max(self.rightNow, due)
            call.called = 1
            call.func(*call.args, **call.kw)
        self.rightNow = end


class FleetClock:
    """The clock interface on virtual time; ``skew`` sets the wall time off."""

    def __init__(self, clock: HeapClock) -> None:
        self.clock = clock
        self.skew = timedelta(0)

    def now(self) -> datetime:
        """Return the wall time."""
        return EPOCH + timedelta(seconds=self.clock.seconds()) + self.skew

    def monotonic(self) -> float:
        """Return the seconds of virtual time."""
        seconds: float = self.clock.seconds()
        return seconds


class FleetReactor:
    """What tasks use of a reactor, for one daemon that may stand still."""

    def __init__(self, fleet: Fleet, address: Address) -> None:
        self.fleet = fleet
        self.address = address
        self.dead = False
        self.paused = False
        self.held: list[Callable[[], None]] = []
        self.datagrams: Any = None

    def callLater(self, delay: float, call: Any, *args: Any, **kw: Any) -> DelayedCall:
        """Run a call later, held while paused and dropped when dead."""
        return self.fleet.clock.callLater(
            delay, self.run, lambda: call(*args, **kw), False
        )

    def run(self, call: Callable[[], None], datagram: bool) -> None:
        """Run a call now, or when the daemon goes on."""
        if self.dead:
            return
        if not self.paused:
            call()
        elif not datagram or len(self.held) < RECEIVE_QUEUE_DATAGRAMS:
            self.held.append(call)

    def resume(self) -> None:
        """Go on and catch up with what was held."""
        self.paused = False
        held, self.held = self.held, []
        for call in held:
            call()

    def listenUDP(  # noqa: N802
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


class FleetPlatform(LocalPlatformClient):
    """A daemon's platform client, which its zone's cut closes."""

    def __init__(self, fleet: Fleet, zone: str, reactor: FleetReactor) -> None:
        super().__init__(fleet.platform, reactor.callLater)
        self.fleet = fleet
        self.zone = zone
        self.watches: list[tuple[Any, Any]] = []

    async def _call(self, kind: str, operation: Callable[[], Any]) -> Any:
        if self.zone in self.fleet.platform_cuts:
            return Err(PlatformError("cut off", kind not in ("range",)))
        return await super()._call(kind, operation)

    def watch(
        self, prefix: str, start_revision: int, on_events: Any, on_closed: Any
    ) -> Any:
        """Watch a prefix; a cut closes the watch."""
        watch: Any = super().watch(prefix, start_revision, on_events, on_closed)
        self.watches.append((watch, on_closed))
        if self.zone in self.fleet.platform_cuts:
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


@dataclass
class Traffic:
    """Bytes and messages by kind, headers included."""

    sent: Counter[str]
    received: Counter[str]
    messages: Counter[str]
    largest_datagram: int = 0

    @classmethod
    def empty(cls) -> Traffic:
        """Return traffic with nothing counted."""
        return cls(Counter(), Counter(), Counter())

    @property
    def total(self) -> int:
        """The bytes of both directions."""
        return self.sent.total() + self.received.total()

    @property
    def membership(self) -> int:
        """The bytes of both directions that membership has spent."""
        kinds = (DATAGRAM, Topic.MEMBERSHIP.name)
        return sum(self.sent[kind] + self.received[kind] for kind in kinds)


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
        self.clock.skew = fleet.skews.get(address, timedelta(0))
        self.rng = random.Random(fleet.rng.random())
        self.reactor = FleetReactor(fleet, address)
        self.platform = FleetPlatform(fleet, zone, self.reactor)
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
            lambda peer, version: self.distribution.heard_version(peer, version),
            self.platform,
            self.send_control,
        )
        self.distribution = DistributionTask(
            self.reactor,
            self.clock,
            self.rng,
            self.platform,
            self.address,
            self.zone,
            lambda: self.membership.live,
            self.send_control,
            self.version_active,
            self.membership.last_heard_version,
            lambda: self.membership.minimum_version,
        )

    def start(self) -> None:
        """Begin the tasks."""
        self.membership.start()
        self.keep_house()

    def keep_house(self) -> None:
        """Do the periodic work of the process."""
        self.distribution.choose_relays(self.draining)
        self.reactor.callLater(HOUSEKEEPING_SECONDS, self.keep_house)

    def version_active(self) -> None:
        """Note the version that runs now, and tell the members."""
        self.versions.append(self.distribution.snapshot.version)
        self.update()

    def update(self) -> None:
        """Tell the other daemons what has changed here."""
        version = self.distribution.snapshot.version
        self.membership.update(self.endpoints, version, self.draining)

    def announce(self, endpoints: Iterable[Endpoint]) -> None:
        """Take the place of announcements of backend servers."""
        self.endpoints = tuple(endpoints)
        self.update()

    def drain(self) -> None:
        """Begin to leave."""
        self.draining = True
        self.update()

    def send_control(self, peer: Address, topic: Topic, payload: bytes) -> None:
        """Send a control message, dropped if the peer can't be reached."""
        self.fleet.send_control(self.address, peer, topic, payload)

    def take_control(self, sender: Address, topic: Topic, payload: bytes) -> None:
        """Act on a control message."""
        if topic is Topic.CONFIGURATION:
            self.distribution.take_message(sender, payload)
        elif topic is Topic.MEMBERSHIP:
            self.membership.take_message(sender, payload)


class Fleet:
    """Daemons by address, the network between them and the platform."""

    def __init__(self, seed: int = 1) -> None:
        self.clock = HeapClock()
        self.rng = random.Random(seed)
        self.platform = PlatformStandIn(self.clock)
        self.daemons: dict[Address, FleetDaemon] = {}
        self.traffic: dict[Address, Traffic] = {}
        self.seeds: tuple[Address, ...] = ()
        self.skews: dict[Address, timedelta] = {}
        self.changes = count(1)
        self.loss = 0.0
        self.platform_cuts: set[str] = set()
        self.zone_cuts: set[frozenset[str]] = set()
        self.blocked: set[tuple[Address, Address]] = set()

    @property
    def running(self) -> tuple[FleetDaemon, ...]:
        """The daemons that are neither dead nor paused."""
        return tuple(
            d
            for d in self.daemons.values()
            if not d.reactor.dead and not d.reactor.paused
        )

    def add_zone(
        self, zone: str, size: int, region: str = "default", start: bool = True
    ) -> tuple[FleetDaemon, ...]:
        """Add a zone of daemons; the first ones of each are seeds."""
        number = len({daemon.zone for daemon in self.daemons.values()})
        addresses = [
            Address(f"10.{number}.{i // 250}.{i % 250 + 1}", PEER_PORT)
            for i in range(size)
        ]
        self.seeds += tuple(addresses[:3])
        added = tuple(FleetDaemon(self, a, zone, region) for a in addresses)
        for daemon in added:
            self.daemons[daemon.address] = daemon
            self.traffic[daemon.address] = Traffic.empty()
            if start:
                self.clock.callLater(self.rng.random(), daemon.start)
        return added

    def apply(self, *writes: RecordWrite) -> None:
        """Write a change as operators do; no daemon has seen it yet."""
        client = LocalPlatformClient(self.platform, self.clock.callLater)
        work = write_change(client, writes, lambda: f"{next(self.changes):032x}")
        done: list[Any] = []
        Deferred.fromCoroutine(work).addBoth(done.append)
        done[0].unwrap()

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.clock.advance(seconds)

    def run_until(
        self, condition: Callable[[], bool], limit: float, step: float = 0.1
    ) -> float:
        """Let time pass until a condition holds; return it, or infinity."""
        began = self.clock.seconds()
        while not condition():
            if self.clock.seconds() - began >= limit:
                return float("inf")
            self.run(step)
        elapsed: float = self.clock.seconds() - began
        return elapsed

    def kill(self, daemon: FleetDaemon) -> None:
        """End a daemon at once."""
        daemon.reactor.dead = True
        daemon.platform.close_watches(False)

    def restart(self, daemon: FleetDaemon) -> FleetDaemon:
        """Start a replacement at the same address, which knows nothing."""
        self.kill(daemon)
        fresh = FleetDaemon(self, daemon.address, daemon.zone, daemon.region)
        self.daemons[daemon.address] = fresh
        fresh.start()
        return fresh

    def pause(self, daemon: FleetDaemon) -> None:
        """Stop a daemon as SIGSTOP does."""
        daemon.reactor.paused = True

    def resume(self, daemon: FleetDaemon) -> None:
        """Let a paused daemon go on."""
        daemon.reactor.resume()

    def cut_zone(self, zone: str, from_platform: bool = False) -> None:
        """Cut a zone off from all others."""
        others = {daemon.zone for daemon in self.daemons.values()} - {zone}
        self.zone_cuts |= {frozenset((zone, other)) for other in others}
        if from_platform:
            self.cut_platform(zone)

    def cut_platform(self, zone: str) -> None:
        """Cut a zone off from the platform."""
        self.platform_cuts.add(zone)
        for daemon in self.daemons.values():
            if daemon.zone == zone:
                daemon.platform.close_watches(True)

    def heal(self) -> None:
        """End every cut."""
        self.zone_cuts.clear()
        self.platform_cuts.clear()
        self.blocked.clear()

    def send_datagram(self, sender: Address, peer: Address, data: bytes) -> None:
        """Carry a datagram, which may be lost."""
        traffic = self.traffic[sender]
        size = len(data) + DATAGRAM_HEADER_BYTES
        traffic.sent[DATAGRAM] += size
        traffic.messages[DATAGRAM] += 1
        traffic.largest_datagram = max(traffic.largest_datagram, len(data))
        if not self._reaches(sender, peer) or self.rng.random() < self.loss:
            return
        delay = self._latency(sender, peer) * self.rng.uniform(1.0, 2.0)
        self.clock.callLater(delay, self._take_datagram, sender, peer, data)

    def send_control(
        self, sender: Address, peer: Address, topic: Topic, payload: bytes
    ) -> None:
        """Carry a control message, in order and without loss."""
        traffic = self.traffic[sender]
        traffic.sent[topic.name] += len(payload) + CONTROL_HEADER_BYTES
        traffic.messages[topic.name] += 1
        if self._reaches(sender, peer):
            delay = self._latency(sender, peer)
            self.clock.callLater(
                delay, self._take_control, sender, peer, topic, payload
            )

    def _reaches(self, sender: Address, peer: Address) -> bool:
        if peer not in self.daemons or (sender, peer) in self.blocked:
            return False
        zones = frozenset((self.daemons[sender].zone, self.daemons[peer].zone))
        return zones not in self.zone_cuts

    def _latency(self, sender: Address, peer: Address) -> float:
        same = self.daemons[sender].region == self.daemons[peer].region
        return ZONE_LATENCY_SECONDS if same else REGION_LATENCY_SECONDS

    def _take_datagram(self, sender: Address, peer: Address, data: bytes) -> None:
        reactor = self.daemons[peer].reactor
        if reactor.dead or reactor.datagrams is None:
            return
        self.traffic[peer].received[DATAGRAM] += len(data) + DATAGRAM_HEADER_BYTES
        protocol = reactor.datagrams
        reactor.run(lambda: protocol.datagramReceived(data, tuple(sender)), True)

    def _take_control(
        self, sender: Address, peer: Address, topic: Topic, payload: bytes
    ) -> None:
        daemon = self.daemons[peer]
        if daemon.reactor.dead or daemon.reactor.datagrams is None:
            return
        size = len(payload) + CONTROL_HEADER_BYTES
        self.traffic[peer].received[topic.name] += size
        daemon.reactor.run(lambda: daemon.take_control(sender, topic, payload), False)


__all__ = ["Fleet", "FleetClock", "FleetDaemon", "HeapClock", "Traffic"]
