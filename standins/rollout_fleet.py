"""Rollout tasks of several daemons in virtual time, whose zones can be partitioned."""

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
from briarslip.version.evidence import CallResult
from briarslip.version.record import Rollout
from briarslip.version.record import Route
from briarslip.version.rollout_document import ROLLOUT_STATUS_PREFIX
from briarslip.version.rollout_document import Document
from briarslip.version.rollout_document import decode_document
from briarslip.version.routing_table import RoutingTable
from standins.in_memory_store import InMemoryStore
from standins.local_store_client import LocalStoreClient
from standins.virtual_time import VirtualTime


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable


LINK_DELAY_SECONDS = 0.002
PAUSE_STEP_SECONDS = 0.5
CALLS_PER_STEP = 12
STEP_SECONDS = 0.25
LATENCY_SECONDS = 0.01
ROUTE = Route("holds", "holds", "/holds", "urgent", timedelta(seconds=1), False, "none")


class PausableReactor:
    """The reactor of one simulated process, as far as the tasks use one.

    Timers of a paused process run after it resumes; a dead process runs none.
    Messages to a paused process wait, or are lost if ``keeps_messages`` is false,
    as after its peers closed their links to it.
    """

    def __init__(self, time: VirtualTime) -> None:
        self.time = time
        self.is_paused = False
        self.keeps_messages = True
        self.is_dead = False

    def callLater(
        self, delay: float, function: Callable[..., None], *arguments: object
    ) -> None:
        """Schedule a function; delayed further while the process is paused."""
        self.time.call_later(delay, self._run, function, arguments)

    def _run(
        self, function: Callable[..., None], arguments: tuple[object, ...]
    ) -> None:
        if self.is_dead:
            return
        if self.is_paused:
            self.callLater(PAUSE_STEP_SECONDS, function, *arguments)
        else:
            function(*arguments)


@dataclass(eq=False)
class DaemonNode:
    """One simulated daemon with its rollout task and reporter."""

    member: Member
    reactor: PausableReactor
    task: RolloutTask
    reporter: RolloutReporter


def _no_failures(_member: Member, _version: str) -> float:
    return 0.0


class Fleet:
    """Simulated daemons, each beside one server, over a store stand-in.

    ``zones`` and ``versions`` have one character for each daemon: its availability
    zone and its server's version.
    """

    def __init__(self, zones: str, versions: str, seed: int = 0) -> None:
        self.time = VirtualTime()
        self.rng = random.Random(seed)
        self.rollouts: dict[str, Rollout] = {}
        self.configuration_version = 1
        self.store = InMemoryStore(TwistedClock())
        self.partitioned_zones: set[frozenset[str]] = set()
        self.sent_bytes: dict[Address, int] = {}
        self.failure_probability: Callable[[Member, str], float] = _no_failures
        self.nodes: list[DaemonNode] = []
        for number, (zone, version) in enumerate(zip(zones, versions, strict=True)):
            self.nodes.append(self._start_node(number, zone, version))
        self.time.call_later(STEP_SECONDS, self._run_step)

    def _start_node(self, number: int, zone: str, version: str) -> DaemonNode:
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
        store_client = LocalStoreClient(self.store, self.time.call_later)
        task = RolloutTask(
            reactor,
            self.time,
            rng,
            member,
            lambda: RoutingTable(
                self.configuration_version, {}, (ROUTE,), self.rollouts, {}
            ),
            lambda: self.reachable_members(member),
            lambda peer, _topic, payload: self._send(member, peer, payload),
            store_client,
        )
        reporter = RolloutReporter(
            reactor, store_client, rng, task, lambda: self.configuration_version
        )
        task.start()
        reporter.start()
        return DaemonNode(member, reactor, task, reporter)

    def restart(self, number: int) -> DaemonNode:
        """Replace a daemon by a new one without decisions or evidence."""
        old = self.nodes[number]
        old.reactor.is_dead = True
        endpoint = old.member.endpoints[0]
        zone = old.member.availability_zone
        self.nodes[number] = self._start_node(number, zone, endpoint.version)
        return self.nodes[number]

    def reachable_members(self, member: Member) -> tuple[Member, ...]:
        """Return the members that a member can reach, itself included."""
        return tuple(n.member for n in self.nodes if self._can_reach(member, n.member))

    def _can_reach(self, first: Member, other: Member) -> bool:
        zones = frozenset((first.availability_zone, other.availability_zone))
        return len(zones) == 1 or zones not in self.partitioned_zones

    def partition_zones(self, *pairs: str) -> None:
        """Partition pairs of zones, such as "ab", and restore all other links."""
        self.partitioned_zones = {frozenset(pair) for pair in pairs}

    def _send(self, member: Member, peer: Address, payload: bytes) -> None:
        sender = member.address
        self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + len(payload)
        self.time.call_later(LINK_DELAY_SECONDS, self._deliver, member, peer, payload)

    def _deliver(self, member: Member, peer: Address, payload: bytes) -> None:
        for node in self.nodes:
            if node.member.address == peer and self._can_reach(member, node.member):
                if node.reactor.is_paused and not node.reactor.keeps_messages:
                    continue
                receive = node.task.receive_message
                node.reactor.callLater(0, receive, member.address, payload)

    def add_rollout(
        self, window_seconds: float, name: str = "r", version: str = "2"
    ) -> Rollout:
        """Start a rollout whose deadline is one whole window from now."""
        window = timedelta(seconds=window_seconds)
        rollout = Rollout(
            name, "holds", version, self.time.now() + window, window, 0.05
        )
        self.set_rollouts(*self.rollouts.values(), rollout)
        return rollout

    def set_rollouts(self, *rollouts: Rollout) -> None:
        """Apply a new configuration version with these rollouts at all daemons."""
        self.rollouts = {rollout.name: rollout for rollout in rollouts}
        self.configuration_version += 1

    def replace_server(self, number: int, version: str, draining: bool = False) -> None:
        """Replace a daemon's server by one of another service version."""
        node = self.nodes[number]
        endpoint = replace(node.member.endpoints[0], version=version, draining=draining)
        node.member = replace(node.member, endpoints=(endpoint,))

    def _run_step(self) -> None:
        """Send calls from each running daemon to the versions that it chooses."""
        self.time.call_later(STEP_SECONDS, self._run_step)
        for node in self.nodes:
            if not node.reactor.is_paused:
                self._send_calls(node)

    def _send_calls(self, node: DaemonNode) -> None:
        reachable = [n for n in self.nodes if self._can_reach(node.member, n.member)]
        servers: dict[str, list[DaemonNode]] = {}
        for _ in range(CALLS_PER_STEP):
            version = node.task.version_for(ROUTE.service)
            if version not in servers:
                allowed = node.task.allowed_servers("holds", version)
                servers[version] = [
                    other
                    for other in reachable
                    if version in ("", other.member.endpoints[0].version)
                    and (allowed is None or other.member.address in allowed)
                ]
            if servers[version]:
                self._run_call(self.rng.choice(servers[version]))

    def _run_call(self, server: DaemonNode) -> None:
        version = server.member.endpoints[0].version
        failed = self.rng.random() < self.failure_probability(server.member, version)
        result = CallResult.FAILED if failed else CallResult.SUCCEEDED
        server.task.collector.count("holds", version, "holds", result, LATENCY_SECONDS)

    def advance(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.time.advance(seconds)

    def shares(self, version: str = "2") -> list[float]:
        """Return the traffic share that each daemon gives to a version now."""
        return [traffic_share_at(node, version) for node in self.nodes]

    def document(self, name: str = "r") -> Document | None:
        """Return the status document of a rollout in the store, if there is one."""
        item = self.store.get(f"{ROLLOUT_STATUS_PREFIX}{name}")
        return decode_document(item.value).unwrap() if item else None

    def seconds_until(
        self, condition: Callable[[], bool], limit_seconds: float
    ) -> float:
        """Advance until a condition is true or the limit; return the seconds."""
        started_at = self.time.seconds
        while not condition() and self.time.seconds - started_at < limit_seconds:
            self.advance(0.05)
        return self.time.seconds - started_at


def traffic_share_at(node: DaemonNode, version: str) -> float:
    """Return the traffic share that a daemon gives to a service version."""
    plan = node.task.tracker.plans.get("holds")
    return dict(plan.shares).get(version, 0.0) if plan else 0.0


def version_fault(
    versions: Iterable[str], share: float
) -> Callable[[Member, str], float]:
    """Return a failure probability: ``share`` for these versions, 0 for others."""
    chosen = frozenset(versions)
    return lambda _member, version: share if version in chosen else 0.0


__all__ = ["DaemonNode", "Fleet", "traffic_share_at", "version_fault"]
