"""Tests of peer links."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from briarslip.address import Address
from briarslip.connection.frame import BodyFrame
from briarslip.connection.frame import ControlFrame
from briarslip.connection.frame import FailureFrame
from briarslip.connection.frame import Ping
from briarslip.connection.frame import ResponseFrame
from briarslip.connection.frame import Topic
from briarslip.connection.outgoing_body import PART_BYTES
from briarslip.connection.outgoing_body import WINDOW_BYTES
from briarslip.connection.peer_link import MAX_STREAM
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from tests.connection.support import OK
from tests.connection.support import FakeSink
from tests.connection.support import LinkPair
from tests.connection.support import call
from tests.connection.support import run_turn


MAX_FRAMES_PER_READ = 32
MAX_FRAMES_PER_TURN = 512


def response(stream: int, body: bytes = b"x", last: bool = True) -> ResponseFrame:
    """Return the first frame of a response."""
    return ResponseFrame(stream, 200, Outcome.RAN, 1, 10, b"", body, last)


class PeerLinkTest(unittest.TestCase):
    """Two ends of a link on fake transports."""

    def setUp(self) -> None:
        self.pair = LinkPair()

    def open(self, body: bytes = b"", urgent: bool = True) -> FakeSink:
        sink = FakeSink()
        self.pair.opener.open_stream(call(body, urgent), sink)
        return sink

    def test_thousands_in_flight_each_get_their_own_response(self) -> None:
        bodies = [b"%d" % number for number in range(3000)]
        sinks = [self.open(body) for body in bodies]
        self.pair.deliver()
        answered = list(self.pair.dispatched.calls)
        random.Random(5).shuffle(answered)
        for request, sink in answered:
            sink.head(OK)
            sink.body(b"to " + request.body.to_bytes()[:1], False)
        for request, sink in answered:
            sink.body(request.body.to_bytes()[1:], True)
        self.pair.deliver()
        for body, received in zip(bodies, sinks, strict=True):
            self.assertEqual((b"to " + body, 1), (received.data, received.ended))
        self.assertEqual({}, self.pair.opener.client_streams)
        self.assertEqual({}, self.pair.server.served.streams)

    def test_frames_of_ended_streams_are_dropped(self) -> None:
        cancelled, other = FakeSink(), FakeSink()
        cancel = self.pair.opener.open_stream(call(), cancelled)
        self.pair.opener.open_stream(call(), other)
        self.pair.deliver()
        cancel()
        first, second = (sink for _, sink in self.pair.dispatched.calls)
        first.head(OK)
        first.body(b"crossed", True)
        self.pair.deliver()
        second.head(OK)
        second.body(b"own", True)
        second.body(b"late", True)
        self.pair.server.send(response(2, b"late"))
        self.pair.server.send(BodyFrame(2, b"late", True))
        self.pair.deliver()
        self.assertEqual((b"", 0), (cancelled.data, cancelled.ended))
        self.assertEqual((b"own", 1), (other.data, other.ended))

    def test_withdrawn_call_fails_unless_a_server_runs_it(self) -> None:
        calls = [call(), call()]
        sinks = [FakeSink(), FakeSink()]
        for request, sink in zip(calls, sinks, strict=True):
            self.pair.opener.open_stream(request, sink)
        self.pair.deliver()
        (queued, queued_sink), _ = self.pair.dispatched.calls
        failure = Failure(Outcome.NOT_RUN, Reason.DRAINING)
        queued.withdrawal.on_request = lambda: queued_sink.failed(failure, None)
        for request in calls:
            request.withdrawal.request()
        self.pair.deliver()
        self.assertEqual([failure], sinks[0].failures)
        self.assertEqual([], sinks[1].failures)
        self.assertEqual([], self.pair.dispatched.cancelled)
        _, running_sink = self.pair.dispatched.calls[1]
        running_sink.head(OK)
        running_sink.body(b"own", True)
        self.pair.deliver()
        self.assertEqual((b"own", 1), (sinks[1].data, sinks[1].ended))

    def test_call_whose_body_is_still_on_its_way_is_withdrawn(self) -> None:
        request, sink = call(b"x" * (4 * PART_BYTES)), FakeSink()
        self.pair.opener.open_stream(request, sink)
        data = self.pair.opener.transport.take_written()
        self.pair.server.dataReceived(data[: 2 * PART_BYTES])
        request.withdrawal.request()
        self.pair.server.dataReceived(data[2 * PART_BYTES :])
        self.pair.deliver()
        outcomes = [failure.outcome for failure in sink.failures]
        served = len(self.pair.dispatched.calls)
        self.assertIn((outcomes, served), [([Outcome.NOT_RUN], 0), ([], 1)])
        self.assertEqual({}, self.pair.server.served.partial_requests)

    def test_served_calls_are_withdrawn_when_the_server_s_daemon_stops(self) -> None:
        sink = FakeSink()
        self.pair.opener.open_stream(call(), sink)
        self.pair.deliver()
        ((served, served_sink),) = self.pair.dispatched.calls
        failure = Failure(Outcome.NOT_RUN, Reason.DRAINING)
        served.withdrawal.on_request = lambda: served_sink.failed(failure, None)
        self.pair.server.served.withdraw_all()
        self.pair.deliver()
        self.assertEqual([failure], sink.failures)

    def test_cancel_reaches_the_server_once(self) -> None:
        cancel = self.pair.opener.open_stream(call(), FakeSink())
        self.pair.deliver()
        cancel()
        cancel()
        self.pair.deliver()
        self.assertEqual(1, len(self.pair.dispatched.cancelled))

    def test_frames_out_of_order_fail_the_call_and_end_the_link(self) -> None:
        for frames in (
            [BodyFrame(1, b"x", True)],
            [BodyFrame(1, b"x", False)],
            [response(1, last=False), response(1)],
            [FailureFrame(1, Outcome.RAN, "no such reason", 0, 0)],
        ):
            with self.subTest(frames):
                self.setUp()
                sink = self.open()
                for frame in frames:
                    self.pair.server.send(frame)
                self.pair.deliver(to_server=False)
                self.assertTrue(self.pair.opener.transport.aborted)
                self.pair.opener.connectionLost()
                self.assertEqual(0, sink.ended)
                self.assertEqual(
                    [Outcome.UNKNOWN], [failure.outcome for failure in sink.failures]
                )

    def test_lost_link_fails_pending_calls_and_cancels_served_ones(self) -> None:
        sink = self.open()
        self.pair.deliver()
        self.pair.dispatched.calls[0][1].head(OK)
        self.pair.dispatched.calls[0][1].body(b"part", False)
        self.pair.deliver()
        self.pair.opener.connectionLost()
        self.pair.server.connectionLost()
        self.assertEqual([Reason.CONNECTION_LOST], [f.reason for f in sink.failures])
        self.assertEqual(0, sink.ended)
        self.assertEqual(1, len(self.pair.dispatched.cancelled))

    def test_slow_reader_is_sent_one_window(self) -> None:
        sink = FakeSink()
        request = call()
        request.flow.paused = True
        self.pair.opener.open_stream(request, sink)
        self.pair.deliver()
        served, response_sink = self.pair.dispatched.calls[0]
        response_sink.head(OK)
        body = bytes(WINDOW_BYTES * 3)
        response_sink.body(body, True)
        self.pair.deliver()
        self.assertEqual(WINDOW_BYTES, len(sink.data))
        self.assertTrue(served.flow.paused)
        request.flow.set_paused(False)
        self.pair.deliver()
        self.assertEqual((len(body), 1), (len(sink.data), sink.ended))
        self.assertEqual({}, self.pair.server.served.streams)

    def test_one_read_takes_the_reactor_for_all_of_its_frames(self) -> None:
        """Guards against a daemon that hangs on thousands of small frames of a peer."""
        received: list[ControlFrame] = []
        server = self.pair.server
        server.peer = Address("127.0.0.1", 7000)
        server.on_control = lambda _, frame: received.append(frame)
        for number in range(1000):
            frame = ControlFrame(Topic.MEMBERSHIP, b"%d" % number)
            self.pair.opener.send(frame)
        server.dataReceived(self.pair.opener.transport.take_written())
        self.assertLessEqual(len(received), MAX_FRAMES_PER_READ)
        self.assertEqual("paused", server.transport.producerState)
        while len(received) < 1000:
            before = len(received)
            run_turn(self.pair.clock)
            self.assertLessEqual(len(received) - before, MAX_FRAMES_PER_TURN)
            self.assertGreater(len(received), before)
        run_turn(self.pair.clock)
        payloads = [b"%d" % number for number in range(1000)]
        self.assertEqual(payloads, [frame.payload for frame in received])
        self.assertEqual("producing", server.transport.producerState)

    def test_frames_of_a_lost_link_are_handled(self) -> None:
        """Guards against work for a peer that has left."""
        received: list[ControlFrame] = []
        server = self.pair.server
        server.peer = Address("127.0.0.1", 7000)
        server.on_control = lambda _, frame: received.append(frame)
        for _ in range(100):
            self.pair.opener.send(ControlFrame(Topic.MEMBERSHIP, b""))
        server.dataReceived(self.pair.opener.transport.take_written())
        server.connectionLost()
        before = len(received)
        run_turn(self.pair.clock)
        self.assertEqual(before, len(received))
        self.assertEqual([], self.pair.clock.getDelayedCalls())

    def test_queued_bytes_leave_in_frames_of_their_own(self) -> None:
        """Guards against thousands of frames for a body of small parts that waited."""
        sink = self.open()
        self.pair.deliver()
        response_sink = self.pair.dispatched.calls[0][1]
        server = self.pair.server
        server.writer.pauseProducing()
        response_sink.head(OK)
        for _ in range(PART_BYTES):
            response_sink.body(b"x", False)
        response_sink.body(b"y", True)
        with mock.patch.object(server.writer, "send", wraps=server.writer.send) as send:
            server.writer.resumeProducing()
        self.assertEqual(2, send.call_count)
        self.pair.deliver()
        self.assertEqual((b"x" * PART_BYTES + b"y", 1), (sink.data, sink.ended))

    def test_bytes_beyond_the_credit_end_the_link(self) -> None:
        self.open()
        self.pair.server.send(response(1, b"", False))
        for _ in range(2 * WINDOW_BYTES // PART_BYTES):
            self.pair.server.send(BodyFrame(1, bytes(PART_BYTES), False))
        self.pair.opener.client_streams[1].call.flow.paused = True
        self.pair.deliver(to_server=False)
        self.assertTrue(self.pair.opener.transport.aborted)

    def test_urgent_response_overtakes_a_bulk_body(self) -> None:
        """A short one at once despite congestion, a long one before bulk parts."""
        bulk = self.open(b"b", urgent=False)
        urgent = [self.open(b"u") for _ in range(2)]
        self.pair.deliver()
        writer = self.pair.server.writer
        writer.pauseProducing()
        bulk_sink, short_sink, long_sink = (
            sink for _, sink in self.pair.dispatched.calls
        )
        for sink, body in (
            (bulk_sink, bytes(WINDOW_BYTES)),
            (long_sink, bytes(PART_BYTES * 3)),
            (short_sink, b"alert"),
        ):
            sink.head(OK)
            sink.body(body, True)
        self.pair.deliver()
        self.assertEqual((b"alert", 1), (urgent[0].data, urgent[0].ended))
        self.assertEqual((b"", b""), (bulk.data, urgent[1].data))
        sent: list[tuple[int, bool]] = []
        writer.send = lambda frame: sent.append((frame.stream, frame.last))  # type: ignore[method-assign, union-attr]  # a spy
        writer.resumeProducing()
        self.assertEqual([(3, False), (3, False), (3, True), (1, False)], sent[:4])
        self.assertEqual({1}, {stream for stream, _ in sent[3:]})

    def test_bulk_bodies_take_turns_in_bounded_parts(self) -> None:
        sinks = [self.open(b"b", urgent=False) for _ in range(2)]
        self.pair.deliver()
        writer = self.pair.server.writer
        writer.pauseProducing()
        for _, response_sink in self.pair.dispatched.calls:
            response_sink.head(OK)
            response_sink.body(bytes(PART_BYTES * 3), True)
        frames = []
        for _ in range(6):
            stream, body = next(iter(writer.bulk_queue.items()))
            del writer.bulk_queue[stream]
            frame = body.next_frame()
            if body.is_sendable and not body.is_sent:
                writer.bulk_queue[stream] = body
            assert isinstance(frame, BodyFrame | ResponseFrame)
            frames.append((frame.stream, frame.last))
        self.assertEqual([1, 2, 1, 2, 1, 2], [stream for stream, _ in frames])
        self.assertEqual([False] * 4 + [True] * 2, [last for _, last in frames])
        self.assertEqual(2, len(sinks))

    def test_large_request_body_arrives_complete(self) -> None:
        body = bytes(range(256)) * (PART_BYTES // 32)
        self.open(body)
        self.open(b"small")
        self.pair.deliver()
        received = [r.body.to_bytes() for r, _ in self.pair.dispatched.calls]
        self.assertEqual([5, len(body)], sorted(map(len, received)))
        self.assertIn(body, received)

    def test_stream_numbers_wrap_past_those_in_use(self) -> None:
        open_sink = self.open()
        self.pair.opener.next_stream_number = MAX_STREAM
        last, first = self.open(b"last"), self.open(b"first")
        self.pair.deliver()
        self.assertEqual([1, 2, MAX_STREAM], sorted(self.pair.opener.client_streams))
        for request, sink in self.pair.dispatched.calls:
            sink.head(OK)
            sink.body(request.body.to_bytes(), True)
        self.pair.deliver()
        received = [sink.data for sink in (open_sink, last, first)]
        self.assertEqual([b"", b"last", b"first"], received)

    def test_draining_peer_finishes_its_streams_and_gets_no_new_ones(self) -> None:
        draining_links: list[object] = []
        self.pair.opener.on_go_away = draining_links.append
        sink = self.open()
        self.pair.deliver()
        self.pair.server.go_away()
        self.pair.deliver()
        self.assertEqual([self.pair.opener], draining_links)
        self.assertFalse(self.pair.opener.transport.disconnecting)
        response_sink = self.pair.dispatched.calls[0][1]
        response_sink.head(OK)
        response_sink.body(b"whole", True)
        self.pair.deliver()
        self.assertEqual(1, sink.ended)
        self.assertTrue(self.pair.opener.transport.disconnecting)

    def test_frames_sent_during_one_read_leave_in_one_write(self) -> None:
        writes: list[bytes] = []
        for token in range(20):
            self.pair.opener.send(Ping(token))
        transport = self.pair.server.transport
        transport.write = writes.append
        self.pair.server.dataReceived(self.pair.opener.transport.take_written())
        self.assertEqual(1, len(writes))

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(st.data())
    def test_damaged_frames_never_raise(self, data: st.DataObject) -> None:
        self.setUp()
        self.open(b"body")
        self.pair.opener.send(response(1))
        text = bytearray(self.pair.opener.transport.take_written())
        for _ in range(data.draw(st.integers(1, 4))):
            at = data.draw(st.integers(0, len(text) - 1))
            text[at] = data.draw(st.integers(0, 255))
        self.pair.server.dataReceived(bytes(text))
