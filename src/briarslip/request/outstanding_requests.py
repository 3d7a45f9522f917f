"""A bound on the calls that one daemon has under way."""

from __future__ import annotations

from collections import Counter


MAX_URGENT = 1000
MAX_BULK = 1000
URGENT_SHARE_OF_REST = 1.0
BULK_SHARE_OF_REST = 0.25


class Pool:
    """The calls of one priority, bounded by a dynamic threshold.

    A service may hold a share of what is still free. So one slow service
    holds half at most (a fifth for bulk), and there is room for others.
    """

    def __init__(self, limit: int, share_of_rest: float) -> None:
        self.limit = limit
        self.share_of_rest = share_of_rest
        self.total = 0
        self.counts: Counter[str] = Counter()

    def enter(self, service: str) -> bool:
        """Count a call in, unless its service has too many."""
        held = self.counts[service]
        if held >= self.share_of_rest * (self.limit - self.total):
            return False
        self.counts[service] = held + 1
        self.total += 1
        return True

    def leave(self, service: str) -> None:
        """Count a call out."""
        self.counts[service] -= 1
        self.total -= 1


class OutstandingRequests:
    """The calls of a daemon; no urgent one is refused for bulk ones."""

    def __init__(self) -> None:
        self.urgent = Pool(MAX_URGENT, URGENT_SHARE_OF_REST)
        self.bulk = Pool(MAX_BULK, BULK_SHARE_OF_REST)

    @property
    def total(self) -> int:
        """The calls under way."""
        return self.urgent.total + self.bulk.total

    def pool(self, urgent: bool) -> Pool:
        """Return the pool of a priority."""
        return self.urgent if urgent else self.bulk


__all__ = ["OutstandingRequests", "Pool"]
