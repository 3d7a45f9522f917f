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
from briarslip.process.error_log import record_failure
from briarslip.process.events import Event
from briarslip.process.events import emit


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Mapping

    from briarslip.process.clock import Clock
    from briarslip.process.store.client import StoreClient
    from briarslip.version.record import Rollout


DEADLINE_PREFIX = "rollout-deadlines/"
# All daemons receive an order at the same moment. The analyzers of its service ask the
# store first, the others only if they have not heard of its deadline by then.
MAX_ANALYZER_DELAY_SECONDS = 0.2
OTHERS_DELAY_SECONDS = 0.4
MAX_ADDED_DELAY_SECONDS = 0.4
RETRY_BASE_SECONDS = 0.25
RETRY_CAP_SECONDS = 2.0
# Time between the last increase of the traffic share and the end of the ordered
# duration: calls at the old version end and the outcome is written to the store.
FINISH_ALLOWANCE = timedelta(seconds=3.5)
# Limits the allowance in a short window, which it would otherwise use up.
MAX_FINISH_FRACTION = 0.25


class RolloutDeadlines:
    """Agrees on the deadlines of ordered rollouts.

    The first daemon creates the deadline in the store by compare-and-swap; others
    read it, or hear of it from their peers. All daemons therefore use the same
    deadline, even after every daemon was restarted. A failed agreement is retried
    with exponential backoff.

    ``agreed`` has the known deadlines by store key; ``on_agreed`` is called with a
    key and its deadline once the store has it. ``is_analyzer_for`` returns whether
    this daemon analyzes a service.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        rng: random.Random,
        store: StoreClient,
        agreed: Mapping[str, datetime],
        on_agreed: Callable[[str, datetime], None],
        is_analyzer_for: Callable[[str], bool],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.store = store
        self.agreed = agreed
        self.on_agreed = on_agreed
        self.is_analyzer_for = is_analyzer_for
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
            delay = self._first_delay(rollout.service)
            self.reactor.callLater(delay, self._start_agreement, key, rollout.window, 0)
        return rollout

    def _first_delay(self, service: str) -> float:
        if self.is_analyzer_for(service):
            return MAX_ANALYZER_DELAY_SECONDS * self.rng.random()
        return OTHERS_DELAY_SECONDS + MAX_ADDED_DELAY_SECONDS * self.rng.random()

    def _start_agreement(self, key: str, window: timedelta, failures: int) -> None:
        if key in self.agreed:
            return
        agreement = Deferred.fromCoroutine(self._read_or_create(key, window))
        agreement.addErrback(record_failure)
        agreement.addCallback(self._end_agreement, key, window, failures)

    def _end_agreement(
        self, deadline: datetime | None, key: str, window: timedelta, failures: int
    ) -> None:
        if deadline is not None:
            self.on_agreed(key, deadline)
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
