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
GRACE_SECONDS = 1.0
# For connections to be closed from the other end.
CLOSE_SECONDS = 3.0


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


def next_phase(phase: Phase, since: float, bound: float, left: Remaining) -> Phase:
    """Return the phase that follows after ``since`` seconds in this one.

    ``bound`` is the largest deadline of a call in seconds.
    """
    match phase:
        case Phase.NOTICE if since >= NOTICE_SECONDS:
            return Phase.FINISHING
        case Phase.FINISHING if not left.requests or since >= bound + GRACE_SECONDS:
            return Phase.CLOSING
        case Phase.CLOSING if not left.connections or since >= CLOSE_SECONDS:
            return Phase.STOPPED
    return phase


class Shutdown:
    """Walks through the phases of a stop.

    ``enter`` is told of each phase; ``remaining`` counts what is left. The
    stop ends after ``grace_seconds``, whatever is left.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        bound: Callable[[], float],
        remaining: Callable[[], Remaining],
        enter: Callable[[Phase], None],
        grace_seconds: float = math.inf,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.bound = bound
        self.remaining = remaining
        self.enter = enter
        self.grace_seconds = grace_seconds
        self.phase = Phase.RUNNING
        self.since = 0.0
        self.begun = 0.0

    @property
    def draining(self) -> bool:
        """Whether a stop has begun."""
        return self.phase is not Phase.RUNNING

    @property
    def refusing(self) -> bool:
        """Whether calls of peers are no longer taken."""
        return self.phase not in (Phase.RUNNING, Phase.NOTICE)

    def begin(self) -> None:
        """Begin to stop; later calls change nothing."""
        if not self.draining:
            emit(Event.DAEMON_DRAINING)
            self.begun = self.clock.monotonic()
            self._enter(Phase.NOTICE)
            self._poll()

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        self.since = self.clock.monotonic()
        self.enter(phase)

    def _poll(self) -> None:
        now = self.clock.monotonic()
        since = now - self.since
        left = self.remaining()
        phase = next_phase(self.phase, since, self.bound(), left)
        if now - self.begun >= self.grace_seconds:
            phase = Phase.STOPPED
        if phase is not self.phase:
            self._enter(phase)
        if phase is Phase.STOPPED:
            emit(Event.DAEMON_STOPPED, connections=left.connections)
        else:
            self.reactor.callLater(POLL_SECONDS, self._poll)


__all__ = ["Phase", "Remaining", "Shutdown", "next_phase"]
