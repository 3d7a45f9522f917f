"""One backend server that is registered with this daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from briarslip.connection.backend_pool import BackendPool
from briarslip.connection.crash_detector import CrashDetector
from briarslip.connection.deadline_wheel import DeadlineWheel
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.rollouts.evidence_collector import MeasuredServer
from briarslip.request.admission import Admission
from briarslip.request.fingerprint import Fingerprint
from briarslip.request.full_server import FullServer
from briarslip.request.suspect_isolation import SuspectIsolation


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.connection.header_conventions import HeaderConventions
    from briarslip.process.announcements import Announcement
    from briarslip.process.clock import Clock
    from briarslip.request.call import Call
    from briarslip.request.call import Dispatch
    from briarslip.request.cold_limit import ColdLimit
    from briarslip.request.standing import SuspectCalls


# A server that was there before this daemon may already have stated a limit.
MAX_FIRST_CALLS = 4


class LocalServer:
    """One backend server with its connection pool and its admission."""

    def __init__(
        self,
        announcement: Announcement,
        now: float,
        reactor: Any,
        clock: Clock,
        excluded_versions: Callable[[str], frozenset[str]],
        instrument: Callable[[Callable[[], MeasuredServer], Dispatch], Dispatch],
        conventions: HeaderConventions,
        suspects: SuspectCalls,
        cold_limit: ColdLimit,
    ) -> None:
        self.clock = clock
        self.announcement = announcement
        self.suspects = suspects
        self.excluded_versions = excluded_versions
        self.warm_at: float | None = None
        self.cold_limit = cold_limit
        self._update_warm_up(now)
        self.expected_server_line = conventions.expected_server_line(
            announcement.server_id
        )
        self.last_announced_at = now
        slots = announcement.endpoint.slots
        self.pool = BackendPool(
            reactor, announcement.address, slots, conventions=conventions
        )
        instrumented_pool = instrument(self.as_measured_server, self.pool)
        call_later = DeadlineWheel(reactor, clock).call_later
        self.admission = Admission(
            clock,
            slots,
            instrumented_pool,
            call_later,
            excluded_versions,
            self.backend_headers,
            conventions.request_id_text_of,
            MAX_FIRST_CALLS,
            cold_limit,
        )
        self.pool.on_restart_sign = self.restart_suspected
        self.crash_detector = self.pool.crash_detector = CrashDetector(
            clock, reactor.callLater, self.pool.probe, self.is_stopping, self.crashed
        )
        isolation = SuspectIsolation(
            self.admission,
            lambda: self.announcement.endpoint.version,
            suspects.standing,
        )
        self.dispatch = FullServer(self.admission, isolation)
        self.admission.on_completed = self.completed
        self.conventions = conventions

    def as_measured_server(self) -> MeasuredServer:
        """Return the version and warm-up end, for the evidence on a rollout."""
        return MeasuredServer(self.announcement.endpoint.version, self.warm_at)

    def is_stopping(self) -> bool:
        """Return whether the server may end at any time without having crashed."""
        endpoint = self.announcement.endpoint
        return self.admission.closed or endpoint.version in self.excluded_versions(
            endpoint.service
        )

    def completed(self, call: Call) -> None:
        """Report a call that the server has run to its end."""
        self.suspects.completed(self.announcement.endpoint.version, call)

    def crashed(self, calls: tuple[Call, ...]) -> None:
        """Report a crash of the server with the calls that were under way."""
        endpoint = self.announcement.endpoint
        crash_id = self.suspects.crashed(endpoint.service, endpoint.version, calls)
        emit(
            Event.SERVER_CRASHED,
            server=self.announcement.address,
            crash=str(crash_id),
            service=endpoint.service,
            version=endpoint.version,
            requests=[self.conventions.request_id_text_of(c.headers) for c in calls],
            targets=[f"{call.method} {call.target}" for call in calls],
            fingerprints=[Fingerprint.from_call(call).text for call in calls],
            suspects=sum(call.is_suspect for call in calls),
        )

    def update_warm_up(self) -> None:
        """Update the end of the server's warm-up from its announcement."""
        now = self.clock.monotonic()
        was_cold = self.cold_limit.is_cold(now)
        self._update_warm_up(now)
        if was_cold:
            self.admission.start_queued_calls()

    def _update_warm_up(self, now: float) -> None:
        left_seconds = self.announcement.warm_up_left_seconds
        was_cold = self.cold_limit.is_cold(now)
        self.cold_limit.report(left_seconds, now)
        if left_seconds is not None:
            self.warm_at = now + left_seconds
        if self.cold_limit.is_cold(now) and not was_cold:
            self._log_cold("report")

    def restart_suspected(self) -> None:
        """Count the server as cold until its next report."""
        if self.cold_limit.suspect_restart(self.clock.monotonic()):
            self._log_cold("sign of a restart")

    def _log_cold(self, cause: str) -> None:
        endpoint = self.announcement.endpoint
        emit(
            Event.SERVER_COLD,
            server=self.announcement.address,
            service=endpoint.service,
            cause=cause,
            left_seconds=self.announcement.warm_up_left_seconds,
        )

    def backend_headers(self, remaining_seconds: float) -> bytes:
        """Return the header lines that are added to a call to the server."""
        return (
            self.conventions.deadline_line(remaining_seconds)
            + self.expected_server_line
        )


__all__ = ["LocalServer"]
