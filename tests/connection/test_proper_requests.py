"""Property: requests that keep to the limits are never ended as wrong, nor misread."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from briarslip.connection.buffer_budget import BufferBudget
from briarslip.connection.caller_http import CallerHttpFactory
from briarslip.connection.caller_limits import UNKNOWN_LIMITS
from briarslip.connection.caller_limits import CallerLimits
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from tests.connection.support import OK
from tests.connection.support import FakeClock
from tests.connection.support import FakeTransport
from tests.connection.support import RecordingDispatch


if TYPE_CHECKING:
    from collections.abc import Callable


MAX_REQUESTS = 6
HEAD_BYTES = 300
# A part of the bodies is larger than those received before the key is checked.
BODY_BYTES = 80_000
UNLIMITED_BYTES = 1 << 30
LIMITS = (
    CallerLimits(head_bytes=HEAD_BYTES, body_bytes=BODY_BYTES),
    CallerLimits(),
    UNKNOWN_LIMITS,
)
BODY_START = b"\r\n\r\nGET /body HTTP/1.1\r\nHost: a\r\n\r\n"
REASONS = (Reason.DRAINING, Reason.CONNECTION_LOST, Reason.DEADLINE)
CALLER_LIMITS = st.sampled_from(LIMITS)
PIECE_BYTES = st.sampled_from((1, 2, 3, 17, 60, 1000, 8000, 1 << 17))
ACTIONS = st.sampled_from(
    (
        *("receive", "receive", "request", "respond", "respond", "fail", "limits"),
        *("pause", "resume", "unsent", "tick", "drain", "stop"),
    )
)


@dataclass(frozen=True)
class SentRequest:
    """A request in wire form, and its method and body."""

    text: bytes
    method: str
    body: bytes


@st.composite
def sent_requests(draw: st.DrawFn, number: int) -> SentRequest:
    """Return a request whose target is its number."""
    method = draw(st.sampled_from(("GET", "HEAD", "POST", "POST", "PUT")))
    lines = draw(
        st.sets(
            st.sampled_from(
                (
                    b"Expect: 100-continue",
                    b"Briarslip-Deadline-Ms: 9.5",
                    b"X-A: \xe9 b",
                    b"TE:",
                )
            )
        )
    )
    start = b"%b /%d HTTP/1.1\r\nHost: a\r\n" % (method.encode(), number)
    start = draw(st.sampled_from((b"", b"", b"\r\n"))) + start
    head = start + b"".join(line + b"\r\n" for line in sorted(lines))
    if method in ("GET", "HEAD"):
        return SentRequest(head + b"\r\n", method, b"")
    size = draw(st.sampled_from((0, 1, 4, 100, 3000, BODY_BYTES)))
    body = (BODY_START * (size // len(BODY_START) + 1))[:size]
    if draw(st.booleans()):
        length = b"Content-Length: %d\r\n\r\n" % size
        return SentRequest(head + length + body, method, body)
    coding = b"Transfer-Encoding: chunked\r\n\r\n"
    return SentRequest(head + coding + draw(chunked(body)), method, body)


@st.composite
def chunked(draw: st.DrawFn, body: bytes) -> bytes:
    """Return the body in chunks, some with an extension, and perhaps a trailer."""
    step = draw(st.sampled_from((max(1, len(body) // 3), len(body) or 1)))
    extension = draw(st.sampled_from((b"", b";a=b", b';a="b c"')))
    parts = [body[at : at + step] for at in range(0, len(body), step)]
    chunks = [b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts]
    trailer = draw(st.sampled_from((b"", b"X-Sum: 1\r\n")))
    return b"".join(chunks) + b"0\r\n" + trailer + b"\r\n"


class ProperRequestsTest(unittest.TestCase):
    """A caller's connection on a fake transport, which reads unless it is paused."""

    def connect(self, capacity_bytes: int) -> None:
        self.clock = FakeClock()
        self.forwarded = RecordingDispatch()
        self.limits = LIMITS[0]
        self.factory = CallerHttpFactory(
            self.clock,
            self.forwarded,
            lambda: self.limits,
            budget=BufferBudget(self.clock, capacity_bytes),
            may_repeat=lambda head: head.method in (b"GET", b"HEAD"),
        )
        self.connection: Any = self.factory.buildProtocol(None)
        self.transport = FakeTransport()
        self.connection.makeConnection(self.transport)
        self.factory.startFactory()
        self.open_calls: list[Any] = []
        self.answered = 0
        self.unread = b""
        self.rests: list[int] = []

    @property
    def has_ended(self) -> bool:
        return self.transport.disconnecting or self.connection.closed

    def receive(self, size: int) -> None:
        """Deliver the next bytes, unless reading is paused."""
        if self.transport.producerState == "producing" and not self.has_ended:
            data, self.unread = self.unread[:size], self.unread[size:]
            if data:
                self.connection.dataReceived(data)

    def receive_request(self) -> None:
        """Deliver the rest of a request, so that the next one begins a piece."""
        unread = len(self.unread)
        self.receive(unread - max((r for r in self.rests if r < unread), default=0))

    def next_sink(self, data: st.DataObject) -> Any:
        """Return the sink of a request that has not been answered, None without one."""
        self.open_calls += self.forwarded.calls[self.answered :]
        self.answered = len(self.forwarded.calls)
        if not self.open_calls:
            return None
        index = data.draw(st.integers(0, len(self.open_calls) - 1))
        return self.open_calls.pop(index)[1]

    def respond(self, data: st.DataObject) -> None:
        sink = self.next_sink(data)
        if sink is not None:
            sink.head(OK)
            if data.draw(st.booleans()):
                sink.body(b"part", False)
            sink.body(b"last", True)

    def respond_with_failure(self, data: st.DataObject) -> None:
        sink = self.next_sink(data)
        if sink is not None:
            reason = data.draw(st.sampled_from(REASONS))
            outcome = data.draw(st.sampled_from((Outcome.NOT_RUN, Outcome.UNKNOWN)))
            sink.failed(Failure(outcome, reason), None)

    def act(self, action: str, data: st.DataObject) -> None:
        """Let one thing happen on the connection or at the daemon."""
        actions: dict[str, Callable[[], object]] = {
            "receive": lambda: self.receive(data.draw(PIECE_BYTES)),
            "request": self.receive_request,
            "respond": lambda: self.respond(data),
            "fail": lambda: self.respond_with_failure(data),
            "limits": lambda: setattr(self, "limits", data.draw(CALLER_LIMITS)),
            "pause": self.connection.pauseProducing,
            "resume": self.resume,
            "unsent": lambda: setattr(
                self.transport, "dataBuffer", b"x" * data.draw(st.integers(0, 4000))
            ),
            "tick": lambda: self.clock.advance(0.5),
            "drain": self.factory.drain,
            "stop": self.factory.reject_unread,
        }
        actions[action]()

    def resume(self) -> None:
        """Let the caller read everything written so far."""
        self.transport.dataBuffer = b""
        self.connection.resumeProducing()

    def check(self, requests: list[SentRequest]) -> None:
        """Check what was forwarded and written so far."""
        self.assertEqual({}, dict(self.factory.client_errors.counts))
        for number, (request, _) in enumerate(self.forwarded.calls):
            expected = (requests[number].method, f"/{number}", requests[number].body)
            body = request.body.to_bytes()
            self.assertEqual(expected, (request.method, request.target, body))
        statuses = self.transport.value().split(b"HTTP/1.1 ")[1:]
        for status in statuses:
            self.assertIn(status[:3], (b"100", b"200", b"502", b"503", b"504"))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.data())
    def test_proper_request_is_ended_as_wrong(self, data: st.DataObject) -> None:
        self.connect(data.draw(st.sampled_from((UNLIMITED_BYTES, 5000))))
        count = data.draw(st.integers(1, MAX_REQUESTS))
        requests = [data.draw(sent_requests(number)) for number in range(count)]
        texts = [request.text for request in requests]
        self.unread = b"".join(texts)
        self.rests = [len(b"".join(texts[number:])) for number in range(1, count)]
        for action in data.draw(st.lists(ACTIONS, max_size=60)):
            if self.has_ended:
                break
            self.act(action, data)
        while self.unread and not self.has_ended:
            self.resume()
            self.receive(1 << 17)
            self.respond(data)
        self.check(requests)

    def test_request_cut_anywhere_is_ended_as_wrong(self) -> None:
        head = b"POST /%d HTTP/1.1\r\nHost: a\r\n"
        chunks = (
            b"Transfer-Encoding: chunked\r\n\r\n4;a=b\r\n\r\n\r\n\r\n0\r\nX: 1\r\n\r\n"
        )
        length = b"Content-Length: 4\r\n\r\n\r\n\r\n"
        requests = [
            SentRequest(head % 0 + chunks, "POST", b"\r\n\r\n"),
            SentRequest(head % 1 + length, "POST", b"\r\n\r\n"),
            SentRequest(b"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n", "GET", b""),
            SentRequest(b"\r\n" + head % 3 + length, "POST", b"\r\n\r\n"),
        ]
        text = b"".join(request.text for request in requests)
        for first in range(len(text)):
            for second in range(first, len(text), 7):
                self.connect(UNLIMITED_BYTES)
                for piece in (text[:first], text[first:second], text[second:]):
                    if piece:
                        self.connection.dataReceived(piece)
                for _, sink in self.forwarded.calls:
                    sink.head(OK)
                    sink.body(b"", True)
                self.assertEqual(4, len(self.forwarded.calls))
                self.check(requests)

    def test_request_is_read_from_its_middle_after_its_begin_gave_way(self) -> None:
        self.connect(5000)
        self.connection.dataReceived(b"POST /0 HTTP/1.1\r\nHost: a\r\n\r\n")
        head = b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n"
        self.connection.dataReceived(head + bytes(8900))
        self.assertFalse(self.connection.reader.is_started)
        sink = self.forwarded.calls[0][1]
        sink.head(OK)
        sink.body(b"", True)
        self.connection.dataReceived(bytes(100) + b"\r\n\r\n")
        self.assertIn(b"Connection: close\r\n", self.transport.value())
        self.check([SentRequest(b"", "POST", b"")])


if __name__ == "__main__":
    unittest.main()
