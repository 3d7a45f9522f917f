"""Admission: which calls the backend server gets, and when."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from briarslip.request.admitted_call import AdmittedCall
from briarslip.request.call import Load
from briarslip.request.outcome import Reason
from briarslip.request.propagation import deadline_line
from briarslip.request.reserve import Reserve
from briarslip.request.service_time import ServiceTimes


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.process.clock import Clock
    from briarslip.request.call import Call
    from briarslip.request.call import Dispatch
    from briarslip.request.call import ResponseSink
    from briarslip.request.timer import CallLater


QUEUE_LENGTH_PER_SLOT = 4
URGENT = "urgent"
BULK = "bulk"


def _none_excluded(service: str) -> frozenset[str]:
    return frozenset()


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
    ) -> None:
        self.clock = clock
        self.slots = slots
        self.backend = backend
        self.call_later = call_later
        self.excluded = excluded
        self.hand_over_lines = hand_over_lines
        self.closed = False
        self.reserve = Reserve(slots, clock.monotonic())
        self.times = ServiceTimes()
        self.in_flight = 0
        self.bulk_in_flight = 0
        self.urgent: OrderedDict[AdmittedCall, None] = OrderedDict()
        self.bulk: OrderedDict[AdmittedCall, None] = OrderedDict()
        self.pumping = False

    @property
    def load(self) -> Load:
        """The calls at the server or waiting for it."""
        waiting = len(self.urgent) + len(self.bulk)
        return Load(self.in_flight + waiting, self.slots)

    @property
    def bulk_slots(self) -> int:
        """The slots that bulk calls may hold now."""
        return self.reserve.bulk_slots(self.clock.monotonic())

    def __call__(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Hand a call to the server, now or when its turn comes."""
        admitted = AdmittedCall(self, call, sink)
        reason = self._refusal(call)
        if reason is not None:
            admitted.refuse(reason)
            return admitted.cancel
        self.queue(call)[admitted] = None
        self._count_urgent(call)
        self.pump()
        if not admitted.ended:
            admitted.set_timer()
        return admitted.cancel

    def close(self) -> None:
        """Take no more calls and refuse those that wait; the others go on."""
        self.closed = True
        for queue in (self.urgent, self.bulk):
            while queue:
                admitted, _ = queue.popitem(last=False)
                admitted.refuse(Reason.DRAINING)

    def queue(self, call: Call) -> OrderedDict[AdmittedCall, None]:
        """Return the queue of a call's priority."""
        return self.urgent if call.urgent else self.bulk

    def _refusal(self, call: Call) -> Reason | None:
        """Return why a call can't wait here, None if it can."""
        if self.closed:
            return Reason.DRAINING
        if self.is_excluded(call):
            return Reason.VERSION_EXCLUDED
        if len(self.queue(call)) >= self.slots * QUEUE_LENGTH_PER_SLOT:
            return Reason.QUEUE_FULL
        remaining = call.deadline - self.clock.monotonic()
        if self.expected_wait(call) + self.least_time(call) > remaining:
            return Reason.QUEUE_FULL
        return None

    def is_excluded(self, call: Call) -> bool:
        """Tell whether the server's version must get no work now."""
        return call.service_version in self.excluded(call.service)

    def expected_wait(self, call: Call) -> float:
        """Return the seconds that a call would wait for those of its priority.

        Bulk calls don't count against urgent ones, which are never refused
        for them.
        """
        if call.urgent:
            running = self.in_flight - self.bulk_in_flight
            ahead = len(self.urgent) + running - self.slots + 1
            slots = self.slots
            mean = self.times.mean(URGENT)
        else:
            slots = self.bulk_slots
            ahead = len(self.bulk) + self.bulk_in_flight - slots + 1
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
        if self.urgent:
            return self.urgent.popitem(last=False)[0]
        if self.bulk and self.bulk_in_flight < self.bulk_slots:
            return self.bulk.popitem(last=False)[0]
        return None

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
        del self.queue(admitted.call)[admitted]
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
