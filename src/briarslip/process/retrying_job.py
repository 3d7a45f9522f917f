"""Work that is repeated until it succeeds."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred

from briarslip.backoff import full_jitter
from briarslip.process.events import Event
from briarslip.process.events import emit


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Coroutine


RETRY_BASE_SECONDS = 0.25
RETRY_CAP_SECONDS = 4.0
# Full jitter may be zero, and a failure must not repeat without end.
LEAST_RETRY_SECONDS = 0.025


class RetryingJob:
    """Work of which one run is under way at a time, repeated until it succeeds.

    ``work`` is a coroutine function that tells whether it succeeded. A run
    asked for while one is under way follows it. Runs that fail or raise are
    repeated with back-off.
    """

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        work: Callable[[], Coroutine[Deferred[Any], Any, bool]],
    ) -> None:
        self.reactor = reactor
        self.rng = rng
        self.work = work
        self.busy = False
        self.again = False
        self.failures = 0
        self.scheduled: Any = None

    def run(self) -> None:
        """Run now, or again after the run under way."""
        self._cancel()
        if self.busy:
            self.again = True
            return
        self.busy = True
        Deferred.fromCoroutine(self.work()).addCallbacks(self._ended, self._broken)

    def run_after(self, delay: float) -> None:
        """Run after some seconds, or sooner if that was asked for already."""
        if not delay:
            self.run()
        elif self.scheduled is None:
            self.scheduled = self.reactor.callLater(delay, self._due)

    def _due(self) -> None:
        self.scheduled = None
        self.run()

    def _cancel(self) -> None:
        if self.scheduled is not None and self.scheduled.active():
            self.scheduled.cancel()
        self.scheduled = None

    def _broken(self, failure: Any) -> None:
        emit(Event.CONFIGURATION_JOB_FAILED, reason=failure.getTraceback())
        self._ended(False)

    def _ended(self, succeeded: bool) -> None:
        self.busy = False
        again, self.again = self.again, False
        if not succeeded:
            delay = full_jitter(
                self.rng, self.failures, RETRY_BASE_SECONDS, RETRY_CAP_SECONDS
            )
            self.failures += 1
            self.run_after(delay + LEAST_RETRY_SECONDS)
            return
        self.failures = 0
        if again:
            self.run()


__all__ = ["RetryingJob"]
