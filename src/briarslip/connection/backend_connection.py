"""A persistent HTTP/1.1 connection to the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone
from twisted.web import http

from briarslip.connection.header_conventions import DEFAULT_CONVENTIONS
from briarslip.connection.http_head import HEAD_END
from briarslip.connection.http_head import MAX_HEAD_BYTES
from briarslip.connection.http_head import parse_answer_head
from briarslip.connection.socket_options import set_options
from briarslip.connection.write_now import write_now
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.request.call import ResponseHead
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from twisted.python.failure import Failure as TwistedFailure

    from briarslip.connection.header_conventions import HeaderConventions
    from briarslip.connection.http_head import AnswerHead
    from briarslip.request.call import Call
    from briarslip.request.call import Load
    from briarslip.request.call import ResponseSink


BODILESS_STATUSES = frozenset((204, 304))
METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))
SWITCHING_PROTOCOLS = 101


class BackendConnection(Protocol):
    """Carries one request after the other; owned by a backend pool."""

    transport: Any

    def __init__(
        self,
        load: Callable[[], Load],
        on_idle: Callable[[BackendConnection], None],
        on_lost: Callable[[BackendConnection], None],
        on_made: Callable[[BackendConnection], None],
        conventions: HeaderConventions = DEFAULT_CONVENTIONS,
    ) -> None:
        self.load = load
        self.conventions = conventions
        self.on_idle = on_idle
        self.on_lost = on_lost
        self.on_made: Callable[[BackendConnection], None] | None = on_made
        self.call: Call | None = None
        self.sink: ResponseSink | None = None
        self.request_id = b""
        self.idle_since = 0.0
        self.retiring = False
        self._reset()

    def _reset(self) -> None:
        self.buffer = b""
        self.answer: AnswerHead | None = None
        self.left: int | None = None
        self.decoder: Any = None
        self.skipping = False

    def connectionMade(self) -> None:
        """Report the connection."""
        set_options(self.transport)
        on_made, self.on_made = self.on_made, None
        if on_made is not None:
            on_made(self)

    def start(self, call: Call, sink: ResponseSink) -> None:
        """Send a request; its answer goes to ``sink``."""
        self._reset()
        self.call = call
        self.sink = sink
        self.request_id = self.conventions.request_id_of(call.headers)
        call.flow.on_change = self._flow_changed
        if call.flow.paused:
            self._flow_changed(True)
        head = f"{call.method} {call.target} HTTP/1.1\r\n".encode("latin-1")
        length = b""
        if call.body or call.method in METHODS_WITH_BODY:
            length = b"Content-Length: %d\r\n" % len(call.body)
        data = b"".join((head, call.headers, length, b"\r\n", call.body))
        write_now(self.transport, data)

    def cancel(self) -> None:
        """Drop the request under way; the server sees its connection close."""
        self.sink = None
        self._forget_call()
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Take bytes of the answer."""
        if self.sink is None:
            # Nothing was asked, so an answer now would cross with the next.
            self.transport.abortConnection()
        elif self.answer is None:
            self.buffer = self.buffer + data if self.buffer else data
            self._take_head()
        else:
            self._take_body(data)

    def _take_head(self) -> None:
        end = self.buffer.find(HEAD_END)
        if end < 0:
            if len(self.buffer) > MAX_HEAD_BYTES:
                self.transport.abortConnection()
            return
        parsed = parse_answer_head(self.buffer[: end + 2], self.conventions)
        if isinstance(parsed, Err) or parsed.ok_value.status == SWITCHING_PROTOCOLS:
            self.transport.abortConnection()
            return
        rest = self.buffer[end + len(HEAD_END) :]
        answer = parsed.ok_value
        if answer.status < 200:
            self.buffer = rest
            if rest:
                self._take_head()
            return
        if self.request_id and answer.request_id != self.request_id:
            self._log_refused("it answers another request", answer)
            self._pass_over(answer, rest)
            return
        if self.conventions.signature and not answer.signed and answer.status < 300:
            self._log_refused("it has no signature", answer)
            self.transport.abortConnection()
            return
        self.buffer = b""
        self._begin_answer(answer, rest)

    def _log_refused(self, reason: str, answer: AnswerHead) -> None:
        emit(
            Event.RESPONSE_DISCARDED,
            request=self.request_id.decode("latin-1"),
            reason=reason,
            status=answer.status,
            answers=answer.request_id.decode("latin-1"),
        )

    def _pass_over(self, answer: AnswerHead, rest: bytes) -> None:
        """Skip an answer to another request; one to this one may follow."""
        self.retiring = True
        self.skipping = True
        self.buffer = b""
        self.answer = answer
        self.left = answer.length
        if answer.chunked:
            self.decoder = http._ChunkedTransferDecoder(self._part, self._chunks_end)
        if rest or self.left == 0:
            self._take_body(rest)

    def _skipped(self, rest: bytes) -> None:
        self._reset()
        self.buffer = rest
        if rest:
            self._take_head()

    def _begin_answer(self, answer: AnswerHead, rest: bytes) -> None:
        sink, call = self.sink, self.call
        assert sink is not None
        assert call is not None
        self.answer = answer
        self.left = answer.length
        outcome = Outcome.NOT_RUN if answer.shed else Outcome.RAN
        sink.head(ResponseHead(answer.status, answer.headers, outcome, self.load()))
        if call.method == "HEAD" or answer.status in BODILESS_STATUSES:
            self.left = 0
        elif answer.chunked:
            self.decoder = http._ChunkedTransferDecoder(self._part, self._chunks_end)
        if rest or self.left == 0:
            self._take_body(rest)

    def _take_body(self, data: bytes) -> None:
        if self.decoder is not None:
            self._decode_chunks(data)
            return
        if self.left is None:
            self._part(data)
            return
        if self.skipping and len(data) >= self.left:
            self._skipped(data[self.left :])
            return
        if len(data) > self.left:
            self.retiring = True
            data = data[: self.left]
        self.left -= len(data)
        if self.left == 0:
            self._end(data)
        else:
            self._part(data)

    def _decode_chunks(self, data: bytes) -> None:
        try:
            self.decoder.dataReceived(data)
        except (http._MalformedChunkedDataError, ValueError):
            self.transport.abortConnection()

    def _part(self, data: bytes) -> None:
        if self.sink is not None and data and not self.skipping:
            self.sink.body(data, False)

    def _chunks_end(self, rest: bytes) -> None:
        if self.skipping:
            self._skipped(rest)
            return
        if rest:
            self.retiring = True
        self._end(b"")

    def _end(self, data: bytes) -> None:
        sink, self.sink = self.sink, None
        if sink is None:
            return
        answer = self.answer
        self._forget_call()
        if answer is not None and answer.keep and not self.retiring:
            self.on_idle(self)
        else:
            self.transport.loseConnection()
        sink.body(data, True)

    def _forget_call(self) -> None:
        call, self.call = self.call, None
        if call is not None and call.flow.on_change == self._flow_changed:
            call.flow.on_change = None
            if call.flow.paused:
                self.transport.resumeProducing()

    def _flow_changed(self, paused: bool) -> None:
        if paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Fail the request under way, unless the close ends its body."""
        sink, self.sink = self.sink, None
        self.call = None
        self.on_lost(self)
        if sink is None:
            return
        answer = self.answer
        until_close = (
            answer is not None
            and answer.length is None
            and not answer.chunked
            and not self.skipping
        )
        if until_close and reason.check(type(connectionDone.value)):
            sink.body(b"", True)
            return
        cause = Reason.CONNECTION_LOST if answer is None else Reason.TRUNCATED
        sink.failed(Failure(Outcome.UNKNOWN, cause), self.load())


__all__ = ["BackendConnection"]
