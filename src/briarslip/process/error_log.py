"""Logging of unexpected errors, which end neither the process nor its timers."""

from __future__ import annotations

import traceback
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from twisted.logger import globalLogBeginner

from briarslip.process.events import Event
from briarslip.process.events import emit


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from types import TracebackType

    from twisted.logger import LogEvent
    from twisted.python.failure import Failure


PACKAGE_ROOT = Path(__file__).parents[1]
MAX_PLACES = 3


def log_reactor_errors() -> None:
    """Log the errors that the reactor catches in handlers and timers."""
    globalLogBeginner.beginLoggingTo([_observe], redirectStandardIO=False)


def record_error(error: BaseException) -> None:
    """Log an unexpected error with its place in this package."""
    _record(error, error.__traceback__)


def record_failure(failure: Failure) -> None:
    """Log the unexpected error of a Deferred."""
    _record(failure.value, failure.getTracebackObject())


def run_each(callbacks: Iterable[Callable[..., object]], *arguments: Any) -> None:
    """Call each function; an error in one is logged and does not prevent the others."""
    for callback in callbacks:
        try:
            callback(*arguments)
        except Exception as error:
            record_error(error)


def _observe(event: LogEvent) -> None:
    failure = event.get("log_failure")
    if failure is not None:
        record_failure(failure)


def _record(error: BaseException, trace: TracebackType | None) -> None:
    emit(
        Event.UNEXPECTED_ERROR,
        error=f"{type(error).__name__}: {error}",
        place=" < ".join(_places(trace)) or "unknown",
    )


def _places(trace: TracebackType | None) -> list[str]:
    """Return the innermost places in this package, the last one first."""
    places = [
        f"{_module_path(frame.filename)}:{frame.lineno} {frame.name}"
        for frame in traceback.extract_tb(trace)
        if Path(frame.filename).is_relative_to(PACKAGE_ROOT)
    ]
    return places[: -MAX_PLACES - 1 : -1]


def _module_path(filename: str) -> str:
    return str(Path(filename).relative_to(PACKAGE_ROOT))


__all__ = ["log_reactor_errors", "record_error", "record_failure", "run_each"]
