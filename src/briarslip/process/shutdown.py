"""Graceful shutdown of the daemon: requests in flight are completed."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from briarslip.process.error_log import record_error
from briarslip.process.error_log import run_each
from briarslip.process.events import Event
from briarslip.process.events import emit


if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from briarslip.process.clock import Clock


# Time for the other daemons to receive the update that this one is draining.
NOTICE_SECONDS = 2.0
POLL_SECONDS = 0.05
# Time for responses still on their way after the last deadline has passed.
RESPONSE_GRACE_SECONDS = 1.0
# Between the deadline of the last request and the end of the process: a request ends
# up to 0.1 s after its deadline, and its response is on its way after that.
RESPONSE_MARGIN_SECONDS = 0.2
# Time for the requests that servers run once no other request waits for a server.
LAST_RUN_SECONDS = 1.0
# Time for the answers to withdrawals, if waiting could not be ended in time.
WITHDRAWAL_SECONDS = 0.1
# Time for the other end to close its connections.
CLOSE_TIMEOUT_SECONDS = 3.0


class Phase(Enum):
    """Phases of the shutdown, in order."""

    RUNNING = "running"
    NOTICE = "notice"
    FINISHING = "finishing"
    CLOSING = "closing"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Remaining:
    """The numbers of unfinished requests and of open connections.

    A request counts until its response has been handed to the socket whole.
    """

    requests: int
    connections: int


def next_phase(
    phase: Phase,
    elapsed_seconds: float,
    max_timeout_seconds: float,
    remaining: Remaining,
) -> Phase:
    """Return the next phase, or the same one if it is not over yet.

    ``elapsed_seconds`` is the time spent in this phase, ``max_timeout_seconds`` the
    largest timeout of a call.
    """
    match phase:
        case Phase.NOTICE if elapsed_seconds >= NOTICE_SECONDS:
            return Phase.FINISHING
        case Phase.FINISHING if (
            not remaining.requests
            or elapsed_seconds >= max_timeout_seconds + RESPONSE_GRACE_SECONDS
        ):
            return Phase.CLOSING
        case Phase.CLOSING if not remaining.connections:
            return Phase.STOPPED
        # A caller may send another request on a connection that is not closed yet.
        case Phase.CLOSING if elapsed_seconds >= CLOSE_TIMEOUT_SECONDS + (
            max_timeout_seconds + RESPONSE_GRACE_SECONDS if remaining.requests else 0.0
        ):
            return Phase.STOPPED
    return phase


def _ignore_end_of_waiting(end: float) -> None:
    """Do nothing with the requests that still wait."""


class Shutdown:
    """State machine of the daemon's graceful shutdown.

    ``on_phase`` is called at the start of each phase. ``count_remaining`` returns
    the work that is left, ``max_timeout_seconds`` the largest timeout of a call. The
    shutdown ends after ``grace_seconds`` even if work remains. ``on_end_of_waiting``
    is called ``LAST_RUN_SECONDS`` before, with the last time at which a response can
    be delivered. ``boot_seconds`` is a clock that also runs while the machine is
    suspended, as that of whoever ends the process after the grace time does.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        max_timeout_seconds: Callable[[], float],
        count_remaining: Callable[[], Remaining],
        on_phase: Callable[[Phase], None],
        grace_seconds: float = math.inf,
        on_end_of_waiting: Callable[[float], None] = _ignore_end_of_waiting,
        boot_seconds: Callable[[], float] | None = None,
    ) -> None:
        self.boot_seconds = boot_seconds or clock.monotonic
        self.reactor = reactor
        self.clock = clock
        self.max_timeout_seconds = max_timeout_seconds
        self.count_remaining = count_remaining
        self.on_phase = on_phase
        self.grace_seconds = grace_seconds
        self.on_end_of_waiting = on_end_of_waiting
        self.phase = Phase.RUNNING
        self.phase_started_at = 0.0
        self.began_at = 0.0
        self.began_at_boot_seconds = 0.0
        self.last_response_at: float | None = None

    @property
    def is_draining(self) -> bool:
        """Whether the shutdown has begun."""
        return self.phase is not Phase.RUNNING

    @property
    def is_rejecting_calls(self) -> bool:
        """Whether calls of peers are rejected."""
        return self.phase not in (Phase.RUNNING, Phase.NOTICE)

    @property
    def suspended_seconds(self) -> float:
        """For how long the machine has been suspended since the shutdown began."""
        elapsed_seconds = self.clock.monotonic() - self.began_at
        boot_elapsed_seconds = self.boot_seconds() - self.began_at_boot_seconds
        return max(0.0, boot_elapsed_seconds - elapsed_seconds)

    @property
    def latest_deadline(self) -> float:
        """The last time of the clock at which a response can still be delivered."""
        if self.phase is Phase.RUNNING:
            return math.inf
        end = self.began_at + self.grace_seconds - self.suspended_seconds
        return end - RESPONSE_MARGIN_SECONDS

    def can_finish(self, deadline: float, idempotent: bool) -> bool:
        """Return whether a request that begins now can run until its deadline.

        Idempotent requests that arrive while callers may not know of the shutdown
        yet are accepted whatever their deadline, since most end long before; they get
        ``latest_deadline``. ``deadline`` is a time of the clock.
        """
        if self.phase is Phase.RUNNING:
            return True
        if idempotent and not self.is_rejecting_calls:
            return True
        return deadline <= self.latest_deadline

    def begin(self) -> None:
        """Begin the shutdown; do nothing if it has begun already."""
        if not self.is_draining:
            emit(Event.DAEMON_DRAINING)
            self.began_at = self.clock.monotonic()
            self.began_at_boot_seconds = self.boot_seconds()
            self._enter(Phase.NOTICE)
            self._poll()

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        self.phase_started_at = self.clock.monotonic()
        # The shutdown goes on even if a part of it fails.
        run_each((self.on_phase,), phase)

    def _end_waiting(self, now: float) -> None:
        """End the waiting of requests for a server, once.

        If the process was held up until then, what is left still gets its answers:
        the process does not end in the same step.
        """
        if self.last_response_at is None:
            end = max(self.latest_deadline, now + WITHDRAWAL_SECONDS)
            self.last_response_at = end
            run_each((self.on_end_of_waiting,), end)

    def _is_over(self, now: float) -> bool:
        """Return whether the grace time is over and all answers have been given."""
        if self.last_response_at is None:
            return False
        margin_seconds = RESPONSE_MARGIN_SECONDS - POLL_SECONDS / 2
        return now - self.last_response_at >= margin_seconds

    def _remaining(self) -> Remaining:
        try:
            return self.count_remaining()
        except Exception as error:
            record_error(error)
            return Remaining(1, 1)

    def _poll(self) -> None:
        now = self.clock.monotonic()
        elapsed_seconds = now - self.phase_started_at
        remaining = self._remaining()
        phase = next_phase(
            self.phase, elapsed_seconds, self.max_timeout_seconds(), remaining
        )
        total_seconds = now - self.began_at + self.suspended_seconds
        if total_seconds >= self.grace_seconds - LAST_RUN_SECONDS:
            self._end_waiting(now)
        if total_seconds >= self.grace_seconds and self._is_over(now):
            phase = Phase.STOPPED
        if phase is not self.phase:
            self._enter(phase)
        if phase is Phase.STOPPED:
            emit(Event.DAEMON_STOPPED, connections=remaining.connections)
        else:
            self.reactor.callLater(POLL_SECONDS, self._poll)


__all__ = ["Phase", "Remaining", "Shutdown", "next_phase"]
