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

from briarslip.load.answer import Verdict
from briarslip.load.report import report_html
from briarslip.load.report import report_json
from briarslip.load.runner import Runner
from tests.connection.support import FakeTransport
from tests.load.test_plan import plan


if TYPE_CHECKING:
    from briarslip.load.plan import Plan


STEP = 0.001
STALL = 0.3


class FakeReactor(MemoryReactorClock):
    """A reactor in memory in which each turn takes some time."""

    def callLater(self, when: float, what: Any, *a: Any, **kw: Any) -> Any:
        """Set a timer, at least one turn away."""
        return super().callLater(max(when, STEP / 2), what, *a, **kw)


class FakeServer:
    """Answers what the connections of a runner send."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.connections: list[Any] = []
        self.stalled = False
        self.cross = False
        self.cut = False

    def step(self) -> None:
        """Let one step of time go by, and answer unless stalled."""
        self.reactor.advance(STEP)
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
        document = {"id": "0" if self.cross else name, "method": method}
        body = json.dumps(document | {"length": length}).encode().ljust(100_000)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        if self.cut:
            connection.dataReceived(head + body[:50])
            connection.connectionLost()
        else:
            connection.dataReceived(head + body)


class RunnerTest(unittest.TestCase):
    """A short run."""

    def run_plan(self, change: Any = None, **fields: Any) -> tuple[Plan, Any]:
        """Run a second of load; ``change`` is called before each step."""
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
        Runner(chosen, reactor, done.append).start()
        for number in range(4000):
            if change is not None:
                change(server, number * STEP)
            server.step()
        self.assertEqual(1, len(done))
        return chosen, done[0]

    def test_every_whole_answer_is_counted(self) -> None:
        _, tally = self.run_plan()
        self.assertEqual((99, 99), (tally.total, tally.count(Verdict.WHOLE)))

    def test_answer_to_another_request_is_wrong(self) -> None:
        _, tally = self.run_plan(lambda server, _: setattr(server, "cross", True))
        self.assertEqual(99, tally.count(Verdict.WRONG))

    def test_cut_answer_is_no_answer(self) -> None:
        _, tally = self.run_plan(lambda server, _: setattr(server, "cut", True))
        self.assertEqual(99, tally.count(Verdict.CUT))

    def test_silence_ends_at_the_timeout(self) -> None:
        _, tally = self.run_plan(lambda server, _: setattr(server, "stalled", True))
        self.assertEqual(99, tally.count(Verdict.TIMED_OUT))

    def test_a_stall_counts_for_all_that_were_due_in_it(self) -> None:
        def stall(server: FakeServer, now: float) -> None:
            server.stalled = 0.4 <= now < 0.4 + STALL

        _, tally = self.run_plan(stall, connections=1)
        late = [
            value.value_iterated_to
            for histogram in tally.latencies.values()
            for value in histogram.get_recorded_iterator()
            for _ in range(value.count_added_in_this_iter_step)
            if value.value_iterated_to > 10_000
        ]
        # 100 calls a second: 30 were due while nothing was answered.
        self.assertGreaterEqual(len(late), 27)
        self.assertGreaterEqual(max(late), 0.95 * STALL * 1_000_000)

    def test_reports_hold_the_outcomes_and_the_plot(self) -> None:
        chosen, tally = self.run_plan()
        document = json.loads(json.dumps(report_json(chosen, tally)))
        counted = sum(row["requests"] for row in document["outcomes"])
        self.assertEqual(99, counted)
        self.assertIn("daemon", document["added_ms"])
        page = report_html(chosen, tally)
        self.assertEqual(4, page.count("<polyline"))
        self.assertNotIn("http://", page)
