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


class CallQueue:
    """The queued calls of one priority.

    When more calls arrive than the server can serve, first-in-first-out order
    would make every call late. So calls that can still meet their latency target
    go first, earliest target first; calls that can't follow in the order of
    their deadlines. Calls without a target keep their order of arrival.
    """

    def __init__(self) -> None:
        self.waiting: set[PendingCall] = set()
        self.by_latency_target: list[tuple[float, int, PendingCall]] = []
        self.by_deadline: list[tuple[float, int, PendingCall]] = []
        self.arrival_numbers = itertools.count()

    def __len__(self) -> int:
        return len(self.waiting)

    def __iter__(self) -> Iterator[PendingCall]:
        return iter(tuple(self.waiting))

    def add(self, pending: PendingCall) -> None:
        """Add a call to the queue."""
        self.waiting.add(pending)
        entry = (pending.call.latency_target_at, next(self.arrival_numbers), pending)
        heapq.heappush(self.by_latency_target, entry)

    def remove(self, pending: PendingCall) -> None:
        """Remove a call; its heap entry is skipped later."""
        self.waiting.discard(pending)

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
            latency_target_at, number, pending = heapq.heappop(self.by_latency_target)
            if pending not in self.waiting:
                continue
            if expected_end(pending) <= latency_target_at:
                self.waiting.discard(pending)
                return pending
            heapq.heappush(self.by_deadline, (pending.call.deadline, number, pending))
        while self.by_deadline:
            _, _, pending = heapq.heappop(self.by_deadline)
            if pending in self.waiting:
                self.waiting.discard(pending)
                return pending
        return None


__all__ = ["CallQueue"]
