"""Agreeing on the deadline of a rollout that was ordered with a duration."""

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
# Spreads the daemons that learn of an order at the same moment.
FIRST_DELAY_SECONDS = 0.4
RETRY_BASE_SECONDS = 0.25
RETRY_CAP_SECONDS = 2.0
# From the last share on, for calls at the old version to end and for the
# outcome to be written.
FINISH_TIME = timedelta(seconds=3.5)
# A short window is not all spent on its end.
MAX_FINISH_SHARE = 0.25
MAX_KNOWN = 64


class RolloutDeadlines:
    """Keeps the deadline that whoever comes first writes, once, in the store.

    So all daemons have the same one, also after all of them were restarted.
    """

    def __init__(
        self, reactor: Any, clock: Clock, rng: random.Random, store: StoreClient
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.store = store
        self.known: dict[str, datetime] = {}
        self.seen: dict[str, datetime] = {}

    def with_deadline(self, rollout: Rollout) -> Rollout:
        """Return a rollout with its deadline, if that is agreed on already."""
        if not rollout.order:
            return rollout
        key = f"{DEADLINE_PREFIX}{rollout.service}/{rollout.order}"
        deadline = self.known.get(key)
        if deadline is not None:
            return replace(rollout, deadline=deadline)
        if key not in self.seen:
            self.seen[key] = self.clock.now()
            delay = FIRST_DELAY_SECONDS * self.rng.random()
            self.reactor.callLater(delay, self._agree, key, rollout.window, 0)
        return rollout

    def _agree(self, key: str, window: timedelta, failures: int) -> None:
        agreeing = Deferred.fromCoroutine(self._read_or_write(key, window))
        agreeing.addBoth(self._ended, key, window, failures)

    def _ended(self, deadline: Any, key: str, window: timedelta, failures: int) -> None:
        if isinstance(deadline, datetime):
            self.known[key] = deadline
            while len(self.known) > MAX_KNOWN:
                del self.known[next(iter(self.known))]
            return
        delay = full_jitter(self.rng, failures, RETRY_BASE_SECONDS, RETRY_CAP_SECONDS)
        self.reactor.callLater(
            delay + RETRY_BASE_SECONDS, self._agree, key, window, failures + 1
        )

    async def _read_or_write(self, key: str, window: timedelta) -> datetime | None:
        found = await self.store.get(key)
        if isinstance(found, Err):
            emit(Event.STORE_FAILED, reason=found.err_value.reason)
            return None
        if found.ok_value is not None:
            return _decode(found.ok_value.value)
        finish = min(FINISH_TIME, window * MAX_FINISH_SHARE)
        deadline = self.seen[key] + window - finish
        swapped = await self.store.swap(key, deadline.isoformat().encode(), 0)
        if isinstance(swapped, Err):
            # It may have been written: the next round reads it back.
            emit(Event.STORE_FAILED, reason=swapped.err_value.reason)
            return None
        if swapped.ok_value.swapped:
            return deadline
        current = swapped.ok_value.current
        return None if current is None else _decode(current.value)


def _decode(value: bytes) -> datetime | None:
    read = fields.instant(value.decode("utf-8", "replace"))
    if isinstance(read, Err):
        emit(Event.MESSAGE_REFUSED, peer="store", reason=read.err_value)
        return None
    return read.ok_value


__all__ = ["DEADLINE_PREFIX", "RolloutDeadlines"]
