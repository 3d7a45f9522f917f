"""Admission: which calls the backend server gets, and when."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briarslip.request.admitted_call import AdmittedCall
from briarslip.request.call import Load
from briarslip.request.call_queue import CallQueue
from briarslip.request.latency_targets import LatencyTargets
from briarslip.request.outcome import Reason
from briarslip.request.propagation import deadline_line
from briarslip.request.service_time import ServiceTimes
from briarslip.request.urgent_reserve import UrgentReserve


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.process.clock import Clock
    from briarslip.request.call import Call
    from briarslip.request.call import Dispatch
    from briarslip.request.call import ResponseSink
    from briarslip.request.timer import CallLater


QUEUE_LENGTH_PER_SLOT = 4
# Of its remaining time a call may wait this much once it misses its target.
MAX_WAIT_SHARE = 0.5
# Of the least urgent target a slot may take this much to get free.
SOON_SHARE = 0.3
# Over the mean time at the server, for the spread around it.
TIME_MARGIN = 1.3
URGENT = "urgent"
BULK = "bulk"


def _none_excluded(service: str) -> frozenset[str]:
    return frozenset()


def _no_id(headers: bytes) -> str:
    return ""


class Admission:
    """Bounds what is at one backend server; urgent calls go first.

    Bulk calls never hold more than the slots less a reserve, and wait in a
    queue of their own. A call that is not expected to end within its deadline
    is refused before the hand-over, which is always true to say: it did not run.
    """

    def __init__(
        self,
        clock: Clock,
        slots: int,
        backend: Dispatch,
        call_later: CallLater,
        excluded: Callable[[str], frozenset[str]] = _none_excluded,
        hand_over_lines: Callable[[float], bytes] = deadline_line,
        request_id: Callable[[bytes], str] = _no_id,
    ) -> None:
        self.clock = clock
        self.slots = slots
        self.backend = backend
        self.call_later = call_later
        self.excluded = excluded
        self.hand_over_lines = hand_over_lines
        self.request_id = request_id
        self.closed = False
        self.reserve = UrgentReserve(slots, clock.monotonic())
        self.times = ServiceTimes()
        self.in_flight = 0
        self.bulk_in_flight = 0
        self.urgent = CallQueue()
        self.bulk = CallQueue()
        self.pumping = False
        self.urgent_targets = LatencyTargets()

    @property
    def load(self) -> Load:
        """The calls at the server or waiting for it."""
        waiting = len(self.urgent) + len(self.bulk)
        return Load(self.in_flight + waiting, self.slots)

    def load_for(self, call: Call) -> Load:
        """Return the load with the server's mean time for calls of a route."""
        load = self.load
        return Load(load.in_flight, load.slots, self.times.mean(call.route))

    @property
    def bulk_slots(self) -> int:
        """The slots that bulk calls may hold now.

        Load pattern: bulk calls are more than the server can do while few are
        urgent. Where a slot gets free soon enough for every urgent target, to
        keep some free would only waste them.
        """
        soon = self.urgent_targets.least * SOON_SHARE
        if soon and self.times.mean(BULK) / self.slots <= soon:
            return self.slots
        return self.reserve.bulk_slots(self.clock.monotonic())

    def __call__(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Hand a call to the server, now or when its turn comes."""
        admitted = AdmittedCall(self, call, sink)
        reason = self._refusal(call)
        if reason is not None:
            admitted.refuse(reason)
            return admitted.cancel
        self.queue(call).add(admitted)
        self._count_urgent(call)
        self.pump()
        self._shed_last(self.queue(call))
        if not admitted.ended:
            admitted.set_timer()
        return admitted.cancel

    def _shed_last(self, queue: CallQueue) -> None:
        """Refuse the call that would be served last, if too many wait."""
        if len(queue) > self.slots * QUEUE_LENGTH_PER_SLOT:
            last = queue.last(self.clock.monotonic())
            queue.remove(last)
            last.refuse(Reason.QUEUE_FULL)
            self._count_urgent(last.call)

    def close(self) -> None:
        """Take no more calls and refuse those that wait; the others go on."""
        self.closed = True
        for queue in (self.urgent, self.bulk):
            for admitted in queue:
                queue.remove(admitted)
                admitted.refuse(Reason.DRAINING)

    def queue(self, call: Call) -> CallQueue:
        """Return the queue of a call's priority."""
        return self.urgent if call.urgent else self.bulk

    def _refusal(self, call: Call) -> Reason | None:
        """Return why a call can't wait here, None if it can."""
        if self.closed:
            return Reason.DRAINING
        if self.is_excluded(call):
            return Reason.VERSION_EXCLUDED
        now = self.clock.monotonic()
        self.urgent_targets.note(call, now)
        ahead = self.queue(call).ahead_of(call, now)
        if ahead >= self.slots * QUEUE_LENGTH_PER_SLOT:
            return Reason.QUEUE_FULL
        wait = self.expected_wait(call)
        time = self.least_time(call)
        if wait + time > call.deadline - now:
            return Reason.QUEUE_FULL
        if now + wait + time > call.latency_target_at and now + wait > self.patience(
            call, now
        ):
            return Reason.QUEUE_FULL
        return None

    def patience(self, call: Call, now: float) -> float:
        """Return until when a call may wait that misses its target.

        It is told in time to be of use elsewhere or later, not near its end.
        """
        if call.latency_target_at == math.inf:
            return call.deadline
        return now + (call.deadline - now) * MAX_WAIT_SHARE

    def retry_after(self, call: Call) -> float:
        """Return in how many seconds there may be room for a call's like."""
        return self.expected_wait(call)

    def finish(self, admitted: AdmittedCall) -> float:
        """Return when a call would most likely have ended if it began now."""
        time = self.least_time(admitted.call) * TIME_MARGIN
        return self.clock.monotonic() + time

    def is_excluded(self, call: Call) -> bool:
        """Tell whether the server's version must get no work now."""
        return call.service_version in self.excluded(call.service)

    def expected_wait(self, call: Call) -> float:
        """Return the seconds that a call would wait for those of its priority.

        Bulk calls don't count against urgent ones, which are never refused
        for them.
        """
        now = self.clock.monotonic()
        if call.urgent:
            running = self.in_flight - self.bulk_in_flight
            ahead = self.urgent.ahead_of(call, now) + running - self.slots + 1
            slots = self.slots
            mean = self.times.mean(URGENT)
        else:
            slots = self.bulk_slots
            ahead = self.bulk.ahead_of(call, now) + self.bulk_in_flight - slots + 1
            mean = self.times.mean(BULK)
        return max(0, ahead) * mean / slots

    def least_time(self, call: Call) -> float:
        """Return the expected seconds at the server, 0 while it is idle.

        An idle server always gets the call, else a wrong estimate would keep
        out the calls that could correct it.
        """
        return self.times.mean(call.route) if self.in_flight else 0.0

    def pump(self) -> None:
        """Start waiting calls while there are slots for them."""
        if self.pumping:
            return
        self.pumping = True
        try:
            while self.in_flight < self.slots:
                admitted = self._next()
                if admitted is None:
                    break
                self._start(admitted)
        finally:
            self.pumping = False

    def _next(self) -> AdmittedCall | None:
        admitted = self.urgent.pop(self.finish)
        if admitted is None and self.bulk and self.bulk_in_flight < self.bulk_slots:
            admitted = self.bulk.pop(self.finish)
        return admitted

    def _start(self, admitted: AdmittedCall) -> None:
        call = admitted.call
        remaining = call.deadline - self.clock.monotonic()
        reason = None
        if self.is_excluded(call):
            reason = Reason.VERSION_EXCLUDED
        elif remaining <= self.least_time(call):
            reason = Reason.DEADLINE
        if reason is not None:
            admitted.refuse(reason)
            self._count_urgent(call)
            return
        self.in_flight += 1
        self.bulk_in_flight += not call.urgent
        admitted.start(remaining)

    def finished(self, call: Call) -> None:
        """Free the slot of a call."""
        self.in_flight -= 1
        self.bulk_in_flight -= not call.urgent
        self._count_urgent(call)
        self.pump()

    def withdrawn(self, admitted: AdmittedCall) -> None:
        """Forget a call that waits."""
        self.queue(admitted.call).remove(admitted)
        self._count_urgent(admitted.call)

    def learn(self, call: Call, seconds: float) -> None:
        """Take the time that a call was at the server."""
        self.times.take(call.route, seconds)
        self.times.take(URGENT if call.urgent else BULK, seconds)

    def _count_urgent(self, call: Call) -> None:
        if call.urgent:
            urgent = self.in_flight - self.bulk_in_flight + len(self.urgent)
            self.reserve.count(urgent, self.clock.monotonic())


__all__ = ["Admission"]
