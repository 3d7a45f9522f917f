"""Selection of the peer to pull a newer version from, with delays and retries."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarslip.backoff import full_jitter


if TYPE_CHECKING:
    import random

    from briarslip.address import Address


# Longest random delay of a first pull. It leaves time for the push along the tree,
# by which a version usually arrives.
INITIAL_JITTER_SECONDS = 0.5
# Short, since a peer that is paused, killed or cut off doesn't answer and another one
# can. A reply that comes later is applied as well.
REPLY_TIMEOUT_SECONDS = 0.5
RETRY_BASE_SECONDS = 0.25
RETRY_CAP_SECONDS = 4.0


@dataclass(slots=True)
class Puller:
    """The peers with a newer version, and the pull in progress.

    ``sources`` maps each peer to its version. ``pulled_peer`` is the peer of the
    pull in progress, of which there is at most one. ``failures`` counts failed
    pulls in a row. ``needs_full_snapshot`` is whether deltas that were pulled could
    not be applied: for the peer, the number of the running version has other contents.
    Times are seconds of a monotonic clock.
    """

    sources: dict[Address, int] = field(default_factory=dict)
    pulled_peer: Address | None = None
    reply_deadline: float = 0.0
    next_pull_at: float = 0.0
    failures: int = 0
    needs_full_snapshot: bool = False

    def drop_outdated_sources(self, own_version: int) -> None:
        """Remove peers whose version is not newer than ``own_version``."""
        newer_sources = {p: v for p, v in self.sources.items() if v > own_version}
        self.sources = newer_sources


def record_source(
    puller: Puller,
    peer: Address,
    version: int,
    now: float,
    rng: random.Random,
    grace_seconds: float = 0.0,
) -> None:
    """Record a peer that has a newer version.

    ``grace_seconds`` is an additional delay of the first pull, in which the version
    may still arrive from another source.
    """
    if not puller.sources and puller.pulled_peer is None:
        delay_seconds = grace_seconds + rng.uniform(0, INITIAL_JITTER_SECONDS)
        puller.next_pull_at = max(puller.next_pull_at, now + delay_seconds)
    puller.sources[peer] = max(version, puller.sources.get(peer, 0))


def next_wakeup(puller: Puller) -> float | None:
    """Return the time of the next call of ``start_pull``, or None if none is due."""
    if puller.pulled_peer is not None:
        return puller.reply_deadline
    return puller.next_pull_at if puller.sources else None


def start_pull(puller: Puller, now: float, rng: random.Random) -> Address | None:
    """Choose a peer with the newest version to pull from now, or return None.

    A peer that has not replied in time is removed from the sources until it is
    recorded again.
    """
    if puller.pulled_peer is not None:
        if now < puller.reply_deadline:
            return None
        _record_timeout(puller, now, rng)
    if not puller.sources or now < puller.next_pull_at:
        return None
    newest_version = max(puller.sources.values())
    candidates = sorted(
        peer for peer, v in puller.sources.items() if v == newest_version
    )
    puller.pulled_peer = rng.choice(candidates)
    puller.reply_deadline = now + REPLY_TIMEOUT_SECONDS
    return puller.pulled_peer


def record_reply(puller: Puller, peer: Address, own_version: int) -> None:
    """Record a peer's reply, after which this daemon has ``own_version``."""
    puller.drop_outdated_sources(own_version)
    if puller.pulled_peer == peer or not puller.sources:
        puller.pulled_peer = None
        puller.failures = 0
        puller.needs_full_snapshot = False


def record_failure(puller: Puller, now: float, rng: random.Random) -> None:
    """End the pull in progress as failed, and delay the next one by a back-off."""
    if puller.pulled_peer is not None:
        puller.sources.pop(puller.pulled_peer, None)
    puller.pulled_peer = None
    delay_seconds = full_jitter(
        rng, puller.failures, RETRY_BASE_SECONDS, RETRY_CAP_SECONDS
    )
    puller.next_pull_at = now + delay_seconds
    puller.failures += 1


def _record_timeout(puller: Puller, now: float, rng: random.Random) -> None:
    """End the pull in progress; another source can be pulled from at once."""
    record_failure(puller, now, rng)
    if puller.sources:
        puller.next_pull_at = now


def record_busy(
    puller: Puller,
    peer: Address,
    retry_after_seconds: float,
    now: float,
    rng: random.Random,
) -> None:
    """Record that a peer serves no pulls for ``retry_after_seconds``.

    Another source is pulled from at once; the only one is asked again later.
    """
    if puller.pulled_peer != peer:
        return
    puller.pulled_peer = None
    other_sources = {p: v for p, v in puller.sources.items() if p != peer}
    if other_sources:
        puller.sources = other_sources
        puller.next_pull_at = now
        return
    puller.next_pull_at = now + retry_after_seconds * rng.uniform(0.5, 1.5)


__all__ = [
    "Puller",
    "next_wakeup",
    "record_busy",
    "record_failure",
    "record_reply",
    "record_source",
    "start_pull",
]
