"""Tests of a pool of peer links: silent links, replacement and backoff."""

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
TICK_SECONDS = 0.05


class FakeReactor(MemoryReactorClock):
    """An in-memory reactor whose clock is also the daemon's."""

    def monotonic(self) -> float:
        """Return the current time in seconds."""
        return float(self.seconds())


class Network:
    """A daemon's pool and the remote pool that its links connect to.

    ``pairs`` holds the local and remote end of each connection.
    """

    def __init__(self) -> None:
        self.reactor: Any = FakeReactor()
        self.remote_dispatch = RecordingDispatch()
        self.pool = self._daemon(RecordingDispatch())
        self.remote = self._daemon(self.remote_dispatch)
        self.pairs: list[tuple[Any, Any]] = []
        self.silent_pairs: set[int] = set()

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
    def connection_attempts(self) -> int:
        """The number of connections that were attempted."""
        return len(self.reactor.tcpClients)

    def accept(self) -> None:
        """Establish every attempted connection."""
        while len(self.pairs) < self.connection_attempts:
            factory = self.reactor.tcpClients[len(self.pairs)][2]
            local = factory.buildProtocol(None)
            remote = self.remote.server_factory().buildProtocol(None)
            self.pairs.append((local, remote))
            for end in (remote, local):
                end.makeConnection(FakeTransport())

    def refuse(self) -> None:
        """Refuse the last attempted connection."""
        factory = self.reactor.tcpClients[-1][2]
        self.pairs.append((None, None))
        factory.clientConnectionFailed(None, None)

    def deliver(self) -> None:
        """Deliver bytes between the ends; those of silent pairs are lost."""
        for number, (local, remote) in enumerate(self.pairs):
            for _ in range(4):
                for source, target in ((local, remote), (remote, local)):
                    data = source.transport.take_written() if source else b""
                    if data and number not in self.silent_pairs and target.connected:
                        target.dataReceived(data)
            if local and local.transport.aborted and local.connected:
                local.connectionLost(TwistedFailure(ConnectionDone()))

    def run(self, seconds: float) -> None:
        """Advance the time and deliver bytes at each tick."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.reactor.advance(TICK_SECONDS)
            self.deliver()

    def dispatch(self, **fields: Any) -> FakeSink:
        """Send a call."""
        sink = FakeSink()
        self.pool.dispatch_to(PEER, call(**fields), sink)
        self.deliver()
        return sink

    def respond(self) -> None:
        """Respond to every call that the remote end received."""
        calls, self.remote_dispatch.calls = self.remote_dispatch.calls, []
        for _, sink in calls:
            sink.head(OK)
            sink.body(b"ok", True)
        self.deliver()


class PeerLinkPoolTest(unittest.TestCase):
    """Links between two in-memory daemons."""

    def setUp(self) -> None:
        self.network = Network()
        self.first = self.network.dispatch()
        self.network.accept()
        self.network.deliver()

    def test_calls_share_one_link(self) -> None:
        sinks = [self.first, *(self.network.dispatch() for _ in range(9))]
        self.network.respond()
        self.assertEqual([1] * 10, [sink.ended for sink in sinks])
        self.assertEqual(1, self.network.connection_attempts)

    def test_silent_link_is_replaced_within_the_detection_time(self) -> None:
        self.network.respond()
        self.network.silent_pairs.add(0)
        sent = self.network.dispatch()
        self.network.run(MAX_DETECTION_SECONDS)
        self.assertEqual([Outcome.UNKNOWN], [f.outcome for f in sent.failures])
        self.assertEqual([Reason.STALLED], [f.reason for f in sent.failures])
        self.assertEqual(2, self.network.connection_attempts)
        self.network.accept()
        served = self.network.dispatch()
        self.network.respond()
        self.assertEqual(1, served.ended)

    def test_call_on_an_idle_link_waits_for_its_heartbeat(self) -> None:
        self.network.respond()
        self.network.run(VERIFY_AFTER_SECONDS + 1)
        self.network.silent_pairs.add(0)
        waiting = self.network.dispatch(body=b"booking")
        self.network.run(MAX_DETECTION_SECONDS)
        self.assertEqual([], waiting.failures)
        self.network.accept()
        self.network.deliver()
        self.assertEqual(1, len(self.network.remote_dispatch.calls))
        self.network.respond()
        self.assertEqual(1, waiting.ended)

    def test_idle_link_that_answers_its_heartbeat_is_kept(self) -> None:
        self.network.respond()
        self.network.run(VERIFY_AFTER_SECONDS + 1)
        waiting = self.network.dispatch()
        self.network.deliver()
        self.network.respond()
        self.assertEqual((1, 1), (waiting.ended, self.network.connection_attempts))

    def test_link_with_a_slow_response_is_kept(self) -> None:
        self.network.run(30.0)
        self.network.respond()
        self.assertEqual((1, 1), (self.first.ended, self.network.connection_attempts))

    def test_unused_link_is_closed(self) -> None:
        self.network.respond()
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
        self.assertEqual([], network.remote_dispatch.calls)

    def test_failed_connections_back_off_and_calls_are_not_run(self) -> None:
        network = Network()
        outcomes = []
        for _ in range(2000):
            before = network.connection_attempts
            sink = network.dispatch()
            if network.connection_attempts > before:
                network.refuse()
            outcomes += [failure.outcome for failure in sink.failures]
            network.reactor.advance(0.01)
        self.assertEqual({Outcome.NOT_RUN}, set(outcomes))
        self.assertEqual(2000, len(outcomes))
        self.assertLess(network.connection_attempts, 30)

    def test_draining_peer_moves_calls_to_other_links(self) -> None:
        second = self.network.dispatch()
        self.network.remote.drain()
        self.network.deliver()
        self.assertEqual({}, self.network.pool.opened_links)
        self.network.respond()
        self.assertEqual([1, 1], [self.first.ended, second.ended])
        self.assertTrue(self.network.pairs[0][0].transport.disconnecting)

    def test_lost_control_messages_raise_nothing(self) -> None:
        self.network.respond()
        self.network.pool.send_control(PEER, Topic.CONFIGURATION, b"x")
        network = Network()
        network.pool.send_control(PEER, Topic.CONFIGURATION, b"x")
        network.refuse()


class BackoffTest(unittest.TestCase):
    """Backoff between connection attempts."""

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
