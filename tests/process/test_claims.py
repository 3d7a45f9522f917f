"""Tests of claims on the platform, alone and below two forwarders."""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from briarslip.process.claim_lease import LEASE_SECONDS
from briarslip.process.claims import PlatformClaims
from briarslip.request.claim import MAX_ANSWER_BYTES
from briarslip.request.claim import Claim
from briarslip.request.claim import ClaimRequest
from briarslip.request.claim import HandedOver
from briarslip.request.claim import HeldClaim
from briarslip.request.claim import KeyMismatch
from briarslip.request.claim import NoPlatform
from briarslip.request.claim import Replay
from briarslip.request.claim import StoredAnswer
from briarslip.request.claim_answers import MAX_TOTAL_BYTES
from briarslip.request.claim_answers import ClaimAnswers
from briarslip.request.outcome import Outcome
from standins.local_platform import LocalPlatformClient
from standins.platform_store import PlatformStandIn
from standins.virtual_time import VirtualTimer
from tests.request.support import NOT_RUN
from tests.request.support import ROUTE
from tests.request.support import SEED
from tests.request.support import UNKNOWN
from tests.request.support import Bench
from tests.request.support import address
from tests.request.support import member


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.address import Address
    from briarslip.request.call import Call
    from briarslip.request.call import ResponseSink
    from briarslip.request.claim import Decision


KEY = "claims/holds/1"
KEYED = b"Idempotency-Key: k\r\n"
ANSWER = StoredAnswer(200, b"A: 1\r\n", b"booked")


class Time(Clock):
    """Virtual time with the names of both of its users."""

    def monotonic(self) -> float:
        seconds: float = self.seconds()
        return seconds

    def call_later(self, delay: float, function: Any, *arguments: Any) -> Any:
        return self.callLater(delay, function, *arguments)

    def run(self, seconds: float) -> None:
        """Move on in small steps, as answers set further timers."""
        for _ in range(round(seconds / 0.05)):
            self.advance(0.05)


class Daemon:
    """Claims of one daemon, which can be paused as by SIGSTOP."""

    def __init__(
        self, time: Time, state: PlatformStandIn, network: dict[Address, Daemon]
    ) -> None:
        self.time = time
        self.network = network
        own_address = address(len(network))
        network[own_address] = self
        self.paused = False
        self.rng = random.Random(SEED + own_address.port)
        self.held_back: list[Callable[[], None]] = []
        self.client = LocalPlatformClient(state, time.call_later)
        self.claims = PlatformClaims(
            PausableClient(self),
            time,
            self.rng,
            self.call_later,
            own_address,
            self.ask,
        )

    def ask(self, peer: Address, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Pass a question to another daemon, which may be paused or gone."""
        other = self.network.get(peer)
        if other is None:
            sink.failed(NOT_RUN, None)
        else:
            other.do(lambda: other.serve(call, sink))
        return lambda: None

    def call_later(self, delay: float, function: Callable[[], None]) -> Any:
        timer = VirtualTimer(function)
        self.time.callLater(delay, self.do, lambda: fire(timer))
        return timer

    def serve(self, call: Call, sink: ResponseSink) -> None:
        """Answer a question of another daemon."""
        self.claims.serve(call, sink)

    def do(self, function: Callable[[], None]) -> None:
        """Run a function now, or once the daemon goes on."""
        if self.paused:
            self.held_back.append(function)
        else:
            function()

    def resume(self) -> None:
        self.paused = False
        functions, self.held_back = self.held_back, []
        self.rng.shuffle(functions)
        for function in functions:
            function()

    def acquire(self, digest: str = "d", timeout: float = 2.0) -> list[Decision]:
        """Ask for a claim; the list gets the decision."""
        got: list[Decision] = []
        deadline = self.time.monotonic() + timeout
        self.claims.acquire(ClaimRequest(KEY, digest, deadline), got.append)
        return got


def fire(timer: VirtualTimer) -> None:
    """Run a timer's function, unless it was cancelled."""
    if timer.function is not None:
        timer.function()


@dataclass
class PausableClient:
    """Hands replies on only while its daemon runs."""

    daemon: Daemon

    def __getattr__(self, name: str) -> Any:
        method = getattr(self.daemon.client, name)

        async def call(*arguments: Any) -> Any:
            reply = await method(*arguments)
            if self.daemon.paused:
                waiting: Deferred[None] = Deferred()
                self.daemon.held_back.append(lambda: waiting.callback(None))
                await waiting
            return reply

        return call


class ClaimCase(unittest.TestCase):
    """Two daemons at one platform."""

    def setUp(self) -> None:
        self.time = Time()
        self.state = PlatformStandIn(self.time)
        self.network: dict[Address, Daemon] = {}
        self.one = Daemon(self.time, self.state, self.network)
        self.two = Daemon(self.time, self.state, self.network)

    def hold(self) -> HeldClaim:
        """Let the first daemon hold the claim."""
        (held,) = self.one.acquire()
        assert isinstance(held, HeldClaim)
        return held


class DecisionTest(ClaimCase):
    """What the first copy and later ones get."""

    def test_copy_gets_the_stored_answer_for_a_write_each(self) -> None:
        self.one.claims.store(self.hold(), ANSWER)
        self.assertEqual(self.two.acquire(), [Replay(ANSWER)])
        self.assertEqual(self.state.counts, {"lease_grant": 2, "txn": 2})
        self.assertEqual(self.one.acquire(), [Replay(ANSWER)])
        self.assertEqual(self.state.counts["txn"], 2)

    def test_copies_wait_for_the_answer(self) -> None:
        held = self.hold()
        got = [daemon.acquire() for daemon in (self.one, self.two)]
        self.time.run(0.5)
        self.assertEqual(got, [[], []])
        self.one.claims.store(held, ANSWER)
        self.assertEqual(got, [[Replay(ANSWER)]] * 2)

    def test_copies_are_told_at_once_that_there_is_no_answer(self) -> None:
        held = self.hold()
        got = [daemon.acquire() for daemon in (self.one, self.two)]
        self.one.claims.abandon(held)
        self.assertEqual(got, [[HandedOver()]] * 2)

    def test_copy_is_told_in_time_when_the_holder_is_paused(self) -> None:
        self.hold()
        self.one.paused = True
        got = self.two.acquire()
        self.time.run(1.95)
        self.assertEqual(got, [])
        self.time.run(0.05)
        self.assertEqual(got, [HandedOver()])

    def test_copy_is_told_at_once_when_the_holder_has_forgotten_or_gone(self) -> None:
        self.one.claims.store(self.hold(), ANSWER)
        self.one.claims.answers = ClaimAnswers(self.time)
        self.assertEqual(self.two.acquire(), [HandedOver()])
        self.assertEqual(self.one.acquire(), [HandedOver()])
        del self.network[address(0)]
        self.assertEqual(self.two.acquire(), [HandedOver()])

    def test_answer_is_given_for_its_own_claim_only(self) -> None:
        held = self.hold()
        self.one.claims.store(held, ANSWER)
        got: list[Any] = []
        self.one.claims.answers.wait(KEY, "another", got.append)
        self.one.claims.answers.wait(KEY, held.claim.nonce, got.append)
        self.assertEqual(got, [HandedOver(), Replay(ANSWER)])

    def test_answer_above_the_limit_is_not_kept(self) -> None:
        large = replace(ANSWER, body=b"x" * (MAX_ANSWER_BYTES + 1))
        self.one.claims.store(self.hold(), large)
        self.assertEqual(self.two.acquire(), [HandedOver()])

    def test_answers_take_bounded_memory(self) -> None:
        answers = ClaimAnswers(self.time)
        large = replace(ANSWER, body=b"x" * 16_000)
        for number in range(1000):
            claim = Claim(str(number), "d", "h")
            held = HeldClaim(f"k{number}", claim, 1, 1)
            answers.begin(held)
            answers.store(held, large)
            self.assertLessEqual(answers.total_bytes, MAX_TOTAL_BYTES)
        kept = sum(entry.size for entry in answers.entries.values())
        self.assertEqual(answers.total_bytes, kept)
        self.assertIsNotNone(answers.find("k999"))

    def test_same_key_for_another_request(self) -> None:
        self.hold()
        for daemon in (self.one, self.two):
            self.assertEqual(daemon.acquire("other"), [KeyMismatch()])

    def test_released_claim_lets_a_waiting_copy_run(self) -> None:
        for number in (0, 1):
            self.setUp()
            held = self.hold()
            got = (self.one, self.two)[number].acquire()
            self.one.claims.release(held)
            self.time.run(1.0)
            self.assertIsInstance(got[0], HeldClaim)


class FaultTest(ClaimCase):
    """Lost answers, outages, slowness, lapsed leases."""

    def test_lost_answers_of_the_claims_own_writes(self) -> None:
        self.hold_nothing_but_the_lease()
        writes = self.state.counts["txn"]
        self.state.lose_answers = 2
        got = self.one.acquire()
        self.time.run(0.5)
        self.assertIsInstance(got[0], HeldClaim)
        self.assertEqual(self.state.counts["txn"] - writes, 3)

    def test_outage_is_told_in_time_and_then_at_once(self) -> None:
        self.state.outage = "close"
        got = self.one.acquire()
        self.time.run(1.0)
        self.assertIsInstance(got[0], NoPlatform)
        calls = sum(self.state.counts.values())
        again = ClaimRequest("claims/holds/2", "d", self.time.monotonic() + 2.0)
        decisions: list[Decision] = []
        self.one.claims.acquire(again, decisions.append)
        self.assertEqual(decisions, [NoPlatform()])
        self.assertEqual(sum(self.state.counts.values()), calls)
        self.state.outage = ""
        self.time.run(2.0)
        self.assertIsInstance(self.two.acquire()[0], HeldClaim)

    def test_claim_written_late_is_taken_back(self) -> None:
        self.hold_nothing_but_the_lease()
        self.state.delay_ms = 1500
        got = self.one.acquire()
        self.time.run(1.05)
        (decision,) = got
        assert isinstance(decision, NoPlatform)
        assert decision.unclear is not None
        self.state.delay_ms = 0
        self.one.claims.release(decision.unclear)
        self.time.run(0.4)
        self.assertIsNone(self.state.get(KEY))
        self.time.run(0.2)
        self.assertIsNotNone(self.state.get(KEY))
        self.time.run(25.0)
        self.assertIsNone(self.state.get(KEY))

    def hold_nothing_but_the_lease(self) -> None:
        self.one.claims.release(self.hold())

    def test_lapsed_lease_is_replaced(self) -> None:
        held = self.hold()
        self.state.lapse_lease(held.lease_id)
        self.one.claims.answers = ClaimAnswers(self.time)
        got = self.one.acquire()
        self.time.run(0.5)
        self.assertIsInstance(got[0], HeldClaim)

    def test_claim_that_may_lapse_before_the_hand_over_does_not_count(self) -> None:
        self.hold_nothing_but_the_lease()
        self.state.delay_ms = 100
        got = self.one.acquire()
        self.one.paused = True
        self.time.advance(LEASE_SECONDS - 60)
        self.one.resume()
        self.time.run(1.0)
        self.assertIsInstance(got[0], NoPlatform)

    def test_claims_go_away_with_their_lease(self) -> None:
        self.hold()
        self.time.advance(LEASE_SECONDS + 1)
        self.assertIsNone(self.state.get(KEY))
        self.assertIsInstance(self.one.acquire("other")[0], HeldClaim)


class AtMostOnceTest(ClaimCase):
    """Copies of one request through two forwarders, whatever happens."""

    def forwarder(self, daemon: Daemon, claims: str) -> Bench:
        route = replace(ROUTE, claims=claims)
        return Bench(
            member(1),
            member(2),
            route=route,
            time=PausedTime(daemon),
            claims=daemon.claims,
        )

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 30)), max_size=40))
    def test_key_runs_once_in_any_interleaving(
        self, steps: list[tuple[int, int]]
    ) -> None:
        self.setUp()
        for step, number in steps:
            if step <= 2:
                self.send(number)
            elif step >= 8:
                self.settle(number)
            else:
                FAULTS[step](self, number)
        self.state.outage = ""
        for daemon in self.daemons:
            daemon.resume()
        self.time.run(4.0)
        sent = [s for bench in self.benches for s in bench.sent]
        may_have_run = [s for s in sent if s not in self.not_run]
        self.assertLessEqual(len(may_have_run), 1)
        for call in may_have_run:
            attempt: Any = call.sink
            self.assertIsNot(attempt.exchange.sink.outcome, Outcome.NOT_RUN)

    def send(self, number: int) -> None:
        """Send a copy of the request through one of the forwarders."""
        if not self.daemons[number % 2].paused:
            bench = self.benches[number % 2]
            self.cancels.append(bench.request(headers=KEYED)[1])

    def settle(self, number: int) -> None:
        """End a call that a server has got."""
        bench, daemon = self.benches[number % 2], self.daemons[number % 2]
        unsettled = [s for s in bench.sent if s not in self.settled]
        if daemon.paused or not unsettled:
            return
        self.settled.append(unsettled[0])
        if number % 3 == 0:
            self.not_run.append(unsettled[0])
            unsettled[0].sink.failed(NOT_RUN, None)
        elif number % 3 == 1:
            unsettled[0].sink.failed(UNKNOWN, None)
        else:
            unsettled[0].answer()

    def pass_time(self, number: int) -> None:
        self.time.run(number / 10)

    def lose_answers(self, number: int) -> None:
        self.state.lose_answers = number % 4

    def slow_or_stop_platform(self, number: int) -> None:
        self.state.outage = ("", "close")[number % 2]
        self.state.delay_ms = (0, 40, 700, 1500, 2500)[number % 5]

    def pause_or_resume(self, number: int) -> None:
        daemon = self.daemons[number % 2]
        if daemon.paused:
            daemon.resume()
        else:
            daemon.paused = True

    def give_up(self, number: int) -> None:
        if self.cancels:
            self.cancels[number % len(self.cancels)]()

    def setUp(self) -> None:
        super().setUp()
        self.daemons = (self.one, self.two)
        self.benches = [self.forwarder(d, "required") for d in self.daemons]
        self.cancels: list[Callable[[], None]] = []
        self.settled: list[Any] = []
        self.not_run: list[Any] = []

    def test_platform_down_refuses_truly_or_goes_on_as_the_route_says(self) -> None:
        for claims, sent in (("required", 0), ("preferred", 1), ("none", 1)):
            self.setUp()
            self.state.outage = "close"
            bench = self.forwarder(self.one, claims)
            sink, _ = bench.request(headers=KEYED)
            self.time.run(1.5)
            self.assertEqual(len(bench.sent), sent)
            if not sent:
                self.assertIs(sink.outcome, Outcome.NOT_RUN)

    def test_requests_without_a_key_or_idempotent_make_no_claim(self) -> None:
        bench = self.forwarder(self.one, "required")
        bench.request("POST")
        bench.request("GET", headers=KEYED)
        self.assertEqual((len(bench.sent), sum(self.state.counts.values())), (2, 0))

    def test_second_daemon_replays_the_whole_answer(self) -> None:
        first = self.forwarder(self.one, "required")
        second = self.forwarder(self.two, "required")
        first.request(headers=KEYED)
        first.sent[0].answer(b"booked")
        sink, _ = second.request(headers=KEYED)
        self.assertEqual((sink.data, second.sent), (b"booked", []))
        self.assertIs(sink.outcome, Outcome.RAN)


@dataclass
class PausedTime:
    """The time of a daemon that can be paused."""

    daemon: Daemon

    def monotonic(self) -> float:
        return self.daemon.time.monotonic()

    def call_later(self, delay: float, function: Callable[[], None]) -> Any:
        return self.daemon.call_later(delay, function)


FAULTS = {
    3: AtMostOnceTest.pass_time,
    4: AtMostOnceTest.lose_answers,
    5: AtMostOnceTest.slow_or_stop_platform,
    6: AtMostOnceTest.pause_or_resume,
    7: AtMostOnceTest.give_up,
}


if __name__ == "__main__":
    unittest.main()
