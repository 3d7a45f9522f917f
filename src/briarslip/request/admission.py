"""Admission control and queueing of the calls to one backend server."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.request.call import Load
from briarslip.request.call_pacing import CallPacing
from briarslip.request.call_queue import CallQueue
from briarslip.request.latency_targets import LatencyTargets
from briarslip.request.moving_average import MovingAverages
from briarslip.request.outcome import Reason
from briarslip.request.pending_call import PendingCall
from briarslip.request.propagation import deadline_header
from briarslip.request.urgent_reserve import UrgentReserve


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.process.clock import Clock
    from briarslip.request.call import Call
    from briarslip.request.call import Dispatch
    from briarslip.request.call import ResponseSink
    from briarslip.request.call import ServerStatus
    from briarslip.request.cold_limit import ColdLimit
    from briarslip.request.timer import CallLater


QUEUE_LENGTH_PER_SLOT = 4
# Share of its remaining time that a call may queue once its target is out of reach.
MAX_LATE_WAIT_SHARE = 0.5
# Bulk calls may use all slots if one is expected to free up within this share of
# the shortest latency target.
MAX_SLOT_WAIT_SHARE = 0.3
# Factor on the mean service time, to cover the spread around it.
SERVICE_TIME_MARGIN = 1.3
URGENT = "urgent"
BULK = "bulk"


class Admission:
    """Limits the concurrent calls to one backend server; urgent calls go first.

    Bulk calls wait in a queue of their own and leave a reserve of slots to
    urgent calls. A call that is not expected to finish by its deadline is
    rejected before it is sent to the server, so that its outcome "not run" is
    certain. Until the server's first response, which may state a limit of
    requests a second, ``max_first_calls`` are sent at a time. ``cold_limit`` limits the
    calls while the server is cold.
    """

    def __init__(
        self,
        clock: Clock,
        slots: int,
        backend: Dispatch,
        call_later: CallLater,
        excluded_versions: Callable[[str], frozenset[str]] = lambda _: frozenset(),
        backend_headers: Callable[[float], bytes] = deadline_header,
        request_id: Callable[[bytes], str] = lambda _: "",
        max_first_calls: int | None = None,
        cold_limit: ColdLimit | None = None,
    ) -> None:
        self.clock = clock
        self.slots = slots
        self.backend = backend
        self.call_later = call_later
        self.excluded_versions = excluded_versions
        self.backend_headers = backend_headers
        self.request_id = request_id
        self.max_first_calls = max_first_calls or slots
        self.closed = False
        self.urgent_reserve = UrgentReserve(slots, clock.monotonic())
        self.service_times = MovingAverages()
        self.in_flight = 0
        self.bulk_in_flight = 0
        self.urgent_queue = CallQueue()
        self.bulk_queue = CallQueue()
        self.is_starting_calls = False
        self.latency_targets = LatencyTargets()
        self.pacing = CallPacing(clock, call_later, cold_limit, self.start_queued_calls)
        self.rate = self.pacing.rate
        self.is_status_known = False
        self.is_leaving = False
        self.is_evacuated: Callable[[], bool] = lambda: False
        self.on_leaving: Callable[[], None] | None = None
        self.on_completed: Callable[[Call], None] = lambda _: None
        self.leaving_incarnation = 0
        self.sent_calls = 0

    @property
    def load(self) -> Load:
        """The number of calls running at the server or queued for it."""
        waiting = len(self.urgent_queue) + len(self.bulk_queue)
        return Load(self.in_flight + waiting, self.usable_slots)

    @property
    def usable_slots(self) -> int:
        """The slots that calls occupy on average at the server's limit, at least 1."""
        mean = max(self.service_times.mean(URGENT), self.service_times.mean(BULK))
        return self.pacing.usable_slots(self.slots, mean)

    @property
    def accepts_calls(self) -> bool:
        """Whether calls may be sent to the server, now or once a slot is free."""
        return not self.closed and not self.is_evacuated()

    def load_for(self, call: Call) -> Load:
        """Return the load with the mean service time of the call's route."""
        load = self.load
        return Load(load.in_flight, load.slots, self.service_times.mean(call.route))

    @property
    def bulk_slots(self) -> int:
        """The number of slots that bulk calls may occupy now.

        If bulk calls exceed the server's capacity while few calls are urgent, a
        reserve would waste slots. So bulk calls get all slots as long as one is
        expected to free up soon enough for every urgent latency target.
        """
        max_slot_wait = self.latency_targets.min_seconds * MAX_SLOT_WAIT_SHARE
        if (
            max_slot_wait
            and self.service_times.mean(BULK) / self.slots <= max_slot_wait
        ):
            return self.slots
        return self.urgent_reserve.bulk_slots(self.clock.monotonic())

    def __call__(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Send a call to the server or queue it; return the cancel function."""
        pending = PendingCall(self, call, sink)
        reason = self._rejection_reason(call)
        if reason is not None:
            pending.reject(reason)
            return pending.cancel
        self.queue(call).add(pending)
        self._update_urgent_reserve(call)
        self.start_queued_calls()
        self._reject_last_queued(self.queue(call))
        if not pending.ended:
            pending.set_timer()
        return pending.cancel

    def _reject_last_queued(self, queue: CallQueue) -> None:
        """Reject the call that would be served last if the queue is too long."""
        if len(queue) > self.usable_slots * QUEUE_LENGTH_PER_SLOT:
            last = queue.last(self.clock.monotonic())
            queue.remove(last)
            last.reject(Reason.QUEUE_FULL)
            self._update_urgent_reserve(last.call)

    def receive_status(self, status: ServerStatus, call: Call) -> None:
        """Apply what the server states about itself in the response to a call."""
        if status.leaving and not self.is_leaving:
            self._leave(call)
        if status.request_limit != self.rate.limit:
            self._change_limit(status.request_limit, call)
        if not self.is_status_known:
            self.is_status_known = True
            self.start_queued_calls()

    def _leave(self, call: Call) -> None:
        """Stop new calls to the server for good."""
        self.is_leaving = True
        emit(
            Event.SERVER_LEAVING,
            request=self.request_id(call.headers),
            service=call.service,
            waiting=len(self.urgent_queue) + len(self.bulk_queue),
        )
        self.close()
        if self.on_leaving is not None:
            self.on_leaving()

    def _change_limit(self, limit: float | None, call: Call) -> None:
        emit(
            Event.SERVER_LIMIT_CHANGED,
            request=self.request_id(call.headers),
            service=call.service,
            limit=limit,
            previous=self.rate.limit,
            sent_calls=self.sent_calls,
            in_flight=self.in_flight,
        )
        self.rate.set_limit(limit, self.clock.monotonic())
        self.start_queued_calls()

    def close(self) -> None:
        """Reject queued and new calls; calls that are running continue."""
        self.closed = True
        self.reject_queued()

    def reject_queued(self) -> None:
        """Reject the calls that wait, so that they go to another server."""
        for queue in (self.urgent_queue, self.bulk_queue):
            for pending in queue:
                queue.remove(pending)
                pending.reject(Reason.DRAINING)

    def queue(self, call: Call) -> CallQueue:
        """Return the queue for the priority of a call."""
        return self.urgent_queue if call.urgent else self.bulk_queue

    def _rejection_reason(self, call: Call) -> Reason | None:
        """Return why a new call is rejected, None if it is accepted."""
        if not self.accepts_calls:
            return Reason.DRAINING
        if self.is_excluded(call):
            return Reason.VERSION_EXCLUDED
        now = self.clock.monotonic()
        self.latency_targets.update(call, now)
        ahead = self.queue(call).count_ahead_of(call, now)
        if ahead >= self.usable_slots * QUEUE_LENGTH_PER_SLOT:
            return Reason.QUEUE_FULL
        wait_seconds = self.expected_wait_seconds(call)
        service_seconds = self.expected_service_seconds(call)
        if wait_seconds + service_seconds > call.deadline - now:
            return Reason.QUEUE_FULL
        end_at = now + wait_seconds + service_seconds
        if (
            end_at > call.latency_target_at
            and now + wait_seconds > self.queue_deadline(call, now)
        ) or self.pacing.must_try_elsewhere(call, end_at, now):
            return Reason.QUEUE_FULL
        return None

    def queue_deadline(self, call: Call, now: float) -> float:
        """Return until when a call may stay queued if its target is out of reach.

        A call is rejected while its caller still has time to try another server
        or to retry later, not just before its deadline.
        """
        if call.latency_target_at == math.inf:
            return call.deadline
        return now + (call.deadline - now) * MAX_LATE_WAIT_SHARE

    def retry_after_seconds(self, call: Call) -> float:
        """Return the seconds after which a similar call may be accepted."""
        return self.expected_wait_seconds(call)

    def expected_end(self, pending: PendingCall) -> float:
        """Return by when a call is very likely to finish if it starts now."""
        service_seconds = (
            self.expected_service_seconds(pending.call) * SERVICE_TIME_MARGIN
        )
        return self.clock.monotonic() + service_seconds

    def is_excluded(self, call: Call) -> bool:
        """Return whether the service version of a call must not get calls now."""
        return call.service_version in self.excluded_versions(call.service)

    def expected_wait_seconds(self, call: Call) -> float:
        """Return the expected queueing time of a call in seconds.

        Only calls of the same priority count, so that urgent calls are never
        rejected because of bulk calls.
        """
        now = self.clock.monotonic()
        return max(
            self._slot_wait_seconds(call, now), self._rate_wait_seconds(call, now)
        )

    def _rate_wait_seconds(self, call: Call, now: float) -> float:
        """Return the wait for the limits on calls to the server."""
        ahead = self.queue(call).count_ahead_of(call, now)
        if not call.urgent:
            ahead += len(self.urgent_queue)
        return self.pacing.seconds_until_calls(ahead + 1, call.urgent, now)

    def _slot_wait_seconds(self, call: Call, now: float) -> float:
        if call.urgent:
            running = self.in_flight - self.bulk_in_flight
            ahead = (
                self.urgent_queue.count_ahead_of(call, now) + running - self.slots + 1
            )
            slots = self.slots
            mean = self.service_times.mean(URGENT)
        else:
            slots = self.bulk_slots
            ahead = (
                self.bulk_queue.count_ahead_of(call, now)
                + self.bulk_in_flight
                - slots
                + 1
            )
            mean = self.service_times.mean(BULK)
        return max(0, ahead) * mean / slots

    def expected_service_seconds(self, call: Call) -> float:
        """Return the expected service time in seconds, 0 while the server is idle.

        An idle server accepts any call, because a wrong estimate would otherwise
        reject the calls that could correct it.
        """
        return self.service_times.mean(call.route) if self.in_flight else 0.0

    def start_queued_calls(self) -> None:
        """Start queued calls while slots are free and the server's limit allows."""
        if self.is_starting_calls:
            return
        self.is_starting_calls = True
        try:
            while self.in_flight < self._max_in_flight:
                pending = self._next_call()
                if pending is None:
                    if self.urgent_queue or self.bulk_queue:
                        self.pacing.wait(bool(self.urgent_queue))
                    break
                self._start_call(pending)
        finally:
            self.is_starting_calls = False

    @property
    def _max_in_flight(self) -> int:
        if self.is_status_known:
            return self.slots
        return min(self.slots, self.max_first_calls)

    def _next_call(self) -> PendingCall | None:
        now = self.clock.monotonic()
        if self.pacing.is_exhausted(True, now):
            return None
        pending = self.urgent_queue.pop(self.expected_end)
        if (
            pending is None
            and self.bulk_queue
            and self.bulk_in_flight < self.bulk_slots
            and not self.pacing.is_exhausted(False, now)
        ):
            pending = self.bulk_queue.pop(self.expected_end)
        return pending

    def _start_call(self, pending: PendingCall) -> None:
        call = pending.call
        remaining_seconds = call.deadline - self.clock.monotonic()
        reason = None
        if self.is_excluded(call):
            reason = Reason.VERSION_EXCLUDED
        elif remaining_seconds <= self.expected_service_seconds(call):
            reason = Reason.DEADLINE
        if reason is not None:
            pending.reject(reason)
            self._update_urgent_reserve(call)
            return
        self.in_flight += 1
        self.sent_calls += 1
        self.pacing.record_start(call.urgent, self.clock.monotonic())
        self.bulk_in_flight += not call.urgent
        pending.start(remaining_seconds)

    def release_slot(self, call: Call) -> None:
        """Free the slot of a call that has ended and start queued calls."""
        self.in_flight -= 1
        self.bulk_in_flight -= not call.urgent
        self._update_urgent_reserve(call)
        self.start_queued_calls()

    def remove_queued(self, pending: PendingCall) -> None:
        """Remove a call from its queue."""
        self.queue(pending.call).remove(pending)
        self._update_urgent_reserve(pending.call)

    def record_service_time(self, call: Call, seconds: float) -> None:
        """Record the time in seconds that a call spent at the server."""
        self.service_times.record(call.route, seconds)
        self.service_times.record(URGENT if call.urgent else BULK, seconds)

    def _update_urgent_reserve(self, call: Call) -> None:
        if call.urgent:
            urgent = self.in_flight - self.bulk_in_flight + len(self.urgent_queue)
            self.urgent_reserve.update(urgent, self.clock.monotonic())


__all__ = ["Admission"]
