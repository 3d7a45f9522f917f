"""Isolation of suspect requests: one at a time at a backend server."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from typing import TYPE_CHECKING

from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.admission import Admission
    from briarslip.request.call import Call
    from briarslip.request.call import Load
    from briarslip.request.call import ResponseHead
    from briarslip.request.call import ResponseSink
    from briarslip.request.standing import Standing
    from briarslip.request.timer import Timer


MAX_WAITING_CALLS = 32


class SuspectIsolation:
    """Passes calls on to the admission of a server, of the suspects one at a time.

    If the server crashes again, the suspect that was under way is likely the cause.
    Load pattern: a server with calls in every slot has crashed, and all of them are
    retried at the other servers at once. ``standing`` returns what is known of a call.
    """

    def __init__(
        self,
        admission: Admission,
        version: Callable[[], str],
        standing: Callable[[Call], Standing | None],
    ) -> None:
        self.admission = admission
        self.version = version
        self.standing = standing
        self.running: IsolatedCall | None = None
        self.waiting: deque[IsolatedCall] = deque()

    def __call__(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Pass a call on, or let it wait if it is a suspect; return its cancel."""
        standing = self.standing(call)
        is_suspect = call.is_suspect or self._is_suspect(standing)
        if not is_suspect or not self.admission.accepts_calls:
            return self.admission(call, sink)
        isolated = IsolatedCall(self, replace(call, is_suspect=True), sink)
        if standing is not None and not standing.may_run(self.version()):
            isolated.reject(Outcome.UNKNOWN, Reason.QUARANTINED)
        elif self.running is None:
            isolated.start()
        elif len(self.waiting) >= MAX_WAITING_CALLS:
            isolated.reject(Outcome.NOT_RUN, Reason.QUEUE_FULL)
        else:
            self.waiting.append(isolated)
            isolated.set_timer()
        return isolated.cancel

    def _is_suspect(self, standing: Standing | None) -> bool:
        return standing is not None and standing.is_suspect_at(self.version())

    def call_ended(self, isolated: IsolatedCall) -> None:
        """Start the next suspect once the running one has ended."""
        if self.running is isolated:
            self.running = None
        while self.running is None and self.waiting:
            self.waiting.popleft().resume()


class IsolatedCall:
    """A suspect call that waits for its turn or is under way at the server."""

    def __init__(
        self, isolation: SuspectIsolation, call: Call, sink: ResponseSink
    ) -> None:
        self.isolation = isolation
        self.call = call
        self.sink = sink
        self.timer: Timer | None = None
        self.cancel_admitted: Callable[[], None] | None = None
        self.ended = False

    def set_timer(self) -> None:
        """Wait no longer than a call would wait in the server's queue."""
        admission = self.isolation.admission
        now = admission.clock.monotonic()
        until = admission.queue_deadline(self.call, now)
        self.timer = admission.call_later(max(0.0, until - now), self._time_out)
        self.call.withdrawal.on_request = self._withdraw

    def resume(self) -> None:
        """Start after having waited, unless the call may no longer run."""
        self._stop_waiting()
        standing = self.isolation.standing(self.call)
        if standing is None:
            # It was cleared meanwhile: no isolation is needed.
            call = replace(self.call, is_suspect=False)
            self.cancel_admitted = self.isolation.admission(call, self.sink)
        elif standing.may_run(self.isolation.version()):
            self.start()
        else:
            self.reject(Outcome.UNKNOWN, Reason.QUARANTINED)

    def start(self) -> None:
        """Pass the call on as the only suspect at the server."""
        self.isolation.running = self
        cancel = self.isolation.admission(self.call, self)
        if not self.ended:
            self.cancel_admitted = cancel

    def head(self, head: ResponseHead) -> None:
        """Forward the response head."""
        self.sink.head(head)

    def body(self, data: bytes, last: bool) -> None:
        """Forward a part of the body."""
        if last:
            self._end()
        self.sink.body(data, last)

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Forward a failure."""
        self._end()
        self.sink.failed(failure, load)

    def reject(self, outcome: Outcome, reason: Reason) -> None:
        """End a call that has not been passed on."""
        self.ended = True
        self._stop_waiting()
        admission, call = self.isolation.admission, self.call
        emit(
            Event.SUSPECT_REJECTED,
            request=admission.request_id(call.headers),
            route=call.route,
            service=call.service,
            reason=reason.value,
            waiting=len(self.isolation.waiting),
        )
        seconds = None
        if outcome is Outcome.NOT_RUN:
            seconds = admission.retry_after_seconds(call)
        self.sink.failed(Failure(outcome, reason, seconds), admission.load)

    def cancel(self) -> None:
        """Cancel the call, whether it waits or is under way."""
        if self.cancel_admitted is not None:
            self.cancel_admitted()
        elif not self.ended:
            self._stop_waiting()
            self.isolation.waiting.remove(self)
        self._end()

    def _time_out(self) -> None:
        self.timer = None
        self.isolation.waiting.remove(self)
        self.reject(Outcome.NOT_RUN, Reason.QUEUE_FULL)

    def _withdraw(self) -> None:
        self.isolation.waiting.remove(self)
        self.reject(Outcome.NOT_RUN, Reason.DRAINING)

    def _end(self) -> None:
        if self.ended:
            return
        self.ended = True
        self.cancel_admitted = None
        self.isolation.call_ended(self)

    def _stop_waiting(self) -> None:
        self.call.withdrawal.on_request = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


__all__ = ["SuspectIsolation"]
