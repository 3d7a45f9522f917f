"""The relay of a group of organisations in a zone."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarslip.request.quota.demand import Demand
from briarslip.request.quota.messages import Answer
from briarslip.request.quota.messages import Count
from briarslip.request.quota.messages import Mode
from briarslip.request.quota.messages import Report
from briarslip.request.quota.messages import Verdict
from briarslip.request.quota.messages import level_to_tell
from briarslip.request.quota.uplink import Uplink


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from briarslip.address import Address
    from briarslip.request.quota.limit import QuotaLimit
    from briarslip.request.quota.messages import QuotaMessage
    from briarslip.request.quota.placement import Placement


NEAR_DELAY_SECONDS = 0.005
LIMITED_DELAY_SECONDS = 0.05
MIN_FAR_DELAY_SECONDS = 0.02
MAX_FAR_DELAY_SECONDS = 0.05
FAR_DELAY_SHARE = 0.33
# The home must hear from each zone, or else its share is out of reach.
KEEPALIVE_SECONDS = 0.3
ACTIVE_SECONDS = 1.5
# What a relay knows of a level is of use to another home for this time.
LEVEL_LIFETIME_SECONDS = 3.0
CONTACT_SECONDS = 0.8
RATE_TICKS = 2
ACKNOWLEDGE_TICKS = 3


@dataclass(frozen=True, slots=True)
class Held:
    """What the home last said about an organisation."""

    mode: Mode = Mode.FAR
    level: float = 0.0
    rate: float = 0.0
    share: float | None = None
    received_at: float = 0.0


@dataclass(slots=True)
class DaemonContact:
    """A daemon that reports to this relay."""

    acknowledged: int
    is_acknowledged: bool = False


UNKNOWN = Held()


class Relay:
    """Adds up the counts of a zone's daemons and passes verdicts on to them."""

    def __init__(
        self,
        group: int,
        limits: Callable[[], Mapping[str, QuotaLimit]],
        placement: Placement,
        send: Callable[[Address, QuotaMessage], None],
    ) -> None:
        self.group = group
        self.limits = limits
        self.placement = placement
        self.send = send
        self.uplink = Uplink(
            placement.own_address,
            lambda: placement.homes(group),
            lambda: placement.witnesses(group),
        )
        self.held: dict[str, Held] = {}
        # Levels that a daemon told which had another relay before.
        self.told: dict[str, float] = {}
        self.demand: dict[str, Demand[Address]] = {}
        self.daemons: dict[Address, DaemonContact] = {}
        self.reported_at = -math.inf
        self.contact_at = -math.inf
        self.ticks = 0
        self.is_active = False

    @property
    def due_at(self) -> float:
        """When the next report to the home is to be sent."""
        if self.is_active and self.uplink.can_send:
            return self.uplink.due_at
        return math.inf

    def receive_report(self, sender: Address, report: Report, now: float) -> None:
        """Receive the counts of a daemon; a relay that is cut off does not answer."""
        if self.uplink.is_isolated:
            return
        if not report.sequence:
            self.send(sender, Answer(self.group, False, 0))
            return
        self.reported_at = now
        self.uplink.heard_at[sender] = now
        if not self.is_active:
            self.is_active = True
            self.uplink.choose_parent(now)
        self.daemons[sender] = DaemonContact(report.sequence)
        limits = self.limits()
        for count in report.counts:
            limit = limits.get(count.organisation)
            if limit is not None:
                self._add(sender, count, limit, now)
        if now - self.contact_at > LEVEL_LIFETIME_SECONDS:
            for count in report.counts:
                if count.level is not None:
                    self.told[count.organisation] = count.level
        if report.is_complete and now - self.contact_at < CONTACT_SECONDS:
            self._answer_all((sender,), now)

    def _add(
        self, sender: Address, count: Count, limit: QuotaLimit, now: float
    ) -> None:
        name = count.organisation
        demand = self.demand.get(name)
        if demand is None:
            demand = self.demand[name] = Demand()
        demand.add(sender, count.offered, now)
        mode = self.held.get(name, UNKNOWN).mode
        due = now + _delay_seconds(mode, limit)
        self.uplink.add(name, count.offered, count.admitted, due)

    def receive_answer(self, sender: Address, answer: Answer, now: float) -> None:
        """Receive verdicts of the home, and pass changes of modes on at once."""
        self.uplink.receive(sender, answer.acknowledged, now)
        if sender != self.uplink.parent:
            return
        self.told.clear()
        self.contact_at = now
        if answer.needs_all:
            self.uplink.requeue(sender, now)
        changed = [v.organisation for v in answer.verdicts if self._hold(v, now)]
        if answer.is_complete:
            # The daemons may have heard other verdicts from an earlier relay.
            named = {verdict.organisation for verdict in answer.verdicts}
            for name in self.held.keys() - named:
                self.held[name] = Held(share=self.held[name].share)
            self._answer_all(self.placement.zone_members, now)
        elif changed:
            for peer in self.placement.zone_members:
                self._answer(peer, changed, now)

    def _answer_all(self, daemons: Iterable[Address], now: float) -> None:
        """Tell daemons the modes of all organisations."""
        names = [n for n, held in self.held.items() if held.mode is not Mode.FAR]
        for daemon in daemons:
            self._answer(daemon, names, now, is_complete=True)

    def _hold(self, verdict: Verdict, now: float) -> bool:
        """Record a verdict; return whether the mode has changed."""
        name = verdict.organisation
        previous = self.held.get(name, UNKNOWN)
        self.held[name] = Held(
            verdict.mode, verdict.level, verdict.rate, verdict.share, now
        )
        if verdict.share != previous.share:
            # The home waits for this before it gives the rest to another zone.
            self.uplink.add(name, 0, 0, now + LIMITED_DELAY_SECONDS)
        return verdict.mode is not previous.mode

    def report(self, now: float) -> None:
        """Send the counts to the home."""
        uplink = self.uplink
        if uplink.parent is None:
            return
        is_complete = uplink.needs_complete
        sequence, pending = uplink.take(now)
        limits = self.limits()
        names = limits.keys() if is_complete else pending.keys() & limits.keys()
        counts = tuple(
            Count(
                name,
                pending[name].offered if name in pending else 0,
                pending[name].admitted if name in pending else 0,
                self.held.get(name, UNKNOWN).share,
                self._known_level(name, now) if is_complete else None,
            )
            for name in sorted(names)
        )
        report = Report(self.group, True, sequence, is_complete, counts)
        self.send(uplink.parent, report)

    def _known_level(self, name: str, now: float) -> float | None:
        held = self.held.get(name)
        if held is None or now - self.contact_at > LEVEL_LIFETIME_SECONDS:
            return self.told.get(name)
        since = self.contact_at if held.mode is Mode.FAR else held.received_at
        limit = self.limits()[name]
        return level_to_tell(held.mode, held.level, now - since, limit)

    def tick(self, now: float) -> None:
        """Choose the home, acknowledge reports and give out rates."""
        self.ticks += 1
        is_first = self.placement.relays(self.group)[:1] == (
            self.placement.own_address,
        )
        self.is_active = is_first or now - self.reported_at < ACTIVE_SECONDS
        if not self.is_active:
            return
        for peer in self.uplink.choose_parent(now):
            self.send(peer, Report(self.group, True, 0))
        left, self.uplink.left_parent = self.uplink.left_parent, None
        if left is not None:
            self.send(left, Report(self.group, True, 0, is_last=True))
        if now - self.uplink.last_sent_at >= KEEPALIVE_SECONDS:
            self.uplink.due_at = min(self.uplink.due_at, now)
        for name in self.held.keys() - self.limits().keys():
            del self.held[name]
            self.demand.pop(name, None)
        if self.uplink.can_send:
            self._answer_daemons(now)

    def _answer_daemons(self, now: float) -> None:
        """Give out rates, and acknowledge the reports of the other daemons."""
        is_acknowledging = self.ticks % ACKNOWLEDGE_TICKS == 0
        limited: dict[Address, list[str]] = {}
        if self.ticks % RATE_TICKS == 0:
            for name, held in self.held.items():
                if held.mode is Mode.LIMITED and name in self.demand:
                    for daemon in self.demand[name].shares(now):
                        limited.setdefault(daemon, []).append(name)
        for daemon, contact in list(self.daemons.items()):
            is_due = is_acknowledging and not contact.is_acknowledged
            if is_due or daemon in limited:
                self._answer(daemon, limited.get(daemon, ()), now)
            if daemon not in self.placement.zones:
                del self.daemons[daemon]

    def _answer(
        self,
        daemon: Address,
        names: Iterable[str],
        now: float,
        is_complete: bool = False,
    ) -> None:
        contact = self.daemons.get(daemon)
        acknowledged = 0
        if contact is not None:
            acknowledged = contact.acknowledged
            contact.is_acknowledged = True
        verdicts = tuple(self._verdict(name, daemon, now) for name in names)
        answer = Answer(
            self.group, False, acknowledged, is_complete=is_complete, verdicts=verdicts
        )
        self.send(daemon, answer)

    def _verdict(self, name: str, daemon: Address, now: float) -> Verdict:
        held = self.held[name]
        rate = 0.0
        if held.mode is Mode.LIMITED and name in self.demand:
            rate = held.rate * self.demand[name].shares(now).get(daemon, 0.0)
        return Verdict(name, held.mode, held.level, rate)


def _delay_seconds(mode: Mode, limit: QuotaLimit) -> float:
    """Return how long a relay may hold counts back."""
    if mode is Mode.NEAR:
        return NEAR_DELAY_SECONDS
    if mode is Mode.LIMITED:
        return LIMITED_DELAY_SECONDS
    seconds = FAR_DELAY_SHARE * limit.report_seconds
    return min(MAX_FAR_DELAY_SECONDS, max(MIN_FAR_DELAY_SECONDS, seconds))


__all__ = ["Relay"]
