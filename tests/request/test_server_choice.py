"""Tests of load balancing and outlier ejection."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from dataclasses import replace
from datetime import timedelta

from briarslip.process.events import EVENT_COUNTS
from briarslip.request.call import Load
from briarslip.request.call import ResponseHead
from briarslip.request.ejection import MAX_EJECTED_SHARE
from briarslip.request.ejection import record_failure
from briarslip.request.ejection import record_success
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from briarslip.request.server_directory import REFRESH_SECONDS
from tests.request.support import ROUTE
from tests.request.support import UNKNOWN
from tests.request.support import ForwarderHarness
from tests.request.support import SentCall
from tests.request.support import address
from tests.request.support import member


class FakeServers:
    """Servers that respond in virtual time, each after its own delay in seconds."""

    def __init__(self, harness: ForwarderHarness, seconds: dict[int, float]) -> None:
        self.harness = harness
        self.seconds = {address(n): s for n, s in seconds.items()}
        self.failing: set[int] = set()
        self.rng = random.Random(5)
        harness.on_send = self.handle_call

    def handle_call(self, sent: SentCall) -> None:
        """Fail at once or respond after the server's delay."""
        if sent.address.port - 9000 in self.failing:
            sent.sink.failed(UNKNOWN, Load(1, 10))
            return
        seconds = self.seconds[sent.address]
        self.harness.time.call_later(seconds, lambda: sent.answer())

    def measure_shares(self, calls: int, every: float = 0.01) -> dict[int, float]:
        """Send calls and return the share of each server."""
        before = len(self.harness.sent)
        for _ in range(calls):
            self.harness.request("POST")
            self.harness.time.advance(every)
        sent = self.harness.sent[before:]
        counts = Counter(s.address.port - 9000 for s in sent)
        return {number: count / len(sent) for number, count in counts.items()}


class FakeServersWithMeans:
    """Servers whose response times vary widely around their reported means."""

    def __init__(
        self, harness: ForwarderHarness, means: dict[int, float], rng: random.Random
    ) -> None:
        self.harness = harness
        self.means = {address(n): mean for n, mean in means.items()}
        self.rng = rng
        harness.on_send = self.handle_call

    def handle_call(self, sent: SentCall) -> None:
        """Respond after a random time, with the mean as reported service time."""
        mean = self.means[sent.address]
        seconds = mean * self.rng.lognormvariate(-0.125, 0.5)
        self.harness.time.call_later(seconds, lambda: self.answer(sent, mean))

    def answer(self, sent: SentCall, mean: float) -> None:
        """Send a complete response that reports the mean service time."""
        sent.sink.head(ResponseHead(200, b"", Outcome.RAN, Load(1, 10, mean)))
        sent.sink.body(b"", True)


class ZoneTest(unittest.TestCase):
    """Calls stay in the local zone as long as it meets the latency target."""

    def measure_shares(
        self, local_seconds: float, target: timedelta | None
    ) -> dict[int, float]:
        """Return the shares of a slow local server and a fast remote one."""
        route = replace(ROUTE, target=target)
        harness = ForwarderHarness(member(0), member(1, zone="johor"), route=route)
        servers = FakeServers(harness, {0: local_seconds, 1: 0.03})
        servers.measure_shares(300)
        return servers.measure_shares(300)

    def test_slower_local_server_within_the_target_is_preferred(self) -> None:
        shares = self.measure_shares(0.12, timedelta(seconds=0.5))
        self.assertGreaterEqual(shares.get(0, 0.0), 0.95)

    def test_local_server_that_would_miss_the_target_gets_fewer_calls(self) -> None:
        shares = self.measure_shares(0.48, timedelta(seconds=0.5))
        self.assertLessEqual(shares.get(0, 0.0), 0.5)

    def test_without_a_target_the_shorter_wait_decides(self) -> None:
        shares = self.measure_shares(0.12, None)
        self.assertLessEqual(shares.get(0, 0.0), 0.5)


class SpeedTest(unittest.TestCase):
    """Choice by observed speed and load."""

    def test_slow_server_gets_a_small_share(self) -> None:
        harness = ForwarderHarness(*map(member, range(4)))
        servers = FakeServers(harness, {0: 0.01, 1: 0.01, 2: 0.01, 3: 0.1})
        servers.measure_shares(200)
        shares = servers.measure_shares(1000)
        self.assertLess(shares.get(3, 0.0), 0.1)
        servers.seconds[address(3)] = 0.01
        servers.measure_shares(3000)
        self.assertGreater(servers.measure_shares(1000)[3], 0.15)

    def test_few_calls_suffice_when_servers_report_their_service_times(self) -> None:
        # Each of sixty daemons makes too few calls to distinguish noise from speed.
        means = {0: 0.09, 1: 0.09, 2: 0.144, 3: 0.144, 4: 0.26}
        sent: list[SentCall] = []
        for seed in range(60):
            harness = ForwarderHarness(*map(member, means), seed=seed)
            FakeServersWithMeans(harness, means, random.Random(seed))
            for _ in range(25):
                harness.request("POST")
                harness.time.advance(0.3)
            sent.extend(harness.sent[5:])
        slowest = Counter(s.address for s in sent)[address(4)] / len(sent)
        even = 1 / len(means)
        self.assertLessEqual(slowest, even / 8)

    def test_reported_occupancy_moves_calls_away(self) -> None:
        harness = ForwarderHarness(*map(member, range(2)))
        full = harness.forwarder.directory
        full.refresh(harness.time.monotonic())
        harness.on_send = lambda sent: self.answer_with_load(sent)
        for _ in range(100):
            harness.request("POST")
            harness.time.advance(0.01)
        counts = Counter(s.address for s in harness.sent[20:])
        self.assertGreater(counts[address(1)], 2 * counts[address(0)])

    def answer_with_load(self, sent: SentCall) -> None:
        busy = 30 if sent.address == address(0) else 1
        sent.sink.head(ResponseHead(200, b"", Outcome.RAN, Load(busy, 10)))
        sent.sink.body(b"", True)

    def test_local_zone_is_preferred_until_it_is_full(self) -> None:
        harness = ForwarderHarness(member(0), member(1, zone="penang"))
        servers = FakeServers(harness, {0: 0.01, 1: 0.01})
        self.assertEqual(servers.measure_shares(100), {0: 1.0})
        burst = [harness.request("POST") for _ in range(40)]
        self.assertTrue(burst)
        counts = Counter(s.address for s in harness.sent[-40:])
        self.assertGreater(counts[address(1)], 10)

    def test_new_server_gets_few_calls_during_slow_start(self) -> None:
        harness = ForwarderHarness(*map(member, range(3)))
        servers = FakeServers(harness, dict.fromkeys(range(4), 0.01))
        servers.measure_shares(100)
        harness.members = (*harness.members, member(3))
        self.assertLess(servers.measure_shares(100).get(3, 0.0), 0.15)
        servers.measure_shares(1500)
        self.assertGreater(servers.measure_shares(1000)[3], 0.15)


class EjectionTest(unittest.TestCase):
    """Ejection and readmission of failing servers."""

    def test_failing_server_gets_few_calls_until_it_recovers(self) -> None:
        harness = ForwarderHarness(*map(member, range(4)))
        servers = FakeServers(harness, dict.fromkeys(range(4), 0.01))
        servers.failing = {2}
        servers.measure_shares(100)
        self.assertLess(servers.measure_shares(2000).get(2, 0.0), 0.01)
        servers.failing = set()
        harness.time.advance(60.0)
        servers.measure_shares(100)
        self.assertGreater(servers.measure_shares(1000)[2], 0.15)

    def test_calls_stay_in_their_zone_if_all_servers_fail_alike(self) -> None:
        shares = [self.local_zone_shares(seed) for seed in range(6)]
        # Each daemon ejects once before it sees that the other servers fail as well.
        self.assertGreater(sum(during for during, _ in shares) / len(shares), 0.7)
        self.assertGreater(min(after for _, after in shares), 0.95)

    def local_zone_shares(self, seed: int) -> tuple[float, float]:
        """Return the local zone's share of calls while all servers fail, and after.

        Half of the calls fail for eight seconds at any server, as for a service
        whose nested calls are rejected.
        """
        others = (member(number, zone="johor") for number in (1, 2, 3))
        harness = ForwarderHarness(member(0), *others, seed=seed)
        rng = random.Random(seed)
        failure_share = 0.5

        def on_send(sent: SentCall) -> None:
            status = 500 if rng.random() < failure_share else 200
            harness.time.call_later(0.1, lambda: sent.answer(status=status))

        def local_zone_share() -> float:
            before = len(harness.sent)
            for _ in range(160):
                harness.request("POST")
                harness.time.advance(0.05)
            sent = harness.sent[before:]
            return sum(s.address == address(0) for s in sent) / len(sent)

        harness.on_send = on_send
        during = local_zone_share()
        failure_share = 0.0
        return during, local_zone_share()

    def test_ejection_and_readmission_are_logged(self) -> None:
        harness = ForwarderHarness(*map(member, range(4)))
        servers = FakeServers(harness, dict.fromkeys(range(4), 0.01))
        before = EVENT_COUNTS.copy()
        servers.failing = {2}
        servers.measure_shares(100)
        self.assertGreater(EVENT_COUNTS[410], before[410])
        self.assertEqual(EVENT_COUNTS[411], before[411])
        servers.failing = set()
        harness.time.advance(60.0)
        servers.measure_shares(100)
        self.assertEqual(EVENT_COUNTS[411], before[411] + 1)

    def test_unreachable_server_is_ejected_at_once(self) -> None:
        for load in (None, Load(0, 10)):
            harness = ForwarderHarness(*map(member, range(4)))
            failure = Failure(Outcome.NOT_RUN, Reason.CONNECT_FAILED)

            def on_send(
                sent: SentCall, failure: Failure = failure, load: Load | None = load
            ) -> None:
                if sent.address == address(0):
                    sent.sink.failed(failure, load)
                else:
                    sent.answer()

            harness.on_send = on_send
            for _ in range(70):
                harness.request("POST")
                harness.time.advance(0.01)
            self.assertEqual(Counter(s.address for s in harness.sent)[address(0)], 1)

    def test_server_that_fails_most_calls_is_ejected(self) -> None:
        harness = ForwarderHarness(*map(member, range(2)))
        harness.request("POST")
        server = harness.forwarder.directory.servers_by_service["holds"][0]
        for number in range(60):
            if number % 4:
                record_failure(server, 1.0, harness.forwarder.rng)
            else:
                record_success(server, 1.0)
        self.assertGreater(server.ejected_until, 1.0)

    def test_no_more_than_the_maximum_share_is_ejected(self) -> None:
        harness = ForwarderHarness(*map(member, range(4)))
        servers = FakeServers(harness, dict.fromkeys(range(4), 0.01))
        servers.failing = {0, 1, 2, 3}
        servers.measure_shares(400)
        at_least = 4 * (1 - MAX_EJECTED_SHARE)
        self.assertGreaterEqual(len(servers.measure_shares(400)), at_least)

    def test_rejections_by_a_full_server_do_not_eject_it(self) -> None:
        for reason in (Reason.QUEUE_FULL, Reason.SHED):
            harness = ForwarderHarness(member(0))
            failure = Failure(Outcome.NOT_RUN, reason)
            harness.fail_all(failure)
            for _ in range(20):
                harness.request("POST")
            server = harness.forwarder.directory.servers_by_service["holds"][0]
            self.assertEqual(server.ejection_count, 0)

    def test_lost_or_stalled_link_does_not_eject_its_server(self) -> None:
        for reason in (Reason.CONNECTION_LOST, Reason.STALLED):
            harness = ForwarderHarness(member(0), member(1))
            for _ in range(40):
                harness.request("POST")
            for sent in [s for s in harness.sent if s.address == address(0)]:
                sent.sink.failed(Failure(Outcome.UNKNOWN, reason), None)
            servers = FakeServers(harness, {0: 0.01, 1: 0.01})
            self.assertGreater(servers.measure_shares(100)[0], 0.3)

    def test_draining_endpoint_gets_no_calls_after_the_next_refresh(self) -> None:
        harness = ForwarderHarness(member(0), member(1))
        servers = FakeServers(harness, dict.fromkeys(range(2), 0.01))
        servers.measure_shares(100)
        first = harness.members[0]
        endpoint = replace(first.endpoints[0], draining=True)
        harness.members = (replace(first, endpoints=(endpoint,)), harness.members[1])
        harness.time.advance(REFRESH_SECONDS)
        self.assertEqual(servers.measure_shares(100), {1: 1.0})

    def test_server_that_rejects_as_draining_gets_no_further_calls(self) -> None:
        harness = ForwarderHarness(member(0), member(1))
        failure = Failure(Outcome.NOT_RUN, Reason.DRAINING)

        def on_send(sent: SentCall) -> None:
            if sent.address == address(0):
                sent.sink.failed(failure, None)
            else:
                sent.answer()

        harness.on_send = on_send
        for _ in range(100):
            harness.request("POST")
        self.assertEqual(Counter(s.address for s in harness.sent)[address(0)], 1)
