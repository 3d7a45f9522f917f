"""Back-off between retries."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random


def full_jitter(rng: random.Random, attempt: int, base: float, cap: float) -> float:
    """Return the seconds before retry ``attempt``, counted from 0.

    The wait is drawn evenly from zero to an exponentially growing limit.
    """
    return rng.uniform(0, min(cap, base * 2.0 ** min(attempt, 32)))


__all__ = ["full_jitter"]
