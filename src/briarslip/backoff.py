"""Back-off between retries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random


INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 5.0


def full_jitter(rng: random.Random, attempt: int, base: float, cap: float) -> float:
    """Return the seconds before retry ``attempt``, counted from 0.

    The wait is drawn evenly from zero to an exponentially growing limit.
    """
    return rng.uniform(0, min(cap, base * 2.0 ** min(attempt, 32)))


@dataclass(frozen=True, slots=True)
class Backoff:
    """Failures in a row, and when the next try is due on the monotonic clock."""

    failures: int
    retry_at: float


def next_backoff(last: Backoff | None, now: float, rng: random.Random) -> Backoff:
    """Return the pause after one more failed connect."""
    failures = 1 if last is None else last.failures + 1
    wait = full_jitter(rng, failures - 1, INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
    return Backoff(failures, now + wait)


__all__ = [
    "INITIAL_BACKOFF_SECONDS",
    "MAX_BACKOFF_SECONDS",
    "Backoff",
    "full_jitter",
    "next_backoff",
]
