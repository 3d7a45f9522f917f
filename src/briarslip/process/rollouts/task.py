"""The task that runs rollouts: shares, evidence, decisions and their spreading."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Err

from briarslip.connection.frame import Topic
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.rollouts.analysis import RolloutAnalysis
from briarslip.process.rollouts.dissemination import DIGEST_PEERS
from briarslip.process.rollouts.dissemination import lacks
from briarslip.process.rollouts.dissemination import merge_state
from briarslip.process.rollouts.dissemination import news
from briarslip.process.rollouts.dissemination import whole_state
from briarslip.process.rollouts.evidence_collector import EvidenceCollector
from briarslip.process.rollouts.peers import RolloutPeers
from briarslip.process.rollouts.tracker import RolloutTracker
from briarslip.version.decision import Decision
from briarslip.version.evidence import SLICE_SECONDS
from briarslip.version.evidence import time_slice_of
from briarslip.version.evidence_codec import Reports
from briarslip.version.evidence_codec import RolloutState
from briarslip.version.evidence_codec import StateDigest
from briarslip.version.evidence_codec import decode_message
from briarslip.version.evidence_codec import encode_message
from briarslip.version.rollout import State
from briarslip.version.traffic_share import hold_duration


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from briarslip.address import Address
    from briarslip.process.clock import Clock
    from briarslip.process.membership.member import Member
    from briarslip.version.evidence import Report
    from briarslip.version.evidence_codec import EvidenceMessage
    from briarslip.version.record import Rollout
    from briarslip.version.rollout import RolloutStatus
    from briarslip.version.routing_table import RoutingTable


FORWARD_SECONDS = 0.1
CONCLUDE_SECONDS = 0.25
DIGEST_SLICES = 2
PAUSE_SECONDS = 3.0
STALE_SECONDS = 3.0


class RolloutTask:
    """Moves traffic by its own clock and by decisions that anyone makes.

    Time goes in slices of the wall clock: at the end of each one evidence is
    sent to the zone's analyzers, a little later passed on to other zones,
    and then judged. ``send`` sends a control message to a peer.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        rng: random.Random,
        own: Member,
        table: Callable[[], RoutingTable],
        members: Callable[[], tuple[Member, ...]],
        send: Callable[[Address, Topic, bytes], None],
        with_deadline: Callable[[Rollout], Rollout] | None = None,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.own_address = own.address
        self.availability_zone = own.availability_zone
        self.members = members
        self.send = send
        self.peers = RolloutPeers(own.address, own.availability_zone, members)
        self.tracker = RolloutTracker(clock, table, members)
        if with_deadline is not None:
            self.tracker.with_deadline = with_deadline
        self.collector = EvidenceCollector(
            clock, str(own.address), own.availability_zone, own.incarnation
        )
        self.analysis = RolloutAnalysis()
        self.fresh: dict[tuple[str, str], Report] = {}
        self.slices = 0
        self.last_slice = clock.monotonic()
        self.stale_until = self.last_slice

    @property
    def statuses(self) -> tuple[RolloutStatus, ...]:
        """The state of every rollout as this daemon sees it."""
        return self.tracker.statuses

    def start(self) -> None:
        """Begin the slices."""
        self._end_slice()

    def version_for(self, service: str) -> str:
        """Return the service version a call must go to, empty for any."""
        plan = self.tracker.plans.get(service)
        return "" if plan is None else plan.choose_version(self.rng.random())

    def excluded(self, service: str) -> frozenset[str]:
        """Return the versions of a service that must get no work."""
        plan = self.tracker.plans.get(service)
        return frozenset() if plan is None else plan.excluded_versions

    def focus(self, service: str, version: str) -> tuple[Address, ...] | None:
        """Return the servers that carry a version's share; None for all."""
        plan = self.tracker.plans.get(service)
        return None if plan is None else plan.server_subsets.get(version)

    def is_analyzer_for(self, service: str) -> bool:
        """Whether this daemon is one of its zone's analyzers of a service."""
        return self.own_address in self.peers.analyzers(service)

    def _end_slice(self) -> None:
        self.slices += 1
        self._notice_pause()
        later = self.reactor.callLater
        later(SLICE_SECONDS - self._into_slice(), self._end_slice)
        self.peers.refresh()
        started = self.tracker.refresh()
        if started:
            self._pass_on(news(started=started))
        self._send_evidence()
        later(FORWARD_SECONDS, self._forward)
        later(CONCLUDE_SECONDS, self._conclude)
        if self.slices % DIGEST_SLICES == 0:
            self._send_digest()

    def _notice_pause(self) -> None:
        """Move nothing for a while after a pause: ask what was decided first."""
        now = self.clock.monotonic()
        if now - self.last_slice > PAUSE_SECONDS:
            self.stale_until = now + STALE_SECONDS
            self._send_digest()
        self.last_slice = now
        self.tracker.decisions.is_stale = now < self.stale_until

    def _into_slice(self) -> float:
        return self.clock.now().timestamp() % SLICE_SECONDS

    def _send_evidence(self) -> None:
        self.collector.follow(s.rollout.service for s in self.tracker.analyzed)
        for report in self.collector.reports():
            for analyzer in self.peers.analyzers(report.service):
                if analyzer == self.own_address:
                    self._take_report(report)
                else:
                    self._send(analyzer, Reports((report,)))

    def _forward(self) -> None:
        """Pass the own zone's evidence on to the analyzers of other zones."""
        fresh, self.fresh = self.fresh, {}
        bundles: dict[Address, list[Report]] = {}
        for report in fresh.values():
            for peer in self.peers.counterparts(report.service):
                bundles.setdefault(peer, []).append(report)
        for peer, reports in bundles.items():
            self._send(peer, Reports(tuple(reports)))

    def _conclude(self) -> None:
        """Judge the rollouts that this daemon analyzes."""
        watched = [
            status
            for status in self.tracker.analyzed
            if self.is_analyzer_for(status.rollout.service)
        ]
        self.analysis.follow(watched)
        time_slice = time_slice_of(self.clock.now().timestamp())
        for status in watched:
            servers = self.tracker.server_count(status.rollout)
            conclusion = self.analysis.conclude(status.id, time_slice, servers)
            if conclusion.fault is not None:
                self._decide(
                    Decision(
                        rollout=status.id,
                        service=status.rollout.service,
                        version=status.rollout.version,
                        fault=conclusion.fault,
                        decided=self.clock.now(),
                        availability_zone=self.availability_zone,
                        after_done=status.state is State.DONE,
                    )
                )
            elif conclusion.is_suspicious:
                self._hold(status)

    def _decide(self, decision: Decision) -> None:
        self._merge(news(decisions=(decision,)))

    def _hold(self, status: RolloutStatus) -> None:
        now = self.clock.now()
        length = hold_duration(status.rollout)
        until = self.tracker.decisions.held_until.get(status.id)
        if until is not None and until - now > length / 2:
            return
        held = (status.id, now + length)
        emit(Event.ROLLOUT_HELD, rollout=status.rollout.name, share=status.share)
        self._merge(news(held_until=(held,)))

    def receive_message(self, sender: Address, payload: bytes) -> None:
        """Act on a rollout message of a peer."""
        message = decode_message(payload)
        if isinstance(message, Err):
            emit(Event.MESSAGE_REFUSED, peer=sender, reason=message.err_value)
            return
        match message.ok_value:
            case Reports(reports):
                for report in reports:
                    self._take_report(report)
            case StateDigest(digest):
                if digest != self.tracker.decisions.digest:
                    self._send(sender, whole_state(self.tracker.decisions))
            case RolloutState() as state:
                self._take_state(sender, state)

    def _take_report(self, report: Report) -> None:
        self.analysis.take(report)
        if report.availability_zone == self.availability_zone:
            self.fresh[report.reporter, report.service] = report

    def _take_state(self, sender: Address, state: RolloutState) -> None:
        self._merge(state)
        if state.is_complete and lacks(self.tracker.decisions, state):
            self._send(sender, whole_state(self.tracker.decisions))

    def take_known(self, state: RolloutState) -> None:
        """Merge what the platform's reports tell."""
        self._merge(state)

    def _merge(self, state: RolloutState) -> None:
        synced = self.tracker.decisions.is_synced
        new = merge_state(self.tracker.decisions, state)
        if self.tracker.decisions.is_synced and not synced:
            emit(Event.ROLLOUTS_SYNCED)
        if new is None:
            return
        for decision in new.decisions:
            emit(
                Event.ROLLOUT_ROLLED_BACK,
                rollout=decision.rollout.name,
                service=decision.service,
                version=decision.version,
                route=decision.fault.route,
                figure=decision.fault.figure,
                new=decision.fault.new_value,
                old=decision.fault.old_value,
            )
        self.tracker.refresh()
        self._pass_on(new)

    def _pass_on(self, state: RolloutState) -> None:
        payload = encode_message(state)
        for peer in self.peers.neighbors:
            self.send(peer, Topic.EVIDENCE, payload)

    def _send_digest(self) -> None:
        peers = self.peers.neighbors
        chosen = self.rng.sample(peers, min(DIGEST_PEERS, len(peers)))
        for peer in chosen:
            self._send(peer, StateDigest(self.tracker.decisions.digest))

    def _send(self, peer: Address, message: EvidenceMessage) -> None:
        self.send(peer, Topic.EVIDENCE, encode_message(message))


__all__ = ["RolloutTask"]
