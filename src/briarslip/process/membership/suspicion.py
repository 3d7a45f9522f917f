"""Suspicions of members, and the local health of this daemon.

A daemon whose probes mostly fail is more likely to be cut off or starved itself
than to be right about the others. So it waits before it suspects members or
declares them dead, and gives suspects more time to refute.
"""

from __future__ import annotations

from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from briarslip.address import Address


SUSPICION_TIMEOUT_SECONDS = 4.0
HEALTH_WINDOW_PROBES = 8
DEGRADED_FAILURES = 5
FIRST_SUSPECT_PROBE_SECONDS = 2.0
SUSPECT_PROBE_INTERVAL_SECONDS = 1.0
MAX_SUSPECT_PROBES_PER_SECOND = 8.0
MIN_SUSPECT_PROBES = 3
# With more suspects than this, fewer unacknowledged probes of each suffice, so that a
# mass failure is detected in time at the limited probe rate.
MASS_FAILURE_SUSPECTS = 4
MIN_SUSPECT_PROBES_MASS_FAILURE = 2
SUSPECT_ACK_TIMEOUT_SECONDS = 0.5
DEGRADED_HOLD_SECONDS = 5.0
ISOLATED_HOLD_SECONDS = 30.0
ISOLATION_SECONDS = 2.0


@dataclass(slots=True)
class LocalHealth:
    """The local health of this daemon, judged by the outcomes of its probes.

    It is degraded while most of the last probes failed.
    """

    outcomes: deque[bool] = field(
        default_factory=lambda: deque(maxlen=HEALTH_WINDOW_PROBES)
    )
    degraded_since: float | None = None
    last_datagram_at: float = 0.0

    @property
    def failures(self) -> int:
        """The number of failures among the last probes."""
        return sum(1 for acknowledged in self.outcomes if not acknowledged)

    @property
    def timeout_multiplier(self) -> float:
        """The factor on the suspicion timeout; it grows with the failures."""
        return 1.0 + self.failures // 2

    def record(self, acknowledged: bool, now: float) -> None:
        """Record whether a probe was acknowledged."""
        self.outcomes.append(acknowledged)
        if self.failures < DEGRADED_FAILURES:
            self.degraded_since = None
        elif self.degraded_since is None:
            self.degraded_since = now

    def may_suspect(self, now: float) -> bool:
        """Return whether this daemon may suspect members or declare them dead.

        While its health is degraded it waits, and longer if it receives no
        datagrams either.
        """
        if self.degraded_since is None:
            return True
        is_connected = now - self.last_datagram_at <= ISOLATION_SECONDS
        hold_seconds = DEGRADED_HOLD_SECONDS if is_connected else ISOLATED_HOLD_SECONDS
        return now - self.degraded_since > hold_seconds


@dataclass(slots=True)
class Suspicions:
    """The suspects of this zone: start of the suspicion, and probes sent to each."""

    since: dict[Address, float] = field(default_factory=dict)
    probed_at: dict[Address, float] = field(default_factory=dict)
    probes: Counter[Address] = field(default_factory=Counter)
    next_probe_at: float = 0.0

    def start(self, address: Address, now: float) -> None:
        """Start a suspicion, unless the member is suspect already."""
        self.since.setdefault(address, now)

    def remove(self, address: Address) -> None:
        """Remove a suspicion and the record of its probes."""
        self.since.pop(address, None)
        self.probed_at.pop(address, None)
        self.probes.pop(address, None)

    def restart(self, address: Address, now: float) -> None:
        """Restart the suspicion timeout of a suspect that sent a message."""
        if address in self.since:
            self.since[address] = now
            self.probes.pop(address, None)

    def postpone(self, seconds: float) -> None:
        """Extend the suspicions by a time in which no refutation could be received."""
        self.since = {address: at + seconds for address, at in self.since.items()}

    def next_to_probe(self, now: float) -> Address | None:
        """Return the suspect to probe now, None if none is due.

        The probe rate is limited, so that a mass failure costs few bytes.
        """
        if now < self.next_probe_at:
            return None
        for address, at in self.since.items():
            probed_at = self.probed_at.get(address, 0.0)
            is_due = now - probed_at >= SUSPECT_PROBE_INTERVAL_SECONDS
            if now - at >= FIRST_SUSPECT_PROBE_SECONDS and is_due:
                self.next_probe_at = now + 1.0 / MAX_SUSPECT_PROBES_PER_SECOND
                self.probed_at[address] = now
                self.probes[address] += 1
                # Move it to the end: the other suspects are probed first.
                self.since[address] = self.since.pop(address)
                return address
        return None

    def expired(self, health: LocalHealth, now: float) -> tuple[Address, ...]:
        """Return the suspects whose timeout has passed without an ack of a probe."""
        timeout_seconds = SUSPICION_TIMEOUT_SECONDS * health.timeout_multiplier
        has_few_suspects = len(self.since) <= MASS_FAILURE_SUSPECTS
        min_probes = (
            MIN_SUSPECT_PROBES if has_few_suspects else MIN_SUSPECT_PROBES_MASS_FAILURE
        )
        return tuple(
            address
            for address, at in self.since.items()
            if now - at > timeout_seconds
            and self.probes[address] >= min_probes
            and now - self.probed_at[address] > SUSPECT_ACK_TIMEOUT_SECONDS
        )


__all__ = ["SUSPICION_TIMEOUT_SECONDS", "LocalHealth", "Suspicions"]
