"""When a peer link is probed, given up or closed for want of use."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


CHECK_SECONDS = 0.125
PING_AFTER_SECONDS = 0.25
STALLED_AFTER_SECONDS = 0.75
# A heartbeat without answer for so long keeps new calls off the link.
SILENT_AFTER_SECONDS = 0.2
# From the call that meets a silent link to its replacement.
MAX_SILENCE_SECONDS = PING_AFTER_SECONDS + STALLED_AFTER_SECONDS + 2 * CHECK_SECONDS
# A link this quiet is probed before a call is trusted to it.
QUIET_SECONDS = 5.0
UNUSED_SECONDS = 60.0


class Step(Enum):
    """What to do about a link now."""

    NOTHING = "nothing"
    PING = "ping"
    REPLACE = "replace"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class Activity:
    """What is known of a link, in readings of the monotonic clock.

    ``pinged_at`` is None unless a heartbeat waits for its answer.
    """

    received_at: float
    used_at: float
    pinged_at: float | None
    awaiting: bool


def is_silent(activity: Activity, now: float) -> bool:
    """Tell whether new calls should go elsewhere, if they can."""
    pinged_at = activity.pinged_at
    return pinged_at is not None and now - pinged_at >= SILENT_AFTER_SECONDS


def next_step(activity: Activity, now: float) -> Step:
    """Return what is due for a link at ``now``."""
    if activity.pinged_at is not None:
        overdue = now - activity.pinged_at >= STALLED_AFTER_SECONDS
        return Step.REPLACE if overdue else Step.NOTHING
    if activity.awaiting:
        quiet = now - max(activity.received_at, activity.used_at)
        return Step.PING if quiet >= PING_AFTER_SECONDS else Step.NOTHING
    unused = now - max(activity.received_at, activity.used_at)
    return Step.CLOSE if unused >= UNUSED_SECONDS else Step.NOTHING


__all__ = [
    "CHECK_SECONDS",
    "MAX_SILENCE_SECONDS",
    "QUIET_SECONDS",
    "Activity",
    "Step",
    "is_silent",
    "next_step",
]
