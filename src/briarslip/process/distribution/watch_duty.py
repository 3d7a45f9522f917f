"""Decision whether a daemon watches the store itself or relies on its zone's relays."""

from __future__ import annotations

import math


# A relay that is in touch with the store says so at this interval.
RELAY_HEARTBEAT_SECONDS = 0.5
# A daemon that hears from no relay for this long reads the store itself. This plus a
# read must be shorter than the time in which a change has to be in force (2 s).
RELAY_SILENCE_SECONDS = 1.2
# A daemon stops its own watch after it has heard from relays for this long.
RELAY_TRUST_SECONDS = 3.0
# In zones of up to this many daemons each of them watches the store.
MAX_WATCHING_ZONE_MEMBERS = 6


class WatchDuty:
    """What a daemon has heard from the relays of its zone.

    Load pattern: some hundred daemons with a watch each call the store hundreds of
    times for every change, and again for every poll that ends without one. Two relays
    in each zone suffice, but a change must also be in force in time if both are
    killed or paused just before it. Times are seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        self.heard_at = -math.inf
        self.heard_since = math.inf

    def record_relay(self, now: float) -> None:
        """Record that a relay in touch with the store was heard."""
        if self.is_silent(now):
            self.heard_since = now
        self.heard_at = now

    def is_silent(self, now: float) -> bool:
        """Return whether no relay has been heard for too long."""
        return now - self.heard_at > RELAY_SILENCE_SECONDS

    def must_watch(self, is_relay: bool, zone_members: int, now: float) -> bool:
        """Return whether this daemon watches the store itself."""
        return (
            is_relay
            or zone_members <= MAX_WATCHING_ZONE_MEMBERS
            or self.is_silent(now)
            or now - self.heard_since < RELAY_TRUST_SECONDS
        )


__all__ = [
    "MAX_WATCHING_ZONE_MEMBERS",
    "RELAY_HEARTBEAT_SECONDS",
    "RELAY_SILENCE_SECONDS",
    "RELAY_TRUST_SECONDS",
    "WatchDuty",
]
