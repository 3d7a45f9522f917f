"""A persistent HTTP/1.1 connection to the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from twisted.internet.error import ConnectionAborted
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone

from briarslip.connection.body_writer import BodyWriter
from briarslip.connection.header_conventions import DEFAULT_CONVENTIONS
from briarslip.connection.http_head import HEAD_END
from briarslip.connection.http_head import MAX_HEAD_BYTES
from briarslip.connection.http_head import lacks_signature
from briarslip.connection.http_head import parse_response_head
from briarslip.connection.immediate_write import write_immediately
from briarslip.connection.reading import PauseReason
from briarslip.connection.reading import Reading
from briarslip.connection.response_body import ResponseBody
from briarslip.connection.server_status import NO_STATUS
from briarslip.connection.socket_options import set_socket_options
from briarslip.connection.stepwise_input import StepwiseInput
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
    from briarslip.connection.http_head import BackendResponseHead
    from briarslip.connection.input_scheduler import InputScheduler
    from briarslip.request.call import Call
    from briarslip.request.call import Load
    from briarslip.request.call import ResponseSink
    from briarslip.request.call import ServerStatus


METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))
SWITCHING_PROTOCOLS = 101
# Interim responses and responses to other requests that a server may send before the
# response to the request. Later copies are few; more is no server that works.
MAX_DISCARDED_BYTES = 256 << 10
# Heads that are processed in one step.
MAX_HEADS_PER_STEP = 16
# Larger bodies are written in parts, as the server reads them.
MAX_WHOLE_BODY_BYTES = 64 << 10


class BackendConnection(Protocol):
    """Connection of a ``BackendPool`` that carries one request at a time.

    ``load`` returns the current load of the server. ``on_connected`` is called
    once the connection is established, ``on_idle`` when it can carry another
    request, and ``on_lost`` when it is closed.
    """

    transport: Any

    def __init__(
        self,
        load: Callable[[], Load],
        on_idle: Callable[[BackendConnection], None],
        on_lost: Callable[[BackendConnection], None],
        on_connected: Callable[[BackendConnection], None],
        scheduler: InputScheduler,
        conventions: HeaderConventions = DEFAULT_CONVENTIONS,
        keepalive_seconds: int | None = None,
    ) -> None:
        self.load = load
        self.scheduler = scheduler
        self.conventions = conventions
        self.keepalive_seconds = keepalive_seconds
        self.on_idle = on_idle
        self.on_lost = on_lost
        self.on_connected: Callable[[BackendConnection], None] | None = on_connected
        self.call: Call | None = None
        self.sink: ResponseSink | None = None
        self.request_id = b""
        self.idle_since = 0.0
        self.connected_at = 0.0
        self.closed_by_server = False
        self.close_after_response = False
        self.discarded_bytes = 0
        self.previous_method = ""
        self.body_writer: BodyWriter | None = None
        self._reset()

    def _reset(self) -> None:
        self.buffer = b""
        self.response_head: BackendResponseHead | None = None
        self.response_body: ResponseBody | None = None
        self.skipping = False

    def connectionMade(self) -> None:
        """Set the socket options and call ``on_connected``."""
        set_socket_options(self.transport, self.keepalive_seconds)
        self.reading = Reading(self.transport)
        self.input = StepwiseInput(self.scheduler, self.reading, self._process_step)
        on_connected, self.on_connected = self.on_connected, None
        if on_connected is not None:
            on_connected(self)

    def start(self, call: Call, sink: ResponseSink) -> None:
        """Send a request and forward its response to ``sink``."""
        self._reset()
        self.discarded_bytes = 0
        self.call = call
        self.sink = sink
        self.request_id = self.conventions.request_id_of(call.headers)
        call.flow.on_change = self._on_flow_change
        if call.flow.paused:
            self._on_flow_change(True)
        head = f"{call.method} {call.target} HTTP/1.1\r\n".encode("latin-1")
        length = b""
        body = call.body
        if body.parts or call.method in METHODS_WITH_BODY:
            length = b"Content-Length: %d\r\n" % body.size_bytes
        data = b"".join((head, call.headers, length, b"\r\n"))
        if body.size_bytes <= MAX_WHOLE_BODY_BYTES:
            write_immediately(self.transport, data + body.to_bytes())
            return
        write_immediately(self.transport, data)
        self.body_writer = BodyWriter(self.transport, body)
        self.body_writer.start()

    def cancel(self) -> None:
        """Cancel the current request by aborting the connection."""
        self.sink = None
        self._detach_call()
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Receive bytes of a response."""
        if self.sink is None:
            # Without a request under way, these bytes would be read as the response to
            # the next one.
            self.transport.abortConnection()
            return
        self.buffer = self.buffer + data if self.buffer else data
        self.input.process()

    def _process_step(self) -> bool:
        """Process received data; return whether more can follow at once."""
        for _ in range(MAX_HEADS_PER_STEP):
            if not self._process_next():
                body = self.response_body
                return self.sink is not None and body is not None and body.has_backlog
        return True

    def _process_next(self) -> bool:
        """Process a head or a part of a body; return whether another may follow."""
        if self.sink is None:
            return False
        if self.response_body is None:
            return self._parse_head()
        return self._read_body(self.response_body)

    def _parse_head(self) -> bool:
        """Parse the next head in the buffer; return whether more may follow."""
        end = self.buffer.find(HEAD_END)
        if end < 0:
            if len(self.buffer) > MAX_HEAD_BYTES:
                self._abort()
            return False
        parsed = parse_response_head(self.buffer[: end + 2], self.conventions)
        if isinstance(parsed, Err):
            peer = str(self.transport.getPeer())
            emit(Event.MESSAGE_REJECTED, peer=peer, reason=parsed.err_value)
            self._abort()
            return False
        if parsed.ok_value.status == SWITCHING_PROTOCOLS:
            self._abort()
            return False
        head_bytes = end + len(HEAD_END)
        self.buffer = self.buffer[head_bytes:]
        response_head = parsed.ok_value
        if response_head.status < 200:
            return self._discard(head_bytes)
        if self.request_id and response_head.request_id != self.request_id:
            self._log_discarded("the response is for another request", response_head)
            return self._discard(head_bytes) and self._skip_response(response_head)
        if lacks_signature(response_head, self.conventions):
            self._log_discarded("the response has no server signature", response_head)
            self._abort()
            return False
        self._start_response(response_head)
        return True

    def _discard(self, byte_count: int) -> bool:
        """Count bytes that belong to no request; return whether more may follow.

        Otherwise the connection is aborted.
        """
        self.discarded_bytes += byte_count
        if self.discarded_bytes <= MAX_DISCARDED_BYTES:
            return True
        self._abort()
        return False

    def _abort(self) -> None:
        """Abort the connection and process nothing more; its loss fails the call."""
        self.buffer = b""
        self.response_body = None
        self.transport.abortConnection()

    def _log_discarded(self, reason: str, response_head: BackendResponseHead) -> None:
        emit(
            Event.RESPONSE_DISCARDED,
            request=self.request_id.decode("latin-1"),
            reason=reason,
            status=response_head.status,
            answers=response_head.request_id.decode("latin-1"),
        )

    def _skip_response(self, response_head: BackendResponseHead) -> bool:
        """Skip a response to another request; that to this request may follow.

        Return whether it may be in the buffer already.
        """
        self.close_after_response = True
        body = ResponseBody.from_head(response_head, self.previous_method)
        if body.ends_with_connection:
            # No other response can follow.
            self._abort()
            return False
        self.skipping = True
        self.response_head = response_head
        self.response_body = body
        return True

    def _finish_skipping(self, trailing_data: bytes) -> None:
        self._reset()
        self.buffer = trailing_data

    def _start_response(self, response_head: BackendResponseHead) -> None:
        sink, call = self.sink, self.call
        assert sink is not None
        assert call is not None
        self.response_head = response_head
        self.response_body = ResponseBody.from_head(response_head, call.method)
        outcome = Outcome.NOT_RUN if response_head.shed else Outcome.RAN
        sink.head(
            ResponseHead(
                response_head.status,
                response_head.headers,
                outcome,
                self.load(),
                self._server_status(response_head),
            )
        )

    def _server_status(self, response_head: BackendResponseHead) -> ServerStatus | None:
        """Return what the server states about itself, None if it can't be relied on."""
        if self.conventions.signature and not response_head.signed:
            return None
        status = response_head.server_status
        if isinstance(status, Err):
            emit(
                Event.SERVER_STATUS_UNREADABLE,
                request=self.request_id.decode("latin-1"),
                reason=status.err_value,
            )
            return None
        if response_head.shed and status == NO_STATUS:
            # A limit ends with a response of a call that ran.
            return None
        return status.ok_value

    def _read_body(self, body: ResponseBody) -> bool:
        """Read the body in the buffer; return whether another response may follow."""
        data, self.buffer = self.buffer, b""
        part = body.read(data)
        if isinstance(part, Err):
            self._abort()
            return False
        if self.skipping:
            return self._skip_body(body, len(data))
        sink = self.sink
        if body.is_complete:
            self.close_after_response |= bool(body.trailing_data)
            self._finish_response(part.ok_value)
        elif sink is not None and part.ok_value:
            sink.body(part.ok_value, False)
        return False

    def _skip_body(self, body: ResponseBody, size_bytes: int) -> bool:
        """Skip bytes of a body; return whether another response may follow."""
        if not self._discard(size_bytes - len(body.trailing_data)):
            return False
        if not body.is_complete:
            return False
        self._finish_skipping(body.trailing_data)
        return True

    def _finish_response(self, data: bytes) -> None:
        sink, self.sink = self.sink, None
        if sink is None:
            return
        response_head = self.response_head
        self._detach_call()
        writer, self.body_writer = self.body_writer, None
        if writer is not None and not writer.is_done:
            # The server has responded early. What it still expects of the body must
            # not be taken from the next request.
            self.transport.abortConnection()
        elif (
            response_head is not None
            and response_head.keep_alive
            and not self.close_after_response
        ):
            self.on_idle(self)
        else:
            self.transport.loseConnection()
        sink.body(data, True)

    def _detach_call(self) -> None:
        call, self.call = self.call, None
        if call is not None:
            self.previous_method = call.method
        if call is not None and call.flow.on_change == self._on_flow_change:
            call.flow.on_change = None
            self.reading.resume(PauseReason.FLOW_CONTROL)

    def _on_flow_change(self, paused: bool) -> None:
        if paused:
            self.reading.pause(PauseReason.FLOW_CONTROL)
        else:
            self.reading.resume(PauseReason.FLOW_CONTROL)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Fail the current request, unless its body ends with the connection."""
        sink, self.sink = self.sink, None
        self.call = None
        self.closed_by_server = not (
            self.transport.disconnecting or reason.check(ConnectionAborted)
        )
        self.on_lost(self)
        if sink is None:
            return
        response_head, body = self.response_head, self.response_body
        ends_with_connection = (
            body is not None and body.ends_with_connection and not self.skipping
        )
        if ends_with_connection and reason.check(type(connectionDone.value)):
            sink.body(b"", True)
            return
        failure_reason = (
            Reason.CONNECTION_LOST if response_head is None else Reason.TRUNCATED
        )
        sink.failed(Failure(Outcome.UNKNOWN, failure_reason), self.load())


__all__ = ["BackendConnection"]
