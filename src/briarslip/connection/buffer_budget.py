"""Limit on the bytes that a daemon buffers for its callers and its peers."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.process.clock import Clock


# Buffers up to this size are small: most requests need no more.
SMALL_BYTES = 64 << 10
# Share of the capacity that only small buffers may use, so that ordinary requests are
# accepted while large ones use up the rest.
SMALL_SHARE = 1 / 8
# Share of the capacity up to which work may be taken on that can also wait.
OPTIONAL_SHARE = 1 / 2
# A buffer that has received less than ``PROGRESS_BYTES`` for so long is stalled.
STALL_SECONDS = 1.0
PROGRESS_BYTES = 16 << 10


class Holding:
    """The bytes buffered for one request, or for one response that is being written.

    ``release`` frees them if they must give way to others; None while they can't be
    given up, because the request may be running. ``moved_bytes`` counts what has passed
    since ``progressed_at``, when the holding last was not stalled.
    """

    __slots__ = (
        "budget",
        "moved_bytes",
        "progressed_at",
        "release",
        "size_bytes",
        "started_at",
    )

    def __init__(
        self, budget: BufferBudget, release: Callable[[], None] | None
    ) -> None:
        self.budget = budget
        self.release = release
        self.size_bytes = 0
        self.moved_bytes = 0
        self.started_at = self.progressed_at = budget.clock.monotonic()

    def resize(self, size_bytes: int) -> None:
        """Set the number of bytes, then free others, or these, if they are too many."""
        self.moved_bytes += abs(size_bytes - self.size_bytes)
        if self.moved_bytes >= PROGRESS_BYTES:
            self.moved_bytes = 0
            self.progressed_at = self.budget.clock.monotonic()
        self.budget.change(self, size_bytes)

    def close(self) -> None:
        """Give the bytes back to the budget."""
        self.release = None
        self.budget.close(self)


class BufferBudget:
    """The buffers of one process, kept below ``capacity_bytes`` together.

    Load pattern: a crowd of clients sends large bodies at once; most stop just short
    of their end and stay connected. Requests that can't be accepted are rejected
    while it is certain that they have not run.
    """

    def __init__(self, clock: Clock, capacity_bytes: int) -> None:
        self.clock = clock
        self.capacity_bytes = capacity_bytes
        self.large_capacity_bytes = int(capacity_bytes * (1.0 - SMALL_SHARE))
        self.holdings: set[Holding] = set()
        self.used_bytes = 0
        self.large_bytes = 0
        self.released = 0

    @classmethod
    def unlimited(cls, clock: Clock) -> BufferBudget:
        """Return a budget that is never used up."""
        return cls(clock, sys.maxsize)

    def has_optional_room(self, size_bytes: int) -> bool:
        """Return whether so many bytes may be buffered for work that can wait."""
        limit_bytes = self.capacity_bytes * OPTIONAL_SHARE
        return self.used_bytes + size_bytes <= limit_bytes

    def open(self, release: Callable[[], None] | None = None) -> Holding:
        """Return a new holding without bytes."""
        holding = Holding(self, release)
        self.holdings.add(holding)
        return holding

    def change(self, holding: Holding, size_bytes: int) -> None:
        """Set the bytes of a holding, then release holdings until the rest fits."""
        if holding not in self.holdings:
            return
        self._count(holding, size_bytes)
        while holding.size_bytes and self._is_over():
            has_too_many_large = self.large_bytes > self.large_capacity_bytes
            if has_too_many_large and self.release_one(only_large=True):
                continue
            if self.used_bytes <= self.capacity_bytes or not self.release_one():
                return

    def close(self, holding: Holding) -> None:
        """Remove a holding and its bytes."""
        if holding in self.holdings:
            self._count(holding, 0)
            self.holdings.remove(holding)

    def release_one(self, only_large: bool = False) -> bool:
        """Release the holding that should give way first; return False without one."""
        candidates = (
            holding
            for holding in self.holdings
            if holding.release is not None
            and not (only_large and holding.size_bytes <= SMALL_BYTES)
        )
        victim = choose_victim(candidates, self.clock.monotonic())
        if victim is None or victim.release is None:
            return False
        release, victim.release = victim.release, None
        self.released += 1
        release()
        self.close(victim)
        return True

    def _is_over(self) -> bool:
        return (
            self.used_bytes > self.capacity_bytes
            or self.large_bytes > self.large_capacity_bytes
        )

    def _count(self, holding: Holding, size_bytes: int) -> None:
        self.used_bytes += size_bytes - holding.size_bytes
        self.large_bytes += _large(size_bytes) - _large(holding.size_bytes)
        holding.size_bytes = size_bytes


def choose_victim(holdings: Iterable[Holding], now: float) -> Holding | None:
    """Return the holding to release, None if there is none.

    Those that hold most and move least go first. If none is stalled it is the youngest,
    so that the older ones end and make room.
    """
    return max(holdings, key=lambda holding: _priority(holding, now), default=None)


def _priority(holding: Holding, now: float) -> tuple[float, float]:
    stalled_seconds = now - holding.progressed_at
    if stalled_seconds < STALL_SECONDS:
        return 0.0, holding.started_at
    return holding.size_bytes * stalled_seconds, holding.started_at


def _large(size_bytes: int) -> int:
    return size_bytes if size_bytes > SMALL_BYTES else 0


__all__ = ["SMALL_BYTES", "STALL_SECONDS", "BufferBudget", "Holding", "choose_victim"]
