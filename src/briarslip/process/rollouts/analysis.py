"""The analyzer role: judging the rollouts of the services assigned here."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarslip.version.analyzer import Analyzer
from briarslip.version.evidence import SLICE_SECONDS
from briarslip.version.evidence import EvidenceAggregator


if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarslip.version.analyzer import Conclusion
    from briarslip.version.decision import RolloutId
    from briarslip.version.evidence import Report
    from briarslip.version.rollout import RolloutStatus


@dataclass(slots=True)
class Watch:
    """The evidence on one rollout and its analyzer."""

    analyzer: Analyzer
    book: EvidenceAggregator = field(default_factory=EvidenceAggregator)
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
        return watch.analyzer.observe(watch.book.consume_increments(), steps, servers)


__all__ = ["RolloutAnalysis"]
