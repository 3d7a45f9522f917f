"""Queue of calls for a slot, ordered by latency target."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from briarslip.request.call import Call
    from briarslip.request.pending_call import PendingCall


# Entries of calls that have left the queue, up to which they stay in its heaps.
MAX_EMPTY_ENTRIES = 64


class QueueEntry:
    """A place in the order of the calls, empty once its call has left the queue."""

    __slots__ = ("pending",)

    def __init__(self, pending: PendingCall) -> None:
        self.pending: PendingCall | None = pending


class CallQueue:
    """The queued calls of one priority.

    When more calls arrive than the server can serve, first-in-first-out order
    would make every call late. So calls that can still meet their latency target
    go first, earliest target first; calls that can't follow in the order of
    their deadlines. Calls without a target keep their order of arrival.
    """

    def __init__(self) -> None:
        self.waiting: dict[PendingCall, QueueEntry] = {}
        self.by_latency_target: list[tuple[float, int, QueueEntry]] = []
        self.by_deadline: list[tuple[float, int, QueueEntry]] = []
        self.arrival_numbers = itertools.count()

    def __len__(self) -> int:
        return len(self.waiting)

    def __iter__(self) -> Iterator[PendingCall]:
        return iter(tuple(self.waiting))

    def add(self, pending: PendingCall) -> None:
        """Add a call to the queue."""
        entry = self.waiting[pending] = QueueEntry(pending)
        target_at = pending.call.latency_target_at
        number = next(self.arrival_numbers)
        heapq.heappush(self.by_latency_target, (target_at, number, entry))

    def remove(self, pending: PendingCall) -> None:
        """Remove a call, and all references to it."""
        entry = self.waiting.pop(pending, None)
        if entry is None:
            return
        entry.pending = None
        size = len(self.by_latency_target) + len(self.by_deadline)
        if size > 2 * len(self.waiting) + MAX_EMPTY_ENTRIES:
            self._remove_empty_entries()

    def _remove_empty_entries(self) -> None:
        for heap in (self.by_latency_target, self.by_deadline):
            heap[:] = [item for item in heap if item[2].pending is not None]
            heapq.heapify(heap)

    def count_ahead_of(self, call: Call, now: float) -> int:
        """Return the number of queued calls that would go before ``call``."""
        if call.latency_target_at <= now:
            return len(self.waiting)
        return sum(
            now < pending.call.latency_target_at <= call.latency_target_at
            for pending in self.waiting
        )

    def last(self, now: float) -> PendingCall:
        """Return the call that would be served last."""
        return max(
            self.waiting,
            key=lambda pending: (
                pending.call.latency_target_at <= now,
                pending.call.latency_target_at,
                pending.call.deadline,
            ),
        )

    def pop(self, expected_end: Callable[[PendingCall], float]) -> PendingCall | None:
        """Remove and return the next call, None if the queue is empty.

        ``expected_end`` returns the time at which a call would end if started now.
        """
        while self.by_latency_target:
            latency_target_at, number, entry = heapq.heappop(self.by_latency_target)
            pending = entry.pending
            if pending is None:
                continue
            if expected_end(pending) <= latency_target_at:
                del self.waiting[pending]
                return pending
            heapq.heappush(self.by_deadline, (pending.call.deadline, number, entry))
        while self.by_deadline:
            pending = heapq.heappop(self.by_deadline)[2].pending
            if pending is not None:
                del self.waiting[pending]
                return pending
        return None


__all__ = ["CallQueue"]
