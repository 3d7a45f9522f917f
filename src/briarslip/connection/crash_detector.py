"""Detection of crashes of the backend server from lost connections."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from briarslip.process.error_log import run_each
from briarslip.request.fingerprint import without_body
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.process.clock import Clock
    from briarslip.request.call import Call


# A supervisor may restart a crashed server before a connection is refused; its next
# announcement then shows the crash.
MAX_RESTART_SECONDS = 10.0
MAX_RECENT_CALLS = 64
# A process that ends closes its connections one by one, perhaps before its port.
CONFIRM_SECONDS = 0.02
MAX_END_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class HeldCall:
    """A call that has lost its connection and the function that ends it."""

    call: Call
    reason: Reason
    resume: Callable[[Reason], None]


@dataclass(frozen=True, slots=True)
class LostCall:
    """A call that lost its connection at a monotonic time in seconds."""

    call: Call
    lost_at: float


class CrashDetector:
    """Tells a crash of the server from the loss of a single connection.

    A crashed server refuses connections. So a call that loses its connection is held
    until ``probe`` has tried a new one and calls back with whether it was refused. The
    server runs on if it has accepted two, ``CONFIRM_SECONDS`` apart. ``on_crash``
    receives the calls that were under way. A server that ``is_stopping`` does not
    crash.
    """

    def __init__(
        self,
        clock: Clock,
        call_later: Callable[[float, Callable[[], None]], object],
        probe: Callable[[Callable[[bool], None]], None],
        is_stopping: Callable[[], bool],
        on_crash: Callable[[tuple[Call, ...]], None],
    ) -> None:
        self.clock = clock
        self.call_later = call_later
        self.probe = probe
        self.is_stopping = is_stopping
        self.on_crash = on_crash
        self.held: list[HeldCall] = []
        self.recent: deque[LostCall] = deque(maxlen=MAX_RECENT_CALLS)

    def connection_lost(
        self, call: Call, reason: Reason, resume: Callable[[Reason], None]
    ) -> None:
        """Hold a call until it is known whether the server has crashed.

        ``resume`` is called with the cause, ``reason`` if it is not a crash.
        """
        if self.is_stopping():
            resume(reason)
            return
        self.held.append(HeldCall(call, reason, resume))
        if len(self.held) == 1:
            self.probe(self._probed_once)

    def server_restarted(self) -> None:
        """Report a crash that no probe has seen, as the server has started anew."""
        if not self.is_stopping():
            self._report(MAX_RESTART_SECONDS)

    def _report(self, max_age_seconds: float) -> None:
        """Report a crash with the calls that were lost not too long ago."""
        oldest = self.clock.monotonic() - max_age_seconds
        calls = tuple(lost.call for lost in self.recent if lost.lost_at >= oldest)
        self.recent.clear()
        if calls:
            self.on_crash(calls)

    def _probed_once(self, refused: bool) -> None:
        if refused:
            self._probed(True)
        else:
            self.call_later(CONFIRM_SECONDS, lambda: self.probe(self._probed))

    def _probed(self, refused: bool) -> None:
        held, self.held = self.held, []
        calls = tuple(one.call for one in held)
        now = self.clock.monotonic()
        self.recent.extend(LostCall(without_body(call), now) for call in calls)
        if refused:
            self._report(MAX_END_SECONDS)
        crash_reason = _crash_reason(calls) if refused else None
        run_each(partial(one.resume, crash_reason or one.reason) for one in held)


def _crash_reason(calls: tuple[Call, ...]) -> Reason:
    if any(call.is_suspect for call in calls):
        return Reason.CRASHED_BY_SUSPECT
    return Reason.SERVER_CRASHED


__all__ = ["CrashDetector"]
