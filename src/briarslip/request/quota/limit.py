"""The limit of an organisation and the tolerances that follow from it."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from functools import cached_property
from functools import lru_cache
from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


# Organisations are accounted for in groups, so that one report has the counts of
# many. More groups spread the work over more daemons and cost more messages.
GROUPS = 2
# The bounds of rule QUOTA: the requests that pass in a window exceed rate x window +
# burst by at most this share of them and this number.
WINDOW_SECONDS = 5.0
EXCESS_SHARE = 0.1
EXCESS_REQUESTS = 20.0
# The rest of the excess covers requests that pass before a verdict reaches them.
TOLERANCE_SHARE = 0.4
FAR_EXCESS_SHARE = 0.6
# An organisation may begin to send this multiple of its rate at any moment.
FLOOD_FACTOR = 10.0
# Time from a report of a daemon to the reaction of the last daemon in another zone.
REACTION_SECONDS = 0.06
MIN_REPORT_SECONDS = 0.02
MAX_REPORT_SECONDS = 0.25
# Below this level, or this far below a full bucket, requests are reported at once.
# A burst of Poisson arrivals at 0.9 of the rate takes 30 tokens in one of 500 cases.
NEAR_SHARE = 0.4
NEAR_TOKENS = 50.0
FAR_SHARE = 0.9
# Share of the excess that a daemon may pass while it does not know what the others do.
UNINFORMED_SHARE = 0.15
MIN_UNINFORMED = 3.0


@lru_cache(maxsize=4096)
def group_of(organisation: str) -> int:
    """Return the group of an organisation, the same at each daemon."""
    digest = hashlib.blake2b(organisation.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % GROUPS


class HasLimit(Protocol):
    """The fields of an organisation's record that its quota depends on."""

    @property
    def name(self) -> str:
        """The name of the organisation."""

    @property
    def rate_per_second(self) -> float:
        """The requests a second, 0 for no limit."""

    @property
    def burst(self) -> float:
        """The requests beyond the rate after a pause."""


@dataclass(frozen=True)
class QuotaLimit:
    """A limit over all daemons: a token bucket, and what may exceed it."""

    rate_per_second: float
    burst: float

    @classmethod
    def from_organisation(cls, organisation: HasLimit) -> QuotaLimit | None:
        """Return the limit of an organisation, None if it has none."""
        if not organisation.rate_per_second:
            return None
        return cls(organisation.rate_per_second, organisation.burst)

    @cached_property
    def capacity(self) -> float:
        """The tokens of a full bucket."""
        return max(1.0, self.burst)

    @cached_property
    def excess(self) -> float:
        """The requests by which a window may exceed the limit."""
        allowed = self.rate_per_second * WINDOW_SECONDS + self.burst
        return EXCESS_SHARE * allowed + EXCESS_REQUESTS

    @cached_property
    def tolerance(self) -> float:
        """The debt of the bucket from which on requests are refused.

        Counts arrive late and out of order, so the bucket of an organisation that
        stays inside its limit may be in debt for a moment.
        """
        return TOLERANCE_SHARE * self.excess

    @cached_property
    def near_level(self) -> float:
        """The level below which the organisation is near its limit."""
        return max(NEAR_SHARE * self.capacity, self.capacity - NEAR_TOKENS)

    @cached_property
    def far_level(self) -> float:
        """The level above which the organisation is far from its limit again."""
        return max(FAR_SHARE * self.capacity, (self.near_level + self.capacity) / 2)

    @cached_property
    def likely_level(self) -> float:
        """The level that is assumed where only the mode FAR is known."""
        return (self.near_level + self.capacity) / 2

    @cached_property
    def report_seconds(self) -> float:
        """How long counts may be held back while far from the limit.

        A flood that begins meanwhile must not use up the excess.
        """
        spare = FAR_EXCESS_SHARE * self.excess + self.near_level
        seconds = spare / (FLOOD_FACTOR * self.rate_per_second) - REACTION_SECONDS
        return min(MAX_REPORT_SECONDS, max(MIN_REPORT_SECONDS, seconds))

    @cached_property
    def uninformed_requests(self) -> float:
        """The requests that pass at a daemon that has just started or been paused."""
        return max(MIN_UNINFORMED, UNINFORMED_SHARE * self.excess)


@dataclass(frozen=True, slots=True)
class QuotaLimits:
    """The limits of all organisations that have one, by name and by group."""

    by_name: Mapping[str, QuotaLimit]
    by_group: tuple[Mapping[str, QuotaLimit], ...]

    @classmethod
    def from_organisations(cls, organisations: Iterable[HasLimit]) -> QuotaLimits:
        """Return the limits that the organisations' records state."""
        by_name: dict[str, QuotaLimit] = {}
        by_group: tuple[dict[str, QuotaLimit], ...] = tuple({} for _ in range(GROUPS))
        for organisation in organisations:
            limit = QuotaLimit.from_organisation(organisation)
            if limit is not None:
                by_name[organisation.name] = limit
                by_group[group_of(organisation.name)][organisation.name] = limit
        return cls(by_name, by_group)


__all__ = [
    "GROUPS",
    "WINDOW_SECONDS",
    "HasLimit",
    "QuotaLimit",
    "QuotaLimits",
    "group_of",
]
