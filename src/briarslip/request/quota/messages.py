"""Messages between daemons, relays and homes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.request.quota.limit import QuotaLimit


class Mode(IntEnum):
    """How close an organisation is to its limit, over all daemons.

    FAR and NEAR: requests pass, and are reported in batches or at once. LIMITED:
    each daemon passes the rate that it is given.
    """

    FAR = 0
    NEAR = 1
    LIMITED = 2


def level_to_tell(
    mode: Mode, level: float, age_seconds: float, limit: QuotaLimit
) -> float:
    """Return the level that a new relay or home is told, from a verdict of some age.

    A home that is told of a debt continues to limit the organisation.
    """
    tokens = age_seconds * limit.rate_per_second
    if mode is Mode.FAR:
        return min(limit.capacity, limit.likely_level + tokens)
    if mode is Mode.LIMITED:
        return min(0.0, level + tokens)
    return min(limit.capacity, max(0.0, level + tokens))


@dataclass(frozen=True, slots=True)
class Count:
    """Requests of an organisation since the sender's previous report.

    A relay also tells the share of the limit that its zone holds. Complete reports
    tell the level of the bucket as the sender last knew it, None if it does not know.
    """

    organisation: str
    offered: int
    admitted: int
    share: float | None = None
    level: float | None = None


@dataclass(frozen=True, slots=True)
class Report:
    """Counts of one group of organisations, to a relay or to a home.

    Reports with a sequence above 0 count; the others are probes. A complete report
    asks for the verdicts of all organisations of the group; that of a relay has all
    shares that it knows. The last report says that the sender has another home from
    now on.
    """

    group: int
    to_home: bool
    sequence: int
    is_complete: bool = False
    counts: tuple[Count, ...] = ()
    is_last: bool = False


@dataclass(frozen=True, slots=True)
class Verdict:
    """The mode of an organisation and what the receiver may pass.

    ``level`` is that of the bucket over the fleet, ``rate`` what the receiver and
    those below it may pass a second while LIMITED, ``share`` the share of the limit
    that the receiver's zone holds from now on.
    """

    organisation: str
    mode: Mode
    level: float
    rate: float = 0.0
    share: float | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """Verdicts of a relay or a home, and the last report that it received.

    ``needs_all`` asks for a complete report. ``is_complete`` says that organisations
    without a verdict are far from their limits.
    """

    group: int
    from_home: bool
    acknowledged: int
    needs_all: bool = False
    is_complete: bool = False
    verdicts: tuple[Verdict, ...] = ()


QuotaMessage = Report | Answer


__all__ = [
    "Answer",
    "Count",
    "Mode",
    "QuotaMessage",
    "Report",
    "Verdict",
    "level_to_tell",
]
