"""Size limits and timeouts of caller connections."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarslip.version.record_schema import MAX_BODY_BYTES


if TYPE_CHECKING:
    from briarslip.version.record import Limits


DEFAULT_RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of one caller's connection.

    ``head_bytes`` and ``body_bytes`` are the largest sizes of a request.
    ``read_timeout_seconds`` is how long a transfer may make no progress while a
    request is read. ``idle_timeout_seconds`` is how long a connection is kept between
    two requests, and while the caller reads nothing of its response. ``are_known`` is
    whether the sizes are the operators'; others only protect the daemon, so a larger
    request may be proper.
    """

    head_bytes: int = 32 << 10
    body_bytes: int = 8 << 20
    read_timeout_seconds: float = 30.0
    idle_timeout_seconds: float = 75.0
    are_known: bool = True

    @classmethod
    def from_record(cls, record: Limits) -> CallerLimits:
        """Return the limits from the operators' record."""
        return cls(
            head_bytes=record.head_bytes,
            body_bytes=record.body_bytes,
            read_timeout_seconds=record.read.total_seconds(),
            idle_timeout_seconds=record.idle.total_seconds(),
        )


DEFAULT_LIMITS = CallerLimits()
# Generous, so that most requests are read. The limit on all buffers of the process
# holds besides.
UNKNOWN_LIMITS = CallerLimits(
    head_bytes=256 << 10, body_bytes=MAX_BODY_BYTES, are_known=False
)


def default_retry_after_seconds(seconds: float | None) -> float:
    """Return the estimate in seconds, or a default if there is none."""
    return DEFAULT_RETRY_AFTER_SECONDS if seconds is None else seconds


__all__ = [
    "DEFAULT_LIMITS",
    "UNKNOWN_LIMITS",
    "CallerLimits",
    "default_retry_after_seconds",
]
