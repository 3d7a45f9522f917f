"""Exponential backoff with jitter between retries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random


INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 5.0


def full_jitter(
    rng: random.Random, attempt: int, base_seconds: float, cap_seconds: float
) -> float:
    """Return the delay in seconds before retry ``attempt``, counted from 0.

    The delay is uniformly distributed between zero and a limit that doubles with
    each attempt up to ``cap_seconds`` (full jitter).
    """
    return rng.uniform(0, min(cap_seconds, base_seconds * 2.0 ** min(attempt, 32)))


@dataclass(frozen=True, slots=True)
class Backoff:
    """Backoff state after consecutive failures.

    ``retry_at`` is a time of the monotonic clock in seconds.
    """

    failures: int
    retry_at: float


def next_backoff(previous: Backoff | None, now: float, rng: random.Random) -> Backoff:
    """Return the backoff after one more failed connection attempt."""
    failures = 1 if previous is None else previous.failures + 1
    delay_seconds = full_jitter(
        rng, failures - 1, INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS
    )
    return Backoff(failures, now + delay_seconds)


__all__ = [
    "INITIAL_BACKOFF_SECONDS",
    "MAX_BACKOFF_SECONDS",
    "Backoff",
    "full_jitter",
    "next_backoff",
]
