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

    __slots__ = ("bucket", "callback")

    def __init__(self, bucket: set[Deadline], callback: Callable[[], None]) -> None:
        self.bucket = bucket
        self.callback = callback

    def cancel(self) -> None:
        """Forget the deadline; leave no reference cycle to collect."""
        self.bucket.discard(self)
        self.callback = _do_nothing


class DeadlineWheel:
    """Groups deadlines by tick: one reactor timer for each tick in use.

    A deadline is acted on up to one tick late and never early.
    """

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self.reactor = reactor
        self.clock = clock
        self.buckets: dict[int, set[Deadline]] = {}

    def add(self, at: float, callback: Callable[[], None]) -> Deadline:
        """Call ``callback`` once the monotonic clock has reached ``at``."""
        tick = int(at / TICK_SECONDS) + 1
        bucket = self.buckets.get(tick)
        if bucket is None:
            bucket = self.buckets[tick] = set()
            delay_seconds = tick * TICK_SECONDS - self.clock.monotonic()
            self.reactor.callLater(max(0.0, delay_seconds), self._expire_tick, tick)
        deadline = Deadline(bucket, callback)
        bucket.add(deadline)
        return deadline

    def call_later(
        self, delay_seconds: float, function: Callable[[], None], /
    ) -> Deadline:
        """Call ``function`` after ``delay_seconds`` seconds."""
        return self.add(self.clock.monotonic() + delay_seconds, function)

    def _expire_tick(self, tick: int) -> None:
        self._run_callbacks(self.buckets.pop(tick))

    def _run_callbacks(self, bucket: set[Deadline]) -> None:
        try:
            while bucket:
                bucket.pop().callback()
        finally:
            if bucket:
                # One that raised must not keep the others from passing.
                self.reactor.callLater(0.0, self._run_callbacks, bucket)


def _do_nothing() -> None:
    """Do nothing: the deadline was cancelled."""


__all__ = ["TICK_SECONDS", "Deadline", "DeadlineWheel"]
