"""When a daemon reads the store itself, by what the relays of its zone say."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from briarslip.process.distribution.watch_duty import RELAY_SILENCE_SECONDS
from briarslip.process.distribution.watch_duty import WatchDuty


if TYPE_CHECKING:
    from briarslip.process.clock import Clock
    from briarslip.process.distribution.source import ConfigurationSource


TIMER_MARGIN_SECONDS = 0.01


class SourceActivation:
    """Keeps a configuration source active while this daemon must watch the store."""

    def __init__(self, reactor: Any, clock: Clock, source: ConfigurationSource) -> None:
        self.reactor = reactor
        self.clock = clock
        self.source = source
        self.duty = WatchDuty()
        self.is_relay = False
        self.zone_members = 0
        self.timer: Any = None

    def update(self, is_relay: bool, zone_members: int) -> None:
        """Start or stop watching, for this role and size of the zone."""
        self.is_relay = is_relay
        self.zone_members = zone_members
        self._apply()

    def record_relay(self) -> None:
        """Rely on the relays of this zone while they are heard."""
        self.duty.record_relay(self.clock.monotonic())
        if self.timer is None:
            self._schedule_check(RELAY_SILENCE_SECONDS)

    def _apply(self) -> None:
        now = self.clock.monotonic()
        self.source.set_active(
            self.duty.must_watch(self.is_relay, self.zone_members, now)
        )

    def _schedule_check(self, seconds: float) -> None:
        self.timer = self.reactor.callLater(seconds, self._check_silence)

    def _check_silence(self) -> None:
        """Watch the store at once if the relays have become silent."""
        self.timer = None
        now = self.clock.monotonic()
        if self.duty.is_silent(now):
            self._apply()
        else:
            silent_at = self.duty.heard_at + RELAY_SILENCE_SECONDS
            self._schedule_check(silent_at - now + TIMER_MARGIN_SECONDS)


__all__ = ["SourceActivation"]
