"""The rate at which calls are sent to a backend server that limits it."""

from __future__ import annotations


# Calls that may be sent at once after a pause, in seconds of the limit and calls.
BURST_SECONDS = 0.25
BURST_CALLS = 1.0
# Part of the burst that is kept for urgent calls.
URGENT_SHARE = 0.5
# A server that accepts nothing still gets a call now and then: only its responses
# tell when the limit ends.
MIN_CALLS_PER_SECOND = 0.5
# Rounding of the clock must not leave a timer that expires just before its token.
TOKEN_TOLERANCE = 1e-6


class RequestRate:
    """A token bucket for the calls to one server; without a limit it is not used.

    ``limit`` is in requests a second. The daemon beside the server has the only
    bucket, so what it admits is the sum over all instances.
    """

    def __init__(self) -> None:
        self.limit: float | None = None
        self.tokens = 0.0
        self.updated_at = 0.0

    @property
    def per_second(self) -> float:
        """The calls a second that are sent under the limit."""
        return max(self.limit or 0.0, MIN_CALLS_PER_SECOND)

    @property
    def max_tokens(self) -> float:
        """The capacity of the bucket in calls."""
        return BURST_CALLS + BURST_SECONDS * self.per_second

    def set_limit(self, limit: float | None, now: float) -> None:
        """Change the limit; the server's first limit begins with an empty bucket."""
        if self.limit is None:
            self.tokens = 0.0
            self.updated_at = now
        self._refill(now)
        self.limit = limit
        self.tokens = min(self.tokens, self.max_tokens)

    def seconds_until_calls(self, count: int, urgent: bool, now: float) -> float:
        """Return the seconds until ``count`` calls may have been sent."""
        if self.limit is None:
            return 0.0
        self._refill(now)
        needed = float(count)
        if not urgent:
            needed += URGENT_SHARE * (self.max_tokens - BURST_CALLS)
        missing = needed - self.tokens
        return missing / self.per_second if missing > TOKEN_TOLERANCE else 0.0

    def is_exhausted(self, urgent: bool, now: float) -> bool:
        """Return whether no call of a priority may be sent now."""
        return self.seconds_until_calls(1, urgent, now) > 0.0

    def spend(self, now: float) -> None:
        """Count a call that is sent."""
        if self.limit is not None:
            self._refill(now)
            self.tokens -= 1.0

    def _refill(self, now: float) -> None:
        added_tokens = (now - self.updated_at) * self.per_second
        self.tokens = min(self.max_tokens, self.tokens + added_tokens)
        self.updated_at = now


__all__ = ["RequestRate"]
