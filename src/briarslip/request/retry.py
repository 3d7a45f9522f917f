"""Retry policy: which failed attempts are retried, and the retry budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.outcome import Failure


MAX_DEPOSIT_DEPTH = 8
# Tokens that the first attempt of a request adds to the budget.
OUTERMOST_TOKENS_PER_REQUEST = 0.025
NESTED_TOKENS_PER_REQUEST = 0.008
INITIAL_TOKENS = 1.0
MAX_RETRY_TOKENS = 3.0
# The rest of the slack covers calls nested in retried ones and daemons that are not
# known yet.
RETRY_SLACK_SHARE = 0.6
# Limit on the daemons that a request is sent to, including those that reject it.
MAX_HOPS = 4
# The server no longer serves the version; the membership data here was stale.
STALE_MEMBERSHIP_REASONS = frozenset(
    (Reason.DRAINING, Reason.NO_SERVER, Reason.VERSION_EXCLUDED)
)
# Rejections before the request was sent to a backend server.
NEVER_SENT_REASONS = STALE_MEMBERSHIP_REASONS | {
    Reason.CONNECT_FAILED,
    Reason.QUEUE_FULL,
    Reason.BUFFERS_FULL,
}
# Separate budget for retries of requests that no server has seen.
REJECTED_TOKENS_PER_REQUEST = 0.06
MAX_REJECTED_TOKENS = 10.0
NON_RETRYABLE_REASONS = frozenset(
    (
        Reason.BAD_REQUEST,
        Reason.BODY_TOO_LARGE,
        Reason.CANCELLED,
        Reason.DEADLINE,
        Reason.NO_CONFIGURATION,
        Reason.NO_ROUTE,
        Reason.QUARANTINED,
    )
)


def retry_tokens(slack: float | None, daemons: int) -> float:
    """Return the size of one daemon's retry budget.

    ``slack`` is how many retries all daemons together may make beyond their share of
    the requests, None if that is not limited.
    """
    if slack is None:
        return MAX_RETRY_TOKENS
    tokens = slack * RETRY_SLACK_SHARE / max(1, daemons)
    return min(MAX_RETRY_TOKENS, max(1.0, tokens))


class RetryBudget:
    """A token bucket: each first attempt adds a fraction of a retry.

    A retry, and all requests nested in it, neither add nor withdraw tokens. So
    the retries below one outermost request are at most the sum of the tokens
    added at its depths, 0.025 + 7 x 0.008, plus the initial content of the bucket.
    Retries of requests that were rejected before any server saw them put no load
    on servers and have a bucket of their own. ``max_tokens`` returns the capacity,
    which must be small because all daemons may empty their buckets at once.
    """

    def __init__(
        self, max_tokens: Callable[[], float] = lambda: MAX_RETRY_TOKENS
    ) -> None:
        self.max_tokens = max_tokens
        self.tokens = INITIAL_TOKENS
        self.rejected_tokens = MAX_REJECTED_TOKENS

    def deposit(self, depth: int, is_retry: bool) -> None:
        """Add tokens for the first attempt of a request; the outermost has depth 1."""
        if is_retry or depth > MAX_DEPOSIT_DEPTH:
            return
        rejected = self.rejected_tokens + REJECTED_TOKENS_PER_REQUEST
        self.rejected_tokens = min(MAX_REJECTED_TOKENS, rejected)
        added_tokens = (
            OUTERMOST_TOKENS_PER_REQUEST if depth <= 1 else NESTED_TOKENS_PER_REQUEST
        )
        self.tokens = min(self.max_tokens(), self.tokens + added_tokens)

    def try_withdraw_rejected(self, reason: Reason) -> bool:
        """Withdraw a token for a retry of a request that no server has seen.

        A retry after stale membership data is free, because it goes to another
        server.
        """
        if reason in STALE_MEMBERSHIP_REASONS:
            return True
        if self.rejected_tokens < 1.0:
            return False
        self.rejected_tokens -= 1.0
        return True

    def try_withdraw(self) -> bool:
        """Withdraw a token; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def is_retryable(failure: Failure, idempotent: bool) -> bool:
    """Return whether a retry may succeed and can't run the request twice."""
    if failure.reason in NON_RETRYABLE_REASONS or failure.outcome is Outcome.RAN:
        return False
    return failure.outcome is Outcome.NOT_RUN or idempotent


__all__ = [
    "INITIAL_TOKENS",
    "MAX_HOPS",
    "MAX_RETRY_TOKENS",
    "NEVER_SENT_REASONS",
    "STALE_MEMBERSHIP_REASONS",
    "RetryBudget",
    "is_retryable",
    "retry_tokens",
]
