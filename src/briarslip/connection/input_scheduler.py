"""Scheduling of received data whose processing takes several reactor turns."""

from __future__ import annotations

from functools import partial
from itertools import count
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.task import Cooperator

from briarslip.process.error_log import record_failure


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from twisted.python.failure import Failure as TwistedFailure


# Steps of all connections together in one turn of the reactor.
MAX_STEPS_PER_TURN = 16


class InputScheduler:
    """Takes turns with the received data of several connections.

    Load pattern: some connections send data that is costly to process, such as bodies
    in chunks of one byte, faster than the daemon can process it. The requests of all
    other connections must be served meanwhile. However many such connections there are,
    a reactor turn has ``MAX_STEPS_PER_TURN`` steps for them, which go round.
    """

    def __init__(self, reactor: Any) -> None:
        self.cooperator = Cooperator(_step_limit, partial(reactor.callLater, 0.0))

    def continue_later(
        self, step: Callable[[], bool], on_error: Callable[[], None]
    ) -> None:
        """Call ``step`` in later turns until it returns False.

        ``on_error`` is called after an unexpected error, which is logged.
        """

        def fail(reason: TwistedFailure) -> None:
            record_failure(reason)
            on_error()

        self.cooperator.coiterate(_steps(step)).addErrback(fail)


def _steps(step: Callable[[], bool]) -> Iterator[None]:
    while step():
        yield


def _step_limit() -> Callable[[], bool]:
    """Return a function that returns whether it was called often enough for a turn."""
    steps = count(1)
    return lambda: next(steps) >= MAX_STEPS_PER_TURN


__all__ = ["MAX_STEPS_PER_TURN", "InputScheduler"]
