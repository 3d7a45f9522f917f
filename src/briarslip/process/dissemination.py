"""Statements that wait to be passed on, each a bounded number of times."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarslip.process.member import Status


if TYPE_CHECKING:
    from briarslip.address import Address
    from briarslip.process.member import Member


MAX_DATAGRAM_BYTES = 1_200
STATEMENTS_BYTES = 1_000
RETRANSMIT_FACTOR = 4
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


@dataclass(slots=True)
class Queued:
    """A statement and how often it was sent."""

    statement: Member
    urgent: bool
    transmissions: int = 0


@dataclass(slots=True)
class Outbox:
    """The newest statement about each member that is still to be passed on."""

    queued: dict[Address, Queued] = field(default_factory=dict)
    is_urgent: bool = False

    def put(self, statement: Member, urgent: bool = False) -> None:
        """Queue a statement in place of an older one about that member."""
        urgent = urgent or is_urgent(statement)
        self.queued[statement.address] = Queued(statement, urgent)
        self.is_urgent = self.is_urgent or urgent
        if len(self.queued) > MAX_QUEUED:
            del self.queued[max(self.queued, key=self._order)]

    def pick(self, limit_bytes: float, members: int) -> tuple[Member, ...]:
        """Return statements that fit, urgent and least sent ones first."""
        limit = min(limit_bytes, STATEMENTS_BYTES)
        picked: list[Member] = []
        names: set[str] = set()
        most = max_transmissions(members)
        for address in sorted(self.queued, key=self._order):
            entry = self.queued[address]
            limit -= estimated_bytes(entry.statement, names)
            if limit < 0:
                break
            picked.append(entry.statement)
            entry.transmissions += 1
            if entry.transmissions >= most:
                del self.queued[address]
        return tuple(picked)

    def _order(self, address: Address) -> tuple[bool, int]:
        entry = self.queued[address]
        return (not entry.urgent, entry.transmissions)


def max_transmissions(members: int) -> int:
    """Return how often a statement is sent in a zone of some size."""
    return RETRANSMIT_FACTOR * math.ceil(math.log10(members + 1))


def is_urgent(statement: Member) -> bool:
    """Tell whether a statement takes work away from a server in service."""
    if statement.status is Status.ALIVE:
        return any(endpoint.draining for endpoint in statement.endpoints)
    return statement.status is Status.LEFT


def estimated_bytes(statement: Member, names: set[str]) -> int:
    """Return at most what a statement takes; ``names`` are written already."""
    texts = {statement.availability_zone, statement.region}
    size = STATEMENT_BYTES
    if statement.status is Status.ALIVE:
        size += ENDPOINT_BYTES * len(statement.endpoints)
        for endpoint in statement.endpoints:
            texts |= {endpoint.service, endpoint.version}
    size += sum(NAME_BYTES + len(text) for text in texts - names)
    names |= texts
    return size


__all__ = [
    "MAX_DATAGRAM_BYTES",
    "ByteBudget",
    "Outbox",
    "estimated_bytes",
    "is_urgent",
    "max_transmissions",
]
