"""Whether a failed attempt may be made again, and how often."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.request.outcome import Failure


MAX_DEPTH = 8
OUTER_SHARE = 0.025
INNER_SHARE = 0.008
FIRST_TOKENS = 1.0
MAX_RETRY_TOKENS = 3.0
# Daemons that one request may be sent to, those that refuse it included.
MAX_HOPS = 4
# The server does not serve any more; the view here was late.
STALE_VIEW = frozenset((Reason.DRAINING, Reason.NO_SERVER, Reason.VERSION_EXCLUDED))
# Refusals of the server's daemon: the request has not reached the server.
NEVER_OFFERED = STALE_VIEW | {Reason.CONNECT_FAILED, Reason.QUEUE_FULL}
REFUSED_SHARE = 0.06
MAX_REFUSED_TOKENS = 10.0
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
    Retries of requests that were refused before any server saw them burden no
    server twice and have a bucket of their own. ``most`` bounds what the bucket
    holds: the buckets of all daemons may be emptied at the same moment.
    """

    def __init__(self, most: Callable[[], float] = lambda: MAX_RETRY_TOKENS) -> None:
        self.most = most
        self.tokens = FIRST_TOKENS
        self.refused_tokens = MAX_REFUSED_TOKENS

    def pay_in(self, depth: int, retried: bool) -> None:
        """Count a call at its first attempt; the outermost has depth 1."""
        if retried or depth > MAX_DEPTH:
            return
        refused = self.refused_tokens + REFUSED_SHARE
        self.refused_tokens = min(MAX_REFUSED_TOKENS, refused)
        share = OUTER_SHARE if depth <= 1 else INNER_SHARE
        self.tokens = min(self.most(), self.tokens + share)

    def take_refused(self, reason: Reason) -> bool:
        """Take out a retry of a request that no server has seen.

        Where only the view here was late, the next server is sure to differ.
        """
        if reason in STALE_VIEW:
            return True
        if self.refused_tokens < 1.0:
            return False
        self.refused_tokens -= 1.0
        return True

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


__all__ = [
    "FIRST_TOKENS",
    "MAX_HOPS",
    "MAX_RETRY_TOKENS",
    "NEVER_OFFERED",
    "RetryBudget",
    "is_retryable",
]
