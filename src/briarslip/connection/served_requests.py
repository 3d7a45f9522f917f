"""The requests that a peer sends on a link: those being received and those served."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

from briarslip.connection.buffer_budget import BufferBudget
from briarslip.connection.caller_buffers import UNCOUNTED_BYTES
from briarslip.connection.frame import MS_PER_SECOND
from briarslip.connection.frame import FailureFrame
from briarslip.connection.link_stream import PartialRequest
from briarslip.connection.link_stream import ServerStream
from briarslip.process.error_log import record_error
from briarslip.process.error_log import run_each
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.request.body import Body
from briarslip.request.call import Call
from briarslip.request.call import Load
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from briarslip.connection.buffer_budget import Holding
    from briarslip.connection.frame import BodyFrame
    from briarslip.connection.frame import RequestFrame
    from briarslip.connection.peer_link import PeerLink
    from briarslip.request.call import Dispatch


class ServedRequests:
    """Receives the requests of one link and dispatches them when they are complete.

    ``budget`` limits the bytes that are buffered; None for no limit.
    """

    def __init__(
        self, link: PeerLink, dispatch: Dispatch, budget: BufferBudget | None
    ) -> None:
        self.link = link
        self.dispatch = dispatch
        self.budget = budget or BufferBudget.unlimited(link.clock)
        self.streams: dict[int, ServerStream] = {}
        self.partial_requests: dict[int, PartialRequest] = {}

    @property
    def count(self) -> int:
        """The number of requests that are received or served."""
        return len(self.streams) + len(self.partial_requests)

    def receive(self, frame: RequestFrame) -> bool:
        """Receive the first frame of a request; return whether its number is free."""
        number = frame.stream
        if number in self.streams or number in self.partial_requests:
            return False
        received_at = self.link.received_at
        if frame.last and len(frame.headers) + len(frame.body) <= UNCOUNTED_BYTES:
            self._serve(frame, Body.from_bytes(frame.body), received_at, None)
            return True
        holding = self.budget.open(partial(self._reject, number))
        request = PartialRequest(frame, received_at, holding)
        self.partial_requests[number] = request
        self._add_part(request, frame.body, frame.last)
        return True

    def receive_body(self, frame: BodyFrame) -> bool:
        """Receive a further frame; return whether it is for one of these requests."""
        request = self.partial_requests.get(frame.stream)
        if request is None:
            return False
        self._add_part(request, frame.data, frame.last)
        return True

    def _add_part(self, request: PartialRequest, data: bytes, last: bool) -> None:
        """Add a part; serve the request after the last one, if there is room for it."""
        request.add(data)
        number = request.frame.stream
        if last and self.partial_requests.pop(number, None) is not None:
            body = Body.from_parts(request.parts)
            self._serve(request.frame, body, request.received_at, request.keep())

    def _reject(self, number: int) -> None:
        """Fail a request as not run, since there is no room for its body."""
        if self.partial_requests.pop(number, None) is not None:
            emit(Event.BUFFERS_FULL, peer=self.link.peer, stream=number)
            self._send_failure(number, Reason.BUFFERS_FULL)

    def _send_failure(self, number: int, reason: Reason) -> None:
        failure = Failure(Outcome.NOT_RUN, reason)
        self.link.send(FailureFrame.from_failure(number, failure, Load(0, 0)))

    def _serve(
        self,
        frame: RequestFrame,
        body: Body,
        received_at: float,
        holding: Holding | None,
    ) -> None:
        call = Call(
            method=frame.method,
            target=frame.target,
            headers=frame.headers,
            body=body,
            service=frame.service,
            service_version=frame.service_version,
            route=frame.route,
            urgent=frame.urgent,
            idempotent=frame.idempotent,
            depth=frame.depth,
            deadline=received_at + frame.timeout_ms / MS_PER_SECOND,
            latency_target_at=math.inf
            if frame.target_ms is None
            else received_at + frame.target_ms / MS_PER_SECOND,
            is_suspect=frame.suspect,
            organisation=frame.organisation,
            may_move_on=frame.may_move_on,
        )
        stream = ServerStream(self.link, frame.stream, call, holding)
        self.streams[frame.stream] = stream
        try:
            cancel = self.dispatch(call, stream)
        except Exception as error:
            # The other calls on this link must not fail with this one.
            record_error(error)
            stream.failed(Failure(Outcome.UNKNOWN, Reason.INTERNAL_ERROR), None)
            return
        if frame.stream in self.streams:
            stream.cancel = cancel

    def cancel(self, number: int) -> None:
        """Cancel a request."""
        self._drop_partial(number)
        stream = self.streams.get(number)
        if stream is not None:
            cancel = stream.cancel
            stream.end()
            if cancel is not None:
                cancel()

    def cancel_all(self) -> None:
        """Cancel all requests, since the link is lost."""
        for number in tuple(self.partial_requests):
            self._drop_partial(number)
        streams, self.streams = self.streams, {}
        run_each(stream.cancel_call for stream in streams.values())

    def withdraw(self, number: int) -> None:
        """Fail a request as not run, unless a server runs it."""
        if self._drop_partial(number):
            self._send_failure(number, Reason.DRAINING)
        stream = self.streams.get(number)
        if stream is not None:
            stream.call.withdrawal.request()

    def withdraw_all(self) -> None:
        """Fail all requests as not run, except those that a server runs."""
        for number in (*self.partial_requests, *self.streams):
            self.withdraw(number)

    def _drop_partial(self, number: int) -> bool:
        """Forget a request that is being received; return whether there was one."""
        request = self.partial_requests.pop(number, None)
        if request is not None:
            request.holding.close()
        return request is not None


__all__ = ["ServedRequests"]
