"""The decision of a daemon whether a request of an organisation passes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.request.quota.messages import Mode


if TYPE_CHECKING:
    import random

    from briarslip.request.quota.limit import QuotaLimit
    from briarslip.request.quota.messages import Verdict


# A rate that is given to a daemon lapses after this time without a newer one.
RATE_LIFETIME_SECONDS = 1.0
# Tokens that a daemon collects at its rate while it is offered no requests.
RATE_BURST_SECONDS = 0.25
# While a daemon has been given no rate yet, it gets one at about this interval.
VERDICT_SECONDS = 0.25
# A bucket that the clock has refilled but for a rounding error is full.
TOKEN_TOLERANCE = 1e-9


class Bucket:
    """A token bucket whose rate may change."""

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        self.updated_at = now

    def refill(self, rate: float, capacity: float, now: float) -> None:
        """Add the tokens since the last call."""
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(capacity, self.tokens + elapsed * rate)
        self.updated_at = now

    def try_take(self) -> bool:
        """Take a token if there is one."""
        if self.tokens < 1.0 - TOKEN_TOLERANCE:
            return False
        self.tokens -= 1.0
        return True


class Gate:
    """Admits requests of one organisation at one daemon.

    Load patterns: an organisation far from its limit passes without any message
    before its requests; one that floods passes at the rates that the daemons are
    given. ``uninformed`` is how many more requests pass before the daemon has heard
    what the others do, None once it has.
    """

    def __init__(self, limit: QuotaLimit, now: float, rng: random.Random) -> None:
        self.limit = limit
        self.rng = rng
        self.mode = Mode.FAR
        self.level = 0.0
        self.rate = 0.0
        self.verdict_at = now
        self.allotted = Bucket(0.0, now)
        # No daemon alone may pass more than the whole limit.
        self.own = Bucket(limit.capacity + limit.tolerance, now)
        self.uninformed: float | None = limit.uninformed_requests

    def set_limit(self, limit: QuotaLimit) -> None:
        """Change the limit."""
        self.limit = limit

    def forget(self) -> None:
        """Let few requests pass until the daemon hears what the others do."""
        self.uninformed = self.limit.uninformed_requests

    def apply(self, verdict: Verdict, now: float) -> None:
        """Follow a verdict.

        At the beginning of a limit the tokens are random, so that the daemons of a
        fleet pass their first requests at different times.
        """
        if verdict.mode is Mode.LIMITED and self.mode is not Mode.LIMITED:
            self.allotted = Bucket(self.rng.random(), now)
        elif self.mode is Mode.LIMITED:
            self._refill_allotted(now)
        self.mode = verdict.mode
        self.level = verdict.level
        self.rate = verdict.rate
        self.verdict_at = now
        self.uninformed = None

    def reach_far(self) -> None:
        """Note that the organisation is far from its limit."""
        self.mode = Mode.FAR
        self.uninformed = None

    def admit(self, now: float, fixed_share: float | None) -> float | None:
        """Return None if a request passes, otherwise the seconds until one would.

        ``fixed_share`` is the daemon's share of the limit if it can reach no relay.
        """
        limit = self.limit
        self.own.refill(limit.rate_per_second, limit.capacity + limit.tolerance, now)
        if self.own.tokens < 1.0:
            return (1.0 - self.own.tokens) / limit.rate_per_second
        if fixed_share is not None:
            return self._admit_at(limit.rate_per_second * fixed_share, now)
        if self.uninformed is not None:
            return self._admit_uninformed()
        if self.mode is Mode.LIMITED:
            return self._admit_at(self.rate, now)
        self.own.tokens -= 1.0
        return None

    def is_lapsed(self, now: float) -> bool:
        """Return whether the rate given to the daemon is too old to be used."""
        age = now - self.verdict_at
        return self.mode is Mode.LIMITED and age > RATE_LIFETIME_SECONDS

    def _admit_uninformed(self) -> float | None:
        assert self.uninformed is not None
        if self.uninformed < 1.0:
            return VERDICT_SECONDS
        self.uninformed -= 1.0
        self.own.tokens -= 1.0
        return None

    def _admit_at(self, rate: float, now: float) -> float | None:
        self.rate = rate
        self._refill_allotted(now)
        if self.allotted.try_take():
            self.own.tokens -= 1.0
            return None
        if rate <= 0.0:
            return VERDICT_SECONDS + (1.0 - self.level) / self.limit.rate_per_second
        return (1.0 - self.allotted.tokens) / rate

    def _refill_allotted(self, now: float) -> None:
        capacity = max(1.0, RATE_BURST_SECONDS * self.rate)
        self.allotted.refill(self.rate, capacity, now)


__all__ = ["Gate"]
