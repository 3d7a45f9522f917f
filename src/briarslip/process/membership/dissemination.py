"""Statements that wait to be passed on, each a bounded number of times."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from enum import IntEnum
from typing import TYPE_CHECKING

from briarslip.process.membership.member import Status


if TYPE_CHECKING:
    from briarslip.address import Address
    from briarslip.process.membership.member import Member


MAX_DATAGRAM_BYTES = 1_200
STATEMENTS_BYTES = 1_000
RETRANSMIT_FACTOR = 4
MIN_PASSES = 8
MAX_QUEUED = 1_024
STATEMENT_BYTES = 30
ENDPOINT_BYTES = 20
NAME_BYTES = 8


@dataclass(slots=True)
class ByteBudget:
    """A token bucket of bytes; a large message may leave a debt."""

    bytes_per_second: float
    burst_bytes: float
    available: float = 0.0
    filled_at: float = 0.0

    def __post_init__(self) -> None:
        self.available = self.burst_bytes

    def fill(self, now: float) -> None:
        """Add what the time since the last call allows."""
        earned = (now - self.filled_at) * self.bytes_per_second
        self.available = min(self.burst_bytes, self.available + earned)
        self.filled_at = now

    def spend(self, size: int) -> None:
        """Take off what was sent."""
        self.available -= size


class Urgency(IntEnum):
    """The order in which statements are passed on."""

    DRAINING = 0
    REFUTATION = 1
    ORDINARY = 2


@dataclass(slots=True)
class Queued:
    """A statement and how often it was sent or came back."""

    update: Member
    urgency: Urgency
    passes: int = 0


@dataclass(slots=True)
class Outbox:
    """The newest statement about each member that is still to be passed on.

    Draining and refutations have a byte budget of their own, so that no flood
    of others holds them up.
    """

    urgent_budget: ByteBudget
    budget: ByteBudget
    queued: dict[Address, Queued] = field(default_factory=dict)
    is_urgent: bool = False

    def put(self, update: Member, refutes: bool = False) -> None:
        """Queue a statement in place of an older one about that member."""
        urgency = Urgency.REFUTATION if refutes else Urgency.ORDINARY
        if is_draining(update):
            urgency = Urgency.DRAINING
        self.queued[update.address] = Queued(update, urgency)
        self.is_urgent = self.is_urgent or urgency is not Urgency.ORDINARY
        if len(self.queued) > MAX_QUEUED:
            del self.queued[max(self.queued, key=self._order)]

    def heard(self, update: Member, members: int) -> None:
        """Count a statement that came back: others pass it on as well.

        Draining and refutations take their full course.
        """
        entry = self.queued.get(update.address)
        if entry is None or entry.urgency is not Urgency.ORDINARY:
            return
        if _is_same(entry.update, update):
            self._count(entry, members)

    def pick(self, members: int, implied: set[str]) -> tuple[Member, ...]:
        """Return statements that fit, urgent and least passed ones first.

        ``implied`` are names that need not be written.
        """
        limit = STATEMENTS_BYTES
        picked: list[Member] = []
        names = set(implied)
        for address in sorted(self.queued, key=self._order):
            entry = self.queued[address]
            is_ordinary = entry.urgency is Urgency.ORDINARY
            budget = self.budget if is_ordinary else self.urgent_budget
            size = estimated_bytes(entry.update, names)
            if budget.available <= 0:
                continue
            limit -= size
            if limit < 0:
                break
            budget.spend(size)
            picked.append(entry.update)
            self._count(entry, members)
        return tuple(picked)

    def _count(self, entry: Queued, members: int) -> None:
        entry.passes += 1
        if entry.passes >= max_passes(members):
            del self.queued[entry.update.address]

    def _order(self, address: Address) -> tuple[Urgency, int]:
        entry = self.queued[address]
        return (entry.urgency, entry.passes)


def _is_same(update: Member, other: Member) -> bool:
    return (update.incarnation, update.status) == (
        other.incarnation,
        other.status,
    )


def max_passes(members: int) -> int:
    """Return how often a statement is passed on in a zone of some size."""
    passes = RETRANSMIT_FACTOR * math.ceil(math.log10(members + 1))
    return max(MIN_PASSES, passes)


def is_draining(update: Member) -> bool:
    """Tell whether a statement takes work away from a server in service."""
    if update.status is Status.ALIVE:
        return any(endpoint.draining for endpoint in update.endpoints)
    return update.status is Status.LEFT


def estimated_bytes(update: Member, names: set[str]) -> int:
    """Return at most what a statement takes; ``names`` are written already."""
    texts = {update.availability_zone, update.region}
    size = STATEMENT_BYTES
    if update.status is Status.ALIVE:
        size += ENDPOINT_BYTES * len(update.endpoints)
        for endpoint in update.endpoints:
            texts |= {endpoint.service, endpoint.version}
    size += sum(NAME_BYTES + len(text) for text in texts - names)
    names |= texts
    return size


__all__ = [
    "MAX_DATAGRAM_BYTES",
    "ByteBudget",
    "Outbox",
    "estimated_bytes",
    "is_draining",
    "max_passes",
]
