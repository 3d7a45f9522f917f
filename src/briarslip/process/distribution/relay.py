"""The relay role: watching the store on behalf of an availability zone."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from twisted.internet.defer import Deferred

from briarslip.process.distribution.change_status import ChangeStatuses
from briarslip.process.distribution.change_writer import RECORDS_MARKER_KEY
from briarslip.process.distribution.publisher import HeadBehind
from briarslip.process.distribution.publisher import publish
from briarslip.process.distribution.version_store import HEAD_KEY
from briarslip.process.distribution.version_store import parse_head
from briarslip.process.distribution.version_store import read_version
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.retrying_job import RetryingJob
from briarslip.process.store.watch import StoreWatch
from briarslip.version.record import RECORDS_PREFIX
from briarslip.version.record import parse_key


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from result import Result

    from briarslip.process.clock import Clock
    from briarslip.process.distribution.publisher import PublishError
    from briarslip.process.distribution.version_store import Head
    from briarslip.process.store.client import KeyValue
    from briarslip.process.store.client import StoreClient
    from briarslip.process.store.client import StoreError
    from briarslip.process.store.client import WatchEvent
    from briarslip.version.record import RecordKey
    from briarslip.version.snapshot import Snapshot


# Detects changes that a silent watch has missed.
CHECK_INTERVAL_SECONDS = 8.0
# Delay per rank, in which relays of lower rank may publish a change first.
RANK_DELAY_SECONDS = 0.5
MAX_RANK_DELAY_SECONDS = 3.0


class Relay:
    """Watches records and the head while active, and publishes new versions.

    ``rank`` is the number of relays that publish before this one. ``running_snapshot``
    returns the running snapshot, ``on_snapshot`` receives each newer one, and
    ``on_check`` is called at each periodic check. ``pending_revisions`` maps records
    that may not be published yet to the revision of their newest write.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        rng: random.Random,
        store: StoreClient,
        running_snapshot: Callable[[], Snapshot],
        on_snapshot: Callable[[Snapshot], None],
        on_check: Callable[[], None],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.store = store
        self.running_snapshot = running_snapshot
        self.on_snapshot = on_snapshot
        self.on_check = on_check
        self.active = False
        self.rank = 0
        self.statuses = ChangeStatuses(store)
        self.records_watch = self._watch(RECORDS_PREFIX, self._records_changed)
        self.head_watch = self._watch(HEAD_KEY, self._head_changed)
        self.publish_job = RetryingJob(reactor, rng, self._publish)
        self.read_job = RetryingJob(reactor, rng, self._read)
        self.pending_revisions: dict[RecordKey, int] = {}
        self.last_marker = b""
        self.check_generation = 0

    def _watch(
        self, prefix: str, on_events: Callable[[tuple[WatchEvent, ...]], None]
    ) -> StoreWatch:
        return StoreWatch(
            self.reactor, self.rng, self.store, prefix, on_events, self._resync
        )

    @property
    def is_in_touch(self) -> bool:
        """Whether the store answered the last read."""
        return not self.read_job.failures

    def refutes(self, snapshot: Snapshot) -> bool:
        """Return False: every change in the store is a version of its own."""
        return False

    def set_active(self, active: bool) -> None:
        """Start or stop acting as a relay."""
        if active == self.active:
            return
        self.active = active
        if active:
            self._resync()
            self.check_generation += 1
            self._schedule_check(self.check_generation)
            return
        self.records_watch.stop()
        self.head_watch.stop()
        self.pending_revisions.clear()

    def _resync(self) -> None:
        """Read the head again, and watch from the revision of that read on."""
        self.records_watch.stop()
        self.head_watch.stop()
        self.read_job.run()

    async def _read(self) -> bool:
        """Read the head and start the watches; return whether that succeeded."""
        if not self.active:
            return True
        reply = await self.store.range(HEAD_KEY)
        if not self.active:
            return True
        if isinstance(reply, Err):
            return False
        items = [item for item in reply.ok_value.items if item.key == HEAD_KEY]
        if self.records_watch.watch is None:
            self.records_watch.start(reply.ok_value.revision + 1)
            self.head_watch.start(reply.ok_value.revision + 1)
            self._publish_by_rank()
        return await self._apply_head(items[0] if items else None)

    async def _apply_head(self, item: KeyValue | None) -> bool:
        head: Result[Head, StoreError] = parse_head(item)
        if isinstance(head, Err):
            emit(Event.HEAD_UNREADABLE, reason=head.err_value.reason)
            return False
        if head.ok_value.version <= self.running_snapshot().version:
            return True
        snapshot = await read_version(
            self.store, head.ok_value, self.running_snapshot()
        )
        if isinstance(snapshot, Err):
            reason = snapshot.err_value.reason
            emit(Event.HEAD_UNREADABLE, reason=reason, version=head.ok_value.version)
            return False
        self.on_snapshot(snapshot.ok_value)
        return True

    def _head_changed(self, events: tuple[WatchEvent, ...]) -> None:
        self.read_job.run()

    def _records_changed(self, events: tuple[WatchEvent, ...]) -> None:
        for event in events:
            key = parse_key(event.key)
            if key is not None and event.value is not None:
                self.pending_revisions[key] = event.mod_revision
        self._publish_by_rank()

    def _publish_by_rank(self) -> None:
        delay = min(self.rank * RANK_DELAY_SECONDS, MAX_RANK_DELAY_SECONDS)
        if delay:
            delay *= self.rng.uniform(0.8, 1.2)
        self.publish_job.run_after(delay)

    async def _publish(self) -> bool:
        """Publish unless another relay has done so; return False to retry."""
        if not self.active:
            return True
        pending_revisions, self.pending_revisions = self.pending_revisions, {}
        origins = self.running_snapshot().origins
        if pending_revisions and all(
            key in origins and origins[key].revision >= revision
            for key, revision in pending_revisions.items()
        ):
            return True
        published = await publish(
            self.store, self.statuses, self.running_snapshot(), self.clock.monotonic()
        )
        if not isinstance(published, Ok):
            self.pending_revisions = {**pending_revisions, **self.pending_revisions}
            return self._report_publish_error(published.err_value)
        self.on_snapshot(published.ok_value)
        return True

    def _report_publish_error(self, error: PublishError) -> bool:
        if isinstance(error, HeadBehind):
            emit(
                Event.HEAD_BEHIND,
                head=error.head_version,
                running=error.running_version,
            )
            return True
        emit(Event.CONFIGURATION_JOB_FAILED, reason=str(error))
        return False

    def _schedule_check(self, generation: int) -> None:
        delay = CHECK_INTERVAL_SECONDS * self.rng.uniform(0.75, 1.25)
        self.reactor.callLater(delay, self._check, generation)

    def _check(self, generation: int) -> None:
        if not self.active or generation != self.check_generation:
            return
        self._schedule_check(generation)
        self.read_job.run()
        Deferred.fromCoroutine(self._check_marker())
        self.on_check()

    async def _check_marker(self) -> None:
        reply = await self.store.get(RECORDS_MARKER_KEY)
        if isinstance(reply, Err) or reply.ok_value is None:
            return
        if (
            reply.ok_value.value != self.last_marker
            or self.statuses.has_unreported_incomplete
        ):
            self.last_marker = reply.ok_value.value
            self._publish_by_rank()


__all__ = ["Relay"]
