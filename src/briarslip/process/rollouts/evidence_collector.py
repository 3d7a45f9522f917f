"""Counting what this daemon's own backend servers do, for the analyzers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from briarslip.version.evidence import WARM_UP_SECONDS
from briarslip.version.evidence import CounterKey
from briarslip.version.evidence import Report
from briarslip.version.evidence import Tally
from briarslip.version.evidence import time_slice_of


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.process.clock import Clock
    from briarslip.request.call import Call
    from briarslip.request.call import Dispatch
    from briarslip.request.call import Load
    from briarslip.request.call import ResponseHead
    from briarslip.request.call import ResponseSink
    from briarslip.request.outcome import Failure


FIRST_ERROR_STATUS = 500
DEADLINE_SLACK_SECONDS = 0.005
REPEAT_SLICES = 10


@dataclass(frozen=True, slots=True)
class MeasuredServer:
    """The server of a call: its version, and from when on it is warm.

    ``warm_at`` is a reading of the monotonic clock in seconds, None where the
    server does not say.
    """

    version: str
    warm_at: float | None


class EvidenceCollector:
    """Counts calls at the own servers of the services under rollout.

    Counting beside the server knows the version for certain, leaves the
    network and our own queues out, and costs one small report for each
    server instead of one for each daemon that calls it.
    """

    def __init__(
        self, clock: Clock, reporter: str, availability_zone: str, incarnation: int
    ) -> None:
        self.clock = clock
        self.reporter = reporter
        self.availability_zone = availability_zone
        self.incarnation = incarnation
        self.services: dict[str, dict[CounterKey, Tally]] = {}
        self.first_call: dict[tuple[str, str], float] = {}
        self.sent: dict[str, Report] = {}

    def follow(self, services: Iterable[str]) -> None:
        """Count for these services and forget the counts of others."""
        wanted = frozenset(services)
        for service in wanted - self.services.keys():
            self.services[service] = {}
        for service in self.services.keys() - wanted:
            del self.services[service]
            self.sent.pop(service, None)

    def instrument(
        self, own: Callable[[], MeasuredServer], backend: Dispatch
    ) -> Dispatch:
        """Return a dispatch that counts what ``backend`` answers."""

        def dispatch(call: Call, sink: ResponseSink) -> Callable[[], None]:
            if call.service not in self.services:
                return backend(call, sink)
            watched = WatchedCall(self, own(), call, sink)
            watched.cancel_backend = backend(call, watched)
            return watched.cancel

        return dispatch

    def count(
        self,
        service: str,
        version: str,
        route: str,
        failed: bool,
        latency: float,
        is_warm: bool | None = None,
    ) -> None:
        """Count the end of one call.

        ``is_warm`` tells whether the server said that it is, None if it does
        not say; it counts as cold then for a while from its first call on.
        """
        tallies = self.services.get(service)
        if tallies is None:
            return
        now = self.clock.monotonic()
        began = self.first_call.setdefault((service, version), now)
        tally = tallies.get(CounterKey(version, route))
        if tally is None:
            tally = tallies[CounterKey(version, route)] = Tally()
        if is_warm is None:
            is_warm = now - began >= WARM_UP_SECONDS
        tally.add(failed, latency, is_warm)

    def reports(self) -> tuple[Report, ...]:
        """Return a report for each service that has something new to tell.

        An unchanged one is repeated now and then, as messages may be lost.
        """
        time_slice = time_slice_of(self.clock.now().timestamp())
        due: list[Report] = []
        for service, tallies in self.services.items():
            report = self._report(service, tallies, time_slice)
            before = self.sent.get(service)
            if (
                before is None
                or before.entries != report.entries
                or time_slice - before.time_slice >= REPEAT_SLICES
            ):
                self.sent[service] = report
                due.append(report)
        return tuple(due)

    def _report(
        self, service: str, tallies: dict[CounterKey, Tally], time_slice: int
    ) -> Report:
        return Report(
            reporter=self.reporter,
            availability_zone=self.availability_zone,
            service=service,
            incarnation=self.incarnation,
            time_slice=time_slice,
            entries=tuple((s, tally.counters) for s, tally in tallies.items()),
        )


class WatchedCall:
    """One call at the own server; its end is counted once."""

    def __init__(
        self,
        collector: EvidenceCollector,
        server: MeasuredServer,
        call: Call,
        sink: ResponseSink,
    ) -> None:
        self.collector = collector
        self.server = server
        self.call = call
        self.sink = sink
        self.began = collector.clock.monotonic()
        self.failing = False
        self.counted = False
        self.cancel_backend: Callable[[], None] | None = None

    def head(self, head: ResponseHead) -> None:
        """Pass the head on."""
        self.failing = head.status >= FIRST_ERROR_STATUS
        self.sink.head(head)

    def body(self, data: bytes, last: bool) -> None:
        """Pass a body part on."""
        if last:
            self._count(self.failing)
        self.sink.body(data, last)

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Pass a failure on.

        A refused connection is a dead instance and no fault of the version:
        such a call did not run and is sent elsewhere.
        """
        if failure.reason is not Reason.CONNECT_FAILED:
            self._count(failure.outcome is not Outcome.RAN)
        self.sink.failed(failure, load)

    def cancel(self) -> None:
        """Give the call up; at its deadline that is a failure of the server."""
        now = self.collector.clock.monotonic()
        if now >= self.call.deadline - DEADLINE_SLACK_SECONDS:
            self._count(True)
        self.counted = True
        if self.cancel_backend is not None:
            self.cancel_backend()

    def _count(self, failed: bool) -> None:
        if self.counted:
            return
        self.counted = True
        latency = self.collector.clock.monotonic() - self.began
        call, server = self.call, self.server
        is_warm = None if server.warm_at is None else self.began >= server.warm_at
        self.collector.count(
            call.service, server.version, call.route, failed, latency, is_warm
        )


__all__ = ["EvidenceCollector", "MeasuredServer"]
