"""A baseline request policy: FIFO admission, two random choices, unlimited retries."""

from __future__ import annotations

from collections import Counter
from collections import deque
from typing import TYPE_CHECKING
from typing import Any

from briarslip.request.call import Call
from briarslip.request.call import Load
from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from briarslip.address import Address
    from briarslip.process.clock import Clock
    from briarslip.request.call import Dispatch
    from briarslip.request.call import ResponseHead
    from briarslip.request.call import ResponseSink
    from briarslip.request.dependencies import Dependencies
    from briarslip.request.forwarder import CallerRequest


QUEUED_CALLS_PER_SLOT = 4
# Bounds the attempts, so that a simulated full outage ends.
MAX_ATTEMPTS = 10


class BaselineAdmission:
    """One FIFO queue, bounded only by its length in calls."""

    def __init__(self, slots: int, backend: Dispatch) -> None:
        self.slots = slots
        self.backend = backend
        self.in_flight = 0
        self.queue: deque[tuple[Call, ResponseSink]] = deque()

    def __call__(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Queue a call, or reject it if the queue is full."""
        if len(self.queue) >= self.slots * QUEUED_CALLS_PER_SLOT:
            load = Load(self.in_flight + len(self.queue), self.slots)
            sink.failed(Failure(Outcome.NOT_RUN, Reason.QUEUE_FULL), load)
        else:
            self.queue.append((call, sink))
            self.start_queued_calls()
        return lambda: None

    def start_queued_calls(self) -> None:
        """Start queued calls while slots are free."""
        while self.queue and self.in_flight < self.slots:
            call, sink = self.queue.popleft()
            self.in_flight += 1
            self.backend(call, BaselineSink(self.release_slot, sink))

    def release_slot(self) -> None:
        """Release the slot of a call that has ended."""
        self.in_flight -= 1
        self.start_queued_calls()


class BaselineSink:
    """Forwards an answer and calls ``on_end`` at its end."""

    def __init__(self, on_end: Callable[[], None], sink: ResponseSink) -> None:
        self.on_end = on_end
        self.sink = sink

    def head(self, head: ResponseHead) -> None:
        """Forward the head."""
        self.sink.head(head)

    def body(self, data: bytes, last: bool) -> None:
        """Forward a body part."""
        self.sink.body(data, last)
        if last:
            self.on_end()

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Forward a failure."""
        self.sink.failed(failure, load)
        self.on_end()


class BaselineForwarder:
    """Chooses the less loaded of two random servers and retries all failures."""

    def __init__(
        self, clock: Clock, rng: random.Random, dependencies: Dependencies
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.dependencies = dependencies
        self.in_flight: Counter[Address] = Counter()

    def __call__(
        self, request: CallerRequest, sink: ResponseSink
    ) -> Callable[[], None]:
        """Forward a request as a call to a server."""
        route: Any = self.dependencies.routing_table().match(
            request.target, request.method
        )
        call = Call(
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            service=route.service,
            service_version="",
            route=route.name,
            urgent=route.priority == "urgent",
            idempotent=True,
            depth=request.depth + 1,
            deadline=self.clock.monotonic() + route.timeout.total_seconds(),
        )
        self.send_attempt(call, sink, 1)
        return lambda: None

    def send_attempt(self, call: Call, sink: ResponseSink, attempt: int) -> None:
        """Make one attempt, whose number starts at 1."""
        members = tuple(self.dependencies.members())
        candidates = (self.rng.choice(members), self.rng.choice(members))
        member = min(
            candidates, key=lambda candidate: self.in_flight[candidate.address]
        )
        self.in_flight[member.address] += 1
        attempt_sink = BaselineAttempt(self, call, sink, member.address, attempt)
        self.dependencies.remote_dispatch(member.address, call, attempt_sink)


class BaselineAttempt:
    """One attempt; a failed one is followed by another before the deadline."""

    def __init__(
        self,
        forwarder: BaselineForwarder,
        call: Call,
        sink: ResponseSink,
        address: Address,
        number: int,
    ) -> None:
        self.forwarder = forwarder
        self.call = call
        self.sink = sink
        self.address = address
        self.number = number
        self.head = sink.head

    def body(self, data: bytes, last: bool) -> None:
        """Forward a body part."""
        if last:
            self.forwarder.in_flight[self.address] -= 1
        self.sink.body(data, last)

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Make the next attempt, or forward the failure."""
        self.forwarder.in_flight[self.address] -= 1
        is_past_deadline = self.forwarder.clock.monotonic() > self.call.deadline
        if is_past_deadline or self.number >= MAX_ATTEMPTS:
            self.sink.failed(failure, load)
        else:
            self.forwarder.send_attempt(self.call, self.sink, self.number + 1)


__all__ = ["BaselineAdmission", "BaselineForwarder"]
