"""When a peer link is probed, given up or closed for want of use."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


CHECK_INTERVAL_SECONDS = 0.125
PING_AFTER_SECONDS = 0.25
HEARTBEAT_TIMEOUT_SECONDS = 0.75
# A heartbeat without answer for so long keeps new calls off the link.
SILENT_AFTER_SECONDS = 0.2
# From the call that meets a silent link to its replacement.
MAX_DETECTION_SECONDS = (
    PING_AFTER_SECONDS + HEARTBEAT_TIMEOUT_SECONDS + 2 * CHECK_INTERVAL_SECONDS
)
# A link this quiet is probed before a call is trusted to it.
VERIFY_AFTER_SECONDS = 5.0
IDLE_TIMEOUT_SECONDS = 60.0


class LinkAction(Enum):
    """What to do about a link now."""

    NOTHING = "nothing"
    PING = "ping"
    REPLACE = "replace"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class LinkActivity:
    """What is known of a link, in readings of the monotonic clock.

    ``pinged_at`` is None unless a heartbeat waits for its answer.
    """

    received_at: float
    used_at: float
    pinged_at: float | None
    has_pending_calls: bool


def is_silent(activity: LinkActivity, now: float) -> bool:
    """Tell whether new calls should go elsewhere, if they can."""
    pinged_at = activity.pinged_at
    return pinged_at is not None and now - pinged_at >= SILENT_AFTER_SECONDS


def next_action(activity: LinkActivity, now: float) -> LinkAction:
    """Return what is due for a link at ``now``."""
    if activity.pinged_at is not None:
        is_overdue = now - activity.pinged_at >= HEARTBEAT_TIMEOUT_SECONDS
        return LinkAction.REPLACE if is_overdue else LinkAction.NOTHING
    if activity.has_pending_calls:
        quiet_seconds = now - max(activity.received_at, activity.used_at)
        return (
            LinkAction.PING
            if quiet_seconds >= PING_AFTER_SECONDS
            else LinkAction.NOTHING
        )
    idle_seconds = now - max(activity.received_at, activity.used_at)
    return (
        LinkAction.CLOSE if idle_seconds >= IDLE_TIMEOUT_SECONDS else LinkAction.NOTHING
    )


__all__ = [
    "CHECK_INTERVAL_SECONDS",
    "MAX_DETECTION_SECONDS",
    "VERIFY_AFTER_SECONDS",
    "LinkAction",
    "LinkActivity",
    "is_silent",
    "next_action",
]
