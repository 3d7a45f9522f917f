"""Query to another daemon for the result of a request with a claim.

It is sent over the peer link as a call to a reserved service name, so that
deadlines, cancellation and truncation are handled as for any call.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.request.body import Body
from briarslip.request.call import Call
from briarslip.request.call import Load
from briarslip.request.call import ResponseHead
from briarslip.request.claim import CLAIMS_SERVICE
from briarslip.request.claim import AlreadyForwarded
from briarslip.request.claim import Released
from briarslip.request.claim import Replay
from briarslip.request.claim import StoredResponse
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.call import ResponseSink
    from briarslip.request.claim import ClaimResult


NO_LOAD = Load(0, 0)


def result_query(key: str, nonce: str, deadline: float) -> Call:
    """Return the call that queries the result of a claim."""
    return Call(
        method="GET",
        target=key,
        headers=b"",
        body=Body.from_bytes(nonce.encode()),
        service=CLAIMS_SERVICE,
        service_version="",
        route="",
        urgent=True,
        idempotent=True,
        depth=0,
        deadline=deadline,
    )


def send_result(result: ClaimResult, sink: ResponseSink) -> None:
    """Send the result of a claim as the response to a query."""
    match result:
        case Replay(response):
            head = ResponseHead(response.status, response.headers, Outcome.RAN, NO_LOAD)
            sink.head(head)
            sink.body(response.body, True)
        case Released():
            sink.failed(Failure(Outcome.NOT_RUN, Reason.NO_CLAIM), NO_LOAD)
        case _:
            sink.failed(Failure(Outcome.UNKNOWN, Reason.ALREADY_FORWARDED), NO_LOAD)


class ResultSink:
    """Receives the response to a query.

    Any unclear response gives the result ``AlreadyForwarded``.
    """

    def __init__(self, callback: Callable[[ClaimResult], None]) -> None:
        self.callback = callback
        self.received_head: ResponseHead | None = None
        self.parts: list[bytes] = []

    def head(self, head: ResponseHead) -> None:
        """Receive the stored status and headers."""
        self.received_head = head

    def body(self, data: bytes, last: bool) -> None:
        """Receive a part of the stored body."""
        self.parts.append(data)
        head = self.received_head
        if last and head is not None:
            body = b"".join(self.parts)
            self.callback(Replay(StoredResponse(head.status, head.headers, body)))

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Receive the failure that stands for a result without a response."""
        if failure == Failure(Outcome.NOT_RUN, Reason.NO_CLAIM):
            self.callback(Released())
        else:
            self.callback(AlreadyForwarded())


__all__ = ["ResultSink", "result_query", "send_result"]
