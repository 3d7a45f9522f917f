"""Decisions on rollouts: they only ever grow, so they need no agreement."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable
    from datetime import datetime

    from briarslip.version.record import Rollout


MAX_DECISIONS = 128
MAX_STARTS = 64


class RolloutId(NamedTuple):
    """A rollout as an operator wrote it.

    ``digest`` is of all its fields: an amended rollout is another one, and
    the same record applied again is the same one.
    """

    name: str
    digest: str

    @classmethod
    def from_rollout(cls, rollout: Rollout) -> RolloutId:
        """Return the identity of a rollout."""
        text = "|".join(
            (
                rollout.service,
                rollout.version,
                rollout.deadline.isoformat(),
                str(rollout.window.total_seconds()),
                str(rollout.max_traffic_share),
            )
        )
        return cls(rollout.name, hashlib.sha256(text.encode()).hexdigest()[:16])


@dataclass(frozen=True, slots=True)
class Fault:
    """What speaks against a version: a figure of it and of the old version."""

    route: str
    figure: str
    new_value: float
    old_value: float


@dataclass(frozen=True, slots=True)
class Decision:
    """A rollout is rolled back: its version gets no traffic, anywhere."""

    rollout: RolloutId
    service: str
    version: str
    fault: Fault
    decided: datetime
    availability_zone: str
    after_done: bool

    @property
    def rank(self) -> tuple[datetime, str]:
        """The order among decisions on one rollout: the first is reported."""
        return (self.decided, self.availability_zone)


@dataclass(slots=True)
class Decisions:
    """All that is known of rollouts, merged the same way at every daemon.

    ``started`` is the earliest time at which any daemon saw a rollout and
    servers of its version together. ``is_synced`` is false until the state of a
    peer or of the platform is merged; until then nothing may be moved, nor
    while ``is_stale``, after a pause in which decisions may have been missed.
    """

    rolled_back: dict[RolloutId, Decision] = field(default_factory=dict)
    started: dict[RolloutId, datetime] = field(default_factory=dict)
    held_until: dict[RolloutId, datetime] = field(default_factory=dict)
    is_synced: bool = False
    is_stale: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether traffic may be moved by what is known."""
        return self.is_synced and not self.is_stale

    def add(self, decision: Decision) -> bool:
        """Take a decision; return whether the rollout had none before."""
        known = self.rolled_back.get(decision.rollout)
        if known is None or decision.rank < known.rank:
            self.rolled_back[decision.rollout] = decision
        if len(self.rolled_back) > MAX_DECISIONS:
            oldest = min(self.rolled_back.values(), key=lambda d: d.rank)
            del self.rolled_back[oldest.rollout]
        return known is None

    def record_start(self, rollout: RolloutId, when: datetime) -> None:
        """Take the earlier of two starts."""
        known = self.started.get(rollout)
        self.started[rollout] = when if known is None else min(known, when)
        if len(self.started) > MAX_STARTS:
            del self.started[min(self.started, key=lambda r: (self.started[r], r))]

    def extend_hold(self, rollout: RolloutId, until: datetime) -> bool:
        """Take the later of two ends of a hold; return whether it moved."""
        known = self.held_until.get(rollout)
        if known is not None and known >= until:
            return False
        self.held_until[rollout] = until
        return True

    def merge(
        self,
        decisions: Iterable[Decision],
        started: Iterable[tuple[RolloutId, datetime]],
    ) -> tuple[Decision, ...]:
        """Merge what a peer knows; return the decisions that were new."""
        for rollout, when in started:
            self.record_start(rollout, when)
        return tuple(decision for decision in decisions if self.add(decision))

    def excluded_versions(
        self, service: str, current: Iterable[tuple[str, RolloutId]]
    ) -> frozenset[str]:
        """Return the versions of a service that must get no work.

        ``current`` names the rollouts that are in force, with their versions:
        a version counts again only once an operator has written another
        rollout to it.
        """
        wanted = {v for v, rollout in current if rollout not in self.rolled_back}
        return frozenset(
            decision.version
            for decision in self.rolled_back.values()
            if decision.service == service and decision.version not in wanted
        )

    @property
    def digest(self) -> bytes:
        """A short digest of what has to be equal everywhere."""
        parts = [f"d {d.rollout} {d.rank}" for d in self.rolled_back.values()]
        parts.extend(f"s {r} {when}" for r, when in self.started.items())
        text = "\n".join((str(self.is_synced), *sorted(parts)))
        return hashlib.sha256(text.encode()).digest()[:8]


__all__ = ["Decision", "Decisions", "Fault", "RolloutId"]
