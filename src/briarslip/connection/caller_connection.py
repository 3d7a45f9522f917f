"""A connection of a caller, which sends requests in HTTP/1.1."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Err
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone
from twisted.web import http

from briarslip.connection.caller_buffers import CallerBuffers
from briarslip.connection.caller_exchange import CONNECTION_CLOSE_LINE
from briarslip.connection.caller_exchange import CallerExchange
from briarslip.connection.caller_exchange import error_response
from briarslip.connection.caller_request import describe_unread
from briarslip.connection.caller_request import make_request
from briarslip.connection.immediate_write import write_immediately
from briarslip.connection.pipeline import MAX_PIPELINED
from briarslip.connection.pipeline import RESERVED_BYTES
from briarslip.connection.pipeline import Pipeline
from briarslip.connection.pipeline import is_simple
from briarslip.connection.reading import PauseReason
from briarslip.connection.reading import Reading
from briarslip.connection.request_reader import RequestReader
from briarslip.connection.socket_close import close_writing
from briarslip.connection.socket_close import has_unsent_data
from briarslip.connection.socket_close import read_pending
from briarslip.connection.socket_options import set_socket_options
from briarslip.connection.stepwise_input import StepwiseInput
from briarslip.connection.write_progress import WriteProgress
from briarslip.connection.write_progress import unsent_bytes
from briarslip.process.error_log import record_error
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.request.body import EMPTY_BODY
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from twisted.python.failure import Failure as TwistedFailure

    from briarslip.connection.caller_http import CallerHttpFactory
    from briarslip.connection.http_head import RequestHead
    from briarslip.connection.request_reader import ReadRequest
    from briarslip.request.body import Body
    from briarslip.request.call import ResponseSink


# Requests of one connection that are processed in one step.
MAX_REQUESTS_PER_STEP = MAX_PIPELINED + 1
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerConnection(Protocol):
    """A caller's connection, whose responses are written in the order of its requests.

    ``exchange`` is the request whose response is next; those of ``pipeline`` follow.
    """

    transport: Any

    def __init__(self, factory: CallerHttpFactory) -> None:
        self.factory = factory
        self.reader = RequestReader()
        self.exchange: CallerExchange | None = None
        self.pipeline = Pipeline()
        self.close_after_response = factory.draining
        self.closed = False
        self.processing = False
        self.dispatching = False
        self.paused = False
        self.last_active_at = factory.now
        self.write_progress = WriteProgress()
        self.buffers = CallerBuffers(factory.budget, self.give_way)
        self.request_bytes = 0
        self.request_count = 0

    @property
    def is_reading(self) -> bool:
        """Whether a part of a request has been received, and no more."""
        return (
            self.exchange is None
            and not self.closed
            and (self.reader.is_started or self.dispatching)
        )

    @property
    def has_unsent_response(self) -> bool:
        """Whether a finished response waits for the caller to read."""
        return self.exchange is None and has_unsent_data(self.transport)

    @property
    def closes_after_this_response(self) -> bool:
        """Whether the connection ends with the response that is written now."""
        return self.close_after_response and not self.pipeline

    def connectionMade(self) -> None:
        """Register the connection and receive backpressure of its transport."""
        # The read timeout alone bounds how long a caller may stop reading.
        set_socket_options(self.transport, user_timeout_ms=None)
        self.reading = Reading(self.transport)
        self.input = StepwiseInput(
            self.factory.scheduler, self.reading, self._process_step
        )
        self.transport.registerProducer(self, True)
        self.factory.add(self)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Cancel the current request."""
        self.factory.table.remove(self)
        self.buffers.close()
        self.reader.discard()
        self._cancel_requests()

    def _cancel_requests(self) -> None:
        exchange, self.exchange = self.exchange, None
        self.factory.in_flight -= self.pipeline.cancel()
        if exchange is not None:
            self.factory.in_flight -= 1
            exchange.caller_disconnected()

    def dataReceived(self, data: bytes) -> None:
        """Receive bytes; a pipelined request may wait for the response before it.

        Bytes that arrive after the last response are discarded. Empty lines between
        requests leave the connection idle.
        """
        if self.closed:
            return
        self.reader.add(data)
        if not self.reader.is_started:
            return
        self.last_active_at = self.factory.now
        self.factory.table.mark_active(self)
        self.input.process()
        if (
            self.exchange is not None
            and len(self.reader.buffer) > self.factory.limits().head_bytes
        ):
            self.reading.pause(PauseReason.FULL_BUFFER)
        self._count_bytes()

    def _count_bytes(self) -> None:
        """Count what is buffered; a request that may be running can't give way."""
        size_bytes = self.reader.size_bytes + self.pipeline.reserved_bytes
        unsent = unsent_bytes(self.transport)
        can_give_way = self.exchange is None or bool(unsent or self.reader.buffer)
        self.buffers.update(size_bytes + self.request_bytes + unsent, can_give_way)

    def give_way(self) -> None:
        """Give up what is buffered, since the buffers of the process are full."""
        emit(
            Event.BUFFERS_FULL,
            peer=str(self.transport.getPeer()),
            reading=self.is_reading,
            request_bytes=self.request_bytes,
            unsent_bytes=unsent_bytes(self.transport),
        )
        if self.is_reading:
            self.reject_as_not_run(Reason.BUFFERS_FULL)
        elif self.exchange is not None and not unsent_bytes(self.transport):
            # The caller sends the requests behind this one again.
            self.reader.discard()
            self.close_after_response = True
            self.reading.pause(PauseReason.FULL_BUFFER)
            self._count_bytes()
        else:
            self.disconnect()

    def disconnect(self) -> None:
        """Cancel the requests under way and abort the connection."""
        self.abort()

    def pauseProducing(self) -> None:
        """Pause the response, since the caller reads too slowly."""
        self.paused = True
        if self.exchange is not None:
            self.exchange.flow.set_paused(True)

    def resumeProducing(self) -> None:
        """Resume the response."""
        self.paused = False
        self.last_active_at = self.factory.now
        if self.exchange is not None:
            self.exchange.flow.set_paused(False)
        self._count_bytes()

    def stopProducing(self) -> None:
        """Do nothing: ``connectionLost`` cancels the request."""

    def write(self, data: bytes) -> None:
        """Write bytes of a response."""
        self.write_progress.record_write(self.transport, len(data), self.factory.now)
        write_immediately(self.transport, data)
        if has_unsent_data(self.transport):
            self._count_bytes()

    def response_finished(self) -> None:
        """Continue with the next request, or close the connection."""
        if self.exchange is None:
            # The connection was aborted while the last part was written.
            return
        self.exchange = None
        self.factory.in_flight -= 1
        self.request_bytes = 0
        self.last_active_at = self.factory.now
        if self.pipeline:
            self._write_next_response()
            return
        self._count_bytes()
        if self.close_after_response:
            self.close()
            return
        if not self.reader.buffer:
            self.factory.table.mark_idle(self)
        self.reading.resume(PauseReason.FULL_BUFFER)
        if self.reader.buffer:
            self.input.process()

    def _write_next_response(self) -> None:
        response = self.pipeline.pop()
        self.exchange = response.exchange
        self._count_bytes()
        response.exchange.flow.set_paused(self.paused)
        response.release()

    def close(self) -> None:
        """Close the write side once everything written has been sent.

        The caller closes its side when it has read the last response; what it sends
        until then would destroy that response if the socket was closed already.
        """
        if self.closed:
            return
        self.closed = True
        self.close_after_response = True
        self.reader.discard()
        self.last_active_at = self.factory.now
        self.transport.unregisterProducer()
        self.paused = False
        self.reading.resume(PauseReason.FULL_BUFFER)
        close_writing(self.transport)
        self._count_bytes()

    def close_at_once(self) -> None:
        """Close the connection for another one, without waiting for the caller."""
        if self.is_reading:
            self.reject(http.SERVICE_UNAVAILABLE, "there are too many connections")
        self.closed = True
        self.close_after_response = True
        self.reader.discard()
        self.transport.loseConnection()

    def close_if_idle(self) -> None:
        """Close the connection, unless a request has arrived meanwhile."""
        read_pending(self.transport)
        if self.exchange is None and not self.reader.is_started:
            self.close()

    def abort(self) -> None:
        """Abort the connection, discarding unsent bytes."""
        self._cancel_requests()
        self.close_after_response = True
        self.reader.discard()
        self.transport.abortConnection()

    def _process_step(self) -> bool:
        """Process received data; return whether more can follow at once."""
        if self.processing:
            return False
        self.processing = True
        is_limited = self._process_some()
        self.processing = False
        if self.input.is_waiting and not self.closed:
            self.last_active_at = self.factory.now
            self._count_bytes()
        return is_limited or self.reader.has_backlog

    def _process_some(self) -> bool:
        """Process requests; return whether the limit of one step ended it."""
        for _ in range(MAX_REQUESTS_PER_STEP):
            if not self.reader.can_advance or not self._process_next():
                return False
        return self.reader.can_advance and not self.pipeline.is_full

    def _process_next(self) -> bool:
        """Process the next request; return whether another may be there."""
        if self.exchange is not None:
            return self._process_pipelined(self.exchange)
        conventions = self.factory.conventions
        read = self.reader.read(
            self.factory.limits(), conventions, self.factory.check_key
        )
        if isinstance(read, Err):
            self.reject(read.err_value.status, read.err_value.reason)
            return False
        request = read.ok_value
        if request is None:
            if self.reader.expects_continue:
                self.reader.expects_continue = False
                self.write(CONTINUE_RESPONSE)
            return False
        self._dispatch(request)
        return True

    def _process_pipelined(self, current: CallerExchange) -> bool:
        """Forward the next request ahead of its turn, unless it has to wait for it."""
        may_repeat = self.factory.may_repeat
        has_room = self.factory.budget.has_optional_room(RESERVED_BYTES)
        if self.pipeline.is_full or self.close_after_response or not has_room:
            return False
        if not may_repeat(current.request_head):
            return False
        head = self.reader.read_ahead(
            self.factory.conventions, lambda head: is_simple(head) and may_repeat(head)
        )
        if head is None:
            return False
        exchange = CallerExchange(self, head)
        response = self.pipeline.add(exchange)
        self._count_bytes()
        self._forward(head, EMPTY_BODY, exchange, response)
        return True

    def _dispatch(self, request: ReadRequest) -> None:
        head = request.head
        self.request_bytes = len(head.headers) + request.body.size_bytes
        # A request that does not fit is rejected here, while it has not run.
        self.dispatching = True
        self._count_bytes()
        self.dispatching = False
        if self.closed:
            return
        self.close_after_response = self.close_after_response or not head.keep_alive
        exchange = self.exchange = CallerExchange(self, head)
        exchange.flow.paused = self.paused
        self._forward(head, request.body, exchange, exchange)

    def _forward(
        self,
        head: RequestHead,
        body: Body,
        exchange: CallerExchange,
        sink: ResponseSink,
    ) -> None:
        self.factory.in_flight += 1
        self.request_count += 1
        request = make_request(head, body, exchange.flow, self.factory.added_headers)
        try:
            cancel = self.factory.forward(request, sink)
        except Exception as error:
            record_error(error)
            sink.failed(Failure(Outcome.UNKNOWN, Reason.INTERNAL_ERROR), None)
            return
        if not exchange.ended:
            exchange.cancel = cancel

    def reject_as_not_run(self, reason: Reason) -> None:
        """Reject the request that is being received; its caller may come again."""
        self.reject(http.SERVICE_UNAVAILABLE, reason.value)

    def reject(self, status: int, text: str) -> None:
        """Reject a request after which the next can't be found, and close."""
        conventions = self.factory.conventions
        received = describe_unread(self.reader, conventions, self.request_count)
        self.factory.client_errors.record(status, text, received)
        self.reader.discard()
        self.request_bytes = 0
        header_lines = self.factory.rejection_line(status)
        header_lines += conventions.outcome_line(Outcome.NOT_RUN.value)
        header_lines += CONNECTION_CLOSE_LINE
        self.write(error_response(status, text, header_lines))
        self.close()


__all__ = ["CallerConnection"]
