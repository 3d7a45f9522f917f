"""Timing wheel that keeps the deadlines of many calls on few reactor timers."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from briarslip.process.clock import Clock


TICK_SECONDS = 0.05


class Deadline:
    """A scheduled callback."""

    __slots__ = ("bucket", "callback")

    def __init__(self, bucket: set[Deadline], callback: Callable[[], None]) -> None:
        self.bucket = bucket
        self.callback = callback

    def cancel(self) -> None:
        """Cancel the callback and break the reference cycle with its owner."""
        self.bucket.discard(self)
        self.callback = _do_nothing


class DeadlineWheel:
    """Groups deadlines by tick: one reactor timer for each tick in use.

    A callback runs up to one tick after its deadline and never before it.
    """

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self.reactor = reactor
        self.clock = clock
        self.buckets: dict[int, set[Deadline]] = {}

    def add(self, at: float, callback: Callable[[], None]) -> Deadline:
        """Call ``callback`` when the monotonic clock reaches ``at`` (seconds)."""
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
        """Call ``function`` after ``delay_seconds``."""
        return self.add(self.clock.monotonic() + delay_seconds, function)

    def _expire_tick(self, tick: int) -> None:
        self._run_callbacks(self.buckets.pop(tick))

    def _run_callbacks(self, bucket: set[Deadline]) -> None:
        try:
            while bucket:
                bucket.pop().callback()
        finally:
            if bucket:
                # An exception in one callback must not prevent the others.
                self.reactor.callLater(0.0, self._run_callbacks, bucket)


def _do_nothing() -> None:
    """Do nothing: callback of a cancelled deadline."""


__all__ = ["TICK_SECONDS", "Deadline", "DeadlineWheel"]
