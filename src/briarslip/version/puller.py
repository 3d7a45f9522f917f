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
INITIAL_JITTER_SECONDS = 0.5
ANSWER_TIMEOUT_SECONDS = 1.5
RETRY_BASE_SECONDS = 0.25
RETRY_CAP_SECONDS = 4.0


@dataclass(slots=True)
class Puller:
    """Peers known to be ahead, and the pull that is under way.

    Times are those of a monotonic clock. At most one pull is under way.
    """

    sources: dict[Address, int] = field(default_factory=dict)
    pulled_peer: Address | None = None
    answer_deadline: float = 0.0
    next_pull_at: float = 0.0
    failures: int = 0

    def drop_outdated_sources(self, running: int) -> None:
        """Forget peers that are not ahead of ``running``."""
        ahead = {p: v for p, v in self.sources.items() if v > running}
        self.sources = ahead


def record_source(
    puller: Puller,
    peer: Address,
    version: int,
    now: float,
    rng: random.Random,
    grace_seconds: float = 0.0,
) -> None:
    """Take note of a peer that is ahead.

    ``grace_seconds`` is for how many seconds the version may still come another way.
    """
    if not puller.sources and puller.pulled_peer is None:
        delay = grace_seconds + rng.uniform(0, INITIAL_JITTER_SECONDS)
        puller.next_pull_at = max(puller.next_pull_at, now + delay)
    puller.sources[peer] = max(version, puller.sources.get(peer, 0))


def next_wakeup(puller: Puller) -> float | None:
    """Return when ``start_pull`` is to be asked again, None for never."""
    if puller.pulled_peer is not None:
        return puller.answer_deadline
    return puller.next_pull_at if puller.sources else None


def start_pull(puller: Puller, now: float, rng: random.Random) -> Address | None:
    """Return the peer to pull from now, if any, and note that it is asked.

    A peer that has not answered in time is left out until heard of again.
    """
    if puller.pulled_peer is not None:
        if now < puller.answer_deadline:
            return None
        record_failure(puller, now, rng)
    if not puller.sources or now < puller.next_pull_at:
        return None
    newest = max(puller.sources.values())
    choices = sorted(peer for peer, v in puller.sources.items() if v == newest)
    puller.pulled_peer = rng.choice(choices)
    puller.answer_deadline = now + ANSWER_TIMEOUT_SECONDS
    return puller.pulled_peer


def record_answer(puller: Puller, peer: Address, running: int) -> None:
    """Note that a peer's answer led to version ``running``."""
    puller.drop_outdated_sources(running)
    if puller.pulled_peer == peer or not puller.sources:
        puller.pulled_peer = None
        puller.failures = 0


def record_failure(puller: Puller, now: float, rng: random.Random) -> None:
    """Give the pull under way up and wait before the next one."""
    if puller.pulled_peer is not None:
        puller.sources.pop(puller.pulled_peer, None)
    puller.pulled_peer = None
    delay = full_jitter(rng, puller.failures, RETRY_BASE_SECONDS, RETRY_CAP_SECONDS)
    puller.next_pull_at = now + delay
    puller.failures += 1


def record_busy(
    puller: Puller, peer: Address, retry_after: float, now: float, rng: random.Random
) -> None:
    """Take note that a peer is busy for ``retry_after`` seconds."""
    if puller.pulled_peer != peer:
        return
    puller.pulled_peer = None
    if len(puller.sources) > 1:
        # A version that came meanwhile may have dropped the peer already.
        puller.sources.pop(peer, None)
    puller.next_pull_at = now + retry_after * rng.uniform(0.5, 1.5)


__all__ = [
    "Puller",
    "next_wakeup",
    "record_answer",
    "record_busy",
    "record_failure",
    "record_source",
    "start_pull",
]
