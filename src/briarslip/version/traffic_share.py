"""The traffic share of a rollout's version over time, and the servers that get it."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from briarslip.rendezvous import rank_by_hash
from briarslip.version.record import DEADLINE_NOT_AGREED


if TYPE_CHECKING:
    from collections.abc import Iterable
    from datetime import datetime

    from briarslip.address import Address
    from briarslip.version.record import Rollout


INITIAL_SHARE = 0.01
MIN_CONTROL_SHARE = 0.02
MAX_HELD_SHARE = 0.5
HOLD_WINDOW_FRACTION = 0.02
MIN_HOLD_SECONDS = 1.0
MAX_HOLD_SECONDS = 5.0
SUBSET_ROTATION_STEPS = 64
MIN_SPAN_SECONDS = 20.0
ROUNDING_TOLERANCE = 1e-9
SHORT_WINDOW = timedelta(minutes=1)
MAX_LOADED_SHARE = 0.25
# A single slow server may be a slow machine, so two of them get the load in turn.
LOADED_SERVERS = 2


@dataclass(frozen=True, slots=True)
class Schedule:
    """The stages of a rollout by its progress: 0 at its start, 1 at its deadline.

    The share is small up to ``loaded``, then as large as one new server needs for the
    load of an old one, and ramps up from ``ramp_start`` to ``ramp_end``. From
    ``full_share`` on all traffic goes to the new version.
    """

    small_share: float
    loaded: float
    ramp_start: float
    ramp_end: float
    full_share: float


LONG_SCHEDULE = Schedule(0.25, 0.5, 0.5, 0.85, 0.93)
# Load pattern: a version that is slow under load only, in a window of some seconds.
# Slow calls end too late to be counted while the share ramps up, so a server is loaded
# before, and the ramp comes late and is short.
SHORT_SCHEDULE = Schedule(0.2, 0.4, 0.75, 0.95, 0.97)


def schedule_of(rollout: Rollout) -> Schedule:
    """Return the stages of a rollout."""
    return SHORT_SCHEDULE if rollout.window < SHORT_WINDOW else LONG_SCHEDULE


def rollout_progress(rollout: Rollout, started: datetime, now: datetime) -> float:
    """Return a rollout's progress in time: 0 at its start, 1 at its deadline.

    ``started`` is when any daemon first saw the rollout together with servers of its
    version. A rollout that starts late uses the time left until its deadline, but at
    least ``MIN_SPAN_SECONDS`` or half of its window, whichever is shorter. Progress
    is negative before the window and while the deadline is not agreed on.
    """
    if rollout.deadline == DEADLINE_NOT_AGREED:
        return -1.0
    start = max(rollout.deadline - rollout.window, started)
    min_span = min(MIN_SPAN_SECONDS, rollout.window.total_seconds() / 2)
    span = max((rollout.deadline - start).total_seconds(), min_span)
    return (now - start).total_seconds() / span


def traffic_share(
    rollout: Rollout, progress: float, is_held: bool, old_servers: int = 0
) -> float:
    """Return the version's traffic share, from 0 to 1.

    The share is small at first and then ramps up; see ``Schedule``. The old version
    keeps ``MIN_CONTROL_SHARE`` for comparison until the share is full. While the
    rollout is held on suspicion, the share is at most ``MAX_HELD_SHARE``.
    ``old_servers`` is the number of servers of the other versions.
    """
    schedule = schedule_of(rollout)
    small_share = rollout.max_traffic_share
    loaded_share = max(
        small_share or INITIAL_SHARE,
        min(MAX_LOADED_SHARE, 1.0 / max(1, old_servers)) if old_servers else 0.0,
    )
    if progress < schedule.loaded:
        share = _early_share(schedule, small_share, progress)
    elif progress < schedule.ramp_start:
        share = loaded_share
    else:
        is_short = schedule is SHORT_SCHEDULE
        start = loaded_share if is_short else small_share or INITIAL_SHARE
        share = _ramp(schedule, start, progress)
    return min(share, MAX_HELD_SHARE) if is_held else share


def hold_duration(rollout: Rollout) -> timedelta:
    """Return how long a rollout is held after a suspicion.

    The duration is a small part of the window, so that a shared cause shortly before
    the deadline does not make a good version miss it.
    """
    seconds = HOLD_WINDOW_FRACTION * rollout.window.total_seconds()
    bounded = min(MAX_HOLD_SECONDS, max(MIN_HOLD_SECONDS, seconds))
    return timedelta(seconds=bounded)


def _early_share(schedule: Schedule, small_share: float, progress: float) -> float:
    if progress < 0 or small_share <= 0:
        return 0.0
    if progress >= schedule.small_share:
        return small_share
    initial = min(INITIAL_SHARE, small_share)
    return _interpolate(initial, small_share, progress / schedule.small_share)


def _ramp(schedule: Schedule, start_share: float, progress: float) -> float:
    if progress >= schedule.full_share:
        return 1.0
    duration = schedule.ramp_end - schedule.ramp_start
    fraction = min(1.0, (progress - schedule.ramp_start) / duration)
    return _interpolate(start_share, 1.0 - MIN_CONTROL_SHARE, fraction)


def _interpolate(low: float, high: float, fraction: float) -> float:
    """Interpolate geometrically between two shares."""
    return float(low * (high / low) ** fraction)


def server_subset(
    servers: Iterable[Address],
    old_server_count: int,
    share: float,
    progress: float,
    salt: str,
    schedule: Schedule = LONG_SCHEDULE,
) -> tuple[Address, ...]:
    """Return the smallest subset of the new servers that can carry the share.

    Each server of the subset gets at most about as much traffic as each of the
    ``old_server_count`` old servers got before. Before the ramp the subset rotates
    through all servers, so that each of them is observed while the share is small,
    and then between the ``LOADED_SERVERS`` that get the load of an old one.
    """
    order = rank_by_hash(servers, salt)
    offset = 0
    if 0 <= progress < schedule.loaded:
        offset = int(progress / schedule.loaded * SUBSET_ROTATION_STEPS)
    elif progress < schedule.ramp_start:
        stage = schedule.ramp_start - schedule.loaded
        offset = int((progress - schedule.loaded) / stage * LOADED_SERVERS)
    offset %= max(1, len(order))
    order = order[offset:] + order[:offset]
    return order[
        : max(1, math.ceil(share * max(1, old_server_count) - ROUNDING_TOLERANCE))
    ]


__all__ = [
    "MAX_HELD_SHARE",
    "Schedule",
    "hold_duration",
    "rollout_progress",
    "schedule_of",
    "server_subset",
    "traffic_share",
]
