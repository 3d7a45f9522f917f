"""When the next call may be started at a backend server that gets limited calls."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briarslip.request.propagation import RETRIED_HEADER
from briarslip.request.request_rate import RequestRate


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.process.clock import Clock
    from briarslip.request.call import Call
    from briarslip.request.cold_limit import ColdLimit
    from briarslip.request.timer import CallLater
    from briarslip.request.timer import Timer


# Service time of a cold server before any call of it has ended.
ASSUMED_SERVICE_SECONDS = 0.1
# Share of its remaining time that a call may wait for a cold server before another
# server is tried.
MAX_COLD_WAIT_SHARE = 0.5


class CallPacing:
    """Combines the rate that a server states with the limit while it is cold.

    ``on_allowed`` is called when a call may be started that had to wait.
    """

    def __init__(
        self,
        clock: Clock,
        call_later: CallLater,
        cold_limit: ColdLimit | None,
        on_allowed: Callable[[], None],
    ) -> None:
        self.clock = clock
        self.call_later = call_later
        self.cold_limit = cold_limit
        self.on_allowed = on_allowed
        self.rate = RequestRate()
        self.timer: Timer | None = None
        self.timer_at = 0.0

    def usable_slots(self, slots: int, mean_seconds: float) -> int:
        """Return the slots that calls occupy on average at the limit, at least 1."""
        limits = [] if self.rate.limit is None else [self.rate.limit]
        cold = self.cold_limit
        cold_rate = None if cold is None else cold.calls_per_second(self._now)
        if cold_rate is not None:
            mean_seconds = mean_seconds or ASSUMED_SERVICE_SECONDS
            limits.append(cold_rate)
        if not limits or not mean_seconds:
            return slots
        return max(1, math.ceil(min(slots, min(limits) * mean_seconds)))

    def seconds_until_calls(self, count: int, urgent: bool, now: float) -> float:
        """Return the seconds until ``count`` calls may have been started."""
        seconds = self.rate.seconds_until_calls(count, urgent, now)
        if self.cold_limit is None:
            return seconds
        return max(seconds, self.cold_limit.seconds_until_calls(count, urgent, now))

    def is_exhausted(self, urgent: bool, now: float) -> bool:
        """Return whether no call of a priority may be started now."""
        return self.seconds_until_calls(1, urgent, now) > 0.0

    def record_start(self, urgent: bool, now: float) -> None:
        """Count a call that is started."""
        self.rate.spend(now)
        if self.cold_limit is not None:
            self.cold_limit.record_start(urgent, now)

    def must_try_elsewhere(self, call: Call, end_at: float, now: float) -> bool:
        """Return whether a call should not wait for this server, as it is cold.

        Load pattern: one server of a service is cold, the others have free slots. If
        all of them are cold, the second one lets the call wait.
        """
        cold = self.cold_limit
        if cold is None or not cold.is_cold(now) or RETRIED_HEADER in call.headers:
            return False
        latest_end = now + (call.deadline - now) * MAX_COLD_WAIT_SHARE
        return end_at > min(call.latency_target_at, latest_end)

    def wait(self, urgent: bool) -> None:
        """Call back when a call of a priority may be started, if none may be now."""
        now = self._now
        delay = self.seconds_until_calls(1, urgent, now)
        if delay <= 0.0:
            return
        if self.timer is not None:
            if self.timer_at <= now + delay:
                return
            self.timer.cancel()
        self.timer_at = now + delay
        self.timer = self.call_later(delay, self._allow)

    def _allow(self) -> None:
        self.timer = None
        self.on_allowed()

    @property
    def _now(self) -> float:
        return self.clock.monotonic()


__all__ = ["CallPacing"]
