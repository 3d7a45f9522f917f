"""Tests of forwarding: outcomes, retries, claims, deadlines and versions."""

from __future__ import annotations

import itertools
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from briarslip.process.events import EVENT_COUNTS
from briarslip.process.events import Event
from briarslip.request.call import Load
from briarslip.request.call import ResponseHead
from briarslip.request.claim import MAX_STORED_RESPONSE_BYTES
from briarslip.request.claim import AcquiredClaim
from briarslip.request.claim import AlreadyForwarded
from briarslip.request.claim import Claim
from briarslip.request.claim import KeyMismatch
from briarslip.request.claim import Replay
from briarslip.request.claim import StoredResponse
from briarslip.request.claim import StoreUnavailable
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from briarslip.request.retry import INITIAL_TOKENS
from briarslip.request.retry import MAX_RETRY_TOKENS
from briarslip.request.retry import RetryBudget
from tests.request.support import NOT_RUN
from tests.request.support import ROUTE
from tests.request.support import TIMEOUT
from tests.request.support import UNKNOWN
from tests.request.support import ForwarderHarness
from tests.request.support import RecordingSink
from tests.request.support import SentCall
from tests.request.support import address
from tests.request.support import member


if TYPE_CHECKING:
    from briarslip.request.claim import ClaimDecision


MAX_MEASUREMENTS = 10


class MeasuredBytes(bytes):
    """Bytes that count how often their length is asked for."""

    measured = 0

    def __len__(self) -> int:
        self.measured += 1
        return super().__len__()


class OutcomeTest(unittest.TestCase):
    """The outcome that the caller sees is correct."""

    def test_connection_lost_after_sending_is_unknown_and_not_retried(self) -> None:
        harness = ForwarderHarness(member(1), member(2))
        sink, _ = harness.request("POST")
        harness.sent[0].sink.failed(UNKNOWN, None)
        self.assertEqual(len(harness.sent), 1)
        self.assertIs(sink.outcome, Outcome.UNKNOWN)

    def test_request_to_an_unresponsive_server_ends_as_unknown_at_its_deadline(
        self,
    ) -> None:
        harness = ForwarderHarness(member(1))
        sink, _ = harness.request("POST")
        harness.time.advance(TIMEOUT + 0.1)
        self.assertEqual(sink.failure, Failure(Outcome.UNKNOWN, Reason.DEADLINE))
        self.assertTrue(harness.sent[0].cancelled)
        harness.sent[0].answer(b"late")
        self.assertEqual(sink.heads, [])

    def test_truncated_response_is_not_retried(self) -> None:
        harness = ForwarderHarness(member(1), member(2))
        sink, _ = harness.request("GET")
        first = harness.sent[0].sink
        first.head(ResponseHead(200, b"", Outcome.RAN, Load(1, 10)))
        first.body(b"half", False)
        first.failed(UNKNOWN, None)
        self.assertEqual(len(harness.sent), 1)
        self.assertEqual(sink.failure, UNKNOWN)

    def test_cancelled_request_is_no_longer_outstanding(self) -> None:
        harness = ForwarderHarness(member(1))
        _, cancel = harness.request()
        cancel()
        self.assertTrue(harness.sent[0].cancelled)
        server = harness.forwarder.directory.servers_by_service["holds"][0]
        self.assertEqual(server.in_flight, 0)
        self.assertEqual(harness.forwarder.outstanding_requests.total, 0)

    def test_slow_service_gets_at_most_half_of_the_outstanding_requests(self) -> None:
        harness = ForwarderHarness(member(1))
        harness.forwarder.outstanding_requests.urgent.limit = 10
        sinks = [harness.request()[0] for _ in range(10)]
        rejected = [s.failure for s in sinks if s.failure is not None]
        reason = Failure(Outcome.NOT_RUN, Reason.TOO_MANY_OUTSTANDING)
        self.assertEqual(rejected, [reason] * 5)


class QuotaTest(unittest.TestCase):
    """A request beyond the limit of its organisation is refused before it is sent."""

    def test_refused_request_is_not_sent_and_not_outstanding(self) -> None:
        harness = ForwarderHarness(member(1), admit_organisation=lambda name: 1.5)
        sink, _ = harness.request()
        failure = sink.failure
        assert failure is not None
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.QUOTA_EXCEEDED, 1.5),
            (failure.outcome, failure.reason, failure.retry_after_seconds),
        )
        self.assertEqual([], harness.sent)
        self.assertFalse(harness.forwarder.exchanges)
        self.assertEqual(0, harness.forwarder.outstanding_requests.total)

    def test_retry_does_not_count_again(self) -> None:
        names: list[str] = []
        harness = ForwarderHarness(
            member(1), member(2), admit_organisation=lambda name: names.append(name)
        )
        harness.request()
        harness.sent[0].sink.failed(NOT_RUN, None)
        self.assertEqual((2, 1), (len(harness.sent), len(names)))


class RetryTest(unittest.TestCase):
    """Which attempts are retried, where, and what the caller sees."""

    def test_attempt_not_run_is_retried_at_another_server(self) -> None:
        for reason in (Reason.CONNECT_FAILED, Reason.DRAINING, Reason.QUEUE_FULL):
            harness = ForwarderHarness(member(1), member(2))
            sink, _ = harness.request("POST")
            harness.sent[0].sink.failed(Failure(Outcome.NOT_RUN, reason), None)
            harness.sent[1].answer(b"whole")
            self.assertNotEqual(harness.sent[0].address, harness.sent[1].address)
            self.assertEqual((sink.data, sink.outcome), (b"whole", Outcome.RAN))

    def test_no_part_of_a_shed_response_reaches_the_caller_after_a_retry(self) -> None:
        harness = ForwarderHarness(member(1), member(2))
        sink, _ = harness.request("POST")
        shed = harness.sent[0].sink
        shed.head(ResponseHead(503, b"X: 1\r\n", Outcome.NOT_RUN, Load(9, 10)))
        shed.body(b"she", False)
        harness.sent[1].answer(b"whole")
        shed.body(b"d", True)
        shed.failed(UNKNOWN, None)
        self.assertEqual([head.status for head in sink.heads], [200])
        self.assertEqual(sink.data, b"whole")

    def test_unknown_outcome_is_retried_only_if_idempotent(self) -> None:
        for method, attempts in (("GET", 2), ("POST", 1), ("PATCH", 1)):
            harness = ForwarderHarness(member(1), member(2))
            harness.request(method)
            harness.sent[0].sink.failed(UNKNOWN, None)
            self.assertEqual(len(harness.sent), attempts, method)

    def test_method_does_not_decide_on_routes_that_do_not_trust_it(self) -> None:
        route = replace(ROUTE, trusts_method=False)
        harness = ForwarderHarness(member(1), member(2), route=route)
        for method in ("GET", "PUT", "DELETE"):
            sink, _ = harness.request(method)
            harness.sent[-1].sink.failed(UNKNOWN, None)
            self.assertIs(sink.outcome, Outcome.UNKNOWN)
        self.assertEqual(3, len(harness.sent))

    def test_unknown_outcome_stays_unknown_after_a_rejected_retry(self) -> None:
        for rejection in (Reason.CONNECT_FAILED, Reason.QUEUE_FULL, Reason.DRAINING):
            harness = ForwarderHarness(member(1), member(2))
            sink, _ = harness.request("GET")
            harness.sent[0].sink.failed(UNKNOWN, None)
            harness.sent[1].sink.failed(Failure(Outcome.NOT_RUN, rejection), None)
            self.assertEqual(sink.failure, Failure(Outcome.UNKNOWN, rejection))
        harness = ForwarderHarness(member(1), member(2))
        sink, _ = harness.request("GET")
        harness.sent[0].sink.failed(UNKNOWN, None)
        harness.sent[1].answer(status=503, outcome=Outcome.NOT_RUN)
        # The status is all that some callers see, and 503 would say "not run".
        self.assertEqual(sink.failure, Failure(Outcome.UNKNOWN, Reason.SHED))
        self.assertEqual(([], b""), (sink.heads, sink.data))

    def test_retry_is_marked_and_requests_nested_in_it_are_not_retried(self) -> None:
        harness = ForwarderHarness(member(1), member(2))
        harness.request("GET", depth=2)
        harness.sent[0].sink.failed(NOT_RUN, None)
        first, second = (sent.call.headers for sent in harness.sent)
        self.assertEqual(first, b"Briarslip-Depth: 3\r\n")
        self.assertIn(b"Briarslip-Retried: 1\r\n", second)
        nested = ForwarderHarness(member(1), member(2))
        nested.request("GET", headers=second, depth=3)
        nested.sent[0].sink.failed(NOT_RUN, None)
        self.assertEqual(len(nested.sent), 1)
        self.assertIn(b"Briarslip-Depth: 4\r\n", nested.sent[0].call.headers)
        self.assertNotIn(b"Depth: 3", nested.sent[0].call.headers)

    def test_daemon_without_heartbeat_gets_no_new_calls(self) -> None:
        harness = ForwarderHarness(member(1), member(2))
        harness.silent_peers = frozenset((address(1),))
        for _ in range(20):
            harness.request("GET")
        self.assertEqual({address(2)}, {sent.address for sent in harness.sent})
        harness.silent_peers = frozenset((address(1), address(2)))
        harness.request("GET")
        self.assertEqual(21, len(harness.sent))

    def test_rejections_by_daemons_do_not_count_as_attempts_of_the_route(self) -> None:
        harness = ForwarderHarness(
            *map(member, range(1, 5)), route=replace(ROUTE, attempts=1)
        )
        sink, _ = harness.request("GET")
        for reason in (Reason.DRAINING, Reason.NO_SERVER):
            harness.sent[-1].sink.failed(Failure(Outcome.NOT_RUN, reason), None)
        self.assertEqual(3, len(harness.sent))
        harness.sent[-1].answer(status=503, outcome=Outcome.NOT_RUN)
        self.assertEqual(3, len(harness.sent))
        self.assertIs(Outcome.NOT_RUN, sink.outcome)

    def test_unknown_outcomes_count_as_attempts_of_the_route(self) -> None:
        harness = ForwarderHarness(
            *map(member, range(1, 5)), route=replace(ROUTE, attempts=2)
        )
        harness.forwarder.retry_budget.tokens = 3.0
        harness.fail_all(UNKNOWN)
        harness.request("GET")
        self.assertEqual(2, len(harness.sent))

    def test_token_bucket_is_limited_to_its_capacity(self) -> None:
        budget = RetryBudget(lambda: 1.5)
        for _ in range(1000):
            budget.deposit(1, False)
        self.assertLessEqual(budget.tokens, 1.5)
        self.assertEqual([True, False], [budget.try_withdraw(), budget.try_withdraw()])

    def test_request_that_the_budget_does_not_cover_is_logged(self) -> None:
        for failure in (NOT_RUN, UNKNOWN):
            harness = ForwarderHarness(*map(member, range(8)))
            harness.forwarder.retry_budget.tokens = 0.0
            harness.forwarder.retry_budget.rejected_tokens = 0.0
            harness.fail_all(failure)
            before = EVENT_COUNTS[Event.RETRY_BUDGET_EMPTY.number]
            harness.request("GET")
            self.assertEqual(1, len(harness.sent))
            after = EVENT_COUNTS[Event.RETRY_BUDGET_EMPTY.number]
            self.assertEqual(before + 1, after)

    def test_full_outage_adds_at_most_a_tenth_of_attempts(self) -> None:
        for failure in (NOT_RUN, UNKNOWN):
            harness = ForwarderHarness(*map(member, range(8)))
            harness.fail_all(failure)
            for _ in range(2000):
                harness.request("GET")
                harness.time.advance(0.01)
            self.assertLessEqual(len(harness.sent), 1.1 * 2000)

    def test_full_outage_below_eight_nested_services(self) -> None:
        for calls, tokens in ((2000, INITIAL_TOKENS), (3500, MAX_RETRY_TOKENS)):
            attempts = self.nested_attempts(calls, tokens)
            self.assertLessEqual(attempts, 1.1 * calls)

    def nested_attempts(self, calls: int, tokens: float) -> int:
        """Return the attempts at the innermost of eight services, all failing."""
        chain = [ForwarderHarness(*map(member, range(8)), seed=n) for n in range(8)]
        for depth, (outer, inner) in enumerate(itertools.pairwise(chain), 1):

            def call_next_service(
                sent: SentCall, inner: ForwarderHarness = inner, depth: int = depth
            ) -> None:
                # The backend server's response is that of the call it made.
                inner.request("GET", sent.call.headers, depth, sent.sink)

            outer.on_send = call_next_service
        chain[-1].on_send = lambda sent: sent.sink.failed(UNKNOWN, None)
        for harness in chain:
            harness.forwarder.retry_budget.tokens = tokens
        for _ in range(calls):
            chain[0].request("GET")
            for harness in chain:
                harness.time.advance(0.01)
        return len(chain[-1].sent)


class ClaimTest(unittest.TestCase):
    """Claims of requests with an idempotency key."""

    def setUp(self) -> None:
        route = replace(ROUTE, claims="required")
        self.harness = ForwarderHarness(member(1), route=route)
        self.acquired = AcquiredClaim(
            "claims/holds/1", Claim("n", "d", "127.0.0.1:1"), 1, 1
        )

    def send(self, decision: ClaimDecision | None) -> RecordingSink:
        """Send a request whose claim gets a decision, None for a late one."""
        self.harness.claims.decision = decision
        return self.harness.request(headers=b"Idempotency-Key: k\r\n")[0]

    def test_claim_acquired_after_the_deadline_is_released(self) -> None:
        sink = self.send(None)
        self.harness.time.advance(TIMEOUT + 0.1)
        self.assertEqual(sink.failure, Failure(Outcome.NOT_RUN, Reason.DEADLINE))
        self.harness.claims.waiting[0](self.acquired)
        self.assertEqual(self.harness.sent, [])
        self.assertEqual(self.harness.claims.released, [self.acquired])

    def test_claim_is_released_only_if_the_request_certainly_did_not_run(self) -> None:
        for failure, released in ((NOT_RUN, 1), (UNKNOWN, 0)):
            self.setUp()
            self.send(self.acquired)
            self.harness.sent[0].sink.failed(failure, None)
            self.assertEqual(len(self.harness.claims.released), released)
            self.assertEqual(len(self.harness.claims.abandoned), 1 - released)

    def test_cancelled_request_does_not_release_its_claim(self) -> None:
        self.harness.claims.decision = self.acquired
        _, cancel = self.harness.request(headers=b"Idempotency-Key: k\r\n")
        cancel()
        claims = self.harness.claims
        self.assertEqual((claims.released, claims.abandoned), ([], [self.acquired]))

    def test_shed_response_releases_the_claim_and_is_not_stored(self) -> None:
        self.send(self.acquired)
        self.harness.sent[0].answer(b"shed", 503, Outcome.NOT_RUN)
        claims = self.harness.claims
        self.assertEqual((claims.released, claims.stored), ([self.acquired], []))

    def test_only_a_complete_response_within_the_limit_is_stored(self) -> None:
        self.send(self.acquired)
        self.harness.sent[0].answer(b"booked")
        self.send(self.acquired)
        self.harness.sent[1].answer(b"x" * (MAX_STORED_RESPONSE_BYTES + 1))
        self.send(self.acquired)
        self.harness.sent[2].sink.head(ResponseHead(200, b"", Outcome.RAN, Load(1, 9)))
        self.harness.sent[2].sink.failed(UNKNOWN, None)
        self.assertEqual([a.body for a in self.harness.claims.stored], [b"booked"])
        self.assertEqual(self.harness.claims.released, [])

    def test_each_part_of_a_response_costs_the_parts_before_it(self) -> None:
        """Guards against a response in single bytes that holds up the reactor."""
        self.send(self.acquired)
        sink = self.harness.sent[0].sink
        sink.head(ResponseHead(200, b"", Outcome.RAN, Load(1, 9)))
        parts = [MeasuredBytes(b"x") for _ in range(1000)]
        for part in parts:
            sink.body(part, False)
        sink.body(b"", True)
        stored = [response.body for response in self.harness.claims.stored]
        self.assertEqual([b"x" * len(parts)], stored)
        self.assertLessEqual(max(part.measured for part in parts), MAX_MEASUREMENTS)

    def test_decisions_that_prevent_a_second_run(self) -> None:
        cases: tuple[tuple[ClaimDecision, Outcome], ...] = (
            (AlreadyForwarded(), Outcome.UNKNOWN),
            (KeyMismatch(), Outcome.NOT_RUN),
            (StoreUnavailable(), Outcome.NOT_RUN),
            (Replay(StoredResponse(201, b"", b"booked")), Outcome.RAN),
        )
        for decision, outcome in cases:
            self.assertIs(self.send(decision).outcome, outcome)
        self.assertEqual(self.harness.sent, [])


class VersionTest(unittest.TestCase):
    """Service versions and the recorded attempt results."""

    def test_attempt_result_has_the_version_that_ran_the_call(self) -> None:
        harness = ForwarderHarness(member(1, "7"))
        harness.request()
        harness.sent[0].answer()
        self.assertEqual(harness.sent[0].call.service_version, "7")
        self.assertEqual([s.version for s in harness.attempt_results], ["7"])

    def test_each_attempt_is_recorded(self) -> None:
        harness = ForwarderHarness(member(1), member(2))
        harness.request("GET")
        harness.sent[0].sink.failed(UNKNOWN, None)
        harness.sent[1].answer()
        self.assertEqual([s.failed for s in harness.attempt_results], [True, False])

    def test_excluded_version_gets_no_calls_and_no_retries(self) -> None:
        harness = ForwarderHarness(member(1, "1"), member(2, "2"), member(3, "2"))
        harness.excluded_versions = frozenset(("2",))
        for _ in range(20):
            sink, _ = harness.request("GET")
            harness.sent[-1].sink.failed(NOT_RUN, None)
            self.assertIs(sink.outcome, Outcome.NOT_RUN)
        self.assertEqual({s.call.service_version for s in harness.sent}, {"1"})

    def test_required_version_gets_all_calls(self) -> None:
        harness = ForwarderHarness(member(1, "1"), member(2, "2"))
        harness.version = "2"
        for _ in range(10):
            harness.request()
        self.assertEqual({s.call.service_version for s in harness.sent}, {"2"})
