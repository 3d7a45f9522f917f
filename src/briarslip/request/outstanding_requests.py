"""Limit on the outstanding requests of one daemon."""

from __future__ import annotations

from collections import Counter


MAX_URGENT_REQUESTS = 1000
MAX_BULK_REQUESTS = 1000
URGENT_SHARE_OF_FREE = 1.0
BULK_SHARE_OF_FREE = 0.25


class PriorityPool:
    """The requests of one priority, limited per service by a dynamic threshold.

    A service may use at most ``share_of_free`` of what is still free. So one slow
    service uses at most half of the limit (a fifth for bulk) and leaves room for
    others.
    """

    def __init__(self, limit: int, share_of_free: float) -> None:
        self.limit = limit
        self.share_of_free = share_of_free
        self.total = 0
        self.counts: Counter[str] = Counter()

    def try_add(self, service: str) -> bool:
        """Count a request; return False if its service has too many."""
        count = self.counts[service]
        if count >= self.share_of_free * (self.limit - self.total):
            return False
        self.counts[service] = count + 1
        self.total += 1
        return True

    def remove(self, service: str) -> None:
        """Remove a request from the count."""
        self.counts[service] -= 1
        self.total -= 1


class OutstandingRequests:
    """The outstanding requests of a daemon, with separate limits by priority.

    So no urgent request is rejected because of bulk requests.
    """

    def __init__(self) -> None:
        self.urgent = PriorityPool(MAX_URGENT_REQUESTS, URGENT_SHARE_OF_FREE)
        self.bulk = PriorityPool(MAX_BULK_REQUESTS, BULK_SHARE_OF_FREE)

    @property
    def total(self) -> int:
        """The number of outstanding requests."""
        return self.urgent.total + self.bulk.total

    def pool(self, urgent: bool) -> PriorityPool:
        """Return the pool of a priority."""
        return self.urgent if urgent else self.bulk


__all__ = ["OutstandingRequests", "PriorityPool"]
