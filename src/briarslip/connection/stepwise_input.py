"""Processing of a connection's received data in steps of bounded work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.connection.reading import PauseReason


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.connection.input_scheduler import InputScheduler
    from briarslip.connection.reading import Reading


class StepwiseInput:
    """The received data of a connection: one step at once, others in later turns.

    ``step`` processes a bounded part of the data and returns whether more of it can
    follow at once. Until it returns False, nothing is read from the connection, so that
    the sender is slowed down.
    """

    def __init__(
        self, scheduler: InputScheduler, reading: Reading, step: Callable[[], bool]
    ) -> None:
        self.scheduler = scheduler
        self.reading = reading
        self.step = step
        self.is_waiting = False

    def process(self) -> None:
        """Make a step, unless earlier data waits for its turn."""
        if self.is_waiting or not self.step():
            return
        self.is_waiting = True
        self.reading.pause(PauseReason.BACKLOG)
        self.scheduler.continue_later(
            self._continue, self.reading.transport.abortConnection
        )

    def _continue(self) -> bool:
        if self.step():
            return True
        self.is_waiting = False
        self.reading.resume(PauseReason.BACKLOG)
        return False


__all__ = ["StepwiseInput"]
