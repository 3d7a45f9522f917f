"""The analyzer role: evaluates the rollouts of services assigned to this daemon."""

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
class AnalyzedRollout:
    """One rollout: its analyzer, its evidence and the last time slice evaluated."""

    analyzer: Analyzer
    evidence: EvidenceAggregator = field(default_factory=EvidenceAggregator)
    time_slice: int | None = None


@dataclass(slots=True)
class RolloutAnalysis:
    """The rollouts that this daemon analyzes, by rollout ID."""

    analyzed: dict[RolloutId, AnalyzedRollout] = field(default_factory=dict)
    services: dict[RolloutId, str] = field(default_factory=dict)

    def set_rollouts(self, statuses: Iterable[RolloutStatus]) -> None:
        """Analyze exactly these rollouts; discard the evidence on all others."""
        wanted = {status.id: status.rollout for status in statuses}
        for rollout_id in self.analyzed.keys() - wanted.keys():
            del self.analyzed[rollout_id]
            del self.services[rollout_id]
        for rollout_id, rollout in wanted.items():
            if rollout_id not in self.analyzed:
                steps = int(rollout.window.total_seconds() / SLICE_SECONDS)
                self.analyzed[rollout_id] = AnalyzedRollout(
                    Analyzer(rollout.version, steps)
                )
                self.services[rollout_id] = rollout.service

    def record(self, report: Report) -> None:
        """Merge a report into the evidence on its service's rollouts."""
        for rollout_id, service in self.services.items():
            if service == report.service:
                self.analyzed[rollout_id].evidence.merge(report)

    def evaluate(
        self, rollout_id: RolloutId, time_slice: int, server_count: int
    ) -> Conclusion:
        """Evaluate the evidence that arrived up to and including a time slice.

        ``server_count`` is the number of servers that run the rollout's version.
        """
        entry = self.analyzed[rollout_id]
        previous_slice = (
            time_slice - 1 if entry.time_slice is None else entry.time_slice
        )
        entry.time_slice = time_slice
        steps = max(1, time_slice - previous_slice)
        return entry.analyzer.observe(
            entry.evidence.consume_increments(), steps, server_count
        )


__all__ = ["RolloutAnalysis"]
