"""When a daemon that is behind asks whom for the newer version."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarslip.backoff import full_jitter


if TYPE_CHECKING:
    import random

    from briarslip.address import Address


# Leaves time for the push along the tree, which is the usual way.
FIRST_DELAY_SECONDS = 0.5
ANSWER_SECONDS = 1.5
RETRY_BASE_SECONDS = 0.25
RETRY_CAP_SECONDS = 4.0


@dataclass(slots=True)
class Puller:
    """Peers known to be ahead, and the pull that is under way.

    Times are those of a monotonic clock. At most one pull is under way.
    """

    sources: dict[Address, int] = field(default_factory=dict)
    asked: Address | None = None
    answer_due: float = 0.0
    next_at: float = 0.0
    failures: int = 0

    def forget(self, running: int) -> None:
        """Forget peers that are not ahead of ``running``."""
        ahead = {p: v for p, v in self.sources.items() if v > running}
        self.sources = ahead


def hear(
    puller: Puller,
    peer: Address,
    version: int,
    now: float,
    rng: random.Random,
    patience: float = 0.0,
) -> None:
    """Take note of a peer that is ahead.

    ``patience`` is for how many seconds the version may still come another way.
    """
    if not puller.sources and puller.asked is None:
        delay = patience + rng.uniform(0, FIRST_DELAY_SECONDS)
        puller.next_at = max(puller.next_at, now + delay)
    puller.sources[peer] = max(version, puller.sources.get(peer, 0))


def wake_time(puller: Puller) -> float | None:
    """Return when ``next_source`` is to be asked again, None for never."""
    if puller.asked is not None:
        return puller.answer_due
    return puller.next_at if puller.sources else None


def next_source(puller: Puller, now: float, rng: random.Random) -> Address | None:
    """Return the peer to pull from now, if any, and note that it is asked.

    A peer that has not answered in time is left out until heard of again.
    """
    if puller.asked is not None:
        if now < puller.answer_due:
            return None
        failed(puller, now, rng)
    if not puller.sources or now < puller.next_at:
        return None
    newest = max(puller.sources.values())
    choices = sorted(peer for peer, v in puller.sources.items() if v == newest)
    puller.asked = rng.choice(choices)
    puller.answer_due = now + ANSWER_SECONDS
    return puller.asked


def answered(puller: Puller, peer: Address, running: int) -> None:
    """Note that a peer's answer led to version ``running``."""
    puller.forget(running)
    if puller.asked == peer or not puller.sources:
        puller.asked = None
        puller.failures = 0


def failed(puller: Puller, now: float, rng: random.Random) -> None:
    """Give the pull under way up and wait before the next one."""
    if puller.asked is not None:
        puller.sources.pop(puller.asked, None)
    puller.asked = None
    delay = full_jitter(rng, puller.failures, RETRY_BASE_SECONDS, RETRY_CAP_SECONDS)
    puller.next_at = now + delay
    puller.failures += 1


def refused(
    puller: Puller, peer: Address, retry_after: float, now: float, rng: random.Random
) -> None:
    """Take note that a peer is busy for ``retry_after`` seconds."""
    if puller.asked != peer:
        return
    puller.asked = None
    if len(puller.sources) > 1:
        # A version that came meanwhile may have dropped the peer already.
        puller.sources.pop(peer, None)
    puller.next_at = now + retry_after * rng.uniform(0.5, 1.5)


__all__ = [
    "Puller",
    "answered",
    "failed",
    "hear",
    "next_source",
    "refused",
    "wake_time",
]
