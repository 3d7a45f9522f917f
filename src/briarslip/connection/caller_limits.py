"""Bounds on what a caller may send on its connection, and how slowly."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.version.record import Limits


DEFAULT_RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds of one caller's connection.

    ``head_bytes`` and ``body_bytes`` bound a request. ``read_timeout_seconds`` is how
    long a request may stand still while it is read, ``idle_timeout_seconds`` how long
    a connection is kept between two requests.
    """

    head_bytes: int = 32 << 10
    body_bytes: int = 8 << 20
    read_timeout_seconds: float = 30.0
    idle_timeout_seconds: float = 75.0

    @classmethod
    def from_record(cls, record: Limits) -> CallerLimits:
        """Return the limits that the operators set."""
        return cls(
            head_bytes=record.head_bytes,
            body_bytes=record.body_bytes,
            read_timeout_seconds=record.read.total_seconds(),
            idle_timeout_seconds=record.idle.total_seconds(),
        )


DEFAULT_LIMITS = CallerLimits()


def default_retry_after(seconds: float | None) -> float:
    """Return when a caller should come back, given when there may be room."""
    return DEFAULT_RETRY_AFTER_SECONDS if seconds is None else seconds


__all__ = ["DEFAULT_LIMITS", "CallerLimits", "default_retry_after"]
