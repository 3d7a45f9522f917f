"""Timers as an interface, of which the reactor's ``callLater`` is one."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Callable


class Timer(Protocol):
    """A timer that has not run yet."""

    def cancel(self) -> None:
        """Stop the timer."""


class CallLater(Protocol):
    """Runs a function after some seconds."""

    def __call__(self, delay: float, function: Callable[[], None], /) -> Timer:
        """Set a timer."""


__all__ = ["CallLater", "Timer"]
