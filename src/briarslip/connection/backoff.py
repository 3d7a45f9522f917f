"""Pace of reconnecting."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random


FIRST_SECONDS = 0.1
MAX_SECONDS = 5.0
MAX_DOUBLINGS = 10


@dataclass(frozen=True, slots=True)
class Backoff:
    """Failures in a row, and when the next try is due on the monotonic clock."""

    failures: int
    due: float


def after_failure(last: Backoff | None, now: float, rng: random.Random) -> Backoff:
    """Return the pause after one more failure: exponential with full jitter."""
    failures = 1 if last is None else last.failures + 1
    doublings = min(failures - 1, MAX_DOUBLINGS)
    limit = min(MAX_SECONDS, FIRST_SECONDS * 2**doublings)
    return Backoff(failures, now + rng.uniform(0, limit))


__all__ = ["MAX_SECONDS", "Backoff", "after_failure"]
