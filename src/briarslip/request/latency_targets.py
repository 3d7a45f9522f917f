"""How soon the urgent calls of a server need a slot."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.request.call import Call


class LatencyTargets:
    """The targets of calls by route, as fresh calls of the route bring them.

    ``least`` is that of the urgent route in the greatest hurry. Before any
    urgent call has come, the bulk routes' targets tell how hasty the service
    is; it is 0 where calls have no targets, since nothing is known then.
    """

    def __init__(self) -> None:
        self.urgent: dict[str, float] = {}
        self.bulk: dict[str, float] = {}
        self.least = 0.0

    def note(self, call: Call, now: float) -> None:
        """Take what a call tells about its route's target."""
        if call.latency_target_at == math.inf:
            return
        targets = self.urgent if call.urgent else self.bulk
        left = call.latency_target_at - now
        if left > targets.get(call.route, 0.0):
            targets[call.route] = left
            self.least = min((self.urgent or self.bulk).values())


__all__ = ["LatencyTargets"]
