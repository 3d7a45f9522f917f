"""The task that runs rollouts: traffic shares, evidence, decisions, dissemination."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from result import Err

from briarslip.connection.frame import Topic
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.rollouts.analysis import RolloutAnalysis
from briarslip.process.rollouts.deadlines import RolloutDeadlines
from briarslip.process.rollouts.dissemination import DIGEST_PEERS
from briarslip.process.rollouts.dissemination import full_state
from briarslip.process.rollouts.dissemination import is_sender_behind
from briarslip.process.rollouts.dissemination import merge_state
from briarslip.process.rollouts.dissemination import state_update
from briarslip.process.rollouts.evidence_collector import EvidenceCollector
from briarslip.process.rollouts.peers import RolloutPeers
from briarslip.process.rollouts.tracker import RolloutTracker
from briarslip.version.decision import Decision
from briarslip.version.evidence import SLICE_SECONDS
from briarslip.version.evidence import time_slice_of
from briarslip.version.evidence_codec import DecisionsState
from briarslip.version.evidence_codec import Reports
from briarslip.version.evidence_codec import StateDigest
from briarslip.version.evidence_codec import decode_message
from briarslip.version.evidence_codec import encode_message
from briarslip.version.rollout import State
from briarslip.version.traffic_share import hold_duration


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from datetime import datetime

    from briarslip.address import Address
    from briarslip.process.clock import Clock
    from briarslip.process.membership.member import Member
    from briarslip.process.store.client import StoreClient
    from briarslip.version.evidence import Report
    from briarslip.version.evidence_codec import EvidenceMessage
    from briarslip.version.rollout import RolloutStatus
    from briarslip.version.routing_table import RoutingTable


FORWARD_DELAY_SECONDS = 0.1
EVALUATION_DELAY_SECONDS = 0.25
DIGEST_INTERVAL_SLICES = 2
MIN_PAUSE_SECONDS = 3.0
STALE_AFTER_PAUSE_SECONDS = 3.0


class RolloutTask:
    """Shifts traffic by the local clock and by the decisions of any daemon.

    The wall clock is divided into slices of ``SLICE_SECONDS``. At the end of a slice
    each daemon sends its evidence to the analyzers of its availability zone. They
    forward it to the analyzers of other zones after ``FORWARD_DELAY_SECONDS`` and
    evaluate it after ``EVALUATION_DELAY_SECONDS``. ``send`` sends a control message
    to a peer. ``store`` is where the deadlines of ordered rollouts are agreed on; if
    it is None, these do not begin.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        rng: random.Random,
        own_member: Member,
        routing_table: Callable[[], RoutingTable],
        members: Callable[[], tuple[Member, ...]],
        send: Callable[[Address, Topic, bytes], None],
        store: StoreClient | None = None,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.own_address = own_member.address
        self.availability_zone = own_member.availability_zone
        self.members = members
        self.send = send
        self.peers = RolloutPeers(
            own_member.address, own_member.availability_zone, members
        )
        self.tracker = RolloutTracker(clock, routing_table, members)
        if store is not None:
            deadlines = RolloutDeadlines(
                reactor,
                clock,
                rng,
                store,
                self.tracker.decisions.deadlines,
                self._share_deadline,
                self.is_analyzer_for,
                lambda: self.tracker.decisions.is_synced,
            )
            self.tracker.with_deadline = deadlines.with_deadline
        self.collector = EvidenceCollector(
            clock,
            str(own_member.address),
            own_member.availability_zone,
            own_member.incarnation,
        )
        self.analysis = RolloutAnalysis()
        self.unforwarded_reports: dict[tuple[str, str], Report] = {}
        self.slice_count = 0
        self.last_slice_at = clock.monotonic()
        self.last_slice_wall_time = clock.now()
        self.stale_until = self.last_slice_at

    @property
    def statuses(self) -> tuple[RolloutStatus, ...]:
        """The status of every rollout as computed by this daemon."""
        return self.tracker.statuses

    def start(self) -> None:
        """Start the periodic work of each time slice."""
        self._end_slice()

    def version_for(self, service: str) -> str:
        """Return the service version that a call must go to, empty for any version."""
        self._check_pause()
        plan = self.tracker.plans.get(service)
        return "" if plan is None else plan.choose_version(self.rng.random())

    def excluded_versions(self, service: str) -> frozenset[str]:
        """Return the service versions that must not receive work."""
        self._check_pause()
        plan = self.tracker.plans.get(service)
        return frozenset() if plan is None else plan.excluded_versions

    def allowed_servers(self, service: str, version: str) -> tuple[Address, ...] | None:
        """Return the daemons whose servers receive a version's share; None for all."""
        plan = self.tracker.plans.get(service)
        return None if plan is None else plan.server_subsets.get(version)

    def is_analyzer_for(self, service: str) -> bool:
        """Whether this daemon analyzes a service in its availability zone."""
        return self.own_address in self.peers.analyzers(service)

    def _end_slice(self) -> None:
        self.slice_count += 1
        schedule = self.reactor.callLater
        schedule(SLICE_SECONDS - self._seconds_into_slice(), self._end_slice)
        self._detect_pause()
        self.peers.refresh()
        started = self.tracker.refresh()
        if started:
            self._disseminate(state_update(started=started))
        self._send_evidence()
        schedule(FORWARD_DELAY_SECONDS, self._forward)
        schedule(EVALUATION_DELAY_SECONDS, self._evaluate)
        if self.slice_count % DIGEST_INTERVAL_SLICES == 0:
            self._send_digest()

    def _was_paused(self) -> bool:
        """Whether the last slice is so old, by either clock, that there was a pause.

        The monotonic clock may stand still while the whole machine is suspended.
        """
        return (
            self.clock.monotonic() - self.last_slice_at > MIN_PAUSE_SECONDS
            or (self.clock.now() - self.last_slice_wall_time).total_seconds()
            > MIN_PAUSE_SECONDS
        )

    def _check_pause(self) -> None:
        """Detect a pause before a request is sent by decisions that may be stale.

        After a pause the reactor handles the requests that have arrived meanwhile
        before it runs the timers that are due.
        """
        if self._was_paused():
            self._detect_pause()
            self.tracker.refresh()

    def _detect_pause(self) -> None:
        """After a pause of the process, mark the decisions as stale and send a digest.

        Peers reply to the digest with the decisions that were missed. Rollouts count as
        syncing and get no traffic share for ``STALE_AFTER_PAUSE_SECONDS``.
        """
        now = self.clock.monotonic()
        if self._was_paused():
            self.stale_until = now + STALE_AFTER_PAUSE_SECONDS
            self._send_digest()
        self.last_slice_at = now
        self.last_slice_wall_time = self.clock.now()
        self.tracker.decisions.is_stale = now < self.stale_until

    def _seconds_into_slice(self) -> float:
        return self.clock.now().timestamp() % SLICE_SECONDS

    def _send_evidence(self) -> None:
        self.collector.set_services(s.rollout.service for s in self.tracker.analyzed)
        for report in self.collector.due_reports():
            for analyzer in self.peers.analyzers(report.service):
                if analyzer == self.own_address:
                    self._receive_report(report)
                else:
                    self._send(analyzer, Reports((report,)))

    def _forward(self) -> None:
        """Forward the evidence of this zone to the analyzers of other zones."""
        reports_to_forward, self.unforwarded_reports = self.unforwarded_reports, {}
        reports_by_peer: dict[Address, list[Report]] = {}
        for report in reports_to_forward.values():
            for peer in self.peers.counterparts(report.service):
                reports_by_peer.setdefault(peer, []).append(report)
        for peer, reports in reports_by_peer.items():
            self._send(peer, Reports(tuple(reports)))

    def _evaluate(self) -> None:
        """Evaluate the rollouts that this daemon analyzes; roll back or hold them."""
        analyzed = [
            status
            for status in self.tracker.analyzed
            if self.is_analyzer_for(status.rollout.service)
        ]
        self.analysis.set_rollouts(analyzed)
        time_slice = time_slice_of(self.clock.now().timestamp())
        for status in analyzed:
            server_count = self.tracker.server_count(status.rollout)
            conclusion = self.analysis.evaluate(status.id, time_slice, server_count)
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
        self._merge_state(state_update(decisions=(decision,)))

    def _share_deadline(self, order: str, deadline: datetime) -> None:
        self._merge_state(state_update(deadlines=((order, deadline),)))

    def _hold(self, status: RolloutStatus) -> None:
        now = self.clock.now()
        duration = hold_duration(status.rollout)
        until = self.tracker.decisions.held_until.get(status.id)
        if until is not None and until - now > duration / 2:
            return
        held = (status.id, now + duration)
        emit(Event.ROLLOUT_HELD, rollout=status.rollout.name, share=status.share)
        self._merge_state(state_update(held_until=(held,)))

    def receive_message(self, sender: Address, payload: bytes) -> None:
        """Receive a rollout message from a peer."""
        message = decode_message(payload)
        if isinstance(message, Err):
            emit(Event.MESSAGE_REJECTED, peer=sender, reason=message.err_value)
            return
        match message.ok_value:
            case Reports(reports):
                for report in reports:
                    self._receive_report(report)
            case StateDigest(digest):
                if digest != self.tracker.decisions.digest:
                    self._send(sender, full_state(self.tracker.decisions))
            case DecisionsState() as state:
                self._receive_state(sender, state)

    def _receive_report(self, report: Report) -> None:
        self.analysis.record(report)
        if report.availability_zone == self.availability_zone:
            self.unforwarded_reports[report.reporter, report.service] = report

    def _receive_state(self, sender: Address, state: DecisionsState) -> None:
        self._merge_state(state)
        if state.is_complete and is_sender_behind(self.tracker.decisions, state):
            self._send(sender, full_state(self.tracker.decisions))

    def merge_stored(self, state: DecisionsState) -> None:
        """Merge the state that was read from the reports in the store."""
        self._merge_state(state)

    def _merge_state(self, state: DecisionsState) -> None:
        was_synced = self.tracker.decisions.is_synced
        update = merge_state(self.tracker.decisions, state)
        if self.tracker.decisions.is_synced and not was_synced:
            emit(Event.ROLLOUTS_SYNCED)
        if update is None:
            return
        for decision in update.decisions:
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
        started = self.tracker.refresh()
        self._disseminate(replace(update, started=update.started + started))

    def _disseminate(self, state: DecisionsState) -> None:
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
