"""Deadlines of many calls on few timers."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from briarslip.process.clock import Clock


TICK_SECONDS = 0.05


class Deadline:
    """One deadline; ``cancel`` forgets it."""

    __slots__ = ("bucket", "on_passed")

    def __init__(self, bucket: set[Deadline], on_passed: Callable[[], None]) -> None:
        self.bucket = bucket
        self.on_passed = on_passed

    def cancel(self) -> None:
        """Forget the deadline; leave no reference cycle to collect."""
        self.bucket.discard(self)
        self.on_passed = _nothing


class DeadlineWheel:
    """Groups deadlines by tick: one reactor timer for each tick in use.

    A deadline is acted on up to one tick late and never early.
    """

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self.reactor = reactor
        self.clock = clock
        self.buckets: dict[int, set[Deadline]] = {}

    def add(self, at: float, on_passed: Callable[[], None]) -> Deadline:
        """Call ``on_passed`` once the monotonic clock has reached ``at``."""
        tick = int(at / TICK_SECONDS) + 1
        bucket = self.buckets.get(tick)
        if bucket is None:
            bucket = self.buckets[tick] = set()
            wait = tick * TICK_SECONDS - self.clock.monotonic()
            self.reactor.callLater(max(0.0, wait), self._pass, tick)
        deadline = Deadline(bucket, on_passed)
        bucket.add(deadline)
        return deadline

    def call_later(self, delay: float, function: Callable[[], None], /) -> Deadline:
        """Call ``function`` after ``delay`` seconds."""
        return self.add(self.clock.monotonic() + delay, function)

    def _pass(self, tick: int) -> None:
        self._pass_all(self.buckets.pop(tick))

    def _pass_all(self, bucket: set[Deadline]) -> None:
        try:
            while bucket:
                bucket.pop().on_passed()
        finally:
            if bucket:
                # One that raised must not keep the others from passing.
                self.reactor.callLater(0.0, self._pass_all, bucket)


def _nothing() -> None:
    """Do nothing: the deadline was cancelled."""


__all__ = ["TICK_SECONDS", "Deadline", "DeadlineWheel"]
