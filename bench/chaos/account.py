"""What the faults of a trial did, for the invariants to be checked against."""

from __future__ import annotations

import time
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterator


EVERY_DAEMON = ""
# What was on its way when a fault ended may still come to its end so much later.
SETTLE_SECONDS = 2.0


@dataclass
class Account:
    """The faults with their times, in seconds of the monotonic clock.

    ``disturbed`` holds when connections of the callers of a daemon, or of all,
    may have ended through no doing of the daemon's, ``refused`` the ports of
    callers whose connections never reached it.
    """

    lines: list[str] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)
    planned_stops: list[tuple[str, float, float, int]] = field(default_factory=list)
    killed: list[tuple[str, float]] = field(default_factory=list)
    disturbed: list[tuple[str, float, float]] = field(default_factory=list)
    refused: dict[str, frozenset[int]] = field(default_factory=dict)
    race_codes: list[tuple[int, ...]] = field(default_factory=list)
    bad_codes: list[int] = field(default_factory=list)

    @contextmanager
    def disturbance(self, daemon: str) -> Iterator[None]:
        """Note a time in which connections may end for another reason."""
        began = time.monotonic()
        try:
            yield
        finally:
            until = time.monotonic() + SETTLE_SECONDS
            self.disturbed.append((daemon, began, until))

    def is_disturbed(self, daemon: str, began: float, ended: float) -> bool:
        """Tell whether connections to a daemon were disturbed in a time."""
        return any(
            where in (daemon, EVERY_DAEMON) and began <= until and ended >= since
            for where, since, until in self.disturbed
        )


__all__ = ["EVERY_DAEMON", "Account"]
