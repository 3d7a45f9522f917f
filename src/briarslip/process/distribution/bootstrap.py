"""Finding out the minimum version after a start."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Err
from twisted.internet.defer import Deferred

from briarslip.process.distribution.version_store import read_head
from briarslip.version.minimum_version import minimum_version


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Sequence

    from briarslip.address import Address
    from briarslip.process.clock import Clock
    from briarslip.process.store.client import StoreClient
    from briarslip.version.configuration_codec import VersionReply


ROUND_SECONDS = 1.0
NEAR_MEMBERS_ASKED = 4
FAR_MEMBERS_ASKED = 2
# From the first reply on, for others to come, while the platform is down.
REPLIES_WAIT_SECONDS = 3.0


class Bootstrap:
    """Asks the platform and some members until a version runs.

    ``members`` returns those of the own zone and those of others, which are
    asked too, since a whole zone may have been replaced.
    ``ask`` sends a member a query, whose reply goes to ``take_reply``.
    ``own_last_version`` returns what peers have told of this address unasked.
    ``on_known`` is told the minimum version, which may still grow. Without a
    ``platform`` only members are asked.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        rng: random.Random,
        store: StoreClient | None,
        members: Callable[[], tuple[Sequence[Address], Sequence[Address]]],
        ask: Callable[[Address], None],
        own_last_version: Callable[[], int],
        on_known: Callable[[int], None],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.store = store
        self.members = members
        self.ask = ask
        self.own_last_version = own_last_version
        self.on_known = on_known
        self.head: int | None = None
        self.replies: dict[Address, VersionReply] = {}
        self.first_reply_at: float | None = None
        self.done = False
        self.reading = False

    def start(self) -> None:
        """Begin after a random part of a round: many daemons may start at once."""
        self.reactor.callLater(self.rng.uniform(0, ROUND_SECONDS), self._round)

    def finish(self) -> None:
        """Stop asking: a version runs."""
        self.done = True

    def take_reply(self, member: Address, reply: VersionReply) -> None:
        """Take what a member answered."""
        if self.done:
            return
        self.replies[member] = reply
        if reply.running_version and self.first_reply_at is None:
            self.first_reply_at = self.clock.monotonic()
        self._decide()

    def _round(self) -> None:
        if self.done:
            return
        self.reactor.callLater(ROUND_SECONDS * self.rng.uniform(0.5, 1.5), self._round)
        near, far = self.members()
        for member in (
            *self._sample(near, NEAR_MEMBERS_ASKED),
            *self._sample(far, FAR_MEMBERS_ASKED),
        ):
            self.ask(member)
        if self.store is not None and self.head is None and not self.reading:
            self.reading = True
            Deferred.fromCoroutine(self._read_head(self.store))
        self._decide()

    def _sample(self, members: Sequence[Address], count: int) -> list[Address]:
        return self.rng.sample(sorted(members), min(count, len(members)))

    async def _read_head(self, store: StoreClient) -> None:
        head = await read_head(store)
        self.reading = False
        if isinstance(head, Err) or self.done:
            return
        self.head = head.ok_value.version
        self._decide()

    def _decide(self) -> None:
        first = self.first_reply_at
        now = self.clock.monotonic()
        waited = first is not None and now - first >= REPLIES_WAIT_SECONDS
        version = minimum_version(self.head, self.replies.values(), waited)
        if version is not None:
            self.on_known(max(version, self.own_last_version()))


__all__ = ["Bootstrap"]
