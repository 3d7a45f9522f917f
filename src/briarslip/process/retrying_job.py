"""Asynchronous job that is retried until it succeeds."""

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
# Full jitter may be zero, and retries must not follow one another without a pause.
MIN_RETRY_SECONDS = 0.025


class RetryingJob:
    """Job that runs once at a time and is retried until it succeeds.

    ``work`` is a coroutine function that returns whether it succeeded. A run
    requested while another one is in progress starts after it. A run that fails
    or raises is retried with exponential back-off and full jitter, at most
    ``retry_cap_seconds`` later.
    """

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        work: Callable[[], Coroutine[Deferred[Any], Any, bool]],
        retry_cap_seconds: float = RETRY_CAP_SECONDS,
    ) -> None:
        self.reactor = reactor
        self.rng = rng
        self.work = work
        self.retry_cap_seconds = retry_cap_seconds
        self.is_running = False
        self.is_rerun_requested = False
        self.failures = 0
        self.scheduled_call: Any = None

    def run(self) -> None:
        """Run now, or once more after the run in progress."""
        self._cancel_scheduled()
        if self.is_running:
            self.is_rerun_requested = True
            return
        self.is_running = True
        Deferred.fromCoroutine(self.work()).addCallbacks(self._ended, self._raised)

    def run_after(self, delay_seconds: float) -> None:
        """Run after a delay, at once if it is 0; a run already scheduled is kept."""
        if not delay_seconds:
            self.run()
        elif self.scheduled_call is None:
            self.scheduled_call = self.reactor.callLater(delay_seconds, self._due)

    def cancel(self) -> None:
        """Cancel the scheduled run and retries; a run in progress ends by itself."""
        self._cancel_scheduled()
        self.is_rerun_requested = False
        self.failures = 0

    def _due(self) -> None:
        self.scheduled_call = None
        self.run()

    def _cancel_scheduled(self) -> None:
        if self.scheduled_call is not None and self.scheduled_call.active():
            self.scheduled_call.cancel()
        self.scheduled_call = None

    def _raised(self, failure: Any) -> None:
        emit(Event.CONFIGURATION_JOB_FAILED, reason=failure.getTraceback())
        self._ended(False)

    def _ended(self, succeeded: bool) -> None:
        self.is_running = False
        is_rerun_requested, self.is_rerun_requested = self.is_rerun_requested, False
        if not succeeded:
            delay_seconds = full_jitter(
                self.rng, self.failures, RETRY_BASE_SECONDS, self.retry_cap_seconds
            )
            self.failures += 1
            self.run_after(delay_seconds + MIN_RETRY_SECONDS)
            return
        self.failures = 0
        if is_rerun_requested:
            self.run()


__all__ = ["RetryingJob"]
