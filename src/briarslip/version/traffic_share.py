"""The traffic share of a rollout's version over time, and the servers that get it."""

from __future__ import annotations

import math
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
# Values of a rollout's progress in time, from 0 at its start to 1 at its deadline.
SMALL_SHARE_PROGRESS = 0.25
RAMP_START_PROGRESS = 0.5
RAMP_END_PROGRESS = 0.85
SUBSET_ROTATION_STEPS = 64
FULL_SHARE_PROGRESS = 0.93
MIN_SPAN_SECONDS = 20.0
ROUNDING_TOLERANCE = 1e-9


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
    rollout: Rollout, progress: float, held_progress: float | None = None
) -> float:
    """Return the version's traffic share, from 0 to 1.

    The share is small up to ``RAMP_START_PROGRESS`` and then ramps up. The old version
    keeps ``MIN_CONTROL_SHARE`` for comparison until ``FULL_SHARE_PROGRESS``.
    ``held_progress`` is the progress at which the rollout was held on suspicion, None
    if it is not held: the share does not rise then, and is at most
    ``MAX_HELD_SHARE``.

    Load pattern: a version that fails only under load, while servers of the old one
    fail as well. It takes some seconds to tell the causes apart, in which the ramp
    would multiply the requests that the faulty version gets.
    """
    if held_progress is None:
        return _planned_share(rollout.max_traffic_share, progress)
    share = _planned_share(rollout.max_traffic_share, min(progress, held_progress))
    return min(share, MAX_HELD_SHARE)


def hold_duration(rollout: Rollout) -> timedelta:
    """Return how long a rollout is held after a suspicion.

    The duration is a small part of the window, so that a shared cause shortly before
    the deadline does not make a good version miss it.
    """
    seconds = HOLD_WINDOW_FRACTION * rollout.window.total_seconds()
    bounded = min(MAX_HOLD_SECONDS, max(MIN_HOLD_SECONDS, seconds))
    return timedelta(seconds=bounded)


def _planned_share(small_share: float, progress: float) -> float:
    if progress < 0 or small_share <= 0:
        return 0.0 if progress < RAMP_START_PROGRESS else _ramp(INITIAL_SHARE, progress)
    if progress < SMALL_SHARE_PROGRESS:
        initial = min(INITIAL_SHARE, small_share)
        return _interpolate(initial, small_share, progress / SMALL_SHARE_PROGRESS)
    return (
        small_share if progress < RAMP_START_PROGRESS else _ramp(small_share, progress)
    )


def _ramp(small_share: float, progress: float) -> float:
    if progress >= FULL_SHARE_PROGRESS:
        return 1.0
    fraction = min(
        1.0,
        (progress - RAMP_START_PROGRESS) / (RAMP_END_PROGRESS - RAMP_START_PROGRESS),
    )
    return _interpolate(small_share, 1.0 - MIN_CONTROL_SHARE, fraction)


def _interpolate(low: float, high: float, fraction: float) -> float:
    """Interpolate geometrically between two shares."""
    return float(low * (high / low) ** fraction)


def server_subset(
    servers: Iterable[Address],
    old_server_count: int,
    share: float,
    progress: float,
    salt: str,
) -> tuple[Address, ...]:
    """Return the smallest subset of the new servers that can carry the share.

    Each server of the subset gets at most about as much traffic as each of the
    ``old_server_count`` old servers got before. Before the ramp the subset rotates
    through all servers, so that each of them is observed while the share is small.
    """
    order = rank_by_hash(servers, salt)
    if 0 <= progress < RAMP_START_PROGRESS:
        offset = int(progress / RAMP_START_PROGRESS * SUBSET_ROTATION_STEPS) % max(
            1, len(order)
        )
        order = order[offset:] + order[:offset]
    return order[
        : max(1, math.ceil(share * max(1, old_server_count) - ROUNDING_TOLERANCE))
    ]


__all__ = [
    "FULL_SHARE_PROGRESS",
    "MAX_HELD_SHARE",
    "hold_duration",
    "rollout_progress",
    "server_subset",
    "traffic_share",
]
