"""Probes: whom to probe next, and what has come of those under way."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.address import Address


DIRECT_SECONDS = 0.3
PROBE_SECONDS = 1.0
HELPERS = 3
MAX_SEQUENCE = (1 << 32) - 1


@dataclass(slots=True)
class Probe:
    """A probe under way."""

    target: Address
    sent_at: float
    helped: bool = False


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A probe made for another daemon, which gets the answer."""

    requester: Address
    sequence: int
    sent_at: float


@dataclass(slots=True)
class Prober:
    """Probes each member once in a random order, then in another one."""

    order: list[Address] = field(default_factory=list)
    probes: dict[int, Probe] = field(default_factory=dict)
    indirect_probes: dict[int, IndirectProbe] = field(default_factory=dict)
    sequence: int = 0

    def next_target(
        self, members: Callable[[], Iterable[Address]], rng: random.Random
    ) -> Address | None:
        """Return the next member to probe, None if there is none.

        The members are asked for once a round; a new one waits for the next.
        """
        if not self.order:
            self.order = sorted(members())
            rng.shuffle(self.order)
        return self.order.pop() if self.order else None

    def begin(self, target: Address, now: float) -> int:
        """Note a probe; return its sequence number."""
        sequence = self._next_sequence()
        self.probes[sequence] = Probe(target, now)
        return sequence

    def begin_indirect_probe(
        self, requester: Address, sequence: int, now: float
    ) -> int:
        """Note a probe made for another; return its own sequence number."""
        own_sequence = self._next_sequence()
        self.indirect_probes[own_sequence] = IndirectProbe(requester, sequence, now)
        return own_sequence

    def late(self, now: float) -> tuple[tuple[int, Address], ...]:
        """Return the probes that need helpers now, each once."""
        found = []
        for sequence, probe in self.probes.items():
            if not probe.helped and now - probe.sent_at > DIRECT_SECONDS:
                probe.helped = True
                found.append((sequence, probe.target))
        return tuple(found)

    def failed(self, now: float) -> tuple[Address, ...]:
        """End the probes that had their time; return their targets."""
        ended = [s for s, p in self.probes.items() if now - p.sent_at > PROBE_SECONDS]
        for sequence, indirect in list(self.indirect_probes.items()):
            if now - indirect.sent_at > PROBE_SECONDS:
                del self.indirect_probes[sequence]
        return tuple(self.probes.pop(sequence).target for sequence in ended)

    def _next_sequence(self) -> int:
        self.sequence = self.sequence % MAX_SEQUENCE + 1
        return self.sequence


__all__ = ["HELPERS", "PROBE_SECONDS", "Prober"]
