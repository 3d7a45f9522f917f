"""Tests of the way of a request: outcomes, retries, deadline, versions."""

from __future__ import annotations

import itertools
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

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


class OutcomeTest(unittest.TestCase):
    """What the caller is told is true."""

    def test_connection_lost_after_hand_over_is_unknown_and_final(self) -> None:
        harness = ForwarderHarness(member(1), member(2))
        sink, _ = harness.request("POST")
        harness.sent[0].sink.failed(UNKNOWN, None)
        self.assertEqual(len(harness.sent), 1)
        self.assertIs(sink.outcome, Outcome.UNKNOWN)

    def test_silent_server_ends_at_the_deadline_as_unknown(self) -> None:
        harness = ForwarderHarness(member(1))
        sink, _ = harness.request("POST")
        harness.time.advance(TIMEOUT + 0.1)
        self.assertEqual(sink.failure, Failure(Outcome.UNKNOWN, Reason.DEADLINE))
        self.assertTrue(harness.sent[0].cancelled)
        harness.sent[0].answer(b"late")
        self.assertEqual(sink.heads, [])

    def test_answer_cut_short_is_never_retried(self) -> None:
        harness = ForwarderHarness(member(1), member(2))
        sink, _ = harness.request("GET")
        first = harness.sent[0].sink
        first.head(ResponseHead(200, b"", Outcome.RAN, Load(1, 10)))
        first.body(b"half", False)
        first.failed(UNKNOWN, None)
        self.assertEqual(len(harness.sent), 1)
        self.assertEqual(sink.failure, UNKNOWN)

    def test_cancelled_request_frees_its_place(self) -> None:
        harness = ForwarderHarness(member(1))
        _, cancel = harness.request()
        cancel()
        self.assertTrue(harness.sent[0].cancelled)
        server = harness.forwarder.directory.servers_by_service["holds"][0]
        self.assertEqual(server.in_flight, 0)
        self.assertEqual(harness.forwarder.outstanding_requests.total, 0)

    def test_urgent_calls_keep_room_beside_a_slow_service(self) -> None:
        harness = ForwarderHarness(member(1))
        harness.forwarder.outstanding_requests.urgent.limit = 10
        sinks = [harness.request()[0] for _ in range(10)]
        refused = [s.failure for s in sinks if s.failure is not None]
        reason = Failure(Outcome.NOT_RUN, Reason.TOO_MANY_OUTSTANDING)
        self.assertEqual(refused, [reason] * 5)


class RetryTest(unittest.TestCase):
    """What may be sent again, where, and what the caller sees of it."""

    def test_not_run_is_sent_to_another_server(self) -> None:
        for reason in (Reason.CONNECT_FAILED, Reason.DRAINING, Reason.QUEUE_FULL):
            harness = ForwarderHarness(member(1), member(2))
            sink, _ = harness.request("POST")
            harness.sent[0].sink.failed(Failure(Outcome.NOT_RUN, reason), None)
            harness.sent[1].answer(b"whole")
            self.assertNotEqual(harness.sent[0].address, harness.sent[1].address)
            self.assertEqual((sink.data, sink.outcome), (b"whole", Outcome.RAN))

    def test_nothing_of_a_shed_answer_leaks(self) -> None:
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

    def test_unknown_is_sent_again_only_if_idempotent(self) -> None:
        for method, attempts in (("GET", 2), ("POST", 1), ("PATCH", 1)):
            harness = ForwarderHarness(member(1), member(2))
            harness.request(method)
            harness.sent[0].sink.failed(UNKNOWN, None)
            self.assertEqual(len(harness.sent), attempts, method)

    def test_unclear_attempt_is_not_told_as_not_run_after_a_refused_retry(self) -> None:
        for refusal in (Reason.CONNECT_FAILED, Reason.QUEUE_FULL, Reason.DRAINING):
            harness = ForwarderHarness(member(1), member(2))
            sink, _ = harness.request("GET")
            harness.sent[0].sink.failed(UNKNOWN, None)
            harness.sent[1].sink.failed(Failure(Outcome.NOT_RUN, refusal), None)
            self.assertEqual(sink.failure, Failure(Outcome.UNKNOWN, refusal))
        harness = ForwarderHarness(member(1), member(2))
        sink, _ = harness.request("GET")
        harness.sent[0].sink.failed(UNKNOWN, None)
        harness.sent[1].answer(status=503, outcome=Outcome.NOT_RUN)
        self.assertEqual((sink.outcome, sink.heads[0].status), (Outcome.UNKNOWN, 503))

    def test_a_retry_and_what_is_nested_in_it_are_marked(self) -> None:
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

    def test_a_daemon_that_gives_no_heartbeat_gets_no_new_call(self) -> None:
        harness = ForwarderHarness(member(1), member(2))
        harness.silent = frozenset((address(1),))
        for _ in range(20):
            harness.request("GET")
        self.assertEqual({address(2)}, {sent.address for sent in harness.sent})
        harness.silent = frozenset((address(1), address(2)))
        harness.request("GET")
        self.assertEqual(21, len(harness.sent))

    def test_refusals_of_daemons_cost_no_attempt_of_the_route(self) -> None:
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

    def test_an_unknown_outcome_uses_up_the_attempts_of_the_route(self) -> None:
        harness = ForwarderHarness(
            *map(member, range(1, 5)), route=replace(ROUTE, attempts=2)
        )
        harness.forwarder.retry_budget.tokens = 3.0
        harness.fail_all(UNKNOWN)
        harness.request("GET")
        self.assertEqual(2, len(harness.sent))

    def test_buckets_of_many_daemons_hold_no_more_than_their_part(self) -> None:
        budget = RetryBudget(lambda: 1.5)
        for _ in range(1000):
            budget.deposit(1, False)
        self.assertLessEqual(budget.tokens, 1.5)
        self.assertEqual([True, False], [budget.try_withdraw(), budget.try_withdraw()])

    def test_full_outage_costs_a_tenth_more_attempts_at_most(self) -> None:
        for failure in (NOT_RUN, UNKNOWN):
            harness = ForwarderHarness(*map(member, range(8)))
            harness.fail_all(failure)
            for _ in range(2000):
                harness.request("GET")
                harness.time.advance(0.01)
            self.assertLessEqual(len(harness.sent), 1.1 * 2000)

    def test_full_outage_below_eight_nested_calls(self) -> None:
        for calls, tokens in ((2000, INITIAL_TOKENS), (3500, MAX_RETRY_TOKENS)):
            attempts = self.nested_attempts(calls, tokens)
            self.assertLessEqual(attempts, 1.1 * calls)

    def nested_attempts(self, calls: int, tokens: float) -> int:
        """Return the attempts at the innermost of eight services, all failing."""
        chain = [ForwarderHarness(*map(member, range(8)), seed=n) for n in range(8)]
        for depth, (outer, inner) in enumerate(itertools.pairwise(chain), 1):

            def nest(
                sent: SentCall, inner: ForwarderHarness = inner, depth: int = depth
            ) -> None:
                # The backend server dies with the call that it made.
                inner.request("GET", sent.call.headers, depth, sent.sink)

            outer.react = nest
        chain[-1].react = lambda sent: sent.sink.failed(UNKNOWN, None)
        for harness in chain:
            harness.forwarder.retry_budget.tokens = tokens
        for _ in range(calls):
            chain[0].request("GET")
            for harness in chain:
                harness.time.advance(0.01)
        return len(chain[-1].sent)


class ClaimTest(unittest.TestCase):
    """A request with a key, by what its claim and its attempt come to."""

    def setUp(self) -> None:
        route = replace(ROUTE, claims="required")
        self.harness = ForwarderHarness(member(1), route=route)
        self.held = AcquiredClaim(
            "claims/holds/1", Claim("n", "d", "127.0.0.1:1"), 1, 1
        )

    def send(self, decision: ClaimDecision | None) -> RecordingSink:
        """Send a request whose claim gets a decision."""
        self.harness.claims.decision = decision
        return self.harness.request(headers=b"Idempotency-Key: k\r\n")[0]

    def test_claim_that_comes_after_the_deadline_is_given_back(self) -> None:
        sink = self.send(None)
        self.harness.time.advance(TIMEOUT + 0.1)
        self.assertEqual(sink.failure, Failure(Outcome.NOT_RUN, Reason.DEADLINE))
        self.harness.claims.waiting[0](self.held)
        self.assertEqual(self.harness.sent, [])
        self.assertEqual(self.harness.claims.released, [self.held])

    def test_only_a_request_that_surely_did_not_run_gives_its_claim_back(self) -> None:
        for failure, released in ((NOT_RUN, 1), (UNKNOWN, 0)):
            self.setUp()
            self.send(self.held)
            self.harness.sent[0].sink.failed(failure, None)
            self.assertEqual(len(self.harness.claims.released), released)
            self.assertEqual(len(self.harness.claims.abandoned), 1 - released)

    def test_request_that_is_given_up_keeps_its_claim(self) -> None:
        self.harness.claims.decision = self.held
        _, cancel = self.harness.request(headers=b"Idempotency-Key: k\r\n")
        cancel()
        claims = self.harness.claims
        self.assertEqual((claims.released, claims.abandoned), ([], [self.held]))

    def test_shed_answer_gives_the_claim_back_and_is_not_stored(self) -> None:
        self.send(self.held)
        self.harness.sent[0].answer(b"shed", 503, Outcome.NOT_RUN)
        claims = self.harness.claims
        self.assertEqual((claims.released, claims.stored), ([self.held], []))

    def test_whole_answer_is_stored_and_a_large_or_cut_one_is_not(self) -> None:
        self.send(self.held)
        self.harness.sent[0].answer(b"booked")
        self.send(self.held)
        self.harness.sent[1].answer(b"x" * (MAX_STORED_RESPONSE_BYTES + 1))
        self.send(self.held)
        self.harness.sent[2].sink.head(ResponseHead(200, b"", Outcome.RAN, Load(1, 9)))
        self.harness.sent[2].sink.failed(UNKNOWN, None)
        self.assertEqual([a.body for a in self.harness.claims.stored], [b"booked"])
        self.assertEqual(self.harness.claims.released, [])

    def test_decisions_against_a_second_run(self) -> None:
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
    """Versions of a service, and what is recorded of them."""

    def test_sample_names_the_version_that_ran_it(self) -> None:
        harness = ForwarderHarness(member(1, "7"))
        harness.request()
        harness.sent[0].answer()
        self.assertEqual(harness.sent[0].call.service_version, "7")
        self.assertEqual([s.version for s in harness.samples], ["7"])

    def test_each_attempt_is_recorded(self) -> None:
        harness = ForwarderHarness(member(1), member(2))
        harness.request("GET")
        harness.sent[0].sink.failed(UNKNOWN, None)
        harness.sent[1].answer()
        self.assertEqual([s.failed for s in harness.samples], [True, False])

    def test_excluded_version_gets_nothing_also_not_in_a_retry(self) -> None:
        harness = ForwarderHarness(member(1, "1"), member(2, "2"), member(3, "2"))
        harness.excluded_versions = frozenset(("2",))
        for _ in range(20):
            sink, _ = harness.request("GET")
            harness.sent[-1].sink.failed(NOT_RUN, None)
            self.assertIs(sink.outcome, Outcome.NOT_RUN)
        self.assertEqual({s.call.service_version for s in harness.sent}, {"1"})

    def test_version_that_is_asked_for(self) -> None:
        harness = ForwarderHarness(member(1, "1"), member(2, "2"))
        harness.version = "2"
        for _ in range(10):
            harness.request()
        self.assertEqual({s.call.service_version for s in harness.sent}, {"2"})
