"""A call at the daemon next to the backend server that should run it."""

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


class PendingCall:
    """A call that is queued for a slot or occupies one.

    ``started_at`` is None while the call is queued.
    """

    def __init__(self, admission: Admission, call: Call, sink: ResponseSink) -> None:
        self.admission = admission
        self.call = call
        self.sink = sink
        self.cancel_backend: Callable[[], None] | None = None
        self.timer: Timer | None = None
        self.started_at: float | None = None
        self.not_run = False
        self.ended = False

    def set_timer(self) -> None:
        """Set the timer to the deadline, while queued to the queue deadline."""
        now = self.admission.clock.monotonic()
        until = self.call.deadline
        if self.started_at is None:
            until = self.admission.queue_deadline(self.call, now)
            self.call.withdrawal.on_request = self.withdraw
        self._stop_timer()
        self.timer = self.admission.call_later(max(0.0, until - now), self.time_out)

    def start(self, remaining_seconds: float) -> None:
        """Send the call to the backend server, with the time until its deadline."""
        self.call.withdrawal.on_request = None
        self.started_at = self.admission.clock.monotonic()
        version = self.call.service_version
        call = self.call.for_server(
            version, self.admission.backend_headers(remaining_seconds)
        )
        cancel_backend = self.admission.backend(call, self)
        if self.ended:
            return
        self.cancel_backend = cancel_backend
        if self.timer is not None:
            self.set_timer()

    def reject(self, reason: Reason) -> None:
        """End the call with the outcome "not run"."""
        self._stop_timer()
        self.call.withdrawal.on_request = None
        self.ended = True
        seconds = self.admission.retry_after_seconds(self.call)
        self._log(Event.CALL_REJECTED, reason)
        failure = Failure(Outcome.NOT_RUN, reason, seconds)
        self.sink.failed(failure, self.admission.load)

    def head(self, head: ResponseHead) -> None:
        """Forward the response head with the current load of the server."""
        if self.ended:
            return
        self.not_run = head.outcome is Outcome.NOT_RUN
        if head.server_status is not None:
            self.admission.receive_status(head.server_status, self.call)
        load = self.admission.load_for(self.call)
        self.sink.head(
            ResponseHead(
                head.status,
                head.headers,
                head.outcome,
                load,
                leaving_incarnation=self.admission.leaving_incarnation,
            )
        )

    def body(self, data: bytes, last: bool) -> None:
        """Forward a part of the body; the last one frees the slot."""
        if self.ended:
            return
        if last:
            if not self.not_run:
                self.admission.on_completed(self.call)
            self._finish(record_time=not self.not_run)
        self.sink.body(data, last)

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Forward a failure and free the slot."""
        if self.ended:
            return
        self._finish(record_time=False)
        self.sink.failed(failure, self.admission.load)

    def time_out(self) -> None:
        """End the call when its timer expires.

        The outcome of a call that was sent to the server is unknown.
        """
        if self.ended:
            return
        if self.started_at is None:
            self.admission.remove_queued(self)
            is_deadline_passed = self.admission.clock.monotonic() >= self.call.deadline
            self.reject(Reason.DEADLINE if is_deadline_passed else Reason.QUEUE_FULL)
            return
        self.timer = None
        self._log(Event.CALL_TIMED_OUT, Reason.DEADLINE)
        if self.cancel_backend is not None:
            self.cancel_backend()
        # Include the timeout in the mean: the server is at least this slow.
        self._finish(record_time=True)
        self.sink.failed(Failure(Outcome.UNKNOWN, Reason.DEADLINE), self.admission.load)

    def withdraw(self) -> None:
        """End the call as not run if it is queued."""
        if not self.ended and self.started_at is None:
            self.admission.remove_queued(self)
            self.reject(Reason.DRAINING)

    def cancel(self) -> None:
        """Cancel the call, whether it is queued or running."""
        if self.ended:
            return
        if self.started_at is None:
            self._stop_timer()
            self.call.withdrawal.on_request = None
            self.ended = True
            self.admission.remove_queued(self)
            return
        if self.cancel_backend is not None:
            self.cancel_backend()
        self._finish(record_time=False)

    def _finish(self, record_time: bool) -> None:
        self._stop_timer()
        self.ended = True
        # Break the reference cycle with the call at the backend server.
        self.cancel_backend = None
        if record_time and self.started_at is not None:
            seconds = self.admission.clock.monotonic() - self.started_at
            self.admission.record_service_time(self.call, seconds)
        self.admission.release_slot(self.call)

    def _log(self, event: Event, reason: Reason) -> None:
        admission, call = self.admission, self.call
        emit(
            event,
            request=admission.request_id(call.headers),
            route=call.route,
            service=call.service,
            reason=reason.value,
            in_flight=admission.in_flight,
            waiting=len(admission.urgent_queue) + len(admission.bulk_queue),
            slots=admission.slots,
            expected_wait_ms=round(admission.expected_wait_seconds(call) * 1000),
            left_ms=round((call.deadline - admission.clock.monotonic()) * 1000),
        )

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


__all__ = ["PendingCall"]
