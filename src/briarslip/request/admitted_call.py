"""A call at the daemon of the server that is to run it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.request.call import ResponseHead
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.admission import Admission
    from briarslip.request.call import Call
    from briarslip.request.call import Load
    from briarslip.request.call import ResponseSink
    from briarslip.request.timer import Timer


class AdmittedCall:
    """A call that waits for a slot or holds one."""

    def __init__(self, admission: Admission, call: Call, sink: ResponseSink) -> None:
        self.admission = admission
        self.call = call
        self.sink = sink
        self.cancel_backend: Callable[[], None] | None = None
        self.timer: Timer | None = None
        self.began: float | None = None
        self.not_run = False
        self.ended = False

    def set_timer(self) -> None:
        """Bound the call by its deadline, and while it waits by its patience."""
        now = self.admission.clock.monotonic()
        until = self.call.deadline
        if self.began is None:
            until = self.admission.patience(self.call, now)
        self._stop_timer()
        self.timer = self.admission.call_later(max(0.0, until - now), self.time_out)

    def start(self, remaining: float) -> None:
        """Hand the call to the backend server."""
        self.began = self.admission.clock.monotonic()
        version = self.call.service_version
        call = self.call.sent_as(version, self.admission.hand_over_lines(remaining))
        self.cancel_backend = self.admission.backend(call, self)
        if self.timer is not None and not self.ended:
            self.set_timer()

    def refuse(self, reason: Reason) -> None:
        """Answer that the call was not run."""
        self._stop_timer()
        self.ended = True
        seconds = self.admission.retry_after(self.call)
        self._log(Event.CALL_REFUSED, reason)
        failure = Failure(Outcome.NOT_RUN, reason, seconds)
        self.sink.failed(failure, self.admission.load)

    def head(self, head: ResponseHead) -> None:
        """Pass the head on with what is known of the server's load."""
        if self.ended:
            return
        self.not_run = head.outcome is Outcome.NOT_RUN
        load = self.admission.load_for(self.call)
        self.sink.head(ResponseHead(head.status, head.headers, head.outcome, load))

    def body(self, data: bytes, last: bool) -> None:
        """Pass a body part on; the last one frees the slot."""
        if self.ended:
            return
        if last:
            self._finish(learn=not self.not_run)
        self.sink.body(data, last)

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Pass a failure on and free the slot."""
        if self.ended:
            return
        self._finish(learn=False)
        self.sink.failed(failure, self.admission.load)

    def time_out(self) -> None:
        """End the call at its deadline; what the server got, it may have run."""
        if self.ended:
            return
        if self.began is None:
            self.admission.withdrawn(self)
            is_over = self.admission.clock.monotonic() >= self.call.deadline
            self.refuse(Reason.DEADLINE if is_over else Reason.QUEUE_FULL)
            return
        self.timer = None
        self._log(Event.CALL_TIMED_OUT, Reason.DEADLINE)
        if self.cancel_backend is not None:
            self.cancel_backend()
        # A server that doesn't answer in time is slow: let the mean know.
        self._finish(learn=True)
        self.sink.failed(Failure(Outcome.UNKNOWN, Reason.DEADLINE), self.admission.load)

    def cancel(self) -> None:
        """Give the call up."""
        if self.ended:
            return
        if self.began is None:
            self._stop_timer()
            self.ended = True
            self.admission.withdrawn(self)
            return
        if self.cancel_backend is not None:
            self.cancel_backend()
        self._finish(learn=False)

    def _finish(self, learn: bool) -> None:
        self._stop_timer()
        self.ended = True
        if learn and self.began is not None:
            seconds = self.admission.clock.monotonic() - self.began
            self.admission.learn(self.call, seconds)
        self.admission.finished(self.call)

    def _log(self, event: Event, reason: Reason) -> None:
        admission, call = self.admission, self.call
        emit(
            event,
            request=admission.request_id(call.headers),
            route=call.route,
            service=call.service,
            reason=reason.value,
            in_flight=admission.in_flight,
            waiting=len(admission.urgent) + len(admission.bulk),
            slots=admission.slots,
            expected_wait_ms=round(admission.expected_wait(call) * 1000),
            left_ms=round((call.deadline - admission.clock.monotonic()) * 1000),
        )

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


__all__ = ["AdmittedCall"]
