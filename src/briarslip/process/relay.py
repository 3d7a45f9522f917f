"""The relay role: watching the platform for a whole availability zone."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from twisted.internet.defer import Deferred

from briarslip.process.publisher import HEAD_KEY
from briarslip.process.publisher import publish
from briarslip.process.publisher import read_head
from briarslip.version.record import RECORDS_PREFIX


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.address import Address
    from briarslip.process.platform import PlatformClient
    from briarslip.process.platform import Watch
    from briarslip.process.platform import WatchClosed
    from briarslip.process.platform import WatchEvent
    from briarslip.version.snapshot import Snapshot


RELAYS_PER_ZONE = 2
RETRY_SECONDS = 1.0


def relays(addresses: Iterable[Address], zone: str) -> tuple[Address, ...]:
    """Return the members that act as relays, by rendezvous hash."""

    def weight(address: Address) -> bytes:
        return hashlib.sha256(f"{zone} {address}".encode()).digest()

    return tuple(sorted(addresses, key=weight, reverse=True)[:RELAYS_PER_ZONE])


class Relay:
    """Watches records and head while active, and publishes what is new."""

    def __init__(
        self,
        reactor: Any,
        platform: PlatformClient,
        on_snapshot: Callable[[Snapshot], None],
    ) -> None:
        self.reactor = reactor
        self.platform = platform
        self.on_snapshot = on_snapshot
        self.active = False
        self.watches: list[Watch] = []
        self.busy = False
        self.again = False

    def set_active(self, active: bool) -> None:
        """Take the role up or lay it down."""
        if active == self.active:
            return
        self.active = active
        if active:
            self._start()
        else:
            self._stop_watches()

    def _start(self) -> None:
        if not self.active:
            return
        self._stop_watches()
        self._wake()
        for prefix in (RECORDS_PREFIX, HEAD_KEY):
            self.watches.append(
                self.platform.watch(prefix, 0, self._changed, self._closed)
            )

    def _stop_watches(self) -> None:
        watches, self.watches = self.watches, []
        for watch in watches:
            watch.stop()

    def _changed(self, events: tuple[WatchEvent, ...]) -> None:
        self._wake()

    def _closed(self, closed: WatchClosed) -> None:
        self.reactor.callLater(RETRY_SECONDS, self._start)

    def _wake(self) -> None:
        """Run one round, or another one after the one under way."""
        if self.busy:
            self.again = True
            return
        self.busy = True
        Deferred.fromCoroutine(self._round()).addBoth(self._round_ended)

    async def _round(self) -> None:
        await publish(self.platform)
        head = await read_head(self.platform)
        if not isinstance(head, Err):
            self.on_snapshot(head.ok_value[0])

    def _round_ended(self, result: object) -> None:
        self.busy = False
        if self.again:
            self.again = False
            self._wake()


__all__ = ["Relay", "relays"]
