"""The control tasks of a fleet of daemons in one process, in virtual time.

Datagrams and control messages are delivered in memory and counted; sockets,
links and the store's wire protocol are left out. Each daemon has a reactor of
its own on the common clock, so that it can be paused, killed and replaced.
"""

from __future__ import annotations

import random
from itertools import count
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred

from bench.fleet_clock import HeapClock
from bench.fleet_daemon import FleetDaemon
from bench.fleet_traffic import DATAGRAM
from bench.fleet_traffic import Traffic
from briarslip.address import Address
from briarslip.process.distribution.change_writer import write_change
from standins.in_memory_store import InMemoryStore
from standins.local_store_client import LocalStoreClient


if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from briarslip.connection.frame import Topic
    from briarslip.process.distribution.change_writer import RecordWrite
    from briarslip.process.distribution.source import ConfigurationSource

    MakeSource = Callable[[Any, random.Random, Any, Any], ConfigurationSource]


PEER_PORT = 7000
SAME_REGION_LATENCY_SECONDS = 0.0005
OTHER_REGION_LATENCY_SECONDS = 0.005
DATAGRAM_HEADER_BYTES = 28
CONTROL_HEADER_BYTES = 80


class Fleet:
    """Daemons by address, the network between them and the store.

    ``loss_probability`` is that of a datagram; ``blocked_paths`` are pairs of
    sender and recipient. ``make_source`` creates each daemon's own source of the
    configuration from its reactor, random generator, store client and callback; None
    if the relays publish it.
    """

    def __init__(self, seed: int = 1, make_source: MakeSource | None = None) -> None:
        self.make_source = make_source
        self.clock = HeapClock()
        self.rng = random.Random(seed)
        self.store = InMemoryStore(self.clock)
        self.daemons: dict[Address, FleetDaemon] = {}
        self.traffic: dict[Address, Traffic] = {}
        self.seeds: tuple[Address, ...] = ()
        self.clock_skews: dict[Address, timedelta] = {}
        self.change_numbers = count(1)
        self.loss_probability = 0.0
        self.store_partitions: set[str] = set()
        self.zone_partitions: set[frozenset[str]] = set()
        self.blocked_paths: set[tuple[Address, Address]] = set()

    @property
    def running(self) -> tuple[FleetDaemon, ...]:
        """The daemons that are neither dead nor paused."""
        return tuple(
            d
            for d in self.daemons.values()
            if not d.reactor.is_dead and not d.reactor.is_paused
        )

    def add_zone(
        self, zone: str, size: int, region: str = "default", start: bool = True
    ) -> tuple[FleetDaemon, ...]:
        """Add an availability zone of daemons; its first three become seeds."""
        zone_number = len({daemon.zone for daemon in self.daemons.values()})
        addresses = [
            Address(f"10.{zone_number}.{i // 250}.{i % 250 + 1}", PEER_PORT)
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
        """Write a change as operators do, without waiting for the daemons.

        Raises an error if the change was not written.
        """
        client = LocalStoreClient(self.store, self.clock.callLater)
        work = write_change(client, writes, lambda: f"{next(self.change_numbers):032x}")
        results: list[Any] = []
        Deferred.fromCoroutine(work).addBoth(results.append)
        results[0].unwrap()

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.clock.advance(seconds)

    def run_until(
        self, condition: Callable[[], bool], limit: float, step: float = 0.1
    ) -> float:
        """Advance until a condition holds; return the seconds, or infinity."""
        started_at = self.clock.seconds()
        while not condition():
            if self.clock.seconds() - started_at >= limit:
                return float("inf")
            self.run(step)
        elapsed: float = self.clock.seconds() - started_at
        return elapsed

    def kill(self, daemon: FleetDaemon) -> None:
        """End a daemon abruptly, as SIGKILL does."""
        daemon.reactor.is_dead = True
        daemon.store_client.close_watches(False)

    def restart(self, daemon: FleetDaemon) -> FleetDaemon:
        """Kill a daemon and start one with empty state at the same address."""
        self.kill(daemon)
        replacement = FleetDaemon(self, daemon.address, daemon.zone, daemon.region)
        self.daemons[daemon.address] = replacement
        replacement.start()
        return replacement

    def pause(self, daemon: FleetDaemon) -> None:
        """Pause a daemon as SIGSTOP does."""
        daemon.reactor.is_paused = True

    def resume(self, daemon: FleetDaemon) -> None:
        """Resume a paused daemon as SIGCONT does."""
        daemon.reactor.resume()

    def partition_zone(self, zone: str, from_store: bool = False) -> None:
        """Partition a zone from all other zones, and from the store if asked."""
        others = {daemon.zone for daemon in self.daemons.values()} - {zone}
        self.zone_partitions |= {frozenset((zone, other)) for other in others}
        if from_store:
            self.partition_from_store(zone)

    def partition_from_store(self, zone: str) -> None:
        """Partition a zone from the store and close its watches."""
        self.store_partitions.add(zone)
        for daemon in self.daemons.values():
            if daemon.zone == zone:
                daemon.store_client.close_watches(True)

    def heal_partitions(self) -> None:
        """End every partition and unblock every path."""
        self.zone_partitions.clear()
        self.store_partitions.clear()
        self.blocked_paths.clear()

    def send_datagram(self, sender: Address, peer: Address, data: bytes) -> None:
        """Deliver a datagram after the latency of its path, unless it is lost."""
        traffic = self.traffic[sender]
        size = len(data) + DATAGRAM_HEADER_BYTES
        traffic.sent[DATAGRAM] += size
        traffic.messages[DATAGRAM] += 1
        traffic.largest_datagram_bytes = max(traffic.largest_datagram_bytes, len(data))
        if (
            not self._is_reachable(sender, peer)
            or self.rng.random() < self.loss_probability
        ):
            return
        delay = self._latency(sender, peer) * self.rng.uniform(1.0, 2.0)
        self.clock.callLater(delay, self._deliver_datagram, sender, peer, data)

    def send_control(
        self, sender: Address, peer: Address, topic: Topic, payload: bytes
    ) -> None:
        """Deliver a control message in order and without loss, if there is a path."""
        traffic = self.traffic[sender]
        traffic.sent[topic.name] += len(payload) + CONTROL_HEADER_BYTES
        traffic.messages[topic.name] += 1
        if self._is_reachable(sender, peer):
            delay = self._latency(sender, peer)
            self.clock.callLater(
                delay, self._deliver_control, sender, peer, topic, payload
            )

    def _is_reachable(self, sender: Address, peer: Address) -> bool:
        if peer not in self.daemons or (sender, peer) in self.blocked_paths:
            return False
        zones = frozenset((self.daemons[sender].zone, self.daemons[peer].zone))
        return zones not in self.zone_partitions

    def _latency(self, sender: Address, peer: Address) -> float:
        is_same_region = self.daemons[sender].region == self.daemons[peer].region
        return (
            SAME_REGION_LATENCY_SECONDS
            if is_same_region
            else OTHER_REGION_LATENCY_SECONDS
        )

    def _deliver_datagram(self, sender: Address, peer: Address, data: bytes) -> None:
        reactor = self.daemons[peer].reactor
        if reactor.is_dead or reactor.datagrams is None:
            return
        self.traffic[peer].received[DATAGRAM] += len(data) + DATAGRAM_HEADER_BYTES
        protocol = reactor.datagrams
        reactor.run(lambda: protocol.datagramReceived(data, tuple(sender)), True)

    def _deliver_control(
        self, sender: Address, peer: Address, topic: Topic, payload: bytes
    ) -> None:
        daemon = self.daemons[peer]
        if daemon.reactor.is_dead or daemon.reactor.datagrams is None:
            return
        size = len(payload) + CONTROL_HEADER_BYTES
        self.traffic[peer].received[topic.name] += size
        daemon.reactor.run(
            lambda: daemon.receive_control(sender, topic, payload), False
        )


__all__ = ["DATAGRAM", "Fleet", "FleetDaemon"]
