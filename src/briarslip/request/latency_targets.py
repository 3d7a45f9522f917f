"""Latency targets of the routes that one backend server serves."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.request.call import Call


class LatencyTargets:
    """The longest remaining latency target of a call by route, in seconds.

    ``min_seconds`` is the shortest target of an urgent route. Until the first
    urgent call it is the shortest target of a bulk route, and 0 as long as no
    call has had a target.
    """

    def __init__(self) -> None:
        self.urgent_seconds: dict[str, float] = {}
        self.bulk_seconds: dict[str, float] = {}
        self.min_seconds = 0.0

    def update(self, call: Call, now: float) -> None:
        """Record the remaining latency target of a call."""
        if call.latency_target_at == math.inf:
            return
        targets = self.urgent_seconds if call.urgent else self.bulk_seconds
        remaining = call.latency_target_at - now
        if remaining > targets.get(call.route, 0.0):
            targets[call.route] = remaining
            self.min_seconds = min((self.urgent_seconds or self.bulk_seconds).values())


__all__ = ["LatencyTargets"]
