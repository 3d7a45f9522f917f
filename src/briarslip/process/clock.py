"""Clock interface, passed in wherever code depends on the time."""

from __future__ import annotations

import time
from datetime import UTC
from datetime import datetime
from typing import Protocol


class Clock(Protocol):
    """Source of wall time and of monotonic time."""

    def now(self) -> datetime:
        """Return the wall time as an aware UTC datetime."""

    def monotonic(self) -> float:
        """Return monotonic seconds from an arbitrary origin."""


class SystemClock:
    """The clock of the operating system."""

    def now(self) -> datetime:
        """Return the wall time as an aware UTC datetime."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return the seconds of the system's monotonic clock."""
        return time.monotonic()


def boot_seconds() -> float:
    """Return the seconds of a clock that also runs while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


__all__ = ["Clock", "SystemClock", "boot_seconds"]
