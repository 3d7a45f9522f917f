"""The time after which a rejected caller may retry."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random


# Used where no estimate of the waiting time is available.
DEFAULT_SECONDS = 0.2
MIN_SECONDS = 0.05
MAX_SECONDS = 2.0
MIN_JITTER_FACTOR = 0.75
MAX_JITTER_FACTOR = 1.5


def retry_after_seconds(rng: random.Random, estimate_seconds: float | None) -> float:
    """Return the seconds after which a rejected caller may retry.

    ``estimate_seconds`` is None if there is none. The result is jittered, so that
    callers rejected together do not retry together.
    """
    seconds = DEFAULT_SECONDS if estimate_seconds is None else estimate_seconds
    seconds = min(max(seconds, MIN_SECONDS), MAX_SECONDS)
    return seconds * rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)


__all__ = ["retry_after_seconds"]
