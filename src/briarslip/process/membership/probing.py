"""Probes: the order of their targets, and the probes in flight."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.address import Address


DIRECT_PROBE_TIMEOUT_SECONDS = 0.3
PROBE_TIMEOUT_SECONDS = 1.0
INDIRECT_PROBERS = 3
MAX_SEQUENCE = (1 << 32) - 1


@dataclass(slots=True)
class Probe:
    """A probe in flight."""

    target: Address
    sent_at: float
    has_indirect_probes: bool = False


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A probe on behalf of another daemon, which gets the ack.

    ``sequence`` is the sequence number of the requester.
    """

    requester: Address
    sequence: int
    sent_at: float


@dataclass(slots=True)
class Prober:
    """Round-robin order of probe targets, shuffled each round, and probes in flight.

    ``probes`` and ``indirect_probes`` are keyed by this daemon's sequence numbers.
    """

    order: list[Address] = field(default_factory=list)
    probes: dict[int, Probe] = field(default_factory=dict)
    indirect_probes: dict[int, IndirectProbe] = field(default_factory=dict)
    sequence: int = 0

    def next_target(
        self, members: Callable[[], Iterable[Address]], rng: random.Random
    ) -> Address | None:
        """Return the next member to probe, None if there is none.

        ``members`` is called once a round; a new member waits for the next round.
        """
        if not self.order:
            self.order = sorted(members())
            rng.shuffle(self.order)
        return self.order.pop() if self.order else None

    def start_probe(self, target: Address, now: float) -> int:
        """Record a probe; return its sequence number."""
        sequence = self._next_sequence()
        self.probes[sequence] = Probe(target, now)
        return sequence

    def start_indirect_probe(
        self, requester: Address, sequence: int, now: float
    ) -> int:
        """Record a probe on behalf of a requester; return its new sequence number."""
        own_sequence = self._next_sequence()
        self.indirect_probes[own_sequence] = IndirectProbe(requester, sequence, now)
        return own_sequence

    def due_for_indirect_probe(self, now: float) -> tuple[tuple[int, Address], ...]:
        """Return sequence number and target of late probes, each probe once."""
        due = []
        for sequence, probe in self.probes.items():
            if (
                not probe.has_indirect_probes
                and now - probe.sent_at > DIRECT_PROBE_TIMEOUT_SECONDS
            ):
                probe.has_indirect_probes = True
                due.append((sequence, probe.target))
        return tuple(due)

    def pop_timed_out(self, now: float) -> tuple[Address, ...]:
        """Remove all timed-out probes; return the targets of the direct ones."""
        timed_out = [
            s for s, p in self.probes.items() if now - p.sent_at > PROBE_TIMEOUT_SECONDS
        ]
        for sequence, indirect in list(self.indirect_probes.items()):
            if now - indirect.sent_at > PROBE_TIMEOUT_SECONDS:
                del self.indirect_probes[sequence]
        return tuple(self.probes.pop(sequence).target for sequence in timed_out)

    def _next_sequence(self) -> int:
        self.sequence = self.sequence % MAX_SEQUENCE + 1
        return self.sequence


__all__ = ["INDIRECT_PROBERS", "PROBE_TIMEOUT_SECONDS", "Prober"]
