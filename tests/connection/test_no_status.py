"""Tests of responses whose status is none."""

from __future__ import annotations

import unittest

from briarslip.connection.frame import CancelFrame
from briarslip.connection.frame import ResponseFrame
from briarslip.connection.frame_codec import encode_frame
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from tests.connection.support import OK
from tests.connection.support import FakeSink
from tests.connection.support import LinkPair
from tests.connection.support import call
from tests.connection.test_caller_statuses import SIGNED
from tests.connection.test_caller_statuses import CallerStatusCase


NO_STATUSES = (
    *(b"000", b"001", b"099", b"600", b"700", b"999"),
    *(b"20", b"2", b"2000", b"20000", b"0200", b"-20", b"+200", b"2x0", b""),
)
NUMBERS_WITHOUT_MEANING = (0, 1, 99, 100, 199, 600, 999, 20000, 65535)
FINAL_STATUSES = range(200, 600)
# They say by themselves that the request was not run.
REFUSALS = (421,)


def response(status: bytes, headers: bytes = SIGNED) -> bytes:
    """Return a signed response to the request of these tests."""
    return (
        b"HTTP/1.1 %b X\r\nAttempt-Id: aaaa1111\r\n" % status
        + headers
        + b"Content-Length: 0\r\n\r\n"
    )


class ServerStatusTest(CallerStatusCase):
    """The server beside the daemon sends a response without a status."""

    def test_caller_gets_it_as_a_response(self) -> None:
        """Guards against a status that is none, such as HTTP/1.1 000."""
        for status in NO_STATUSES:
            with self.subTest(status=status):
                got = self.send(b"POST", response(status))
                self.assertEqual((502, 1), got[:2])
                self.assertNotIn(SIGNED, got[2])

    def test_it_ends_a_request_that_may_be_repeated(self) -> None:
        """Guards against a failure where another server would have answered."""
        for status in NO_STATUSES:
            answers = (response(status), response(b"200"))
            with self.subTest(status=status):
                self.assertEqual((200, 2), self.send(b"GET", *answers)[:2])

    def test_it_is_skipped_as_an_interim_response(self) -> None:
        """Guards against a response that is taken from behind one without a status."""
        for status in NO_STATUSES:
            earlier = b"HTTP/1.1 %b X\r\n\r\n" % status
            with self.subTest(status=status):
                got = self.send(b"POST", earlier + response(b"200"))
                self.assertEqual((502, 1), got[:2])

    def test_status_of_a_server_is_changed(self) -> None:
        """Guards against the loss of statuses that are unusual and proper."""
        for status in FINAL_STATUSES:
            if status in REFUSALS:
                continue
            with self.subTest(status=status):
                got = self.send(b"POST", response(b"%d" % status))
                self.assertEqual((status, 1), got[:2])
                self.assertIn(SIGNED, got[2])


class PeerStatusTest(unittest.TestCase):
    """A peer passes on a response without a status."""

    def setUp(self) -> None:
        self.pair = LinkPair()
        self.sinks = [FakeSink(), FakeSink()]
        for sink in self.sinks:
            self.pair.opener.open_stream(call(), sink)
        self.pair.deliver()

    def receive(self, status: int, last: bool) -> None:
        """Let the first call's response have a status."""
        frame = ResponseFrame(1, status, Outcome.RAN, 1, 10, SIGNED, b"x", last)
        self.pair.server.send(frame)
        self.pair.deliver()

    def test_caller_gets_it_as_a_response(self) -> None:
        """Guards against a status that is none, from a daemon of another release."""
        failure = Failure(Outcome.UNKNOWN, Reason.TRUNCATED)
        for status in NUMBERS_WITHOUT_MEANING:
            for last in (False, True):
                with self.subTest(status=status, last=last):
                    self.setUp()
                    self.receive(status, last)
                    self.assertEqual([], self.sinks[0].heads)
                    self.assertEqual([failure], self.sinks[0].failures)

    def test_other_calls_of_the_link_fail_with_it(self) -> None:
        """Guards against one faulty server that ends the calls of all others."""
        self.receive(0, False)
        self.assertFalse(self.pair.opener.transport.aborted)
        self.assertEqual(1, len(self.pair.dispatched.cancelled))
        sink = self.pair.dispatched.calls[1][1]
        sink.head(OK)
        sink.body(b"ok", True)
        self.pair.deliver()
        self.assertEqual((b"ok", 1), (self.sinks[1].data, self.sinks[1].ended))

    def test_ended_call_is_cancelled(self) -> None:
        """Guards against a frame for a stream that has ended."""
        self.pair.opener.transport.clear()
        data = encode_frame(
            ResponseFrame(1, 0, Outcome.RAN, 1, 10, SIGNED, b"x", last=True)
        )
        self.pair.opener.dataReceived(len(data).to_bytes(4, "big") + data)
        cancel = encode_frame(CancelFrame(1))
        self.assertNotIn(cancel, self.pair.opener.transport.value())

    def test_status_of_a_server_is_changed(self) -> None:
        """Guards against the loss of statuses that are unusual and proper."""
        for status in FINAL_STATUSES:
            self.setUp()
            self.receive(status, True)
            self.assertEqual([status], [head.status for head in self.sinks[0].heads])


if __name__ == "__main__":
    unittest.main()
