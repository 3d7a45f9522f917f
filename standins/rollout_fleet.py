"""Rollout tasks of several daemons in virtual time, with links to cut."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from twisted.internet.task import Clock as TwistedClock

from briarslip.address import Address
from briarslip.process.membership.member import Endpoint
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status
from briarslip.process.rollouts.report import RolloutReporter
from briarslip.process.rollouts.task import RolloutTask
from briarslip.version.record import Rollout
from briarslip.version.record import Route
from briarslip.version.rollout_document import ROLLOUT_STATUS_PREFIX
from briarslip.version.rollout_document import Document
from briarslip.version.rollout_document import decode_document
from briarslip.version.routing_table import RoutingTable
from standins.local_platform import LocalStoreClient
from standins.platform_store import PlatformStandIn
from standins.virtual_time import VirtualTime


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable


LINK_SECONDS = 0.002
PAUSE_STEP_SECONDS = 0.5
CALLS_PER_STEP = 12
STEP_SECONDS = 0.25
LATENCY_SECONDS = 0.01
ROUTE = Route("holds", "holds", "/holds", "urgent", timedelta(seconds=1), False, "none")


class PausableReactor:
    """The part of a reactor that the tasks use, for one process.

    Timers of a paused process run once it goes on; a dead one has none. Its
    messages wait or, when its links were given up, are lost.
    """

    def __init__(self, time: VirtualTime) -> None:
        self.time = time
        self.paused = False
        self.keeps_messages = True
        self.dead = False

    def callLater(
        self, delay: float, function: Callable[..., None], *arguments: object
    ) -> None:
        """Run a function later."""
        self.time.call_later(delay, self._run, function, arguments)

    def _run(
        self, function: Callable[..., None], arguments: tuple[object, ...]
    ) -> None:
        if self.dead:
            return
        if self.paused:
            self.callLater(PAUSE_STEP_SECONDS, function, *arguments)
        else:
            function(*arguments)


@dataclass(eq=False)
class Node:
    """One daemon."""

    member: Member
    reactor: PausableReactor
    task: RolloutTask
    reporter: RolloutReporter


def _never(_member: Member, _version: str) -> float:
    return 0.0


class Fleet:
    """Daemons, each beside one server: ``zones`` and ``versions`` by daemon."""

    def __init__(self, zones: str, versions: str, seed: int = 0) -> None:
        self.time = VirtualTime()
        self.rng = random.Random(seed)
        self.rollouts: dict[str, Rollout] = {}
        self.configuration_version = 1
        self.platform = PlatformStandIn(TwistedClock())
        self.cut: set[frozenset[str]] = set()
        self.sent_bytes: dict[Address, int] = {}
        self.failure_probability: Callable[[Member, str], float] = _never
        self.nodes: list[Node] = []
        for number, (zone, version) in enumerate(zip(zones, versions, strict=True)):
            self.nodes.append(self._node(number, zone, version))
        self.time.call_later(STEP_SECONDS, self._step)

    def _node(self, number: int, zone: str, version: str) -> Node:
        member = Member(
            address=Address("10.0.0.1", 1000 + number),
            availability_zone=zone,
            region="r",
            incarnation=int(self.time.seconds * 1000),
            status=Status.ALIVE,
            running_version=1,
            endpoints=(Endpoint("holds", version, 10, 100, False),),
        )
        reactor = PausableReactor(self.time)
        rng = random.Random(self.rng.random())
        task = RolloutTask(
            reactor,
            self.time,
            rng,
            member,
            lambda: RoutingTable(
                self.configuration_version, {}, (ROUTE,), self.rollouts, {}
            ),
            lambda: self.members_of(member),
            lambda peer, _topic, payload: self._send(member, peer, payload),
        )
        platform = LocalStoreClient(self.platform, self.time.call_later)
        reporter = RolloutReporter(
            reactor, platform, rng, task, lambda: self.configuration_version
        )
        task.start()
        reporter.start()
        return Node(member, reactor, task, reporter)

    def restart(self, number: int) -> Node:
        """Replace a daemon by one that knows nothing."""
        old = self.nodes[number]
        old.reactor.dead = True
        endpoint = old.member.endpoints[0]
        zone = old.member.availability_zone
        self.nodes[number] = self._node(number, zone, endpoint.version)
        return self.nodes[number]

    def members_of(self, member: Member) -> tuple[Member, ...]:
        """Return the members that one of them can reach."""
        return tuple(n.member for n in self.nodes if self._reaches(member, n.member))

    def _reaches(self, one: Member, other: Member) -> bool:
        zones = frozenset((one.availability_zone, other.availability_zone))
        return len(zones) == 1 or zones not in self.cut

    def cut_zones(self, *pairs: str) -> None:
        """Cut pairs of zones, such as "ab", and restore all others."""
        self.cut = {frozenset(pair) for pair in pairs}

    def _send(self, member: Member, peer: Address, payload: bytes) -> None:
        sender = member.address
        self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + len(payload)
        self.time.call_later(LINK_SECONDS, self._deliver, member, peer, payload)

    def _deliver(self, member: Member, peer: Address, payload: bytes) -> None:
        for node in self.nodes:
            if node.member.address == peer and self._reaches(member, node.member):
                if node.reactor.paused and not node.reactor.keeps_messages:
                    continue
                take = node.task.receive_message
                node.reactor.callLater(0, take, member.address, payload)

    def add_rollout(
        self, window: float, name: str = "r", version: str = "2"
    ) -> Rollout:
        """Start a rollout that has its whole window before it."""
        span = timedelta(seconds=window)
        rollout = Rollout(name, "holds", version, self.time.now() + span, span, 0.05)
        self.set_rollouts(*self.rollouts.values(), rollout)
        return rollout

    def set_rollouts(self, *rollouts: Rollout) -> None:
        """Put another configuration in force everywhere."""
        self.rollouts = {rollout.name: rollout for rollout in rollouts}
        self.configuration_version += 1

    def set_version(self, number: int, version: str, draining: bool = False) -> None:
        """Replace a daemon's server by one of another version."""
        node = self.nodes[number]
        endpoint = replace(node.member.endpoints[0], version=version, draining=draining)
        node.member = replace(node.member, endpoints=(endpoint,))

    def _step(self) -> None:
        """Carry calls from each daemon to the versions that it chooses."""
        self.time.call_later(STEP_SECONDS, self._step)
        for node in self.nodes:
            if not node.reactor.paused:
                self._carry(node)

    def _carry(self, node: Node) -> None:
        near = [n for n in self.nodes if self._reaches(node.member, n.member)]
        servers: dict[str, list[Node]] = {}
        for _ in range(CALLS_PER_STEP):
            version = node.task.version_for(ROUTE.service)
            if version not in servers:
                allowed = node.task.allowed_servers("holds", version)
                servers[version] = [
                    other
                    for other in near
                    if version in ("", other.member.endpoints[0].version)
                    and (allowed is None or other.member.address in allowed)
                ]
            if servers[version]:
                self._call(self.rng.choice(servers[version]))

    def _call(self, server: Node) -> None:
        version = server.member.endpoints[0].version
        failed = self.rng.random() < self.failure_probability(server.member, version)
        server.task.collector.count("holds", version, "holds", failed, LATENCY_SECONDS)

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.time.advance(seconds)

    def shares(self, version: str = "2") -> list[float]:
        """Return the share that each daemon gives to a version now."""
        return [share_at(node, version) for node in self.nodes]

    def document(self, name: str = "r") -> Document | None:
        """Return what the platform says of a rollout."""
        item = self.platform.get(f"{ROLLOUT_STATUS_PREFIX}{name}")
        return decode_document(item.value).unwrap() if item else None

    def seconds_until(self, condition: Callable[[], bool], limit: float) -> float:
        """Advance until a condition holds; return the seconds or the limit."""
        began = self.time.seconds
        while not condition() and self.time.seconds - began < limit:
            self.advance(0.05)
        return self.time.seconds - began


def share_at(node: Node, version: str) -> float:
    """Return the share that a daemon gives to a version."""
    plan = node.task.tracker.plans.get("holds")
    return dict(plan.shares).get(version, 0.0) if plan else 0.0


def version_fault(
    versions: Iterable[str], share: float
) -> Callable[[Member, str], float]:
    """Return a fault: these versions fail a share of their calls."""
    chosen = frozenset(versions)
    return lambda _member, version: share if version in chosen else 0.0


__all__ = ["Fleet", "Node", "share_at", "version_fault"]
