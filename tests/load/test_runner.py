"""Tests of a load run over a reactor in memory."""

from __future__ import annotations

import json
import re
import unittest
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.testing import MemoryReactorClock

from briarslip.load.report import report_html
from briarslip.load.report import report_json
from briarslip.load.response import Verdict
from briarslip.load.runner import LoadRunner
from tests.connection.support import FakeTransport
from tests.load.test_plan import plan


if TYPE_CHECKING:
    from briarslip.load.plan import LoadPlan


STEP_SECONDS = 0.001
STALL_SECONDS = 0.3


class FakeReactor(MemoryReactorClock):
    """An in-memory reactor in which each iteration takes some time."""

    def callLater(self, when: float, what: Any, *a: Any, **kw: Any) -> Any:
        """Schedule a call at least half a step ahead."""
        return super().callLater(max(when, STEP_SECONDS / 2), what, *a, **kw)


class FakeServer:
    """Responds to the requests on a runner's connections.

    ``stalled`` holds all responses back, ``mismatched`` gives them another request's id
    and ``truncated`` closes the connection within the body.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.connections: list[Any] = []
        self.stalled = False
        self.mismatched = False
        self.truncated = False

    def step(self) -> None:
        """Advance the time by one step, and respond unless stalled."""
        self.reactor.advance(STEP_SECONDS)
        while len(self.connections) < len(self.reactor.tcpClients):
            factory = self.reactor.tcpClients[len(self.connections)][2]
            connection = factory.buildProtocol(None)
            connection.makeConnection(FakeTransport())
            self.connections.append(connection)
        if not self.stalled:
            for connection in self.connections:
                self._answer(connection)

    def _answer(self, connection: Any) -> None:
        request = connection.transport.take_written()
        match = re.match(rb"(\w+) .*Request-Id: (\S+)", request, re.DOTALL)
        if match is None:
            return
        method, name = match[1].decode(), match[2].decode()
        length = len(request.partition(b"\r\n\r\n")[2])
        document = {"id": "0" if self.mismatched else name, "method": method}
        body = json.dumps(document | {"length": length}).encode().ljust(100_000)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        if self.truncated:
            connection.dataReceived(head + body[:50])
            connection.connectionLost()
        else:
            connection.dataReceived(head + body)


class RunnerTest(unittest.TestCase):
    """Runs of one second."""

    def run_plan(self, change: Any = None, **fields: Any) -> tuple[LoadPlan, Any]:
        """Run a plan for a second; ``change`` is called before each step."""
        chosen = replace(
            plan("even"),
            rate=100,
            warm_up=timedelta(0),
            measured=timedelta(seconds=1),
            **fields,
        )
        reactor: Any = FakeReactor()
        server = FakeServer(reactor)
        done: list[Any] = []
        LoadRunner(chosen, reactor, done.append).start()
        for number in range(4000):
            if change is not None:
                change(server, number * STEP_SECONDS)
            server.step()
        self.assertEqual(1, len(done))
        return chosen, done[0]

    def test_every_complete_response_is_counted(self) -> None:
        _, tally = self.run_plan()
        self.assertEqual(
            (99, 99), (tally.total_requests, tally.count(Verdict.COMPLETE))
        )

    def test_response_to_another_request_is_mismatched(self) -> None:
        _, tally = self.run_plan(lambda server, _: setattr(server, "mismatched", True))
        self.assertEqual(99, tally.count(Verdict.MISMATCHED))

    def test_response_cut_short_is_truncated(self) -> None:
        _, tally = self.run_plan(lambda server, _: setattr(server, "truncated", True))
        self.assertEqual(99, tally.count(Verdict.TRUNCATED))

    def test_request_without_response_times_out(self) -> None:
        _, tally = self.run_plan(lambda server, _: setattr(server, "stalled", True))
        self.assertEqual(99, tally.count(Verdict.TIMED_OUT))

    def test_a_stall_counts_for_all_requests_due_during_it(self) -> None:
        def stall(server: FakeServer, now: float) -> None:
            server.stalled = 0.4 <= now < 0.4 + STALL_SECONDS

        _, tally = self.run_plan(stall, connections=1)
        late = [
            value.value_iterated_to
            for histogram in tally.latencies.values()
            for value in histogram.get_recorded_iterator()
            for _ in range(value.count_added_in_this_iter_step)
            if value.value_iterated_to > 10_000
        ]
        # At 100 requests per second, 30 were due during the stall.
        self.assertGreaterEqual(len(late), 27)
        self.assertGreaterEqual(max(late), 0.95 * STALL_SECONDS * 1_000_000)

    def test_reports_contain_the_outcomes_and_the_plot(self) -> None:
        chosen, tally = self.run_plan()
        document = json.loads(json.dumps(report_json(chosen, tally)))
        counted = sum(row["requests"] for row in document["outcomes"])
        self.assertEqual(99, counted)
        self.assertIn("daemon", document["added_ms"])
        page = report_html(chosen, tally)
        self.assertEqual(4, page.count("<polyline"))
        self.assertNotIn("http://", page)
