"""Record of the faults of a trial, which the invariants are checked against."""

from __future__ import annotations

import time
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterator


ALL_DAEMONS = ""
# Requests in flight when a fault ends may still fail so much later.
SETTLE_SECONDS = 2.0


@dataclass
class FaultLog:
    """The faults of a trial, with times in seconds of the monotonic clock.

    A daemon is identified by its address for callers. ``graceful_stops`` holds daemon,
    start, end and exit status; ``kills`` daemon and time. ``disturbances`` holds a
    daemon, or ``ALL_DAEMONS``, with the start and end of a period in which callers'
    connections may have ended for reasons outside the daemon. ``unconnected_ports``
    holds, by daemon, the ports of callers whose connections never reached it.
    """

    action_descriptions: list[str] = field(default_factory=list)
    failed_actions: list[str] = field(default_factory=list)
    graceful_stops: list[tuple[str, float, float, int]] = field(default_factory=list)
    kills: list[tuple[str, float]] = field(default_factory=list)
    disturbances: list[tuple[str, float, float]] = field(default_factory=list)
    unconnected_ports: dict[str, frozenset[int]] = field(default_factory=dict)
    race_exit_statuses: list[tuple[int, ...]] = field(default_factory=list)
    invalid_change_exit_statuses: list[int] = field(default_factory=list)

    @contextmanager
    def record_disturbance(self, daemon: str) -> Iterator[None]:
        """Record the block's duration as a period of disturbed connections."""
        started_at = time.monotonic()
        try:
            yield
        finally:
            ended_at = time.monotonic() + SETTLE_SECONDS
            self.disturbances.append((daemon, started_at, ended_at))

    def was_disturbed(self, daemon: str, started_at: float, ended_at: float) -> bool:
        """Return whether connections to a daemon were disturbed during a period."""
        return any(
            affected in (daemon, ALL_DAEMONS)
            and started_at <= until
            and ended_at >= since
            for affected, since, until in self.disturbances
        )


__all__ = ["ALL_DAEMONS", "FaultLog"]
