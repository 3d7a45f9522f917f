"""The share of a service's traffic that a rollout's version gets."""

from __future__ import annotations

import math
from datetime import timedelta
from typing import TYPE_CHECKING

from briarslip.rendezvous import ranked
from briarslip.version.record import DEADLINE_NOT_AGREED


if TYPE_CHECKING:
    from collections.abc import Iterable
    from datetime import datetime

    from briarslip.address import Address
    from briarslip.version.record import Rollout


FIRST_SHARE = 0.01
CONTROL_SHARE = 0.02
HELD_SHARE = 0.5
HOLD_WINDOW_SHARE = 0.02
MIN_HOLD_SECONDS = 1.0
MAX_HOLD_SECONDS = 5.0
SMALL_SHARE_REACHED = 0.25
RAMP_BEGINS = 0.5
RAMP_ENDS = 0.85
TURNS = 64
DONE_AT = 0.93
MIN_SPAN_SECONDS = 20.0
ROUNDING = 1e-9


def progress(rollout: Rollout, started: datetime, now: datetime) -> float:
    """Return how far a rollout's time has run: 0 at its start, 1 at its deadline.

    ``started`` is when the rollout and servers of its version were first
    seen together. A rollout seen late runs in the time that is left, but in
    no less than ``MIN_SPAN_SECONDS`` or half of its window.
    """
    if rollout.deadline == DEADLINE_NOT_AGREED:
        return -1.0
    begin = max(rollout.deadline - rollout.window, started)
    least = min(MIN_SPAN_SECONDS, rollout.window.total_seconds() / 2)
    span = max((rollout.deadline - begin).total_seconds(), least)
    return (now - begin).total_seconds() / span


def traffic_share(rollout: Rollout, done: float, held: bool) -> float:
    """Return the version's share at a progress of ``done``.

    A small share up to the middle of the window, then a ramp. Until
    ``DONE_AT`` the old version keeps a small share to compare with. While
    the evidence holds the rollout, the share is at most ``HELD_SHARE``.
    """
    share = _planned_share(rollout.max_traffic_share, done)
    return min(share, HELD_SHARE) if held else share


def hold_duration(rollout: Rollout) -> timedelta:
    """Return how long one suspicion holds a rollout.

    It is a small part of the window, so that a shared cause shortly before
    the deadline does not make a good version late.
    """
    seconds = HOLD_WINDOW_SHARE * rollout.window.total_seconds()
    bounded = min(MAX_HOLD_SECONDS, max(MIN_HOLD_SECONDS, seconds))
    return timedelta(seconds=bounded)


def _planned_share(small: float, done: float) -> float:
    if done < 0 or small <= 0:
        return 0.0 if done < RAMP_BEGINS else _ramp(FIRST_SHARE, done)
    if done < SMALL_SHARE_REACHED:
        first = min(FIRST_SHARE, small)
        return _between(first, small, done / SMALL_SHARE_REACHED)
    return small if done < RAMP_BEGINS else _ramp(small, done)


def _ramp(small: float, done: float) -> float:
    if done >= DONE_AT:
        return 1.0
    along = min(1.0, (done - RAMP_BEGINS) / (RAMP_ENDS - RAMP_BEGINS))
    return _between(small, 1.0 - CONTROL_SHARE, along)


def _between(low: float, high: float, along: float) -> float:
    """Return a point between two shares, in equal steps of their logarithm."""
    return float(low * (high / low) ** along)


def focus(
    servers: Iterable[Address], others: int, share: float, done: float, salt: str
) -> tuple[Address, ...]:
    """Return the new servers that carry the share, as few as can.

    ``others`` counts the servers of the old version: each chosen server then
    carries at most about what one of these carried before. While the share
    is small they take turns, so that all of them are seen before the ramp.
    """
    order = ranked(servers, salt)
    if 0 <= done < RAMP_BEGINS:
        turn = int(done / RAMP_BEGINS * TURNS) % max(1, len(order))
        order = order[turn:] + order[:turn]
    return order[: max(1, math.ceil(share * max(1, others) - ROUNDING))]


__all__ = [
    "DONE_AT",
    "HELD_SHARE",
    "focus",
    "hold_duration",
    "progress",
    "traffic_share",
]
