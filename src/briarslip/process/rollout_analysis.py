"""The analyzer role: judging the rollouts of the services assigned here."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarslip.rendezvous import ranked
from briarslip.version.analyzer import Analyzer
from briarslip.version.evidence import SLICE_SECONDS
from briarslip.version.evidence import EvidenceBook


if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarslip.address import Address
    from briarslip.process.member import Member
    from briarslip.version.analyzer import Conclusion
    from briarslip.version.decision import RolloutId
    from briarslip.version.evidence import Report
    from briarslip.version.rollout import RolloutStatus


ANALYZERS_PER_ZONE = 2


def analyzers(
    members: Iterable[Member], availability_zone: str, service: str
) -> tuple[Address, ...]:
    """Return a zone's analyzers of a service, first rank first.

    Should two daemons see other members, more of them analyze, at no harm.
    """
    near = (m.address for m in members if m.availability_zone == availability_zone)
    return ranked(near, f"analyzer {service}")[:ANALYZERS_PER_ZONE]


def counterparts(
    members: tuple[Member, ...], availability_zone: str, service: str, own: Address
) -> tuple[Address, ...]:
    """Return the analyzers in other zones that this one sends evidence to.

    Each rank sends to the same rank, so that two paths lead to every zone.
    """
    near = analyzers(members, availability_zone, service)
    if own not in near:
        return ()
    rank = near.index(own)
    others = sorted({m.availability_zone for m in members} - {availability_zone})
    far = (analyzers(members, zone, service) for zone in others)
    return tuple(chosen[min(rank, len(chosen) - 1)] for chosen in far if chosen)


@dataclass(slots=True)
class Watch:
    """The evidence on one rollout and its analyzer."""

    analyzer: Analyzer
    book: EvidenceBook = field(default_factory=EvidenceBook)
    time_slice: int | None = None


@dataclass(slots=True)
class RolloutAnalysis:
    """The rollouts that this daemon analyzes."""

    watches: dict[RolloutId, Watch] = field(default_factory=dict)
    services: dict[RolloutId, str] = field(default_factory=dict)

    def follow(self, statuses: Iterable[RolloutStatus]) -> None:
        """Watch these rollouts and forget others."""
        wanted = {status.id: status.rollout for status in statuses}
        for rollout_id in self.watches.keys() - wanted.keys():
            del self.watches[rollout_id]
            del self.services[rollout_id]
        for rollout_id, rollout in wanted.items():
            if rollout_id not in self.watches:
                steps = int(rollout.window.total_seconds() / SLICE_SECONDS)
                self.watches[rollout_id] = Watch(Analyzer(rollout.version, steps))
                self.services[rollout_id] = rollout.service

    def take(self, report: Report) -> None:
        """Take a report of evidence."""
        for rollout_id, service in self.services.items():
            if service == report.service:
                self.watches[rollout_id].book.merge(report)

    def conclude(
        self, rollout_id: RolloutId, time_slice: int, servers: int
    ) -> Conclusion:
        """Return what the evidence up to a time slice says.

        ``servers`` is how many servers the version has.
        """
        watch = self.watches[rollout_id]
        before = time_slice - 1 if watch.time_slice is None else watch.time_slice
        watch.time_slice = time_slice
        steps = max(1, time_slice - before)
        return watch.analyzer.observe(watch.book.take_increments(), steps, servers)


__all__ = ["RolloutAnalysis", "analyzers", "counterparts"]
