"""A fleet of daemons' control tasks in one process, in virtual time.

Datagrams and control messages go through memory and are counted; sockets,
links and the platform's wire are left out. Each daemon has a reactor of its
own on the common clock, so that it can be paused, killed and replaced.
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


PEER_PORT = 7000
ZONE_LATENCY_SECONDS = 0.0005
REGION_LATENCY_SECONDS = 0.005
DATAGRAM_HEADER_BYTES = 28
CONTROL_HEADER_BYTES = 80


class Fleet:
    """Daemons by address, the network between them and the platform."""

    def __init__(self, seed: int = 1) -> None:
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
        client = LocalStoreClient(self.store, self.clock.callLater)
        work = write_change(client, writes, lambda: f"{next(self.change_numbers):032x}")
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
        daemon.reactor.is_dead = True
        daemon.store_client.close_watches(False)

    def restart(self, daemon: FleetDaemon) -> FleetDaemon:
        """Start a replacement at the same address, which knows nothing."""
        self.kill(daemon)
        fresh = FleetDaemon(self, daemon.address, daemon.zone, daemon.region)
        self.daemons[daemon.address] = fresh
        fresh.start()
        return fresh

    def pause(self, daemon: FleetDaemon) -> None:
        """Stop a daemon as SIGSTOP does."""
        daemon.reactor.is_paused = True

    def resume(self, daemon: FleetDaemon) -> None:
        """Let a paused daemon go on."""
        daemon.reactor.resume()

    def partition_zone(self, zone: str, from_store: bool = False) -> None:
        """Cut a zone off from all others."""
        others = {daemon.zone for daemon in self.daemons.values()} - {zone}
        self.zone_partitions |= {frozenset((zone, other)) for other in others}
        if from_store:
            self.partition_from_store(zone)

    def partition_from_store(self, zone: str) -> None:
        """Cut a zone off from the platform."""
        self.store_partitions.add(zone)
        for daemon in self.daemons.values():
            if daemon.zone == zone:
                daemon.store_client.close_watches(True)

    def heal_partitions(self) -> None:
        """End every cut."""
        self.zone_partitions.clear()
        self.store_partitions.clear()
        self.blocked_paths.clear()

    def send_datagram(self, sender: Address, peer: Address, data: bytes) -> None:
        """Carry a datagram, which may be lost."""
        traffic = self.traffic[sender]
        size = len(data) + DATAGRAM_HEADER_BYTES
        traffic.sent[DATAGRAM] += size
        traffic.messages[DATAGRAM] += 1
        traffic.largest_datagram = max(traffic.largest_datagram, len(data))
        if not self._reaches(sender, peer) or self.rng.random() < self.loss_probability:
            return
        delay = self._latency(sender, peer) * self.rng.uniform(1.0, 2.0)
        self.clock.callLater(delay, self._deliver_datagram, sender, peer, data)

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
                delay, self._deliver_control, sender, peer, topic, payload
            )

    def _reaches(self, sender: Address, peer: Address) -> bool:
        if peer not in self.daemons or (sender, peer) in self.blocked_paths:
            return False
        zones = frozenset((self.daemons[sender].zone, self.daemons[peer].zone))
        return zones not in self.zone_partitions

    def _latency(self, sender: Address, peer: Address) -> float:
        same = self.daemons[sender].region == self.daemons[peer].region
        return ZONE_LATENCY_SECONDS if same else REGION_LATENCY_SECONDS

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
