"""Search for the minimum version after a daemon has started."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Err
from twisted.internet.defer import Deferred

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
OWN_ZONE_QUERIES = 4
OTHER_ZONES_QUERIES = 2
# Counted from the first reply; applies while the store does not reply.
REPLY_WAIT_SECONDS = 3.0


class Bootstrap:
    """Queries the store and some members until this daemon runs a version.

    ``members`` returns the other members of this daemon's availability zone and
    the members of other zones. Both are queried, since all daemons of a zone may
    have been replaced. ``send_query`` sends a member a version query; the reply is
    passed to ``receive_reply``. ``own_minimum_version`` returns the version that
    peers have reported for this daemon's address without a query.
    ``on_minimum_version`` receives the minimum version, and may be called again with
    a higher one. Only members are queried if ``store`` is None.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        rng: random.Random,
        store: StoreClient | None,
        members: Callable[[], tuple[Sequence[Address], Sequence[Address]]],
        send_query: Callable[[Address], None],
        own_minimum_version: Callable[[], int],
        on_minimum_version: Callable[[int], None],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.store = store
        self.members = members
        self.send_query = send_query
        self.own_minimum_version = own_minimum_version
        self.on_minimum_version = on_minimum_version
        self.stored_version: int | None = None
        self.replies: dict[Address, VersionReply] = {}
        self.first_reply_at: float | None = None
        self.stopped = False
        self.is_reading_head = False

    def start(self) -> None:
        """Schedule the first round, with jitter as many daemons may start at once."""
        self.reactor.callLater(self.rng.uniform(0, ROUND_SECONDS), self._run_round)

    def stop(self) -> None:
        """Stop the queries, since a version runs now."""
        self.stopped = True

    def receive_reply(self, member: Address, reply: VersionReply) -> None:
        """Record the reply of a member to a version query."""
        if self.stopped:
            return
        self.replies[member] = reply
        if reply.running_version and self.first_reply_at is None:
            self.first_reply_at = self.clock.monotonic()
        self._update_minimum_version()

    def _run_round(self) -> None:
        if self.stopped:
            return
        self.reactor.callLater(
            ROUND_SECONDS * self.rng.uniform(0.5, 1.5), self._run_round
        )
        own_zone, other_zones = self.members()
        for member in (
            *self._sample(own_zone, OWN_ZONE_QUERIES),
            *self._sample(other_zones, OTHER_ZONES_QUERIES),
        ):
            self.send_query(member)
        if (
            self.store is not None
            and self.stored_version is None
            and not self.is_reading_head
        ):
            self.is_reading_head = True
            Deferred.fromCoroutine(self._read_head(self.store))
        self._update_minimum_version()

    def _sample(self, members: Sequence[Address], count: int) -> list[Address]:
        return self.rng.sample(sorted(members), min(count, len(members)))

    async def _read_head(self, store: StoreClient) -> None:
        from briarslip.process.distribution.version_store import read_head

        head = await read_head(store)
        self.is_reading_head = False
        if isinstance(head, Err) or self.stopped:
            return
        self.stored_version = head.ok_value.version
        self._update_minimum_version()

    def _update_minimum_version(self) -> None:
        first_reply_at = self.first_reply_at
        now = self.clock.monotonic()
        has_waited = (
            first_reply_at is not None and now - first_reply_at >= REPLY_WAIT_SECONDS
        )
        version = minimum_version(
            self.stored_version, self.replies.values(), has_waited
        )
        if version is not None:
            self.on_minimum_version(max(version, self.own_minimum_version()))


__all__ = ["Bootstrap"]
