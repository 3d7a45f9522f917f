"""The policy to compare with: FIFO admission, two choices, unlimited retry."""

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


QUEUE_LENGTH_PER_SLOT = 4
# Enough for the model to come to an end in a full outage.
MOST_ATTEMPTS = 10


class BaselineAdmission:
    """One queue in the order of arrival, bounded by its length alone."""

    def __init__(self, slots: int, backend: Dispatch) -> None:
        self.slots = slots
        self.backend = backend
        self.in_flight = 0
        self.queue: deque[tuple[Call, ResponseSink]] = deque()

    def __call__(self, call: Call, sink: ResponseSink) -> Callable[[], None]:
        """Queue a call."""
        if len(self.queue) >= self.slots * QUEUE_LENGTH_PER_SLOT:
            load = Load(self.in_flight + len(self.queue), self.slots)
            sink.failed(Failure(Outcome.NOT_RUN, Reason.QUEUE_FULL), load)
        else:
            self.queue.append((call, sink))
            self.pump()
        return lambda: None

    def pump(self) -> None:
        """Start calls while there are slots."""
        while self.queue and self.in_flight < self.slots:
            call, sink = self.queue.popleft()
            self.in_flight += 1
            self.backend(call, BaselineSink(self.done, sink))

    def done(self) -> None:
        """Free a slot."""
        self.in_flight -= 1
        self.pump()


class BaselineSink:
    """Passes an answer on and tells its end."""

    def __init__(self, done: Callable[[], None], sink: ResponseSink) -> None:
        self.done = done
        self.sink = sink

    def head(self, head: ResponseHead) -> None:
        """Pass the head on."""
        self.sink.head(head)

    def body(self, data: bytes, last: bool) -> None:
        """Pass a body part on."""
        self.sink.body(data, last)
        if last:
            self.done()

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Pass a failure on."""
        self.sink.failed(failure, load)
        self.done()


class BaselineForwarder:
    """Two random choices by own in-flight calls; retries whatever fails."""

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
        """Serve a request."""
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
        self.send(call, sink, 1)
        return lambda: None

    def send(self, call: Call, sink: ResponseSink, attempt: int) -> None:
        """Make one attempt."""
        members = tuple(self.dependencies.members())
        two = (self.rng.choice(members), self.rng.choice(members))
        member = min(two, key=lambda m: self.in_flight[m.address])
        self.in_flight[member.address] += 1
        kept = BaselineAttempt(self, call, sink, member.address, attempt)
        self.dependencies.remote_dispatch(member.address, call, kept)


class BaselineAttempt:
    """One attempt, made again when it fails."""

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
        """Pass a body part on."""
        if last:
            self.forwarder.in_flight[self.address] -= 1
        self.sink.body(data, last)

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Try again."""
        self.forwarder.in_flight[self.address] -= 1
        late = self.forwarder.clock.monotonic() > self.call.deadline
        if late or self.number >= MOST_ATTEMPTS:
            self.sink.failed(failure, load)
        else:
            self.forwarder.send(self.call, self.sink, self.number + 1)


__all__ = ["BaselineAdmission", "BaselineForwarder"]
