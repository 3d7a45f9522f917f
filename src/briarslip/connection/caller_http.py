"""HTTP towards callers."""

from __future__ import annotations

from io import BytesIO
from typing import TYPE_CHECKING
from typing import Any

from twisted.web import http

from briarslip.connection.http_head import header_block
from briarslip.connection.http_head import split_block
from briarslip.request.forwarder import CallerRequest
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IAddress

    from briarslip.request.call import Load
    from briarslip.request.call import ResponseHead
    from briarslip.request.call import ResponseSink
    from briarslip.request.outcome import Failure


DEADLINE_HEADER = b"briarslip-deadline-ms"
DEPTH_HEADER = b"briarslip-depth"
OUTCOME_HEADER = b"Briarslip-Outcome"
MAX_DEPTH = 64

FAILURE_STATUSES = {
    Reason.NO_ROUTE: http.NOT_FOUND,
    Reason.BAD_REQUEST: http.BAD_REQUEST,
    Reason.BODY_TOO_LARGE: http.REQUEST_ENTITY_TOO_LARGE,
    Reason.DEADLINE: http.GATEWAY_TIMEOUT,
    Reason.HANDED_OVER: http.CONFLICT,
    Reason.KEY_MISMATCH: 422,
}
# A whole second is the least that the header can say.
RETRY_AFTER = b"1"
OVERLOAD_REASONS = frozenset((Reason.QUEUE_FULL, Reason.TOO_MANY_OUTSTANDING))


class CallerHttpRequest(http.Request):
    """One request of a caller; also the sink of its answer."""

    transport: Any
    factory: CallerHttpFactory
    cancel: Callable[[], None] | None = None
    answered = False
    head_sent = False

    def gotLength(self, length: int | None) -> None:
        """Keep the body in memory: instances have no disks."""
        self.content = BytesIO()

    def process(self) -> None:
        """Hand the whole request to the daemon."""
        self.factory = self.channel.factory
        request = self._caller_request()
        if request is None:
            self._refuse(Reason.BAD_REQUEST)
            return
        if len(request.body) > self.factory.max_body_bytes:
            self._refuse(Reason.BODY_TOO_LARGE)
            return
        self.notifyFinish().addErrback(self._caller_left)
        cancel = self.factory.forward(request, self)
        if not self.answered:
            self.cancel = cancel

    def _caller_request(self) -> CallerRequest | None:
        timeout_ms = _whole_number(self.getHeader(DEADLINE_HEADER))
        depth = _whole_number(self.getHeader(DEPTH_HEADER))
        if timeout_ms == -1 or depth == -1 or (depth or 0) >= MAX_DEPTH:
            return None
        return CallerRequest(
            method=self.method.decode("latin-1"),
            target=self.uri.decode("latin-1"),
            headers=header_block(
                (name, value)
                for name, values in self.requestHeaders.getAllRawHeaders()
                for value in values
            ),
            body=self.content.getvalue(),
            depth=depth or 0,
            timeout=None if timeout_ms is None else timeout_ms / 1000,
        )

    def head(self, head: ResponseHead) -> None:
        """Write status and headers."""
        if self.answered:
            return
        self.head_sent = True
        self.setResponseCode(head.status)
        for name, value in split_block(head.headers):
            self.responseHeaders.addRawHeader(name, value)
        self.setHeader(OUTCOME_HEADER, head.outcome.value.encode())

    def body(self, data: bytes, last: bool) -> None:
        """Write a part of the body."""
        if self.answered:
            return
        if last and not self.startedWriting:
            self.setHeader(b"content-length", b"%d" % len(data))
        if data:
            self.write(data)
        if last:
            self.answered = True
            self.finish()

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Answer with an error, or cut an answer that has begun."""
        if self.answered:
            return
        if self.startedWriting:
            self.answered = True
            self.channel.transport.abortConnection()
            return
        self._answer_failure(failure.outcome, failure.reason)

    def _refuse(self, reason: Reason) -> None:
        self._answer_failure(Outcome.NOT_RUN, reason)

    def _answer_failure(self, outcome: Outcome, reason: Reason) -> None:
        self.answered = True
        default = (
            http.SERVICE_UNAVAILABLE if outcome is Outcome.NOT_RUN else http.BAD_GATEWAY
        )
        text = f"{reason.value}\n".encode()
        self.setResponseCode(FAILURE_STATUSES.get(reason, default))
        self.responseHeaders.removeHeader(b"content-encoding")
        self.setHeader(b"content-type", b"text/plain; charset=utf-8")
        self.setHeader(b"content-length", b"%d" % len(text))
        self.setHeader(OUTCOME_HEADER, outcome.value.encode())
        if reason in OVERLOAD_REASONS:
            self.setHeader(b"retry-after", RETRY_AFTER)
        self.write(text)
        self.finish()

    def _caller_left(self, _: object) -> None:
        if not self.answered:
            self.answered = True
            if self.cancel is not None:
                self.cancel()


class CallerHttpFactory(http.HTTPFactory):
    """Builds the connections of callers."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        forward: Callable[[CallerRequest, ResponseSink], Callable[[], None]],
        max_body_bytes: int,
    ) -> None:
        super().__init__(reactor=reactor)
        self.forward = forward
        self.max_body_bytes = max_body_bytes

    def buildProtocol(self, addr: IAddress) -> http.HTTPChannel:
        """Build a plain HTTP/1.1 channel."""
        channel = http.HTTPChannel()
        channel.requestFactory = CallerHttpRequest
        channel.factory = self
        channel.timeOut = self.timeOut
        return channel

    def log(self, request: http.Request) -> None:
        """Write no access log."""


def _whole_number(value: bytes | None) -> int | None:
    """Return a header's number, None if absent, -1 if malformed."""
    if value is None:
        return None
    return int(value) if value.isdigit() and len(value) < 10 else -1


__all__ = ["CallerHttpFactory"]
