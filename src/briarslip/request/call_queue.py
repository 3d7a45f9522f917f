"""Calls that wait for a slot, in the order in which they are worth most."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from briarslip.request.admitted_call import AdmittedCall
    from briarslip.request.call import Call


class CallQueue:
    """The waiting calls of one priority.

    Load pattern: more arrives than the server can do. In the order of arrival
    every call would then come late. So calls that can still be answered within
    their target go first, the one with the least time left before others, and
    those that can't follow in the order of their deadlines. Calls without a
    target keep the order of their arrival.
    """

    def __init__(self) -> None:
        self.members: set[AdmittedCall] = set()
        self.timely: list[tuple[float, int, AdmittedCall]] = []
        self.late: list[tuple[float, int, AdmittedCall]] = []
        self.numbers = itertools.count()

    def __len__(self) -> int:
        return len(self.members)

    def __iter__(self) -> Iterator[AdmittedCall]:
        return iter(tuple(self.members))

    def add(self, admitted: AdmittedCall) -> None:
        """Let a call wait."""
        self.members.add(admitted)
        entry = (admitted.call.latency_target_at, next(self.numbers), admitted)
        heapq.heappush(self.timely, entry)

    def remove(self, admitted: AdmittedCall) -> None:
        """Forget a call that waits no longer."""
        self.members.discard(admitted)

    def ahead_of(self, call: Call, now: float) -> int:
        """Return how many of those that wait go before another call."""
        if call.latency_target_at <= now:
            return len(self.members)
        return sum(
            now < m.call.latency_target_at <= call.latency_target_at
            for m in self.members
        )

    def last(self, now: float) -> AdmittedCall:
        """Return the call that goes after all others."""
        return max(
            self.members,
            key=lambda m: (
                m.call.latency_target_at <= now,
                m.call.latency_target_at,
                m.call.deadline,
            ),
        )

    def pop(self, finish: Callable[[AdmittedCall], float]) -> AdmittedCall | None:
        """Return the call whose turn it is, None if none waits.

        ``finish`` returns when a call would end if it began now.
        """
        while self.timely:
            latency_target_at, number, admitted = heapq.heappop(self.timely)
            if admitted not in self.members:
                continue
            if finish(admitted) <= latency_target_at:
                self.members.discard(admitted)
                return admitted
            heapq.heappush(self.late, (admitted.call.deadline, number, admitted))
        while self.late:
            _, _, admitted = heapq.heappop(self.late)
            if admitted in self.members:
                self.members.discard(admitted)
                return admitted
        return None


__all__ = ["CallQueue"]
