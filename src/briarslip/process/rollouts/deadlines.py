"""Agreement among daemons on the deadline of a rollout ordered with a duration."""

from __future__ import annotations

from dataclasses import replace
from datetime import datetime
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from twisted.internet.defer import Deferred

from briarslip import fields
from briarslip.backoff import full_jitter
from briarslip.process.events import Event
from briarslip.process.events import emit


if TYPE_CHECKING:
    import random

    from briarslip.process.clock import Clock
    from briarslip.process.store.client import StoreClient
    from briarslip.version.record import Rollout


DEADLINE_PREFIX = "rollout-deadlines/"
# Upper bound of a random delay: all daemons receive an order at the same moment.
MAX_FIRST_DELAY_SECONDS = 0.4
RETRY_BASE_SECONDS = 0.25
RETRY_CAP_SECONDS = 2.0
# Time between the last increase of the traffic share and the end of the ordered
# duration: calls at the old version end and the outcome is written to the store.
FINISH_ALLOWANCE = timedelta(seconds=3.5)
# Limits the allowance in a short window, which it would otherwise use up.
MAX_FINISH_FRACTION = 0.25
MAX_AGREED_DEADLINES = 64


class RolloutDeadlines:
    """The agreed deadlines of ordered rollouts, by store key.

    The first daemon creates the deadline in the store by compare-and-swap; all
    others read it. All daemons therefore use the same deadline, even after every
    daemon was restarted. A failed agreement is retried with exponential backoff.
    """

    def __init__(
        self, reactor: Any, clock: Clock, rng: random.Random, store: StoreClient
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.store = store
        self.agreed: dict[str, datetime] = {}
        self.first_seen: dict[str, datetime] = {}

    def with_deadline(self, rollout: Rollout) -> Rollout:
        """Return the rollout with its agreed deadline, or unchanged until there is one.

        The first call for an ordered rollout schedules the agreement.
        """
        if not rollout.order:
            return rollout
        key = f"{DEADLINE_PREFIX}{rollout.service}/{rollout.order}"
        deadline = self.agreed.get(key)
        if deadline is not None:
            return replace(rollout, deadline=deadline)
        if key not in self.first_seen:
            self.first_seen[key] = self.clock.now()
            delay = MAX_FIRST_DELAY_SECONDS * self.rng.random()
            self.reactor.callLater(delay, self._start_agreement, key, rollout.window, 0)
        return rollout

    def _start_agreement(self, key: str, window: timedelta, failures: int) -> None:
        agreement = Deferred.fromCoroutine(self._read_or_create(key, window))
        agreement.addBoth(self._end_agreement, key, window, failures)

    def _end_agreement(
        self, deadline: Any, key: str, window: timedelta, failures: int
    ) -> None:
        if isinstance(deadline, datetime):
            self.agreed[key] = deadline
            while len(self.agreed) > MAX_AGREED_DEADLINES:
                del self.agreed[next(iter(self.agreed))]
            return
        delay = full_jitter(self.rng, failures, RETRY_BASE_SECONDS, RETRY_CAP_SECONDS)
        self.reactor.callLater(
            delay + RETRY_BASE_SECONDS, self._start_agreement, key, window, failures + 1
        )

    async def _read_or_create(self, key: str, window: timedelta) -> datetime | None:
        reply = await self.store.get(key)
        if isinstance(reply, Err):
            emit(Event.STORE_FAILED, reason=reply.err_value.reason)
            return None
        if reply.ok_value is not None:
            return _decode(reply.ok_value.value)
        allowance = min(FINISH_ALLOWANCE, window * MAX_FINISH_FRACTION)
        deadline = self.first_seen[key] + window - allowance
        swapped = await self.store.swap(key, deadline.isoformat().encode(), 0)
        if isinstance(swapped, Err):
            # The write may have been applied: the retry reads the key first.
            emit(Event.STORE_FAILED, reason=swapped.err_value.reason)
            return None
        if swapped.ok_value.swapped:
            return deadline
        current = swapped.ok_value.current
        return None if current is None else _decode(current.value)


def _decode(value: bytes) -> datetime | None:
    parsed = fields.timestamp(value.decode("utf-8", "replace"))
    if isinstance(parsed, Err):
        emit(Event.MESSAGE_REJECTED, peer="store", reason=parsed.err_value)
        return None
    return parsed.ok_value


__all__ = ["DEADLINE_PREFIX", "RolloutDeadlines"]
