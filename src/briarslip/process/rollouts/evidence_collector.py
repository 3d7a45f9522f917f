"""Counts of calls, failures and latencies at the local servers, for the analyzers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from briarslip.version.evidence import WARM_UP_SECONDS
from briarslip.version.evidence import CallResult
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


FIRST_SERVER_ERROR_STATUS = 500
DEADLINE_TOLERANCE_SECONDS = 0.005
REPEAT_INTERVAL_SLICES = 10
NO_EVIDENCE_REASONS = frozenset((Reason.CONNECT_FAILED, Reason.CRASHED_BY_SUSPECT))
_RESULTS = {
    Outcome.RAN: CallResult.SUCCEEDED,
    Outcome.UNKNOWN: CallResult.FAILED,
    Outcome.NOT_RUN: CallResult.REJECTED,
}


@dataclass(frozen=True, slots=True)
class MeasuredServer:
    """The server of a call: its service version and the end of its warm-up.

    ``warm_at`` is a reading of the monotonic clock in seconds, None if the
    server does not announce it.
    """

    version: str
    warm_at: float | None


class EvidenceCollector:
    """Counts calls at the local servers of services under rollout.

    The daemon beside a server knows the server's version for certain, measures
    neither the network nor the mesh's queues, and sends one small report for the
    server, where otherwise every daemon that calls it would send one.
    """

    def __init__(
        self, clock: Clock, reporter: str, availability_zone: str, incarnation: int
    ) -> None:
        self.clock = clock
        self.reporter = reporter
        self.availability_zone = availability_zone
        self.incarnation = incarnation
        self.tallies: dict[str, dict[CounterKey, Tally]] = {}
        self.first_call_at: dict[tuple[str, str], float] = {}
        self.last_reports: dict[str, Report] = {}

    def set_services(self, services: Iterable[str]) -> None:
        """Count calls of exactly these services; discard the counts of all others."""
        wanted = frozenset(services)
        for service in wanted - self.tallies.keys():
            self.tallies[service] = {}
        for service in self.tallies.keys() - wanted:
            del self.tallies[service]
            self.last_reports.pop(service, None)

    def instrument(
        self, get_server: Callable[[], MeasuredServer], backend: Dispatch
    ) -> Dispatch:
        """Return a dispatch to ``backend`` that counts how each call ends."""

        def dispatch(call: Call, sink: ResponseSink) -> Callable[[], None]:
            if call.service not in self.tallies:
                return backend(call, sink)
            counted_call = CountedCall(self, get_server(), call, sink)
            counted_call.cancel_backend = backend(call, counted_call)
            return counted_call.cancel

        return dispatch

    def count(
        self,
        service: str,
        version: str,
        route: str,
        result: CallResult,
        latency_seconds: float,
        is_warm: bool | None = None,
    ) -> None:
        """Count one completed call of a service under rollout.

        ``is_warm`` is None if the server does not announce its warm-up: it then
        counts as cold for ``WARM_UP_SECONDS`` after the first call to its version.
        """
        tallies = self.tallies.get(service)
        if tallies is None:
            return
        now = self.clock.monotonic()
        started_at = self.first_call_at.setdefault((service, version), now)
        tally = tallies.get(CounterKey(version, route))
        if tally is None:
            tally = tallies[CounterKey(version, route)] = Tally()
        if is_warm is None:
            is_warm = now - started_at >= WARM_UP_SECONDS
        tally.add(result, latency_seconds, is_warm)

    def due_reports(self) -> tuple[Report, ...]:
        """Return the reports that are due: one for each service with new counts.

        An unchanged report is repeated every ``REPEAT_INTERVAL_SLICES`` slices,
        because messages may be lost.
        """
        time_slice = time_slice_of(self.clock.now().timestamp())
        reports: list[Report] = []
        for service, tallies in self.tallies.items():
            report = self._build_report(service, tallies, time_slice)
            previous = self.last_reports.get(service)
            if (
                previous is None
                or previous.entries != report.entries
                or time_slice - previous.time_slice >= REPEAT_INTERVAL_SLICES
            ):
                self.last_reports[service] = report
                reports.append(report)
        return tuple(reports)

    def _build_report(
        self, service: str, tallies: dict[CounterKey, Tally], time_slice: int
    ) -> Report:
        return Report(
            reporter=self.reporter,
            availability_zone=self.availability_zone,
            service=service,
            incarnation=self.incarnation,
            time_slice=time_slice,
            entries=tuple((key, tally.counters) for key, tally in tallies.items()),
        )


class CountedCall:
    """The response sink of one call to a local server; counts its end exactly once."""

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
        self.started_at = collector.clock.monotonic()
        self.result = CallResult.SUCCEEDED
        self.is_counted = False
        self.cancel_backend: Callable[[], None] | None = None

    def head(self, head: ResponseHead) -> None:
        """Forward the response head.

        A server that rejects a call has not shown how its version runs it. It may
        be full or shed load, also while other servers of the version do not.
        """
        if head.outcome is Outcome.NOT_RUN:
            self.result = CallResult.REJECTED
        elif head.status >= FIRST_SERVER_ERROR_STATUS:
            self.result = CallResult.FAILED
        self.sink.head(head)

    def body(self, data: bytes, last: bool) -> None:
        """Forward a part of the response body."""
        if last:
            self._count(self.result)
        self.sink.body(data, last)

    def failed(self, failure: Failure, load: Load | None) -> None:
        """Forward a failure.

        A failed connection is not counted: it means a dead instance rather than
        a faulty version, and the call did not run and is retried elsewhere. Neither is
        a crash while a suspect request ran, which would crash any version.
        """
        if failure.reason not in NO_EVIDENCE_REASONS:
            self._count(_RESULTS[failure.outcome])
        self.sink.failed(failure, load)

    def cancel(self) -> None:
        """Cancel the call; at its deadline, count it as a failure of the server."""
        now = self.collector.clock.monotonic()
        if now >= self.call.deadline - DEADLINE_TOLERANCE_SECONDS:
            self._count(CallResult.FAILED)
        self.is_counted = True
        if self.cancel_backend is not None:
            self.cancel_backend()

    def _count(self, result: CallResult) -> None:
        if self.is_counted:
            return
        self.is_counted = True
        latency_seconds = self.collector.clock.monotonic() - self.started_at
        call, server = self.call, self.server
        is_warm = None if server.warm_at is None else self.started_at >= server.warm_at
        self.collector.count(
            call.service, server.version, call.route, result, latency_seconds, is_warm
        )


__all__ = ["EvidenceCollector", "MeasuredServer"]
