"""Tests of how often the calls of two versions end with one kind of event."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarslip.version.fault_test import DecayingCount
from briarslip.version.fault_test import ExcessShareTest
from briarslip.version.fault_test import RateRatioTest


if TYPE_CHECKING:
    from briarslip.version.fault_test import EvidenceThresholds
    from briarslip.version.fault_test import VersionCounts
    from briarslip.version.sequential_test import EventCount


# Limits on the share of calls with an event, above which it is too high.
MIN_LIMIT = 0.03
MAX_LIMIT = 0.9
MAX_RATIO_TO_HISTORY = 3.0
MIN_HISTORY_CALLS = 50
MIN_AMBIGUOUS_EVENTS = 1
# Ends a hold within some two seconds of the new version's last failure.
AMBIGUITY_DECAY_FACTOR = 0.5


@dataclass(slots=True)
class EventShareTests:
    """The tests for one kind of event that calls end with, and their history.

    ``history`` sums the old version's calls and events without decay, but for times of
    a shared cause: it is what the old version does without one. A shared cause that
    lasts for more than ``max_shared_steps`` is taken for normal. ``is_ambiguous`` is
    whether the new version shows the event too often during a shared cause.
    """

    max_shared_steps: int
    ratio: RateRatioTest = field(default_factory=RateRatioTest)
    excess: ExcessShareTest = field(default_factory=ExcessShareTest)
    history: DecayingCount = field(default_factory=DecayingCount)
    recent_new: DecayingCount = field(default_factory=DecayingCount)
    shared_steps: int = 0
    is_ambiguous: bool = False

    def update(
        self, counts: VersionCounts, log_weight: float, thresholds: EvidenceThresholds
    ) -> bool:
        """Add the counts of a step; return whether the fault is certain."""
        share = max(MIN_LIMIT, MAX_RATIO_TO_HISTORY * self.history.share)
        limit = min(MAX_LIMIT, share)
        is_certain = self.ratio.update(counts, log_weight, thresholds.fault)
        is_certain |= self.excess.update(counts, limit, limit, log_weight, thresholds)
        is_shared = self.excess.is_cause_shared
        self.shared_steps = self.shared_steps + 1 if is_shared else 0
        self._update_history(counts.old)
        self.recent_new.add(counts.new, AMBIGUITY_DECAY_FACTOR)
        self.is_ambiguous = (
            is_shared
            and self.recent_new.events >= MIN_AMBIGUOUS_EVENTS
            and self.recent_new.share > limit
        )
        return is_certain

    def _update_history(self, old: EventCount) -> None:
        is_exceptional = (
            0 < self.shared_steps <= self.max_shared_steps
            and self.history.calls >= MIN_HISTORY_CALLS
        )
        if not is_exceptional and not self.excess.is_suspicious:
            self.history.calls += old.calls
            self.history.events += old.events


__all__ = ["EventShareTests"]
