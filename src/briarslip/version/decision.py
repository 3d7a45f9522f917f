"""Decisions to roll back rollouts, merged without a consensus protocol.

Decisions are only ever added, and merging them is independent of their order.
"""

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
MAX_DEADLINES = 64


class RolloutId(NamedTuple):
    """Identity of a rollout as an operator wrote it.

    ``digest`` covers all fields: an amended rollout gets another identity, and the
    same record applied again keeps it.
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
    """Evidence of a fault: one figure of the new and of the old version on a route.

    ``figure`` names the compared figure, such as ``failure_share``.
    """

    route: str
    figure: str
    new_value: float
    old_value: float


@dataclass(frozen=True, slots=True)
class Decision:
    """Decision to roll a rollout back: no daemon sends traffic to its version.

    ``availability_zone`` is the zone of the daemon that decided. ``after_done`` is
    true if the rollout was done before.
    """

    rollout: RolloutId
    service: str
    version: str
    fault: Fault
    decided: datetime
    availability_zone: str
    after_done: bool

    @property
    def rank(self) -> tuple[datetime, str]:
        """Sort key of decisions on one rollout; the lowest one is reported."""
        return (self.decided, self.availability_zone)


@dataclass(slots=True)
class Decisions:
    """Decisions, start times and holds of all rollouts.

    Every daemon merges them to the same result. ``started`` has the earliest time at
    which any daemon saw a rollout together with servers of its version.
    ``held_since`` has the time at which this daemon first saw the hold of a rollout
    that is held now. ``deadlines``
    has the deadline of each order that was agreed in the store, by key. ``is_synced``
    is false until the state of a peer or of the store is merged. No traffic is
    shifted before that, nor while ``is_stale``: after a pause of this daemon, when it
    may have missed decisions.
    """

    rolled_back: dict[RolloutId, Decision] = field(default_factory=dict)
    started: dict[RolloutId, datetime] = field(default_factory=dict)
    held_until: dict[RolloutId, datetime] = field(default_factory=dict)
    held_since: dict[RolloutId, datetime] = field(default_factory=dict)
    deadlines: dict[str, datetime] = field(default_factory=dict)
    is_synced: bool = False
    is_stale: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether the state is complete enough to shift traffic."""
        return self.is_synced and not self.is_stale

    def add(self, decision: Decision) -> bool:
        """Add a decision; return whether the rollout had none before."""
        current = self.rolled_back.get(decision.rollout)
        if current is None or decision.rank < current.rank:
            self.rolled_back[decision.rollout] = decision
        if len(self.rolled_back) > MAX_DECISIONS:
            oldest = min(self.rolled_back.values(), key=lambda d: d.rank)
            del self.rolled_back[oldest.rollout]
        return current is None

    def record_start(self, rollout: RolloutId, start: datetime) -> None:
        """Record a rollout's start unless an earlier one is recorded."""
        current = self.started.get(rollout)
        self.started[rollout] = start if current is None else min(current, start)
        if len(self.started) > MAX_STARTS:
            del self.started[min(self.started, key=lambda r: (self.started[r], r))]

    def extend_hold(self, rollout: RolloutId, until: datetime) -> bool:
        """Extend a rollout's hold; return whether its end moved."""
        current = self.held_until.get(rollout)
        if current is not None and current >= until:
            return False
        self.held_until[rollout] = until
        return True

    def update_holds(self, now: datetime) -> None:
        """Record since when each rollout is held, and forget the holds that ended."""
        self.held_since = {
            rollout: self.held_since.get(rollout, now)
            for rollout, until in self.held_until.items()
            if now < until
        }

    def add_deadline(self, order: str, deadline: datetime) -> bool:
        """Add the agreed deadline of an order; return whether it was not known."""
        if order in self.deadlines:
            return False
        self.deadlines[order] = deadline
        if len(self.deadlines) > MAX_DEADLINES:
            del self.deadlines[next(iter(self.deadlines))]
        return True

    def merge(
        self,
        decisions: Iterable[Decision],
        started: Iterable[tuple[RolloutId, datetime]],
    ) -> tuple[Decision, ...]:
        """Merge a peer's state; return the decisions that were new."""
        for rollout, start in started:
            self.record_start(rollout, start)
        return tuple(decision for decision in decisions if self.add(decision))

    def excluded_versions(
        self, service: str, effective: Iterable[tuple[str, RolloutId]]
    ) -> frozenset[str]:
        """Return the versions of a service that must not get traffic.

        ``effective`` has the version and the identity of each effective rollout. A
        version that was rolled back is excluded until an operator writes another
        rollout to it.
        """
        permitted = {v for v, rollout in effective if rollout not in self.rolled_back}
        return frozenset(
            decision.version
            for decision in self.rolled_back.values()
            if decision.service == service and decision.version not in permitted
        )

    @property
    def digest(self) -> bytes:
        """A digest of the state that must be equal at all daemons."""
        parts = [f"d {d.rollout} {d.rank}" for d in self.rolled_back.values()]
        parts.extend(f"s {r} {start}" for r, start in self.started.items())
        text = "\n".join((str(self.is_synced), *sorted(parts)))
        return hashlib.sha256(text.encode()).digest()[:8]


__all__ = ["Decision", "Decisions", "Fault", "RolloutId"]
