"""Counts on their way from a daemon to its relay, or from a relay to the home."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.address import Address


# Reports are acknowledged within 0.3 s; a parent that takes longer is cut off or ended.
ACKNOWLEDGE_TIMEOUT_SECONDS = 0.5
# All candidates are probed when the parent is silent; most answers take 10 ms.
PROBE_WAIT_SECONDS = 0.1
LAST_PROBE_WAIT_SECONDS = 0.4
PROBE_INTERVAL_SECONDS = 0.5
ALONE_SECONDS = 0.5


@dataclass(slots=True)
class Pending:
    """Requests that are to be reported."""

    offered: int = 0
    admitted: int = 0


@dataclass(frozen=True, slots=True)
class SentCounts:
    """A report that has not been acknowledged."""

    parent: Address
    sent_at: float
    counts: dict[str, Pending]


class Uplink:
    """The counts of one group and the parent that they are reported to.

    ``candidates`` returns the possible parents by rank. A silent parent is left for
    the first candidate that answers a probe, and what it did not acknowledge is
    reported again. ``witnesses`` returns other daemons of the zone: if none of them
    answers, a daemon must not choose itself, since it alone may be cut off.
    ``parent`` is None if there is no one to report to.
    """

    def __init__(
        self,
        own_address: Address,
        candidates: Callable[[], tuple[Address, ...]],
        witnesses: Callable[[], tuple[Address, ...]] = tuple,
    ) -> None:
        self.own_address = own_address
        self.candidates = candidates
        self.witnesses = witnesses
        self.parent: Address | None = None
        self.is_isolated = False
        self.needs_complete = True
        # A parent that still answers but is to be told that this one has another.
        self.left_parent: Address | None = None
        self.heard_at: dict[Address, float] = {}
        self.choose_at = math.inf
        self.silent_since = -math.inf
        self.silent_parent: Address | None = None
        self.probed_at = -math.inf
        self.pending: dict[str, Pending] = {}
        self.due_at = math.inf
        self.sequence = 0
        self.last_sent_at = -math.inf
        self.unacknowledged: dict[int, SentCounts] = {}

    @property
    def can_send(self) -> bool:
        """Whether there is a parent that is not known to be silent."""
        return self.parent is not None and self.choose_at == math.inf

    def add(self, organisation: str, offered: int, admitted: int, due: float) -> None:
        """Count requests, to be reported at ``due`` at the latest."""
        if self.is_isolated:
            return
        pending = self.pending.get(organisation)
        if pending is None:
            pending = self.pending[organisation] = Pending()
        pending.offered += offered
        pending.admitted += admitted
        self.due_at = min(self.due_at, due)

    def take(self, now: float) -> tuple[int, dict[str, Pending]]:
        """Return the sequence and the counts of a report that is sent now."""
        assert self.parent is not None
        self.sequence += 1
        counts, self.pending = self.pending, {}
        self.due_at = math.inf
        self.last_sent_at = now
        self.needs_complete = False
        self.unacknowledged[self.sequence] = SentCounts(self.parent, now, counts)
        return self.sequence, counts

    def receive(self, sender: Address, acknowledged: int, now: float) -> None:
        """Record that a candidate or a witness answers."""
        self.heard_at[sender] = now
        for sequence, sent in list(self.unacknowledged.items()):
            if sequence <= acknowledged and sent.parent == sender:
                del self.unacknowledged[sequence]
        if self.choose_at < math.inf and sender == self._best_other():
            self._choose(now)

    def _best_other(self) -> Address | None:
        """Return the best candidate that is not the silent parent."""
        others = (a for a in self.candidates() if a != self.silent_parent)
        return next(others, None)

    def fail(self, parent: Address, now: float) -> tuple[Address, ...]:
        """Look for another parent if this one can't be connected to."""
        if parent != self.parent or self.choose_at < math.inf:
            return ()
        self.requeue(parent, now)
        return self._begin_choice(now)

    def requeue(self, parent: Address, now: float) -> None:
        """Report again what a parent has not acknowledged, with a complete report."""
        for sequence, sent in list(self.unacknowledged.items()):
            if sent.parent == parent:
                self._count_again(sequence, now)
        self.needs_complete = True
        self.due_at = now

    def resume(self, now: float) -> None:
        """Start anew after a pause; what was sent before may have been counted."""
        self.unacknowledged.clear()
        self.pending.clear()
        self.needs_complete = True
        self.due_at = now

    def choose_parent(self, now: float) -> tuple[Address, ...]:
        """Choose the parent; return the daemons that are to be probed."""
        candidates = self.candidates()
        is_silent = self._requeue_silent(now) or self._is_alone(now)
        if is_silent and self.choose_at == math.inf:
            return self._begin_choice(now)
        if now >= self.choose_at:
            self._choose(now)
        elif self.choose_at == math.inf:
            self._update_parent(candidates, now)
        return self._probes(candidates, now)

    def _begin_choice(self, now: float) -> tuple[Address, ...]:
        self.silent_parent = self.parent
        self.silent_since = now
        self.choose_at = now + PROBE_WAIT_SECONDS
        self.probed_at = now
        self.heard_at.clear()
        return self.candidates() + self.witnesses()

    def _choose(self, now: float) -> None:
        best = self._first_heard(self.candidates(), now)
        if best is None and now - self.silent_since < LAST_PROBE_WAIT_SECONDS:
            return
        self.choose_at = math.inf
        self._set_parent(best)

    def _set_parent(self, parent: Address | None) -> None:
        self.is_isolated = parent is None
        if parent is None:
            # Counts that arrive long after their requests would be refused again.
            self.pending.clear()
            self.due_at = math.inf
        if parent != self.parent:
            self.left_parent = self.parent
            self.parent = parent
            self.needs_complete = True
            self.due_at = -math.inf

    def _update_parent(self, candidates: tuple[Address, ...], now: float) -> None:
        """Change to a better candidate that answers, or from one that has left."""
        best = self._first_heard(candidates, now)
        if self.parent in candidates:
            better = candidates[: candidates.index(self.parent)]
            if best in better:
                self._set_parent(best)
        elif not self.is_isolated:
            # At the start, or after the parent has left: trust the first one.
            self._set_parent(candidates[0] if candidates else None)
        elif best is not None:
            self._set_parent(best)

    def _probes(
        self, candidates: tuple[Address, ...], now: float
    ) -> tuple[Address, ...]:
        if not candidates or self.parent == candidates[0]:
            return ()
        if now - self.probed_at < PROBE_INTERVAL_SECONDS:
            return ()
        self.probed_at = now
        if self.parent in candidates:
            return candidates[: candidates.index(self.parent)]
        return candidates + self.witnesses()

    def _first_heard(
        self, candidates: tuple[Address, ...], now: float
    ) -> Address | None:
        best = next((a for a in candidates if self._is_heard(a, now)), None)
        if best == self.own_address:
            witnesses = self.witnesses()
            if witnesses and not any(self._is_heard(a, now) for a in witnesses):
                return None
        return best

    def _is_heard(self, address: Address, now: float) -> bool:
        return now - self.heard_at.get(address, -math.inf) < PROBE_INTERVAL_SECONDS

    def _is_alone(self, now: float) -> bool:
        """Return whether the parent is this daemon, and no other daemon is heard."""
        if self.parent != self.own_address or now - self.probed_at < ALONE_SECONDS:
            return False
        witnesses = self.witnesses()
        heard_at = max(
            (self.heard_at.get(a, -math.inf) for a in witnesses), default=now
        )
        return now - heard_at > ALONE_SECONDS

    def _requeue_silent(self, now: float) -> bool:
        """Count again what is not acknowledged; return whether the parent is silent."""
        is_silent = False
        for sequence, sent in list(self.unacknowledged.items()):
            if now - sent.sent_at > ACKNOWLEDGE_TIMEOUT_SECONDS:
                is_silent |= sent.parent == self.parent
                self._count_again(sequence, now)
        return is_silent

    def _count_again(self, sequence: int, now: float) -> None:
        counts = self.unacknowledged.pop(sequence).counts
        for organisation, count in counts.items():
            self.add(organisation, count.offered, count.admitted, now)


__all__ = ["Uplink"]
