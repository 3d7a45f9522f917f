"""Publication of operators' records as the next configuration version."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from briarslip.process.distribution.version_store import FULL_SNAPSHOT_INTERVAL_VERSIONS
from briarslip.process.distribution.version_store import delete_old_versions
from briarslip.process.distribution.version_store import move_head
from briarslip.process.distribution.version_store import read_entry
from briarslip.process.distribution.version_store import read_head
from briarslip.process.distribution.version_store import read_version
from briarslip.process.distribution.version_store import write_version
from briarslip.process.events import Event
from briarslip.process.events import emit
from briarslip.process.store.client import StoreError
from briarslip.version.acceptance import accept_changes
from briarslip.version.record import RECORDS_PREFIX
from briarslip.version.record import parse_key
from briarslip.version.stored_record import decode_stored_record


if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarslip.process.distribution.change_status import ChangeStatuses
    from briarslip.process.distribution.version_store import Head
    from briarslip.process.store.client import KeyValue
    from briarslip.process.store.client import RangeReply
    from briarslip.process.store.client import StoreClient
    from briarslip.version.acceptance import Acceptance
    from briarslip.version.record import RecordKey
    from briarslip.version.snapshot import Snapshot
    from briarslip.version.stored_record import StoredRecord


REMOVAL_RETENTION_REVISIONS = 2_000


@dataclass(frozen=True, slots=True)
class HeadMoved:
    """Another publisher moved the head first; publishing has to be retried."""


@dataclass(frozen=True, slots=True)
class HeadBehind:
    """The head in the store is older than the running version: the store lost data.

    Nothing is published on top of it, since daemons would return to older versions.
    """

    head_version: int
    running_version: int


PublishError = StoreError | HeadMoved | HeadBehind


async def publish(
    store: StoreClient,
    statuses: ChangeStatuses,
    running_snapshot: Snapshot,
    now: float,
) -> Result[Snapshot, PublishError]:
    """Publish the next version if a change can be accepted; return the active snapshot.

    Any daemon may call this at any time, also concurrently: only the
    compare-and-swap of the head makes a version active. Records are read after the
    head, so that they are never older than it.
    """
    valid_head = await _read_valid_head(store, running_snapshot)
    if isinstance(valid_head, Err):
        return valid_head
    head = valid_head.ok_value
    base = await read_version(store, head, running_snapshot)
    if isinstance(base, Err):
        return base
    stored = await store.range(RECORDS_PREFIX)
    if isinstance(stored, Err):
        return stored
    acceptance = accept_changes(base.ok_value, _stored_records(stored.ok_value.items))
    if acceptance.accepted:
        moved = await _write_and_activate(store, head, base.ok_value, acceptance)
        if isinstance(moved, Err):
            return moved
        if acceptance.snapshot.version % FULL_SNAPSHOT_INTERVAL_VERSIONS == 0:
            await delete_old_versions(store, acceptance.snapshot.version)
            await _delete_removed_records(store, base.ok_value, stored.ok_value)
    elif head.version:
        await _report_head_changes(store, statuses, head, now)
    await statuses.report(acceptance, now)
    return Ok(acceptance.snapshot)


async def _read_valid_head(
    store: StoreClient, running_snapshot: Snapshot
) -> Result[Head, PublishError]:
    stored_head = await read_head(store)
    if isinstance(stored_head, Err):
        return stored_head
    head = stored_head.ok_value
    if head.version < running_snapshot.version:
        return Err(HeadBehind(head.version, running_snapshot.version))
    return Ok(head)


async def _write_and_activate(
    store: StoreClient, head: Head, base: Snapshot, acceptance: Acceptance
) -> Result[None, PublishError]:
    snapshot = acceptance.snapshot
    changes = list(acceptance.accepted)
    written = await write_version(store, base, snapshot, changes)
    if isinstance(written, Err):
        return written
    moved = await move_head(store, head, snapshot)
    if isinstance(moved, Err):
        return moved
    return Ok(None) if moved.ok_value else Err(HeadMoved())


async def _delete_removed_records(
    store: StoreClient, base: Snapshot, stored: RangeReply
) -> None:
    """Delete the keys of records whose removal is old enough.

    The next version then has no origins of them either. A change that is still being
    written may refer to such a key, so recent removals are retained.
    """
    oldest = stored.revision - REMOVAL_RETENTION_REVISIONS
    for item in stored.items:
        key = parse_key(item.key)
        if key is None or key in base.records or item.mod_revision >= oldest:
            continue
        origin = base.origins.get(key)
        record = decode_stored_record(item.value, item.mod_revision)
        if origin is None or isinstance(record, Err):
            continue
        write = record.ok_value.newest_write
        if write.fields is None and write.revision == origin.revision:
            await store.swap(item.key, None, item.mod_revision)


async def _report_head_changes(
    store: StoreClient, statuses: ChangeStatuses, head: Head, now: float
) -> None:
    """Report the changes of the head, whose publisher may have stopped before that."""
    entry = await read_entry(store, head.version, head.digest)
    if not isinstance(entry, Err):
        await statuses.report_accepted(entry.ok_value.changes, head.version, now)


def _stored_records(items: Iterable[KeyValue]) -> dict[RecordKey, StoredRecord]:
    records: dict[RecordKey, StoredRecord] = {}
    for item in items:
        key = parse_key(item.key)
        record = decode_stored_record(item.value, item.mod_revision)
        if key is None or isinstance(record, Err):
            reason = record.err_value if isinstance(record, Err) else "malformed key"
            emit(Event.RECORD_UNREADABLE, key=item.key, reason=reason)
            continue
        records[key] = record.ok_value
    return records


__all__ = ["HeadBehind", "HeadMoved", "PublishError", "publish"]
