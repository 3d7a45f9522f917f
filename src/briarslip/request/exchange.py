"""One caller's request from its arrival to the end of its answer."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from briarslip.process.events import Event
from briarslip.process.events import emit
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
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from briarslip.request.propagation import context_lines
from briarslip.request.retry import MAX_HOPS
from briarslip.request.retry import NEVER_OFFERED
from briarslip.request.retry import is_retryable
from briarslip.request.server_choice import choose
from briarslip.version.record import DEFAULT_MAX_ATTEMPTS


if TYPE_CHECKING:
    from briarslip.request.call import Call
    from briarslip.request.call import ResponseSink
    from briarslip.request.claim import ClaimDecision
    from briarslip.request.forwarder import Forwarder
    from briarslip.request.server import Server
    from briarslip.request.timer import Timer


# The serving daemon ends a call at its deadline; this is for its word to come.
GRACE_SECONDS = 0.05
REPLAYED_LINE = b"Briarslip-Replayed: 1\r\n"


class Exchange:
    """Sends a call until it has an answer that may be passed on.

    ``retried`` is true when the call came as part of a retry further out, which
    must not be retried again here. ``may_have_run`` is true after an attempt
    with an unknown outcome, which no later refusal makes undone.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        call: Call,
        retried: bool,
        sink: ResponseSink,
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
    ) -> None:
        self.forwarder = forwarder
        self.call = call
        self.retried = retried
        self.sink = sink
        self.attempt: Attempt | None = None
        self.tried: set[Server] = set()
        self.last_server = ""
        self.max_attempts = max_attempts
        self.attempts = 0
        self.hops = 0
        self.may_have_run = False
        self.head_sent = False
        self.answer: StoredResponse | None = None
        self.parts: list[bytes] = []
        self.held: AcquiredClaim | None = None
        self.claim_required = True
        self.timer: Timer | None = None
        self.ended = False

    def start(self, caller_key: bytes, claims: str) -> None:
        """Begin; a non-idempotent call with a key gets a claim first."""
        forwarder = self.forwarder
        remaining = self.call.deadline - forwarder.clock.monotonic()
        self.timer = forwarder.dependencies.call_later(
            remaining + GRACE_SECONDS, self._time_out
        )
        if self.call.idempotent or not caller_key or claims == "none":
            self._send_first()
            return
        self.claim_required = claims == "required"
        request = ClaimRequest.from_call(self.call, caller_key)
        forwarder.dependencies.claims.acquire(request, self._claimed)

    def _claimed(self, decision: ClaimDecision) -> None:
        if self.ended:
            self._give_back(decision)
            return
        match decision:
            case AcquiredClaim():
                self.held = decision
                self._send_first()
            case Replay():
                self._replay(decision.response)
            case AlreadyForwarded():
                self._fail(Failure(Outcome.UNKNOWN, Reason.ALREADY_FORWARDED))
            case KeyMismatch():
                self._fail(Failure(Outcome.NOT_RUN, Reason.KEY_MISMATCH))
            case StoreUnavailable():
                self._go_without_claim(decision)

    def _go_without_claim(self, decision: StoreUnavailable) -> None:
        self.held = decision.uncertain_claim
        if self.claim_required:
            self._fail(Failure(Outcome.NOT_RUN, Reason.NO_CLAIM))
        else:
            self._send_first()

    def _give_back(self, decision: ClaimDecision) -> None:
        held = (
            decision.uncertain_claim
            if isinstance(decision, StoreUnavailable)
            else decision
        )
        if isinstance(held, AcquiredClaim):
            self.forwarder.dependencies.claims.release(held)

    def _replay(self, answer: StoredResponse) -> None:
        headers = answer.headers + REPLAYED_LINE
        load = Load(0, 0)
        self._finish()
        self.sink.head(ResponseHead(answer.status, headers, Outcome.RAN, load))
        self.sink.body(answer.body, True)

    def _send_first(self) -> None:
        self.forwarder.retry_budget.pay_in(self.call.depth, self.retried)
        server = self._choose()
        if server is None:
            self._fail(Failure(Outcome.NOT_RUN, Reason.NO_SERVER))
            return
        self._send(server, self.retried)

    def _choose(self) -> Server | None:
        forwarder = self.forwarder
        servers = forwarder.servers(self.call, self.tried)
        zone = forwarder.dependencies.availability_zone
        now = forwarder.clock.monotonic()
        limit = forwarder.latency_limit(self.call, now)
        return choose(servers, zone, now, forwarder.rng, limit)

    def _send(self, server: Server, retried: bool) -> None:
        self.attempts += 1
        self.hops += 1
        self.tried.add(server)
        self.last_server = str(server.address)
        call = self.call
        context = context_lines(call.depth, call.urgent, retried)
        call = call.sent_as(server.version, context)
        self.attempt = Attempt(self.forwarder, server, call, self)
        self.attempt.start()

    def may_retry(self, failure: Failure) -> bool:
        """Tell whether a failed attempt is to be followed by another.

        A true answer takes a retry out of the budget.
        """
        if (
            self.head_sent
            or self.retried
            or self.hops >= MAX_HOPS
            or self.call.deadline <= self.forwarder.clock.monotonic()
            or not is_retryable(failure, self.call.idempotent)
        ):
            return False
        if failure.reason in NEVER_OFFERED and failure.outcome is Outcome.NOT_RUN:
            # No server has seen the request.
            self.attempts -= 1
            budget = self.forwarder.retry_budget
            return self._choose() is not None and budget.take_refused(failure.reason)
        if self.attempts >= self.max_attempts:
            return False
        return self._choose() is not None and self.forwarder.retry_budget.take()

    def retry(self, failure: Failure) -> None:
        """Make another attempt after a failed one, after ``may_retry``."""
        server = self._choose()
        if server is None:
            self._fail(Failure(Outcome.NOT_RUN, Reason.NO_SERVER))
            return
        self._log(Event.REQUEST_RETRIED, failure, next=str(server.address))
        self._send(server, True)

    def attempt_failed(self, failure: Failure) -> None:
        """Retry after a failed attempt, or end with its failure."""
        self.may_have_run |= failure.outcome is not Outcome.NOT_RUN
        if self.may_retry(failure):
            self.retry(failure)
        else:
            self._fail(failure)

    def head(self, head: ResponseHead) -> None:
        """Pass on the head of the attempt that is the answer."""
        self.head_sent = True
        if self.may_have_run and head.outcome is Outcome.NOT_RUN:
            head = replace(head, outcome=Outcome.UNKNOWN)
        if self.held is not None:
            self.answer = StoredResponse(head.status, head.headers, b"")
            if head.outcome is Outcome.NOT_RUN:
                self._release()
        self.sink.head(head)

    def body(self, data: bytes, last: bool) -> None:
        """Pass on a body part, kept for later copies where there is a claim."""
        if self.held is not None:
            self._keep(data, last)
        if last:
            self._finish()
        self.sink.body(data, last)

    def _keep(self, data: bytes, last: bool) -> None:
        answer = self.answer
        if answer is None or self.held is None:
            return
        self.parts.append(data)
        size = answer.size + sum(map(len, self.parts))
        if size > MAX_STORED_RESPONSE_BYTES:
            self.answer = None
        elif last:
            held, self.held = self.held, None
            whole = replace(answer, body=b"".join(self.parts))
            self.forwarder.dependencies.claims.store(held, whole)

    def cancel(self) -> None:
        """Give the request up: the caller has gone."""
        if self.ended:
            return
        attempt = self.attempt
        self._log(Event.REQUEST_GIVEN_UP, Failure(Outcome.UNKNOWN, Reason.CANCELLED))
        self._finish()
        if attempt is not None:
            attempt.cancel(Reason.CANCELLED)

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
                self._release()
        event = Event.REQUEST_CUT if self.head_sent else Event.REQUEST_FAILED
        self._log(event, failure, retry_after=failure.retry_after)
        self._finish()
        self.sink.failed(failure, None)

    def _release(self) -> None:
        held, self.held = self.held, None
        if held is not None:
            self.forwarder.dependencies.claims.release(held)

    def _finish(self) -> None:
        self.ended = True
        held, self.held = self.held, None
        if held is not None:
            self.forwarder.dependencies.claims.abandon(held)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        # The attempt refers back here: leave no reference cycle to collect.
        self.attempt = None
        self.forwarder.finished(self.call)


__all__ = ["Exchange"]
