"""When to send a heartbeat on a peer link, and when to replace or close it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


CHECK_INTERVAL_SECONDS = 0.125
PING_AFTER_SECONDS = 0.25
# Load pattern: calls that take longer than ``PING_AFTER_SECONDS`` as a rule. A
# heartbeat for each of them costs both ends a quarter of the call itself.
MAX_PING_AFTER_SECONDS = 0.6
PING_AFTER_SERVICE_TIMES = 1.5
HEARTBEAT_TIMEOUT_SECONDS = 0.75
# New calls prefer other peers while a heartbeat has been unanswered this long.
SILENT_AFTER_SECONDS = 0.2
# Longest time from a call on a silent link until the link is replaced.
MAX_DETECTION_SECONDS = (
    PING_AFTER_SECONDS + HEARTBEAT_TIMEOUT_SECONDS + 2 * CHECK_INTERVAL_SECONDS
)
# A link that received nothing for longer must reply to a heartbeat before a call.
VERIFY_AFTER_SECONDS = 5.0
IDLE_TIMEOUT_SECONDS = 60.0


class LinkAction(Enum):
    """The action due on a link."""

    NOTHING = "nothing"
    PING = "ping"
    REPLACE = "replace"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class LinkActivity:
    """The state of a link, with times of the monotonic clock in seconds.

    ``received_at`` is when bytes last arrived, ``used_at`` when a call was last
    sent while no other was pending. ``pinged_at`` is when the unanswered
    heartbeat was sent, None if there is none. A heartbeat is sent after
    ``ping_after_seconds`` without bytes.
    """

    received_at: float
    used_at: float
    pinged_at: float | None
    has_pending_calls: bool
    ping_after_seconds: float = PING_AFTER_SECONDS


def ping_delay(service_seconds: float) -> float:
    """Return the seconds without bytes after which a heartbeat is sent.

    ``service_seconds`` is the mean service time that the peer's last response told.
    """
    delay_seconds = PING_AFTER_SERVICE_TIMES * service_seconds
    return min(MAX_PING_AFTER_SECONDS, max(PING_AFTER_SECONDS, delay_seconds))


def is_silent(activity: LinkActivity, now: float) -> bool:
    """Return whether a heartbeat is unanswered, so that calls prefer other peers."""
    pinged_at = activity.pinged_at
    return pinged_at is not None and now - pinged_at >= SILENT_AFTER_SECONDS


def next_action(activity: LinkActivity, now: float) -> LinkAction:
    """Return the action due on a link at ``now``."""
    if activity.pinged_at is not None:
        is_overdue = now - activity.pinged_at >= HEARTBEAT_TIMEOUT_SECONDS
        return LinkAction.REPLACE if is_overdue else LinkAction.NOTHING
    if activity.has_pending_calls:
        quiet_seconds = now - max(activity.received_at, activity.used_at)
        return (
            LinkAction.PING
            if quiet_seconds >= activity.ping_after_seconds
            else LinkAction.NOTHING
        )
    idle_seconds = now - max(activity.received_at, activity.used_at)
    return (
        LinkAction.CLOSE if idle_seconds >= IDLE_TIMEOUT_SECONDS else LinkAction.NOTHING
    )


__all__ = [
    "CHECK_INTERVAL_SECONDS",
    "IDLE_TIMEOUT_SECONDS",
    "MAX_DETECTION_SECONDS",
    "PING_AFTER_SECONDS",
    "VERIFY_AFTER_SECONDS",
    "LinkAction",
    "LinkActivity",
    "is_silent",
    "next_action",
    "ping_delay",
]
