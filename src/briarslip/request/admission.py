"""Admission: which calls the backend server gets, and when."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from briarslip.request.call import Load
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.process.clock import Clock
    from briarslip.request.call import Call
    from briarslip.request.call import Dispatch
    from briarslip.request.call import ResponseHead
    from briarslip.request.call import ResponseSink


URGENT_RESERVE_SHARE = 0.25
QUEUE_LENGTH_PER_SLOT = 4


class Admission:
    """Bounds what is at one backend server; urgent calls go first.

    Bulk calls never hold more than the slots less a reserve.
    """

    def __init__(self, clock: Clock, slots: int, backend: Dispatch) -> None:
        self.clock = clock
        self.slots = slots
        self.bulk_slots = max(1, slots - max(1, int(slots * URGENT_RESERVE_SHARE)))
        self.backend = backend
        self.in_flight = 0
        self.bulk_in_flight = 0
        self.urgent: deque[AdmittedCall] = deque()
        self.bulk: deque[AdmittedCall] = deque()

    @property
    def load(self) -> Load:
        """The calls at the server or waiting for it."""
        waiting = len(self.urgent) + len(self.bulk)
        return Load(self.in_flight + waiting, self.slots)

    def __call__(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Hand a call to the server, now or when its turn comes."""
        admitted = AdmittedCall(self, call, sink)
        queue = self.urgent if call.urgent else self.bulk
        if len(queue) >= self.slots * QUEUE_LENGTH_PER_SLOT:
            admitted.refuse(Reason.QUEUE_FULL)
            return admitted.cancel
        queue.append(admitted)
        self.pump()
        return admitted.cancel

    def pump(self) -> None:
        """Start waiting calls while there are slots for them."""
        while self.in_flight < self.slots:
            if self.urgent:
                admitted = self.urgent.popleft()
            elif self.bulk and self.bulk_in_flight < self.bulk_slots:
                admitted = self.bulk.popleft()
            else:
                return
            self._start(admitted)

    def _start(self, admitted: AdmittedCall) -> None:
        if admitted.call.deadline <= self.clock.monotonic():
            admitted.refuse(Reason.DEADLINE)
            return
        self.in_flight += 1
        self.bulk_in_flight += not admitted.call.urgent
        admitted.start()

    def finished(self, call: Call) -> None:
        """Free the slot of a call."""
        self.in_flight -= 1
        self.bulk_in_flight -= not call.urgent
        self.pump()


class AdmittedCall:
    """A call that waits for a slot or holds one."""

    def __init__(self, admission: Admission, call: Call, sink: ResponseSink) -> None:
        self.admission = admission
        self.call = call
        self.sink = sink
        self.cancel_backend: Callable[[], None] | None = None
        self.started = False
        self.ended = False

    def start(self) -> None:
        """Hand the call to the backend server."""
        self.started = True
        self.cancel_backend = self.admission.backend(self.call, self)

    def refuse(self, reason: Reason) -> None:
        """Answer that the call was not run."""
        self.ended = True
        self.sink.failed(Failure(Outcome.NOT_RUN, reason), self.admission.load)

    def head(self, head: ResponseHead) -> None:
        """Pass the head on."""
        self.sink.head(head)

    def body(self, data: bytes, last: bool) -> None:
        """Pass a body part on; the last one frees the slot."""
        if last:
            self._finish()
        self.sink.body(data, last)

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Pass a failure on and free the slot."""
        self._finish()
        self.sink.failed(failure, self.admission.load)

    def cancel(self) -> None:
        """Give the call up."""
        if self.ended:
            return
        if self.cancel_backend is not None:
            self.cancel_backend()
        if self.started:
            self._finish()
            return
        self.ended = True
        queue = self.admission.urgent if self.call.urgent else self.admission.bulk
        queue.remove(self)

    def _finish(self) -> None:
        if not self.ended:
            self.ended = True
            self.admission.finished(self.call)


__all__ = ["Admission"]
