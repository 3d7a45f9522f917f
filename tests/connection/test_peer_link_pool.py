"""Tests of a daemon's peer links: silence, replacement, pace of reconnecting."""

from __future__ import annotations

import random
import unittest
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure as TwistedFailure

from briarslip.address import Address
from briarslip.backoff import INITIAL_BACKOFF_SECONDS
from briarslip.backoff import MAX_BACKOFF_SECONDS
from briarslip.backoff import next_backoff
from briarslip.connection.frame import Hello
from briarslip.connection.frame import Topic
from briarslip.connection.heartbeat import MAX_DETECTION_SECONDS
from briarslip.connection.heartbeat import VERIFY_AFTER_SECONDS
from briarslip.connection.peer_link_pool import PeerLinkPool
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from tests.connection.support import OK
from tests.connection.support import FakeSink
from tests.connection.support import FakeTransport
from tests.connection.support import RecordingDispatch
from tests.connection.support import call


PEER = Address("127.0.0.1", 7001)
TICK = 0.05


class FakeReactor(MemoryReactorClock):
    """A reactor in memory whose clock is also the daemon's."""

    def monotonic(self) -> float:
        """Return the seconds so far."""
        return float(self.seconds())


class Network:
    """A daemon's links and the far ends that they are connected to."""

    def __init__(self) -> None:
        self.reactor: Any = FakeReactor()
        self.far_dispatched = RecordingDispatch()
        self.pool = self._daemon(RecordingDispatch())
        self.far = self._daemon(self.far_dispatched)
        self.pairs: list[tuple[Any, Any]] = []
        self.silent: set[int] = set()

    def _daemon(self, dispatched: RecordingDispatch) -> PeerLinkPool:
        return PeerLinkPool(
            self.reactor,
            self.reactor,
            Hello("127.0.0.1:7000", "klang"),
            dispatched,
            lambda *_: None,
            random.Random(3),
        )

    @property
    def attempts(self) -> int:
        """The connections asked for."""
        return len(self.reactor.tcpClients)

    def accept(self) -> None:
        """Complete every connection asked for."""
        while len(self.pairs) < self.attempts:
            factory = self.reactor.tcpClients[len(self.pairs)][2]
            near = factory.buildProtocol(None)
            far = self.far.server_factory().buildProtocol(None)
            self.pairs.append((near, far))
            for end in (far, near):
                end.makeConnection(FakeTransport())

    def refuse(self) -> None:
        """Refuse the last connection asked for."""
        factory = self.reactor.tcpClients[-1][2]
        self.pairs.append((None, None))
        factory.clientConnectionFailed(None, None)

    def deliver(self) -> None:
        """Carry bytes; a silent pair swallows what the near end writes."""
        for number, (near, far) in enumerate(self.pairs):
            for _ in range(4):
                for source, target in ((near, far), (far, near)):
                    data = source.transport.take_written() if source else b""
                    if data and number not in self.silent and target.connected:
                        target.dataReceived(data)
            if near and near.transport.aborted and near.connected:
                near.connectionLost(TwistedFailure(ConnectionDone()))

    def run(self, seconds: float) -> None:
        """Let time go by."""
        for _ in range(round(seconds / TICK)):
            self.reactor.advance(TICK)
            self.deliver()

    def dispatch(self, **fields: Any) -> FakeSink:
        """Send a call."""
        sink = FakeSink()
        self.pool.dispatch_to(PEER, call(**fields), sink)
        self.deliver()
        return sink

    def answer(self) -> None:
        """Answer every call that the far end got."""
        calls, self.far_dispatched.calls = self.far_dispatched.calls, []
        for _, sink in calls:
            sink.head(OK)
            sink.body(b"ok", True)
        self.deliver()


class PeerLinksTest(unittest.TestCase):
    """Links between two daemons in memory."""

    def setUp(self) -> None:
        self.network = Network()
        self.first = self.network.dispatch()
        self.network.accept()
        self.network.deliver()

    def test_calls_share_one_link(self) -> None:
        sinks = [self.first, *(self.network.dispatch() for _ in range(9))]
        self.network.answer()
        self.assertEqual([1] * 10, [sink.ended for sink in sinks])
        self.assertEqual(1, self.network.attempts)

    def test_silent_link_is_replaced_within_the_stated_time(self) -> None:
        self.network.answer()
        self.network.silent.add(0)
        stuck = self.network.dispatch()
        self.network.run(MAX_DETECTION_SECONDS)
        self.assertEqual([Outcome.UNKNOWN], [f.outcome for f in stuck.failures])
        self.assertEqual([Reason.STALLED], [f.reason for f in stuck.failures])
        self.assertEqual(2, self.network.attempts)
        self.network.accept()
        served = self.network.dispatch()
        self.network.answer()
        self.assertEqual(1, served.ended)

    def test_call_on_a_link_long_quiet_waits_for_its_heartbeat(self) -> None:
        self.network.answer()
        self.network.run(VERIFY_AFTER_SECONDS + 1)
        self.network.silent.add(0)
        held = self.network.dispatch(body=b"booking")
        self.network.run(MAX_DETECTION_SECONDS)
        self.assertEqual([], held.failures)
        self.network.accept()
        self.network.deliver()
        self.assertEqual(1, len(self.network.far_dispatched.calls))
        self.network.answer()
        self.assertEqual(1, held.ended)

    def test_quiet_link_that_answers_is_kept(self) -> None:
        self.network.answer()
        self.network.run(VERIFY_AFTER_SECONDS + 1)
        held = self.network.dispatch()
        self.network.deliver()
        self.network.answer()
        self.assertEqual((1, 1), (held.ended, self.network.attempts))

    def test_slow_answer_is_no_silence(self) -> None:
        self.network.run(30.0)
        self.network.answer()
        self.assertEqual((1, 1), (self.first.ended, self.network.attempts))

    def test_unused_link_is_closed(self) -> None:
        self.network.answer()
        self.network.run(62.0)
        self.assertTrue(self.network.pairs[0][0].transport.disconnecting)
        self.assertEqual({}, self.network.pool.opened_links)

    def test_cancelled_call_on_a_pending_link_is_never_sent(self) -> None:
        network = Network()
        sink = FakeSink()
        cancel = network.pool.dispatch_to(PEER, call(), sink)
        cancel()
        network.accept()
        network.deliver()
        self.assertEqual([], network.far_dispatched.calls)

    def test_refused_connections_are_paced_and_truly_not_run(self) -> None:
        network = Network()
        outcomes = []
        for _ in range(2000):
            before = network.attempts
            sink = network.dispatch()
            if network.attempts > before:
                network.refuse()
            outcomes += [failure.outcome for failure in sink.failures]
            network.reactor.advance(0.01)
        self.assertEqual({Outcome.NOT_RUN}, set(outcomes))
        self.assertEqual(2000, len(outcomes))
        self.assertLess(network.attempts, 30)

    def test_draining_peer_moves_calls_to_other_links(self) -> None:
        second = self.network.dispatch()
        self.network.far.drain()
        self.network.deliver()
        self.assertEqual({}, self.network.pool.opened_links)
        self.network.answer()
        self.assertEqual([1, 1], [self.first.ended, second.ended])
        self.assertTrue(self.network.pairs[0][0].transport.disconnecting)

    def test_lost_control_messages_cost_nothing(self) -> None:
        self.network.answer()
        self.network.pool.send_control(PEER, Topic.CONFIGURATION, b"x")
        network = Network()
        network.pool.send_control(PEER, Topic.CONFIGURATION, b"x")
        network.refuse()


class BackoffTest(unittest.TestCase):
    """The pace of reconnecting."""

    def test_pause_grows_to_its_limit_with_full_jitter(self) -> None:
        rng = random.Random(1)
        pauses: list[list[float]] = [[] for _ in range(12)]
        for _ in range(200):
            last = None
            for series in pauses:
                last = next_backoff(last, 0.0, rng)
                series.append(last.retry_at)
        for number, series in enumerate(pauses):
            limit = min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2**number)
            self.assertLessEqual(max(series), limit)
            self.assertGreater(max(series), 0.9 * limit)
            self.assertLess(min(series), 0.1 * limit)
