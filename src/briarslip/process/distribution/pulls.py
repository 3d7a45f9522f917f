"""Pulls of newer configuration versions from peers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.version.configuration_codec import Pull
from briarslip.version.puller import Puller
from briarslip.version.puller import next_wakeup
from briarslip.version.puller import record_busy
from briarslip.version.puller import record_failure
from briarslip.version.puller import record_reply
from briarslip.version.puller import record_source
from briarslip.version.puller import start_pull


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from briarslip.address import Address
    from briarslip.process.clock import Clock
    from briarslip.version.distribution import DistributionState


# A timer may fire a little early.
MIN_TIMER_SECONDS = 0.001


class Pulls:
    """Sends one pull at a time and schedules the next one.

    ``state`` holds the version that this daemon runs; ``send`` sends a pull to a peer.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        rng: random.Random,
        state: DistributionState,
        send: Callable[[Address, Pull], None],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.state = state
        self.send = send
        self.puller = Puller()
        self.timer: Any = None

    def record_source(
        self, peer: Address, version: int, grace_seconds: float = 0.0
    ) -> None:
        """Record that a peer has a newer version; pull it after ``grace_seconds``."""
        now = self.clock.monotonic()
        record_source(self.puller, peer, version, now, self.rng, grace_seconds)
        self.pull()

    def record_reply(self, peer: Address) -> None:
        """Record that a version of a peer has been received."""
        record_reply(self.puller, peer, self.state.newest_version)
        self.pull()

    def record_unusable_reply(self, peer: Address) -> None:
        """Record that a version of a peer could not be decoded or applied."""
        if self.puller.pulled_peer == peer:
            record_failure(self.puller, self.clock.monotonic(), self.rng)
            # The peer would answer the same version with the same deltas again.
            self.puller.needs_full_snapshot = True

    def record_busy(self, peer: Address, retry_after_seconds: float) -> None:
        """Record that a peer serves no pulls for a while."""
        now = self.clock.monotonic()
        record_busy(self.puller, peer, retry_after_seconds, now, self.rng)
        self.pull()

    def pull(self) -> None:
        """Pull from the next peer if that is due, and schedule the next check."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        now = self.clock.monotonic()
        self.puller.drop_outdated_sources(self.state.newest_version)
        source = self._start_pull(now)
        if source is not None:
            version = self.state.snapshot.version
            self.send(source, Pull(0 if self.puller.needs_full_snapshot else version))
        wakeup_at = next_wakeup(self.puller)
        if wakeup_at is not None:
            delay = max(wakeup_at - now, MIN_TIMER_SECONDS)
            self.timer = self.reactor.callLater(delay, self._timer_expired)

    def _start_pull(self, now: float) -> Address | None:
        asked = self.puller.pulled_peer
        source = start_pull(self.puller, now, self.rng)
        if asked is not None and self.puller.pulled_peer != asked:
            emit(Event.PULL_UNANSWERED, peer=asked)
        return source

    def _timer_expired(self) -> None:
        self.timer = None
        self.pull()


__all__ = ["Pulls"]
