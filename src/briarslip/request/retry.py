"""Whether a failed attempt may be made again, and how often."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from briarslip.request.outcome import Failure


MAX_DEPTH = 8
OUTER_SHARE = 0.025
INNER_SHARE = 0.008
FIRST_TOKENS = 1.0
MAX_TOKENS = 3.0
MAX_ATTEMPTS = 3
FINAL_REASONS = frozenset(
    (
        Reason.BAD_REQUEST,
        Reason.BODY_TOO_LARGE,
        Reason.CANCELLED,
        Reason.DEADLINE,
        Reason.NO_CONFIGURATION,
        Reason.NO_ROUTE,
    )
)


class RetryBudget:
    """A token bucket: each first attempt pays in a part of a retry.

    A retried call, and all that is nested in it, neither pays in nor takes
    out. So the retries below one outer call are at most the sum of the shares
    over its depths, 2.5% + 7 x 0.8%, plus the bucket's content at the start.
    """

    def __init__(self) -> None:
        self.tokens = FIRST_TOKENS

    def pay_in(self, depth: int, retried: bool) -> None:
        """Count a call at its first attempt; the outermost has depth 1."""
        if retried or depth > MAX_DEPTH:
            return
        share = OUTER_SHARE if depth <= 1 else INNER_SHARE
        self.tokens = min(MAX_TOKENS, self.tokens + share)

    def take(self) -> bool:
        """Take one retry out if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def is_retryable(failure: Failure, idempotent: bool) -> bool:
    """Tell whether another attempt could neither run twice nor be useless."""
    if failure.reason in FINAL_REASONS or failure.outcome is Outcome.RAN:
        return False
    return failure.outcome is Outcome.NOT_RUN or idempotent


__all__ = ["FIRST_TOKENS", "MAX_ATTEMPTS", "MAX_TOKENS", "RetryBudget", "is_retryable"]
