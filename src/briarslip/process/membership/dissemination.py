"""Dissemination of updates in a zone, each a bounded number of times."""

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
MAX_UPDATES_BYTES = 1_000
RETRANSMIT_FACTOR = 4
MIN_TRANSMISSIONS = 8
MAX_QUEUED_UPDATES = 1_024
UPDATE_BYTES = 30
ENDPOINT_BYTES = 20
NAME_BYTES = 8


@dataclass(slots=True)
class ByteBudget:
    """A token bucket of bytes, which a large message may overdraw."""

    bytes_per_second: float
    burst_bytes: float
    available_bytes: float = 0.0
    refilled_at: float = 0.0

    def __post_init__(self) -> None:
        self.available_bytes = self.burst_bytes

    def refill(self, now: float) -> None:
        """Add the bytes for the time since the last call, up to the burst."""
        refill_bytes = (now - self.refilled_at) * self.bytes_per_second
        self.available_bytes = min(
            self.burst_bytes, self.available_bytes + refill_bytes
        )
        self.refilled_at = now

    def spend(self, size_bytes: int) -> None:
        """Subtract the size of what was sent."""
        self.available_bytes -= size_bytes


class Urgency(IntEnum):
    """The priority of an update; the smallest value is sent first."""

    DRAINING = 0
    REFUTATION = 1
    ORDINARY = 2


@dataclass(slots=True)
class QueuedUpdate:
    """An update, and how often it was sent or received again from a peer."""

    update: Member
    urgency: Urgency
    transmissions: int = 0


@dataclass(slots=True)
class Outbox:
    """The queue of updates to disseminate, with the newest one of each member.

    Draining and refutations have a separate byte budget, so that a flood of
    other updates does not delay them.
    """

    urgent_budget: ByteBudget
    budget: ByteBudget
    queued: dict[Address, QueuedUpdate] = field(default_factory=dict)
    is_urgent: bool = False

    def put(self, update: Member, is_refutation: bool = False) -> None:
        """Queue an update in place of an older one about the same member."""
        urgency = Urgency.REFUTATION if is_refutation else Urgency.ORDINARY
        if is_draining(update):
            urgency = Urgency.DRAINING
        self.queued[update.address] = QueuedUpdate(update, urgency)
        self.is_urgent = self.is_urgent or urgency is not Urgency.ORDINARY
        if len(self.queued) > MAX_QUEUED_UPDATES:
            del self.queued[max(self.queued, key=self._priority)]

    def record_duplicate(self, update: Member, zone_size: int) -> None:
        """Count a received copy of a queued update as a transmission.

        Other members are disseminating it as well. Draining and refutations are
        sent the full number of times all the same.
        """
        entry = self.queued.get(update.address)
        if entry is None or entry.urgency is not Urgency.ORDINARY:
            return
        if _is_same_update(entry.update, update):
            self._count_transmission(entry, zone_size)

    def select(self, zone_size: int, implied_names: set[str]) -> tuple[Member, ...]:
        """Return the updates for one datagram, urgent and least sent ones first.

        ``implied_names`` are names that the datagram need not contain.
        """
        remaining_bytes = MAX_UPDATES_BYTES
        selected: list[Member] = []
        names = set(implied_names)
        for address in sorted(self.queued, key=self._priority):
            entry = self.queued[address]
            is_ordinary = entry.urgency is Urgency.ORDINARY
            budget = self.budget if is_ordinary else self.urgent_budget
            size_bytes = estimated_bytes(entry.update, names)
            if budget.available_bytes <= 0:
                continue
            remaining_bytes -= size_bytes
            if remaining_bytes < 0:
                break
            budget.spend(size_bytes)
            selected.append(entry.update)
            self._count_transmission(entry, zone_size)
        return tuple(selected)

    def _count_transmission(self, entry: QueuedUpdate, zone_size: int) -> None:
        entry.transmissions += 1
        if entry.transmissions >= transmission_limit(zone_size):
            del self.queued[entry.update.address]

    def _priority(self, address: Address) -> tuple[Urgency, int]:
        entry = self.queued[address]
        return (entry.urgency, entry.transmissions)


def _is_same_update(update: Member, other: Member) -> bool:
    return (update.incarnation, update.status) == (
        other.incarnation,
        other.status,
    )


def transmission_limit(zone_size: int) -> int:
    """Return how often an update is sent in a zone of ``zone_size`` members."""
    transmissions = RETRANSMIT_FACTOR * math.ceil(math.log10(zone_size + 1))
    return max(MIN_TRANSMISSIONS, transmissions)


def is_draining(update: Member) -> bool:
    """Return whether an update announces a draining server, or a daemon that leaves."""
    if update.status is Status.ALIVE:
        return any(endpoint.draining for endpoint in update.endpoints)
    return update.status is Status.LEFT


def estimated_bytes(update: Member, names: set[str]) -> int:
    """Return an upper bound of the encoded size of an update.

    ``names`` are the names that the message has already; the update's names are
    added to them.
    """
    texts = {update.availability_zone, update.region}
    size_bytes = UPDATE_BYTES
    if update.status is Status.ALIVE:
        size_bytes += ENDPOINT_BYTES * len(update.endpoints)
        for endpoint in update.endpoints:
            texts |= {endpoint.service, endpoint.version}
    size_bytes += sum(NAME_BYTES + len(text) for text in texts - names)
    names |= texts
    return size_bytes


__all__ = [
    "MAX_DATAGRAM_BYTES",
    "ByteBudget",
    "Outbox",
    "estimated_bytes",
    "is_draining",
    "transmission_limit",
]
