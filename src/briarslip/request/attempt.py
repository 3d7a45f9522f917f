"""One hand-over of a call to one server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.request.attempt_result import AttemptResult
from briarslip.request.ejection import DRAINING_AVOIDED_SECONDS
from briarslip.request.ejection import take_failure
from briarslip.request.ejection import take_lost_link
from briarslip.request.ejection import take_success
from briarslip.request.ejection import take_unreachable
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from briarslip.request.server import learn_latency
from briarslip.request.server import learn_load
from briarslip.request.server import learn_service_time


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.call import Call
    from briarslip.request.call import Load
    from briarslip.request.call import ResponseHead
    from briarslip.request.exchange import Exchange
    from briarslip.request.forwarder import Forwarder
    from briarslip.request.server import Server


FIRST_ERROR_STATUS = 500
LEAST_MEAN_SECONDS = 1e-6
LEAVING_REASONS = frozenset(
    (Reason.DRAINING, Reason.NO_SERVER, Reason.VERSION_EXCLUDED)
)
LINK_REASONS = frozenset((Reason.CONNECTION_LOST, Reason.STALLED))
FULL_REASONS = frozenset((Reason.QUEUE_FULL, Reason.SHED, Reason.DEADLINE))


class Attempt:
    """Takes the answer of one server; learns from it, then passes it on.

    Nothing reaches the exchange after the attempt has ended, so that an answer
    that comes late or was replaced can't mix with another one.
    """

    def __init__(
        self, forwarder: Forwarder, server: Server, call: Call, exchange: Exchange
    ) -> None:
        self.forwarder = forwarder
        self.server = server
        self.call = call
        self.exchange = exchange
        self.began = forwarder.clock.monotonic()
        self.outcome = Outcome.UNKNOWN
        self.status = 0
        self.ended = False
        self.link_lost = False
        self.cancel_dispatch: Callable[[], None] | None = None
        server.in_flight += 1
        server.sent_since += 1

    def start(self) -> None:
        """Hand the call to the daemon of the server."""
        dependencies = self.forwarder.dependencies
        if self.server.address != dependencies.own_address:
            self.cancel_dispatch = dependencies.remote_dispatch(
                self.server.address, self.call, self
            )
            return
        dispatch = dependencies.local_dispatch(
            self.call.service, self.call.service_version
        )
        if dispatch is None:
            self.failed(Failure(Outcome.NOT_RUN, Reason.NO_SERVER), None)
            return
        self.cancel_dispatch = dispatch(self.call, self)

    def head(self, head: ResponseHead) -> None:
        """Take the head; a shed answer counts as a failed attempt."""
        if self.ended:
            return
        now = self.forwarder.clock.monotonic()
        self.outcome = head.outcome
        self.status = head.status
        learn_load(self.server, head.load, now)
        if head.outcome is Outcome.NOT_RUN:
            failure = Failure(Outcome.NOT_RUN, Reason.SHED)
            if self.exchange.may_retry(failure):
                self._end(Outcome.NOT_RUN, Reason.SHED)
                self.exchange.retry(failure)
                return
        elif head.status < FIRST_ERROR_STATUS:
            self._learn_service_time(head.load, now)
        self.exchange.head(head)

    def body(self, data: bytes, last: bool) -> None:
        """Pass a body part on."""
        if self.ended:
            return
        if last:
            self._end(self.outcome, None)
        self.exchange.body(data, last)

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Take a failure, which the exchange may answer with another attempt."""
        if self.ended:
            return
        if load is not None:
            learn_load(self.server, load, self.forwarder.clock.monotonic())
        # What the server's daemon reports comes with the server's load.
        self.link_lost = load is None and failure.reason in LINK_REASONS
        self._end(failure.outcome, failure.reason)
        self.exchange.attempt_failed(failure)

    def cancel(self, reason: Reason) -> None:
        """Give the attempt up; what was sent may have run."""
        if self.ended:
            return
        self._end(Outcome.UNKNOWN, reason)
        if self.cancel_dispatch is not None:
            self.cancel_dispatch()

    def _end(self, outcome: Outcome, reason: Reason | None) -> None:
        self.ended = True
        self._leave_server()
        failed = reason is not None or self.status >= FIRST_ERROR_STATUS
        if reason is not Reason.CANCELLED:
            self._judge_server(outcome, reason, failed)
        call = self.call
        self.forwarder.dependencies.record_attempt(
            AttemptResult(
                service=call.service,
                version=call.service_version,
                route=call.route,
                server=self.server.address,
                outcome=outcome,
                failed=failed and reason is not Reason.CANCELLED,
                latency=self.forwarder.clock.monotonic() - self.began,
            )
        )

    def _leave_server(self) -> None:
        server = self.server
        server.in_flight -= 1
        # A failure may bring no report, so the count is bounded here too.
        server.sent_since = min(server.sent_since, server.in_flight)

    def _judge_server(
        self, outcome: Outcome, reason: Reason | None, failed: bool
    ) -> None:
        now = self.forwarder.clock.monotonic()
        server = self.server
        before = server.ejected_until
        self._learn_outcome(outcome, reason, failed, now)
        if server.ejected_until != before:
            self._log_ejection(reason, now)

    def _learn_outcome(
        self, outcome: Outcome, reason: Reason | None, failed: bool, now: float
    ) -> None:
        server = self.server
        if reason in LEAVING_REASONS:
            server.avoid_until = now + DRAINING_AVOIDED_SECONDS
        elif outcome is Outcome.NOT_RUN and (reason is None or reason in FULL_REASONS):
            # Full is no fault: a report of full slots keeps calls away.
            server.reported = max(server.reported, 2 * server.slots)
            server.reported_at = now
        elif reason is Reason.CONNECT_FAILED:
            take_unreachable(server, now, self.forwarder.rng)
        elif self.link_lost:
            take_lost_link(server, now, self.forwarder.rng)
        elif failed:
            if reason is Reason.DEADLINE:
                self._learn_latency(now)
            others = self.forwarder.servers(self.call)
            take_failure(server, now, self.forwarder.rng, others)
        else:
            take_success(server, now)

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

    def _learn_service_time(self, load: Load, now: float) -> None:
        learn_service_time(
            self.server,
            self.forwarder.latencies,
            self.call.latency_key,
            self._latency(now),
            load.service_time_seconds,
            now,
        )

    def _learn_latency(self, now: float) -> None:
        times = self.forwarder.latencies
        key = self.call.latency_key
        learn_latency(self.server, times, key, self._latency(now), now)

    def _latency(self, now: float) -> float:
        return max(now - self.began, LEAST_MEAN_SECONDS)


__all__ = ["Attempt"]
