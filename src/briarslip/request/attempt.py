"""One attempt of a call at one server."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.request.attempt_result import AttemptResult
from briarslip.request.ejection import DRAINING_AVOIDANCE_SECONDS
from briarslip.request.ejection import eject_unreachable
from briarslip.request.ejection import record_failure
from briarslip.request.ejection import record_lost_link
from briarslip.request.ejection import record_success
from briarslip.request.outcome import VERDICT_REASONS
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from briarslip.request.refusal import may_forward_refusal
from briarslip.request.refusal import refusal_failure
from briarslip.request.retry import STALE_MEMBERSHIP_REASONS
from briarslip.request.server import record_latency
from briarslip.request.server import record_load
from briarslip.request.server import record_service_time


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.call import Call
    from briarslip.request.call import Load
    from briarslip.request.call import ResponseHead
    from briarslip.request.exchange import Exchange
    from briarslip.request.forwarder import Forwarder
    from briarslip.request.server import Server


FIRST_SERVER_ERROR_STATUS = 500
MIN_LATENCY_SECONDS = 1e-6
CRASH_REASONS = frozenset((Reason.SERVER_CRASHED, Reason.CRASHED_BY_SUSPECT))
UNREACHABLE_REASONS = CRASH_REASONS | {Reason.CONNECT_FAILED}
LINK_FAILURE_REASONS = frozenset((Reason.CONNECTION_LOST, Reason.STALLED))
OVERLOAD_REASONS = frozenset(
    (Reason.QUEUE_FULL, Reason.BUFFERS_FULL, Reason.SHED, Reason.DEADLINE)
)


class Attempt:
    """Receives the response of one server and forwards it to the exchange.

    The result updates the state of the server. Nothing is forwarded after the
    attempt has ended, so that a late or replaced response can't mix with
    another one.
    """

    def __init__(
        self, forwarder: Forwarder, server: Server, call: Call, exchange: Exchange
    ) -> None:
        self.forwarder = forwarder
        self.server = server
        self.call = call
        self.exchange = exchange
        self.started_at = forwarder.clock.monotonic()
        self.outcome = Outcome.UNKNOWN
        self.status = 0
        self.ended = False
        self.link_lost = False
        self.cancel_dispatch: Callable[[], None] | None = None
        server.in_flight += 1
        server.sent_since_report += 1

    def start(self) -> None:
        """Send the call to the server's daemon."""
        dependencies = self.forwarder.dependencies
        if self.server.address != dependencies.own_address:
            self._set_cancel(
                dependencies.remote_dispatch(self.server.address, self.call, self)
            )
            return
        dispatch = dependencies.local_dispatch(
            self.call.service, self.call.service_version
        )
        if dispatch is None:
            self.failed(Failure(Outcome.NOT_RUN, Reason.NO_SERVER), None)
            return
        self._set_cancel(dispatch(self.call, self))

    def _set_cancel(self, cancel: Callable[[], None]) -> None:
        # A reference cycle would keep the body of an ended call for a long time.
        self.cancel_dispatch = None if self.ended else cancel

    def head(self, head: ResponseHead) -> None:
        """Forward the head, or retry if the server shed the call."""
        if self.ended:
            return
        now = self.forwarder.clock.monotonic()
        self.outcome = head.outcome
        self.status = head.status
        record_load(self.server, head.load, now, ending_calls=1)
        if head.leaving_incarnation:
            self.forwarder.directory.record_leaving(
                self.server.address, head.leaving_incarnation
            )
        if head.outcome is Outcome.NOT_RUN:
            if self._is_refusal_handled(head):
                return
        elif head.status < FIRST_SERVER_ERROR_STATUS:
            self._record_service_time(head.load, now)
        self.exchange.head(head)

    def _is_refusal_handled(self, head: ResponseHead) -> bool:
        """Retry or fail a call that the server has not run; return whether to stop.

        Otherwise the refusal is the response for the caller.
        """
        failure = refusal_failure(head)
        if self.exchange.may_have_run or not may_forward_refusal(head):
            self._end(failure.outcome, failure.reason)
            self.exchange.attempt_failed(failure)
            return True
        if not self.exchange.try_withdraw_retry(failure):
            return False
        self._end(failure.outcome, failure.reason)
        self.exchange.retry(failure)
        return True

    def body(self, data: bytes, last: bool) -> None:
        """Forward a part of the body."""
        if self.ended:
            return
        if last:
            self._end(self.outcome, None)
        self.exchange.body(data, last)

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Report a failure to the exchange, which may start another attempt."""
        if self.ended:
            return
        if load is not None:
            record_load(self.server, load, self.forwarder.clock.monotonic())
        if failure.reason is Reason.SERVER_BUSY:
            self._move_on()
            return
        if failure.reason in VERDICT_REASONS:
            # A daemon of another version may send it. The request itself was accepted.
            failure = replace(failure, reason=Reason.INTERNAL_ERROR)
        # A failure without a load was not reported by the server's daemon.
        self.link_lost = load is None and failure.reason in LINK_FAILURE_REASONS
        self._end(failure.outcome, failure.reason)
        self.exchange.attempt_failed(failure)

    def _move_on(self) -> None:
        """End without a result: nothing is wrong with a server that is full."""
        self.ended = True
        self.cancel_dispatch = None
        self._update_in_flight()
        self.exchange.move_on(self.server)

    def cancel(self, reason: Reason) -> None:
        """Cancel the attempt; the server may have run the call."""
        if self.ended:
            return
        cancel_dispatch = self.cancel_dispatch
        self._end(Outcome.UNKNOWN, reason)
        if cancel_dispatch is not None:
            cancel_dispatch()

    def _end(self, outcome: Outcome, reason: Reason | None) -> None:
        self.ended = True
        self.cancel_dispatch = None
        self._update_in_flight()
        failed = reason is not None or self.status >= FIRST_SERVER_ERROR_STATUS
        if reason is not Reason.CANCELLED:
            self._update_server(outcome, reason, failed)
        call = self.call
        self.forwarder.dependencies.record_attempt(
            AttemptResult(
                service=call.service,
                version=call.service_version,
                route=call.route,
                server=self.server.address,
                outcome=outcome,
                failed=failed and reason is not Reason.CANCELLED,
                latency_seconds=self.forwarder.clock.monotonic() - self.started_at,
            )
        )

    def _update_in_flight(self) -> None:
        server = self.server
        server.in_flight -= 1
        # A failure may carry no load report, which would reset the count.
        server.sent_since_report = min(server.sent_since_report, server.in_flight)

    def _update_server(
        self, outcome: Outcome, reason: Reason | None, failed: bool
    ) -> None:
        now = self.forwarder.clock.monotonic()
        server = self.server
        previous_ejected_until = server.ejected_until
        self._record_outcome(outcome, reason, failed, now)
        if server.ejected_until != previous_ejected_until:
            self._log_ejection(reason, now)

    def _record_outcome(
        self, outcome: Outcome, reason: Reason | None, failed: bool, now: float
    ) -> None:
        server = self.server
        if reason in STALE_MEMBERSHIP_REASONS:
            server.avoid_until = now + DRAINING_AVOIDANCE_SECONDS
        elif outcome is Outcome.NOT_RUN and (
            reason is None or reason in OVERLOAD_REASONS
        ):
            # Overload is not a fault: high occupancy diverts calls without ejection.
            server.reported_occupancy = max(server.reported_occupancy, 2 * server.slots)
            server.reported_at = now
        elif reason is Reason.QUARANTINED:
            # Nothing is wrong with the server.
            return
        elif reason in UNREACHABLE_REASONS:
            eject_unreachable(server, now, self.forwarder.rng)
        elif self.link_lost:
            record_lost_link(server, now, self.forwarder.rng)
        elif failed:
            if reason is Reason.DEADLINE:
                self._record_latency(now)
            others = self.forwarder.candidate_servers(self.call)
            record_failure(server, now, self.forwarder.rng, others)
        else:
            record_success(server, now)

    def _log_ejection(self, reason: Reason | None, now: float) -> None:
        server = self.server
        event = Event.SERVER_EJECTED
        if not server.ejected_until:
            event = Event.SERVER_READMITTED
        emit(
            event,
            request=self.forwarder.dependencies.request_id(self.call.headers),
            server=str(server.address),
            service=server.service,
            version=server.version,
            reason="" if reason is None else reason.value,
            status=self.status,
            failure_share=round(server.failure_share, 2),
            seconds=round(max(0.0, server.ejected_until - now), 1),
        )

    def _record_service_time(self, load: Load, now: float) -> None:
        record_service_time(
            self.server,
            self.forwarder.latencies,
            self.call.latency_key,
            self._latency(now),
            load.service_time_seconds,
            now,
        )

    def _record_latency(self, now: float) -> None:
        mean_latencies = self.forwarder.latencies
        key = self.call.latency_key
        record_latency(self.server, mean_latencies, key, self._latency(now), now)

    def _latency(self, now: float) -> float:
        return max(now - self.started_at, MIN_LATENCY_SECONDS)


__all__ = ["CRASH_REASONS", "Attempt"]
