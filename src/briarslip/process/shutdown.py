"""Graceful stop of the daemon: no request in flight is cut off."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from briarslip.process.events import Event
from briarslip.process.events import emit


if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from briarslip.process.clock import Clock


# Until the others have heard that this daemon is draining.
NOTICE_SECONDS = 2.0
POLL_SECONDS = 0.05
# For answers on their way back after the last deadline has passed.
RESPONSE_GRACE_SECONDS = 1.0
# For connections to be closed from the other end.
CLOSE_TIMEOUT_SECONDS = 3.0


class Phase(Enum):
    """How far the stop has come."""

    RUNNING = "running"
    NOTICE = "notice"
    FINISHING = "finishing"
    CLOSING = "closing"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Remaining:
    """The requests under way and the connections that are open."""

    requests: int
    connections: int


def next_phase(
    phase: Phase, elapsed_seconds: float, max_call_seconds: float, remaining: Remaining
) -> Phase:
    """Return the phase that follows after ``elapsed_seconds`` in this one.

    ``max_call_seconds`` is the largest deadline of a call in seconds.
    """
    match phase:
        case Phase.NOTICE if elapsed_seconds >= NOTICE_SECONDS:
            return Phase.FINISHING
        case Phase.FINISHING if (
            not remaining.requests
            or elapsed_seconds >= max_call_seconds + RESPONSE_GRACE_SECONDS
        ):
            return Phase.CLOSING
        case Phase.CLOSING if (
            not remaining.connections or elapsed_seconds >= CLOSE_TIMEOUT_SECONDS
        ):
            return Phase.STOPPED
    return phase


class Shutdown:
    """Walks through the phases of a stop.

    ``on_phase`` is told of each phase; ``count_remaining`` counts what is left. The
    stop ends after ``grace_seconds``, whatever is left.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        max_call_seconds: Callable[[], float],
        count_remaining: Callable[[], Remaining],
        on_phase: Callable[[Phase], None],
        grace_seconds: float = math.inf,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.max_call_seconds = max_call_seconds
        self.count_remaining = count_remaining
        self.on_phase = on_phase
        self.grace_seconds = grace_seconds
        self.phase = Phase.RUNNING
        self.phase_started_at = 0.0
        self.began_at = 0.0

    @property
    def is_draining(self) -> bool:
        """Whether a stop has begun."""
        return self.phase is not Phase.RUNNING

    @property
    def is_rejecting_calls(self) -> bool:
        """Whether calls of peers are no longer taken."""
        return self.phase not in (Phase.RUNNING, Phase.NOTICE)

    def begin(self) -> None:
        """Begin to stop; later calls change nothing."""
        if not self.is_draining:
            emit(Event.DAEMON_DRAINING)
            self.began_at = self.clock.monotonic()
            self._enter(Phase.NOTICE)
            self._poll()

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        self.phase_started_at = self.clock.monotonic()
        self.on_phase(phase)

    def _poll(self) -> None:
        now = self.clock.monotonic()
        elapsed_seconds = now - self.phase_started_at
        remaining = self.count_remaining()
        phase = next_phase(
            self.phase, elapsed_seconds, self.max_call_seconds(), remaining
        )
        if now - self.began_at >= self.grace_seconds:
            phase = Phase.STOPPED
        if phase is not self.phase:
            self._enter(phase)
        if phase is Phase.STOPPED:
            emit(Event.DAEMON_STOPPED, connections=remaining.connections)
        else:
            self.reactor.callLater(POLL_SECONDS, self._poll)


__all__ = ["Phase", "Remaining", "Shutdown", "next_phase"]
