"""A configuration that operators keep whole in the store."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

from result import Err

from briarslip.finding import format_findings
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.retrying_job import RetryingJob
from briarslip.process.store.client import KeyValue
from briarslip.process.store.watch import StoreWatch


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Mapping

    from result import Result

    from briarslip.finding import Finding
    from briarslip.process.store.client import StoreClient
    from briarslip.process.store.client import WatchEvent
    from briarslip.version.snapshot import Snapshot

    ReadItems = Callable[
        [Mapping[str, KeyValue]], Result[Snapshot | None, tuple[Finding, ...]]
    ]


# Between two reads while changes follow one another; half of the 2 s within which
# a change must be in force.
REST_SECONDS = 1.0
# Of its rest a daemon may be early, so that not all ask at once.
REST_SPREAD = 0.25


class StoredConfiguration:
    """Watches the operators' keys and reads them into snapshots.

    Every daemon watches, whether it is chosen or not: a change is then in
    force one answer of the store later, whoever fails. Load pattern: changes in
    quick succession of a large configuration, of which a watch brings each one
    whole, over links that calls need as well. So a change that follows another
    one closely ends the watch, and the newest state alone is read once in a
    while until nothing changes any more. ``read`` turns the items under
    ``prefix`` into a snapshot, None while there is none.
    """

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        store: StoreClient,
        prefix: str,
        read: ReadItems,
        on_snapshot: Callable[[Snapshot], None],
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.read = read
        self.on_snapshot = on_snapshot
        self.active = False
        self.rank = 0
        self.started = False
        self.items: dict[str, KeyValue] = {}
        self.reactor = reactor
        self.rng = rng
        self.changed_at = -math.inf
        self.watch = StoreWatch(
            reactor, rng, store, prefix, self._changed, self._resync
        )
        self.reading = RetryingJob(reactor, rng, self._read_all)

    def set_active(self, active: bool) -> None:
        """Begin to watch at the first call."""
        self.active = active
        if not self.started:
            self.started = True
            self._resync()

    def _rest(self) -> None:
        """Read what is newest after a while, without a watch until then."""
        self.watch.stop()
        seconds = REST_SECONDS * self.rng.uniform(1.0 - REST_SPREAD, 1.0)
        self.reading.run_after(seconds)

    def _resync(self) -> None:
        """Read everything again, then watch from there on."""
        self.watch.stop()
        self.reading.run()

    async def _read_all(self) -> bool:
        found = await self.store.range(self.prefix)
        if isinstance(found, Err):
            emit(Event.STORE_FAILED, reason=found.err_value.reason)
            return False
        before, self.items = self.items, {i.key: i for i in found.ok_value.items}
        if before and before != self.items:
            self._rest()
        else:
            self.watch.start(found.ok_value.revision + 1)
        if before != self.items:
            self._publish()
        return True

    def _changed(self, events: tuple[WatchEvent, ...]) -> None:
        for event in events:
            if event.value is None:
                self.items.pop(event.key, None)
            else:
                self.items[event.key] = KeyValue(
                    event.key, event.value, event.mod_revision
                )
        now = self.reactor.seconds()
        if now - self.changed_at < REST_SECONDS:
            self._rest()
        self.changed_at = now
        self._publish()

    def _publish(self) -> None:
        snapshot = self.read(self.items)
        if isinstance(snapshot, Err):
            emit(Event.VERSION_REJECTED, findings=format_findings(snapshot.err_value))
        elif snapshot.ok_value is not None:
            self.on_snapshot(snapshot.ok_value)


__all__ = ["REST_SECONDS", "StoredConfiguration"]
