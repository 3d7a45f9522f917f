"""A configuration that operators write as a whole to the store."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

from result import Err

from briarslip.finding import format_findings
from briarslip.process.distribution.lost_items import LostItems
from briarslip.process.distribution.withdrawals import NO_WITHDRAWABLE_ORDERS
from briarslip.process.distribution.withdrawals import WithdrawableOrders
from briarslip.process.error_log import record_error
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

    ParseItems = Callable[
        [Mapping[str, KeyValue]], Result[Snapshot | None, tuple[Finding, ...]]
    ]


# Between two reads while changes follow one another closely. A change must be in
# force within 2 s, and this is half of that.
READ_INTERVAL_SECONDS = 1.0
# Share by which an interval may be shorter, so that daemons do not read all at once.
READ_INTERVAL_JITTER = 0.25

# Longest wait before the store is called again after a failure. A change that is
# written as soon as the store is back must be in force in time.
RETRY_CAP_SECONDS = 1.5


class StoredConfiguration:
    """Watches the operators' keys under ``prefix`` and converts them to snapshots.

    The store is watched while the source is active. A watch
    delivers each version of a changed value in full, which is costly when a large
    configuration changes in quick succession, as calls share the links. A change
    that closely follows another one therefore stops the watch, and the newest
    state is read at intervals until it no longer changes. ``parse_items`` converts
    the items to a snapshot, or to None while there is no configuration. The removal of
    one of the ``orders`` is passed to it as an item. ``revision`` is the one up to
    which the items are known.
    """

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        store: StoreClient,
        prefix: str,
        parse_items: ParseItems,
        on_snapshot: Callable[[Snapshot], None],
        orders: WithdrawableOrders = NO_WITHDRAWABLE_ORDERS,
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.parse_items = parse_items
        self.on_snapshot = on_snapshot
        self.active = False
        self.rank = 0
        self.has_read = False
        self.items: dict[str, KeyValue] = {}
        self.lost_items = LostItems(orders)
        self.revision = 0
        self.reactor = reactor
        self.rng = rng
        self.last_change_at = -math.inf
        self.watch = StoreWatch(
            reactor,
            rng,
            store,
            prefix,
            self._changed,
            self._resync,
            RETRY_CAP_SECONDS,
        )
        self.read_job = RetryingJob(reactor, rng, self._read_all, RETRY_CAP_SECONDS)

    @property
    def is_in_touch(self) -> bool:
        """Whether the store answered the last call."""
        is_broken = self.read_job.failures or self.watch.is_broken
        return self.has_read and not is_broken

    def set_active(self, active: bool) -> None:
        """Start or stop watching the store; a start reads everything again."""
        if active == self.active:
            return
        self.active = active
        if active:
            self._resync()
        else:
            self.has_read = False
            self.items = {}
            self.watch.stop()
            self.read_job.cancel()

    def _schedule_read(self) -> None:
        """Stop the watch, and read the newest state after an interval with jitter."""
        self.watch.stop()
        seconds = READ_INTERVAL_SECONDS * self.rng.uniform(
            1.0 - READ_INTERVAL_JITTER, 1.0
        )
        self.read_job.run_after(seconds)

    def _resync(self) -> None:
        """Read all items again, and watch from the revision of that read on."""
        self.watch.stop()
        self.read_job.run()

    async def _read_all(self) -> bool:
        reply = await self.store.range(self.prefix)
        if not self.active:
            return True
        if isinstance(reply, Err):
            emit(Event.STORE_FAILED, reason=reply.err_value.reason)
            return False
        self.has_read = True
        self.watch.is_broken = False
        read_items = {item.key: item for item in reply.ok_value.items}
        self.revision = reply.ok_value.revision
        previous_items, self.items = (
            self.items,
            self.lost_items.add_to(read_items, reply.ok_value.revision),
        )
        if previous_items and previous_items != self.items:
            self._schedule_read()
        else:
            self.watch.start(reply.ok_value.revision + 1)
        if previous_items != self.items:
            self._publish()
        return True

    def _changed(self, events: tuple[WatchEvent, ...]) -> None:
        for event in events:
            self.revision = max(self.revision, event.mod_revision)
            if event.value is None:
                self._remove(event.key, event.mod_revision)
            else:
                item = KeyValue(event.key, event.value, event.mod_revision)
                self.items[event.key] = item
                self.lost_items.record_write(item)
        now = self.reactor.seconds()
        if now - self.last_change_at < READ_INTERVAL_SECONDS:
            self._schedule_read()
        self.last_change_at = now
        self._publish()

    def _remove(self, key: str, revision: int) -> None:
        """Remove an item; the removal of an order stays as an item."""
        self.items.pop(key, None)
        removed = self.lost_items.record_removal(key, revision)
        if removed is not None:
            self.items[key] = removed

    def refutes(self, snapshot: Snapshot) -> bool:
        """Return whether the store shows that a snapshot's order was withdrawn.

        The configuration without it is then published as a later version.
        Load pattern: a daemon that is cut off keeps an order that is withdrawn
        meanwhile, and all others are restarted, so they no longer know the removal.
        """
        if not self.has_read:
            return False
        withdrawn = self.lost_items.withdrawals.withdrawn_from(
            snapshot, self.items, self.revision
        )
        for key in withdrawn:
            self._remove(key, self.revision)
        return bool(withdrawn) and self._publish()

    def _publish(self) -> bool:
        """Publish the items read; those that can't be read leave the last ones.

        Return whether there was a snapshot to publish.
        """
        try:
            snapshot = self.parse_items(self.items)
        except Exception as error:
            record_error(error)
            return False
        if isinstance(snapshot, Err):
            emit(Event.VERSION_REJECTED, findings=format_findings(snapshot.err_value))
            return False
        if snapshot.ok_value is None:
            return False
        self.on_snapshot(snapshot.ok_value)
        return True


__all__ = ["READ_INTERVAL_SECONDS", "StoredConfiguration"]
