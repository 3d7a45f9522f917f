"""The part that one daemon has in the quotas of one group of organisations."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briarslip.request.quota.gate import Gate
from briarslip.request.quota.home import Home
from briarslip.request.quota.messages import Answer
from briarslip.request.quota.messages import Count
from briarslip.request.quota.messages import Mode
from briarslip.request.quota.messages import Report
from briarslip.request.quota.messages import level_to_tell
from briarslip.request.quota.relay import Relay
from briarslip.request.quota.uplink import Pending
from briarslip.request.quota.uplink import Uplink


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Mapping

    from briarslip.address import Address
    from briarslip.request.quota.limit import QuotaLimit
    from briarslip.request.quota.messages import QuotaMessage
    from briarslip.request.quota.messages import Verdict
    from briarslip.request.quota.placement import Placement


NEAR_DELAY_SECONDS = 0.005
LIMITED_DELAY_SECONDS = 0.2
# A daemon reports at once what it has admitted beyond this number, so that a flood at
# few daemons is known as early as one at many.
MIN_BATCH_REQUESTS = 2.0
BATCH_EXCESS_SHARE = 0.02
# What a daemon was told is of use to another relay for this time.
LEVEL_LIFETIME_SECONDS = 3.0
# Rounding of the clock must not leave a timer that expires just before its report.
TIMER_TOLERANCE_SECONDS = 1e-3
NOTHING = Pending()


class QuotaGroup:
    """The organisations of one group at this daemon: its gates, and its roles."""

    def __init__(
        self,
        group: int,
        limits: Callable[[], Mapping[str, QuotaLimit]],
        placement: Placement,
        send: Callable[[Address, QuotaMessage], None],
        rng: random.Random,
        now: float,
    ) -> None:
        self.group = group
        self.rng = rng
        self.limits = limits
        self.send = send
        self.gates: dict[str, Gate] = {}
        self.uplink = Uplink(placement.own_address, lambda: placement.relays(group))
        self.relay = Relay(group, limits, placement, send)
        self.home = Home(group, limits, placement, send, now)
        self.has_heard = False
        self.answered_at = -math.inf

    def receive(self, sender: Address, message: QuotaMessage, now: float) -> None:
        """Receive a message for one of the roles."""
        match message:
            case Report(to_home=True):
                self.home.receive(sender, message, now)
            case Report():
                self.relay.receive_report(sender, message, now)
            case Answer(from_home=True):
                self.relay.receive_answer(sender, message, now)
            case Answer():
                self._receive_answer(sender, message, now)

    def fail(self, peer: Address, message: QuotaMessage, now: float) -> None:
        """Note that a report can't be sent, since its receiver has ended."""
        match message:
            case Report(to_home=True):
                for candidate in self.relay.uplink.fail(peer, now):
                    self.send(candidate, Report(self.group, True, 0))
            case Report():
                for candidate in self.uplink.fail(peer, now):
                    self.send(candidate, Report(self.group, False, 0))

    def _receive_answer(self, sender: Address, answer: Answer, now: float) -> None:
        self.uplink.receive(sender, answer.acknowledged, now)
        if sender != self.uplink.parent:
            return
        if self.has_heard:
            self.answered_at = now
        for verdict in answer.verdicts:
            self._apply(verdict, now)
        if answer.is_complete:
            self.has_heard = True
            named = {verdict.organisation for verdict in answer.verdicts}
            for name, gate in self.gates.items():
                if name not in named:
                    gate.reach_far()

    def _apply(self, verdict: Verdict, now: float) -> None:
        name = verdict.organisation
        limit = self.limits().get(name)
        if limit is None:
            return
        gate = self.gate(name, limit, now)
        gate.apply(verdict, now)
        if name in self.uplink.pending:
            due = now + self._delay_seconds(gate)
            self.uplink.due_at = min(self.uplink.due_at, due)

    def gate(self, name: str, limit: QuotaLimit, now: float) -> Gate:
        """Return the gate of an organisation."""
        gate = self.gates.get(name)
        if gate is None:
            gate = self.gates[name] = Gate(limit, now, self.rng)
            if self.has_heard:
                gate.uninformed = None
        gate.limit = limit
        return gate

    def count(self, name: str, gate: Gate, is_admitted: bool, now: float) -> None:
        """Count a request for the next report."""
        due = now + self._delay_seconds(gate)
        self.uplink.add(name, 1, int(is_admitted), due)
        pending = self.uplink.pending.get(name)
        batch = max(MIN_BATCH_REQUESTS, BATCH_EXCESS_SHARE * gate.limit.excess)
        if pending is not None and pending.admitted >= batch:
            self.uplink.due_at = now

    def _delay_seconds(self, gate: Gate) -> float:
        if gate.mode is Mode.NEAR:
            return NEAR_DELAY_SECONDS
        if gate.mode is Mode.LIMITED:
            return LIMITED_DELAY_SECONDS
        return gate.limit.report_seconds

    def ask_all(self, now: float) -> None:
        """Ask the relay for the verdicts of all organisations."""
        self.uplink.needs_complete = True
        self.uplink.due_at = now

    def resume(self, now: float) -> None:
        """Start anew after a pause."""
        self.has_heard = False
        for gate in self.gates.values():
            gate.forget()
        self.uplink.resume(now)
        self.relay.uplink.resume(now)
        self.home.resume()

    def tick(self, now: float) -> None:
        """Run the periodic work of all roles."""
        limits = self.limits()
        for name in self.gates.keys() - limits.keys():
            del self.gates[name]
        for peer in self.uplink.choose_parent(now):
            self.send(peer, Report(self.group, False, 0))
        if not self.has_heard and not self.uplink.unacknowledged:
            self.ask_all(now)
        self.relay.tick(now)
        self.home.tick(now)

    def flush(self, now: float) -> None:
        """Send the reports that are due."""
        latest = now + TIMER_TOLERANCE_SECONDS
        if self.uplink.due_at <= latest and self.uplink.can_send:
            self._report(now)
        if self.relay.due_at <= latest:
            self.relay.report(now)

    def _report(self, now: float) -> None:
        uplink = self.uplink
        assert uplink.parent is not None
        is_complete = uplink.needs_complete
        sequence, pending = uplink.take(now)
        counts = tuple(
            Count(name, count.offered, count.admitted)
            for name, count in sorted(pending.items())
        )
        if is_complete and now - self.answered_at < LEVEL_LIFETIME_SECONDS:
            counts = self._tell_levels(pending, now)
        report = Report(self.group, False, sequence, is_complete, counts)
        self.send(uplink.parent, report)

    def _tell_levels(
        self, pending: Mapping[str, Pending], now: float
    ) -> tuple[Count, ...]:
        """Return counts of all organisations, with what the last relay told."""
        counts = []
        for name, limit in self.limits().items():
            gate = self.gates.get(name)
            level = limit.likely_level
            if gate is not None and gate.mode is not Mode.FAR:
                age_seconds = now - gate.verdict_at
                level = level_to_tell(gate.mode, gate.level, age_seconds, limit)
            count = pending.get(name, NOTHING)
            counts.append(Count(name, count.offered, count.admitted, None, level))
        return tuple(counts)

    @property
    def due_at(self) -> float:
        """When the next report is to be sent."""
        due = self.uplink.due_at if self.uplink.can_send else math.inf
        return min(due, self.relay.due_at)


__all__ = ["QuotaGroup"]
