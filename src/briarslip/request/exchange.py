"""One caller's request from its arrival to the end of its response."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.request.attempt import CRASH_REASONS
from briarslip.request.attempt import Attempt
from briarslip.request.call import Load
from briarslip.request.call import ResponseHead
from briarslip.request.claim import MAX_STORED_RESPONSE_BYTES
from briarslip.request.claim import AcquiredClaim
from briarslip.request.claim import AlreadyForwarded
from briarslip.request.claim import ClaimRequest
from briarslip.request.claim import KeyMismatch
from briarslip.request.claim import Replay
from briarslip.request.claim import StoredResponse
from briarslip.request.claim import StoreUnavailable
from briarslip.request.fingerprint import Fingerprint
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from briarslip.request.placement import Placement
from briarslip.request.propagation import context_headers
from briarslip.request.retry import MAX_HOPS
from briarslip.request.retry import NEVER_SENT_REASONS
from briarslip.request.retry import is_retryable
from briarslip.request.standing import Standing
from briarslip.version.record import DEFAULT_MAX_ATTEMPTS


if TYPE_CHECKING:
    from briarslip.request.call import Call
    from briarslip.request.call import ResponseSink
    from briarslip.request.claim import ClaimDecision
    from briarslip.request.forwarder import Forwarder
    from briarslip.request.server import Server
    from briarslip.request.timer import Timer


# Time for the failure to arrive from the server's daemon, which ends a call at the
# deadline.
DEADLINE_GRACE_SECONDS = 0.05
REPLAYED_HEADER = b"Briarslip-Replayed: 1\r\n"


class Exchange:
    """Makes attempts for a request until one gives the response for the caller.

    ``is_retry`` is true if the request is a retry or nested in one; it must not
    be retried again. ``may_have_run`` is true after an attempt with an unknown
    outcome; later rejections do not change that. ``standing`` is where the request
    may run if it is suspected to crash servers. ``is_last_attempt`` is set once the
    daemon is about to stop.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        call: Call,
        is_retry: bool,
        sink: ResponseSink,
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
        standing: Standing | None = None,
    ) -> None:
        self.forwarder = forwarder
        self.call = call
        self.is_retry = is_retry
        self.sink = sink
        self.attempt: Attempt | None = None
        self.placement = Placement(forwarder, call)
        self.last_server = ""
        self.last_version = ""
        self.max_attempts = max_attempts
        self.standing = standing
        self.attempts = 0
        self.hops = 0
        self.may_have_run = False
        self.head_sent = False
        self.stored_response: StoredResponse | None = None
        self.recorded_body = bytearray()
        self.acquired_claim: AcquiredClaim | None = None
        self.is_claim_required = True
        self.timer: Timer | None = None
        self.is_last_attempt = False
        self.is_attempt_retry = is_retry
        self.ended = False

    def start(self, idempotency_key: bytes, claims: str) -> None:
        """Start the first attempt.

        A non-idempotent request with an idempotency key acquires a claim before,
        unless ``claims``, the setting of the route, is "none".
        """
        forwarder = self.forwarder
        remaining_seconds = self.call.deadline - forwarder.clock.monotonic()
        self.timer = forwarder.dependencies.call_later(
            remaining_seconds + DEADLINE_GRACE_SECONDS, self._time_out
        )
        if self.call.idempotent or not idempotency_key or claims == "none":
            self._start_first_attempt()
            return
        self.is_claim_required = claims == "required"
        request = ClaimRequest.from_call(self.call, idempotency_key)
        forwarder.dependencies.claims.acquire(request, self._claim_decided)

    def _claim_decided(self, decision: ClaimDecision) -> None:
        if self.ended:
            self._release_late_claim(decision)
            return
        match decision:
            case AcquiredClaim():
                self.acquired_claim = decision
                self._start_first_attempt()
            case Replay():
                self._replay(decision.response)
            case AlreadyForwarded():
                self._fail(Failure(Outcome.UNKNOWN, Reason.ALREADY_FORWARDED))
            case KeyMismatch():
                self._fail(Failure(Outcome.NOT_RUN, Reason.KEY_MISMATCH))
            case StoreUnavailable():
                self._handle_store_unavailable(decision)

    def _handle_store_unavailable(self, decision: StoreUnavailable) -> None:
        self.acquired_claim = decision.uncertain_claim
        if self.is_claim_required:
            self._fail(Failure(Outcome.NOT_RUN, Reason.NO_CLAIM))
        else:
            self._start_first_attempt()

    def _release_late_claim(self, decision: ClaimDecision) -> None:
        acquired = (
            decision.uncertain_claim
            if isinstance(decision, StoreUnavailable)
            else decision
        )
        if isinstance(acquired, AcquiredClaim):
            self.forwarder.dependencies.claims.release(acquired)

    def _replay(self, response: StoredResponse) -> None:
        headers = response.headers + REPLAYED_HEADER
        load = Load(0, 0)
        self._finish()
        self.sink.head(ResponseHead(response.status, headers, Outcome.RAN, load))
        self.sink.body(response.body, True)

    def _start_first_attempt(self) -> None:
        self.forwarder.retry_budget.deposit(self.call.depth, self.is_retry)
        self.forwarder.moves.deposit()
        server = self._choose_server()
        if server is None:
            self._fail(Failure(Outcome.NOT_RUN, Reason.NO_SERVER))
            return
        self._start_attempt(server, self.is_retry)

    def _choose_server(self) -> Server | None:
        return self.placement.choose(self.standing)

    def _start_attempt(self, server: Server, is_retry: bool) -> None:
        self.attempts += 1
        self.hops += 1
        self.placement.tried.add(server)
        self.last_server = str(server.address)
        self.last_version = server.version
        call = self.call
        context = context_headers(call.depth, call.urgent, is_retry)
        may_move_on = self.standing is None and self.placement.may_move_on(server)
        call = call.for_server(server.version, context, may_move_on)
        if self.standing is not None and self.standing.is_suspect_at(server.version):
            call = replace(call, is_suspect=True)
        self.is_attempt_retry = is_retry
        self.attempt = Attempt(self.forwarder, server, call, self)
        self.attempt.start()

    def try_withdraw_retry(self, failure: Failure) -> bool:
        """Return whether to retry after a failed attempt.

        If so, the retry has been withdrawn from the retry budget.
        """
        if (
            self.head_sent
            or self.is_last_attempt
            or self.is_retry
            or self.hops >= MAX_HOPS
            or self.call.deadline <= self.forwarder.clock.monotonic()
            or not is_retryable(failure, self.call.idempotent)
        ):
            return False
        was_sent = not (
            failure.reason in NEVER_SENT_REASONS and failure.outcome is Outcome.NOT_RUN
        )
        if not was_sent:
            # The attempt does not count: no server has seen the request.
            self.attempts -= 1
        elif self.attempts >= self.max_attempts:
            return False
        if self._choose_server() is None:
            return False
        budget = self.forwarder.retry_budget
        has_withdrawn = (
            budget.try_withdraw()
            if was_sent
            else budget.try_withdraw_rejected(failure.reason)
        )
        if not has_withdrawn:
            self._log(Event.RETRY_BUDGET_EMPTY, failure)
        return has_withdrawn

    def retry(self, failure: Failure) -> None:
        """Start another attempt; ``try_withdraw_retry`` must have returned true."""
        server = self._choose_server()
        if server is None:
            self._fail(Failure(Outcome.NOT_RUN, Reason.NO_SERVER))
            return
        self._log(Event.REQUEST_RETRIED, failure, next=str(server.address))
        self._start_attempt(server, True)

    def attempt_failed(self, failure: Failure) -> None:
        """Retry after a failed attempt, or end the request with its failure."""
        self.may_have_run |= failure.outcome is not Outcome.NOT_RUN
        if failure.reason in CRASH_REASONS:
            self._server_crashed()
        if self.try_withdraw_retry(failure):
            self.retry(failure)
        else:
            self._fail(failure)

    def move_on(self, server: Server) -> None:
        """Leave a full server for another; this is no retry, as it ran nothing."""
        self.attempts -= 1
        self.hops -= 1
        self.placement.move_on(server)
        next_server = None if self.is_last_attempt else self._choose_server()
        if next_server is None:
            self._fail(Failure(Outcome.NOT_RUN, Reason.QUEUE_FULL))
        else:
            self._start_attempt(next_server, self.is_attempt_retry)

    def _server_crashed(self) -> None:
        """Update the standing of the request; the news of the crash may come later."""
        standing = self.forwarder.dependencies.standing(self.call)
        if standing is None:
            fingerprint = Fingerprint.from_call(self.call)
            standing = Standing(fingerprint, frozenset((self.last_version,)))
        self.standing = standing

    def head(self, head: ResponseHead) -> None:
        """Forward the response head of an attempt to the caller."""
        self.head_sent = True
        if self.acquired_claim is not None:
            self.stored_response = StoredResponse(head.status, head.headers, b"")
            if head.outcome is Outcome.NOT_RUN:
                self._release_claim()
        self.sink.head(head)

    def body(self, data: bytes, last: bool) -> None:
        """Forward a part of the body.

        If there is a claim, the response is stored for copies of the request.
        """
        if self.acquired_claim is not None:
            self._record_body(data, last)
        if last:
            self._finish()
        self.sink.body(data, last)

    def _record_body(self, data: bytes, last: bool) -> None:
        response = self.stored_response
        if response is None or self.acquired_claim is None:
            return
        self.recorded_body += data
        size_bytes = response.size_bytes + len(self.recorded_body)
        if size_bytes > MAX_STORED_RESPONSE_BYTES:
            self.stored_response = None
            self.recorded_body.clear()
        elif last:
            acquired, self.acquired_claim = self.acquired_claim, None
            complete_response = replace(response, body=bytes(self.recorded_body))
            self.forwarder.dependencies.claims.store(acquired, complete_response)

    def cancel(self) -> None:
        """Cancel the request because the caller has disconnected."""
        if self.ended:
            return
        attempt = self.attempt
        self._log(Event.REQUEST_CANCELLED, Failure(Outcome.UNKNOWN, Reason.CANCELLED))
        self._finish()
        if attempt is not None:
            attempt.cancel(Reason.CANCELLED)

    def end_waiting(self, end: float) -> None:
        """Fail the request as not run if it still waits for a server.

        Otherwise it has until ``end``, a time of the clock, when the daemon stops.
        """
        if self.ended:
            return
        self.is_last_attempt = True
        remaining_seconds = end - self.forwarder.clock.monotonic()
        if self.timer is not None and self.call.deadline > end:
            self.timer.cancel()
            self.timer = self.forwarder.dependencies.call_later(
                max(0.0, remaining_seconds), self._shut_down
            )
        if self.attempt is None:
            self._fail(Failure(Outcome.NOT_RUN, Reason.DRAINING))
        else:
            self.call.withdrawal.request()

    def _shut_down(self) -> None:
        """End a request that a server still runs when the daemon stops."""
        self.timer = None
        if self.attempt is not None:
            self.attempt.cancel(Reason.SHUT_DOWN)
        self._fail(Failure(Outcome.UNKNOWN, Reason.SHUT_DOWN))

    def _log(self, event: Event, failure: Failure, **fields: Any) -> None:
        call = self.call
        emit(
            event,
            request=self.forwarder.dependencies.request_id(call.headers),
            route=call.route,
            service=call.service,
            version=call.service_version,
            server=self.last_server,
            outcome=failure.outcome.value,
            reason=failure.reason.value,
            attempts=self.attempts,
            hops=self.hops,
            left_ms=round((call.deadline - self.forwarder.clock.monotonic()) * 1000),
            **fields,
        )

    def _time_out(self) -> None:
        self.timer = None
        outcome = Outcome.NOT_RUN
        if self.attempt is not None:
            outcome = Outcome.UNKNOWN
            self.attempt.cancel(Reason.DEADLINE)
        self._log(Event.REQUEST_TIMED_OUT, Failure(outcome, Reason.DEADLINE))
        self._fail(Failure(outcome, Reason.DEADLINE))

    def _fail(self, failure: Failure) -> None:
        if self.ended:
            return
        if failure.outcome is Outcome.NOT_RUN:
            if self.may_have_run:
                failure = Failure(Outcome.UNKNOWN, failure.reason)
            elif not self.head_sent:
                self._release_claim()
        event = Event.RESPONSE_TRUNCATED if self.head_sent else Event.REQUEST_FAILED
        self._log(event, failure, retry_after=failure.retry_after_seconds)
        self._finish()
        self.sink.failed(failure, None)

    def _release_claim(self) -> None:
        acquired, self.acquired_claim = self.acquired_claim, None
        if acquired is not None:
            self.forwarder.dependencies.claims.release(acquired)

    def _finish(self) -> None:
        self.ended = True
        acquired, self.acquired_claim = self.acquired_claim, None
        if acquired is not None:
            self.forwarder.dependencies.claims.abandon(acquired)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        # The attempt refers to the exchange: break the reference cycle.
        self.attempt = None
        self.forwarder.request_finished(self)


__all__ = ["Exchange"]
