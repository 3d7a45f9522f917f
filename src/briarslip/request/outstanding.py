"""A bound on the calls that one daemon has under way."""

from __future__ import annotations

from collections import Counter


MAX_OUTSTANDING = 2000
URGENT_SHARE_OF_REST = 1.0
BULK_SHARE_OF_REST = 0.25


class Outstanding:
    """Counts calls by service and priority, bounded by a dynamic threshold.

    Each pair may hold a share of what is still free. So one slow service
    holds at most half of the whole (a fifth for bulk), and there is always
    room for another.
    """

    def __init__(self, limit: int = MAX_OUTSTANDING) -> None:
        self.limit = limit
        self.total = 0
        self.counts: Counter[tuple[str, bool]] = Counter()

    def enter(self, service: str, urgent: bool) -> bool:
        """Count a call in, unless its service has too many."""
        share = URGENT_SHARE_OF_REST if urgent else BULK_SHARE_OF_REST
        held = self.counts[service, urgent]
        if held >= share * (self.limit - self.total):
            return False
        self.counts[service, urgent] = held + 1
        self.total += 1
        return True

    def leave(self, service: str, urgent: bool) -> None:
        """Count a call out."""
        self.counts[service, urgent] -= 1
        self.total -= 1


__all__ = ["Outstanding"]
