"""The part that one daemon has in the quotas of all organisations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.request.quota.group import QuotaGroup
from briarslip.request.quota.limit import GROUPS
from briarslip.request.quota.limit import group_of


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Mapping

    from briarslip.address import Address
    from briarslip.request.quota.limit import QuotaLimit
    from briarslip.request.quota.limit import QuotaLimits
    from briarslip.request.quota.messages import Mode
    from briarslip.request.quota.messages import QuotaMessage
    from briarslip.request.quota.placement import Placement


# The daemon ticks every 0.1 s; a longer gap is a pause of its process.
PAUSE_SECONDS = 1.0


class QuotaNode:
    """Admits requests under the limits of their organisations, over all daemons.

    A request is decided at once, from what the daemon has been told before. Messages
    are sent by ``send``; nothing is kept in the store.
    """

    def __init__(
        self,
        limits: Callable[[], QuotaLimits],
        placement: Placement,
        send: Callable[[Address, QuotaMessage], None],
        rng: random.Random,
        now: float,
    ) -> None:
        self.limits = limits
        self.placement = placement
        self.ticked_at = now
        self.groups = tuple(
            QuotaGroup(group, self._limits_of(group), placement, send, rng, now)
            for group in range(GROUPS)
        )
        self.refused = 0

    def _limits_of(self, group: int) -> Callable[[], Mapping[str, QuotaLimit]]:
        return lambda: self.limits().by_group[group]

    def admit(self, name: str, now: float) -> float | None:
        """Return None if a request passes, otherwise the seconds until one would."""
        limit = self.limits().by_name.get(name)
        if limit is None:
            return None
        self._resume_after_pause(now)
        group = self.groups[group_of(name)]
        gate = group.gate(name, limit, now)
        is_lapsed = gate.is_lapsed(now)
        if is_lapsed and not group.uplink.unacknowledged:
            group.ask_all(now)
        is_cut_off = group.uplink.is_isolated or is_lapsed
        fixed_share = self.placement.fixed_share if is_cut_off else None
        wait_seconds = gate.admit(now, fixed_share)
        group.count(name, gate, wait_seconds is None, now)
        self.refused += wait_seconds is not None
        return wait_seconds

    def receive(self, sender: Address, message: QuotaMessage, now: float) -> None:
        """Receive a message of a peer."""
        self._resume_after_pause(now)
        if message.group < len(self.groups):
            self.groups[message.group].receive(sender, message, now)

    def fail(self, peer: Address, message: QuotaMessage, now: float) -> None:
        """Note that a message can't be sent, since its receiver can't be reached."""
        self.groups[message.group].fail(peer, message, now)

    def tick(self, now: float) -> None:
        """Run the periodic work; it is to be called every ``TICK_SECONDS``."""
        self._resume_after_pause(now)
        self.ticked_at = now
        self.placement.refresh()
        if not self.limits().by_name:
            return
        for group in self.groups:
            if group.limits():
                group.tick(now)

    def flush(self, now: float) -> None:
        """Send the reports that are due."""
        for group in self.groups:
            group.flush(now)

    @property
    def due_at(self) -> float:
        """When ``flush`` is to be called next."""
        return min(group.due_at for group in self.groups)

    def count_mode(self, mode: Mode) -> int:
        """Return the number of organisations in a mode, as this daemon knows."""
        return sum(
            gate.mode is mode for group in self.groups for gate in group.gates.values()
        )

    def _resume_after_pause(self, now: float) -> None:
        """Drop what is older than a pause of the process.

        After a pause the messages that waited in the sockets are often received
        before the timers run, so each of them looks for the pause.
        """
        if now - self.ticked_at <= PAUSE_SECONDS:
            return
        self.ticked_at = now
        for group in self.groups:
            group.resume(now)


__all__ = ["QuotaNode"]
