"""The task that exchanges the counts of requests with the other daemons."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from result import Err

from briarslip.connection.frame import Topic
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.quota.codec import decode_message
from briarslip.process.quota.codec import encode_message
from briarslip.request.quota.home import TICK_SECONDS
from briarslip.request.quota.node import QuotaNode
from briarslip.request.quota.placement import Placement


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from briarslip.address import Address
    from briarslip.process.clock import Clock
    from briarslip.process.membership.member import Member
    from briarslip.request.quota.limit import QuotaLimits
    from briarslip.request.quota.messages import QuotaMessage


# Without limits there is nothing to do but to notice the first one.
IDLE_TICK_SECONDS = 0.5


class QuotaTask:
    """Decides which requests pass under the limits of their organisations.

    Nothing is sent while no organisation has a limit.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        rng: random.Random,
        own_address: Address,
        availability_zone: str,
        limits: Callable[[], QuotaLimits],
        members: Callable[[], tuple[Member, ...]],
        send: Callable[[Address, Topic, bytes, Callable[[], None]], None],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.own_address = own_address
        self.send = send
        placement = Placement(own_address, availability_zone, members)
        self.node = QuotaNode(limits, placement, self._send, rng, clock.monotonic())
        self.flush_at: float | None = None

    def start(self) -> None:
        """Run the periodic work, and schedule the next run."""
        has_limits = bool(self.node.limits().by_name)
        delay_seconds = TICK_SECONDS if has_limits else IDLE_TICK_SECONDS
        self.reactor.callLater(delay_seconds, self.start)
        self.node.tick(self.clock.monotonic())
        self._schedule_flush()

    def admit(self, organisation: str) -> float | None:
        """Return None if a request passes, otherwise the seconds until one would."""
        if not organisation:
            return None
        wait_seconds = self.node.admit(organisation, self.clock.monotonic())
        self._schedule_flush()
        return wait_seconds

    def receive_message(self, sender: Address, payload: bytes) -> None:
        """Receive a message of a peer."""
        decoded = decode_message(payload)
        if isinstance(decoded, Err):
            emit(Event.MESSAGE_REJECTED, peer=sender, reason=decoded.err_value)
            return
        self._receive(sender, decoded.ok_value)

    def _receive(self, sender: Address, message: QuotaMessage) -> None:
        self.node.receive(sender, message, self.clock.monotonic())
        self._schedule_flush()

    def _send(self, peer: Address, message: QuotaMessage) -> None:
        if peer == self.own_address:
            self.reactor.callLater(0, self._receive, peer, message)
        else:
            self.send(
                peer,
                Topic.QUOTA,
                encode_message(message),
                partial(self._fail, peer, message),
            )

    def _fail(self, peer: Address, message: QuotaMessage) -> None:
        self.node.fail(peer, message, self.clock.monotonic())
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        due_at = self.node.due_at
        now = self.clock.monotonic()
        if due_at - now >= TICK_SECONDS:
            # The periodic work looks again before.
            return
        if self.flush_at is None or due_at < self.flush_at:
            self.flush_at = max(now, due_at)
            self.reactor.callLater(max(0.0, due_at - now), self._flush)

    def _flush(self) -> None:
        self.flush_at = None
        self.node.flush(self.clock.monotonic())
        self._schedule_flush()


__all__ = ["QuotaTask"]
