"""Calls, responses and the interfaces between the components that serve them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Protocol

from briarslip.request.flow_control import FlowControl
from briarslip.request.withdrawal import Withdrawal


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.body import Body
    from briarslip.request.outcome import Failure
    from briarslip.request.outcome import Outcome


# Statuses of responses that end a request (RFC 9110, section 15).
FINAL_STATUSES = range(200, 600)


@dataclass(frozen=True, slots=True)
class Call:
    """One forwarding of a request towards a backend server.

    ``headers`` holds header lines in HTTP wire form, each ended by CRLF,
    without hop-by-hop headers. ``deadline`` and ``latency_target_at`` are
    readings of the local monotonic clock in seconds; the latter is the time by
    which the response meets the route's latency target, infinity without one.
    ``service_version`` is that of the chosen server, so that no server of
    another version runs the call. ``flow`` lets the reader of the response
    pause its source. ``is_suspect`` is whether the request was under way when a server
    crashed. ``withdrawal`` lets the sender end the wait for a server.
    ``organisation`` is the name of the caller's organisation, empty without one.
    ``may_move_on`` is whether the call goes to another server if it would queue.
    """

    method: str
    target: str
    headers: bytes
    body: Body
    service: str
    service_version: str
    route: str
    urgent: bool
    idempotent: bool
    depth: int
    deadline: float
    flow: FlowControl = field(default_factory=FlowControl, compare=False)
    latency_target_at: float = math.inf
    is_suspect: bool = False
    withdrawal: Withdrawal = field(default_factory=Withdrawal, compare=False)
    organisation: str = ""
    may_move_on: bool = False

    @property
    def latency_key(self) -> str:
        """The key under which latencies of similar calls are averaged."""
        return f"{self.service}/{self.route}"

    def for_server(
        self, service_version: str, headers: bytes, may_move_on: bool = False
    ) -> Call:
        """Return the call for a server of a version, with header lines appended."""
        # dataclasses.replace takes five times as long.
        return Call(
            self.method,
            self.target,
            self.headers + headers,
            self.body,
            self.service,
            service_version,
            self.route,
            self.urgent,
            self.idempotent,
            self.depth,
            self.deadline,
            self.flow,
            self.latency_target_at,
            self.is_suspect,
            self.withdrawal,
            self.organisation,
            may_move_on,
        )


@dataclass(frozen=True, slots=True)
class Load:
    """The occupancy of a backend server as reported by its daemon.

    ``in_flight`` counts running and queued calls. ``service_time_seconds`` is the
    mean service time of the call's route without queueing, 0 if unknown.
    """

    in_flight: int
    slots: int
    service_time_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """What a backend server states about itself in a response.

    ``request_limit`` is the number of requests a second that it accepts from all
    instances together, None if it states no limit. ``leaving`` is whether it will
    end and must get no more requests.
    """

    request_limit: float | None = None
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status, headers and outcome of a response, and the load of the server.

    ``server_status`` is known only to the daemon next to the server, None if the
    response says nothing about the server that can be relied on. That daemon sets
    ``leaving_incarnation`` to the server's incarnation once the server has said that
    it is leaving.
    """

    status: int
    headers: bytes
    outcome: Outcome
    load: Load
    server_status: ServerStatus | None = None
    leaving_incarnation: int = 0


class ResponseSink(Protocol):
    """Receiver of a response: a head, then body parts, or a failure.

    Exactly one of ``body(..., last=True)`` and ``failed`` ends the response.
    ``failed`` after ``head`` means that the response was truncated.
    """

    def head(self, head: ResponseHead) -> None:
        """Receive the status and headers."""

    def body(self, data: bytes, last: bool) -> None:
        """Receive a part of the body."""

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Receive the failure that ends the response."""


class Dispatch(Protocol):
    """Function that forwards a call and returns the function that cancels it."""

    def __call__(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Forward ``call`` and send its response to ``sink``."""


__all__ = [
    "FINAL_STATUSES",
    "Call",
    "Dispatch",
    "Load",
    "ResponseHead",
    "ResponseSink",
    "ServerStatus",
]
