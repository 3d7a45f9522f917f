"""Tests of the evidence that is collected beside a backend server."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

from bench.fleet_clock import FleetClock
from bench.fleet_clock import HeapClock
from briarslip.process.rollouts.evidence_collector import EvidenceCollector
from briarslip.process.rollouts.evidence_collector import MeasuredServer
from briarslip.request.call import Load
from briarslip.request.call import ResponseHead
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from briarslip.version.analyzer import Analyzer
from briarslip.version.evidence import SLICE_SECONDS
from briarslip.version.evidence import WARM_UP_SECONDS
from briarslip.version.evidence import EvidenceAggregator
from tests.request.support import RecordingSink
from tests.request.support import make_call


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.call import Call
    from briarslip.request.call import ResponseSink
    from briarslip.version.decision import Fault


SERVICE_SECONDS = 0.2


class WarmUpTest(unittest.TestCase):
    """Latencies of a server that warms up are not counted as evidence."""

    def setUp(self) -> None:
        self.time = HeapClock()
        self.collector = EvidenceCollector(
            FleetClock(self.time), "127.0.0.1:7100", "klang", 1
        )
        self.collector.set_services(["holds"])
        self.warm_at: float | None = None
        self.dispatch = self.collector.instrument(
            lambda: MeasuredServer("2", self.warm_at), self.respond
        )

    def respond(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Send a response after the server's processing time."""
        self.time.advance(SERVICE_SECONDS)
        sink.head(ResponseHead(200, b"", Outcome.RAN, Load(1, 10)))
        sink.body(b"", True)
        return lambda: None

    def warm_latency_count(self) -> int:
        """Make a call; return the total number of latencies counted as evidence."""
        self.dispatch(make_call(), RecordingSink())
        (report,) = self.collector.due_reports()
        ((_, counters),) = report.entries
        return sum(counters.latencies)

    def test_server_that_announces_its_warm_up(self) -> None:
        # A rollout may end before a fixed warm-up time has passed.
        self.warm_at = self.time.seconds() + 3.0
        self.assertEqual(0, self.warm_latency_count())
        self.time.advance(3.0 - 1.5 * SERVICE_SECONDS)
        self.assertEqual(0, self.warm_latency_count())
        self.time.advance(SERVICE_SECONDS)
        self.assertEqual(1, self.warm_latency_count())

    def test_server_that_does_not_announce_its_warm_up(self) -> None:
        self.assertEqual(0, self.warm_latency_count())
        self.time.advance(WARM_UP_SECONDS - 2 * SERVICE_SECONDS)
        self.assertEqual(0, self.warm_latency_count())
        self.time.advance(SERVICE_SECONDS)
        self.assertEqual(1, self.warm_latency_count())


class FailedCallTest(unittest.TestCase):
    """Which failed calls count against the version of their server."""

    def count_failures(self, failure: Failure) -> int:
        """Let a call fail; return how many failures are reported."""
        time = HeapClock()
        collector = EvidenceCollector(FleetClock(time), "127.0.0.1:7100", "klang", 1)
        collector.set_services(["holds"])

        def fail(call: Call, sink: ResponseSink) -> Callable[[], None]:
            sink.failed(failure, None)
            return lambda: None

        server = MeasuredServer("2", None)
        collector.instrument(lambda: server, fail)(make_call(), RecordingSink())
        (report,) = collector.due_reports()
        return sum(counters.failures for _, counters in report.entries)

    def test_version_that_crashes_by_everything_is_bad(self) -> None:
        failure = Failure(Outcome.UNKNOWN, Reason.SERVER_CRASHED)
        self.assertEqual(1, self.count_failures(failure))

    def test_request_that_crashes_every_version_is_no_evidence(self) -> None:
        failure = Failure(Outcome.UNKNOWN, Reason.CRASHED_BY_SUSPECT)
        self.assertEqual(0, self.count_failures(failure))


class BadVersionWhileServersShedTest(unittest.TestCase):
    """A bad version is rolled back while servers turn calls away."""

    WINDOW_SLICES = 32
    OLD_CALLS_PER_SLICE = 64
    NEW_CALLS_PER_SLICE = 2
    # Too few calls come before it to find the fault.
    FIRST_SHEDDING_SLICE = 4
    SHED_SHARE = 0.55
    ERROR_SHARE = 0.31

    def setUp(self) -> None:
        self.rng = random.Random(1)
        self.time = HeapClock()
        self.aggregator = EvidenceAggregator()
        self.analyzer = Analyzer("2", self.WINDOW_SLICES)
        self.collectors = {
            version: EvidenceCollector(
                FleetClock(self.time), f"127.0.0.{version}:7100", "klang", 1
            )
            for version in ("1", "2")
        }
        for collector in self.collectors.values():
            collector.set_services(["holds"])

    def call(self, version: str, shed_share: float, error_share: float) -> None:
        """Make a call that the server sheds, or else runs, at times with an error."""

        def respond(call: Call, sink: ResponseSink) -> Callable[[], None]:
            outcome, status = Outcome.RAN, 200
            if self.rng.random() < shed_share:
                outcome, status = Outcome.NOT_RUN, 503
            elif self.rng.random() < error_share:
                status = 500
            sink.head(ResponseHead(status, b"", outcome, Load(1, 10)))
            sink.body(b"", True)
            return lambda: None

        server = MeasuredServer(version, None)
        dispatch = self.collectors[version].instrument(lambda: server, respond)
        dispatch(make_call(), RecordingSink())

    def run_window(
        self, old_shed_share: float, new_shed_share: float, new_error_share: float
    ) -> Fault | None:
        """Return the fault that is found in a rollout's window, if any."""
        for time_slice in range(self.WINDOW_SLICES):
            is_shedding = time_slice >= self.FIRST_SHEDDING_SLICE
            for _ in range(self.OLD_CALLS_PER_SLICE):
                self.call("1", old_shed_share * is_shedding, 0.0)
            for _ in range(self.NEW_CALLS_PER_SLICE):
                self.call("2", new_shed_share * is_shedding, new_error_share)
            self.time.advance(SLICE_SECONDS)
            for collector in self.collectors.values():
                for report in collector.due_reports():
                    self.aggregator.merge(report)
            conclusion = self.analyzer.observe(self.aggregator.consume_increments())
            if conclusion.fault is not None:
                return conclusion.fault
        return None

    def test_bad_version_is_not_taken_for_a_good_one_while_the_old_one_sheds(
        self,
    ) -> None:
        fault = self.run_window(self.SHED_SHARE, 0.0, self.ERROR_SHARE)
        assert fault is not None
        self.assertEqual("failure_share", fault.figure)

    def test_bad_version_that_sheds_as_well_is_rolled_back(self) -> None:
        fault = self.run_window(self.SHED_SHARE, self.SHED_SHARE, 2 * self.ERROR_SHARE)
        assert fault is not None
        self.assertEqual("failure_share", fault.figure)

    def test_version_that_alone_sheds_is_rolled_back(self) -> None:
        fault = self.run_window(0.0, self.SHED_SHARE, 0.0)
        assert fault is not None
        self.assertEqual("rejected_share", fault.figure)

    def test_good_version_is_not_rolled_back_while_all_servers_shed(self) -> None:
        for shed_share in (0.0, self.SHED_SHARE):
            with self.subTest(shed_share=shed_share):
                self.setUp()
                self.assertIsNone(self.run_window(self.SHED_SHARE, shed_share, 0.0))


if __name__ == "__main__":
    unittest.main()
