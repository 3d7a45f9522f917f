"""Interface of timers, which the reactor's ``callLater`` implements."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Callable


class Timer(Protocol):
    """A pending timer."""

    def cancel(self) -> None:
        """Cancel the timer."""


class CallLater(Protocol):
    """Function that schedules a callback."""

    def __call__(self, delay: float, function: Callable[[], None], /) -> Timer:
        """Call ``function`` after ``delay`` seconds, unless cancelled."""


__all__ = ["CallLater", "Timer"]
