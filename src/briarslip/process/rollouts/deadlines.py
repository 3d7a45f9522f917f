"""Agreement among daemons on the deadline of a rollout ordered with a duration."""

from __future__ import annotations

from dataclasses import dataclass
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
from briarslip.process.store.revision import copy_of


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

    After the store was restored from a copy, an order that is written again has a new
    revision. It keeps the deadline that was agreed for the same order before, so that
    it is the same rollout with its decisions, and the deadline is stored again.

    ``agreed`` has the known deadlines by store key; ``on_agreed`` is called with a
    key and its deadline once the store has it. ``is_analyzer_for`` returns whether
    this daemon analyzes a service, and ``is_synced`` whether it has the agreed
    deadlines of its peers.
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
        is_synced: Callable[[], bool] = lambda: True,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.store = store
        self.agreed = agreed
        self.on_agreed = on_agreed
        self.is_analyzer_for = is_analyzer_for
        self.is_synced = is_synced
        self.first_seen: dict[str, datetime] = {}

    def with_deadline(self, rollout: Rollout) -> Rollout:
        """Return the rollout with its agreed deadline, or unchanged until there is one.

        The first call for an ordered rollout schedules the agreement.
        """
        if not rollout.order:
            return rollout
        key = OrderKey.from_rollout(rollout)
        deadline = self.agreed.get(str(key))
        if deadline is None:
            if str(key) not in self.first_seen:
                self.first_seen[str(key)] = self.clock.now()
                delay = self._first_delay(rollout.service)
                self.reactor.callLater(
                    delay, self._start_agreement, key, rollout.window, 0
                )
            deadline = deadline_before_restore(key, self.agreed)
        return rollout if deadline is None else replace(rollout, deadline=deadline)

    def _first_delay(self, service: str) -> float:
        if self.is_analyzer_for(service):
            return MAX_ANALYZER_DELAY_SECONDS * self.rng.random()
        return OTHERS_DELAY_SECONDS + MAX_ADDED_DELAY_SECONDS * self.rng.random()

    def _start_agreement(self, key: OrderKey, window: timedelta, failures: int) -> None:
        if str(key) in self.agreed:
            return
        if copy_of(key.order) and not self.is_synced():
            # A peer may know the deadline that was agreed before a restore.
            self.reactor.callLater(
                RETRY_BASE_SECONDS, self._start_agreement, key, window, failures
            )
            return
        agreement = Deferred.fromCoroutine(self._read_or_create(key, window))
        agreement.addErrback(record_failure)
        agreement.addCallback(self._end_agreement, key, window, failures)

    def _end_agreement(
        self,
        deadline: datetime | None,
        key: OrderKey,
        window: timedelta,
        failures: int,
    ) -> None:
        if deadline is not None:
            self.on_agreed(str(key), deadline)
            return
        delay = full_jitter(self.rng, failures, RETRY_BASE_SECONDS, RETRY_CAP_SECONDS)
        self.reactor.callLater(
            delay + RETRY_BASE_SECONDS, self._start_agreement, key, window, failures + 1
        )

    async def _read_or_create(
        self, key: OrderKey, window: timedelta
    ) -> datetime | None:
        reply = await self.store.get(str(key))
        if isinstance(reply, Err):
            emit(Event.STORE_FAILED, reason=reply.err_value.reason)
            return None
        if reply.ok_value is not None:
            return _decode(reply.ok_value.value)
        stored = await self._read_of_service(key)
        if stored is None:
            return None
        deadline = deadline_before_restore(key, {**stored, **self.agreed})
        if deadline is None:
            allowance = min(FINISH_ALLOWANCE, window * MAX_FINISH_FRACTION)
            deadline = self.first_seen[str(key)] + window - allowance
        swapped = await self.store.swap(str(key), deadline.isoformat().encode(), 0)
        if isinstance(swapped, Err):
            # The write may have been applied: the retry reads the key first.
            emit(Event.STORE_FAILED, reason=swapped.err_value.reason)
            return None
        if swapped.ok_value.swapped:
            return deadline
        current = swapped.ok_value.current
        return None if current is None else _decode(current.value)

    async def _read_of_service(self, key: OrderKey) -> dict[str, datetime] | None:
        """Return the deadlines of a service in a restored store, None on an error."""
        if not copy_of(key.order):
            return {}
        reply = await self.store.range(f"{DEADLINE_PREFIX}{key.service}/")
        if isinstance(reply, Err):
            emit(Event.STORE_FAILED, reason=reply.err_value.reason)
            return None
        decoded = ((item.key, _decode(item.value)) for item in reply.ok_value.items)
        return {name: deadline for name, deadline in decoded if deadline is not None}


@dataclass(frozen=True, slots=True)
class OrderKey:
    """The store key of an order's deadline.

    ``content`` tells apart orders that ask for different things; ``order`` is the
    revision of the order.
    """

    service: str
    content: str
    order: int

    @classmethod
    def from_rollout(cls, rollout: Rollout) -> OrderKey:
        """Return the key of an ordered rollout."""
        milliseconds = round(rollout.window.total_seconds() * 1000)
        return cls(rollout.service, f"{rollout.version}:{milliseconds}", rollout.order)

    @classmethod
    def from_text(cls, text: str) -> OrderKey | None:
        """Return the key that a text stands for, None if it is none."""
        service, _, rest = text.removeprefix(DEADLINE_PREFIX).partition("/")
        content, _, order = rest.rpartition("/")
        return cls(service, content, int(order)) if order.isdecimal() else None

    def is_same_request(self, other: OrderKey) -> bool:
        """Return whether two orders ask for the same."""
        return (self.service, self.content) == (other.service, other.content)

    def __str__(self) -> str:
        return f"{DEADLINE_PREFIX}{self.service}/{self.content}/{self.order}"


def deadline_before_restore(
    key: OrderKey, agreed: Mapping[str, datetime]
) -> datetime | None:
    """Return the deadline of the same order before the store was restored.

    None if there is none, or if the same order has already been given since: then
    this one is another rollout.
    """
    copy = copy_of(key.order)
    found: tuple[int, datetime] | None = None
    for text, deadline in agreed.items():
        other = OrderKey.from_text(text)
        if other is None or not other.is_same_request(key):
            continue
        if copy_of(other.order) == copy and other.order < key.order:
            return None
        if copy_of(other.order) < copy and (found is None or other.order > found[0]):
            found = (other.order, deadline)
    return None if found is None else found[1]


def _decode(value: bytes) -> datetime | None:
    parsed = fields.timestamp(value.decode("utf-8", "replace"))
    if isinstance(parsed, Err):
        emit(Event.MESSAGE_REJECTED, peer="store", reason=parsed.err_value)
        return None
    return parsed.ok_value


__all__ = [
    "DEADLINE_PREFIX",
    "OrderKey",
    "RolloutDeadlines",
    "deadline_before_restore",
]
