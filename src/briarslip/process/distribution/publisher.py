"""Publishing: from operators' records to the next version."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from briarslip.process.distribution.version_store import WHOLE_INTERVAL_VERSIONS
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


KEPT_REMOVAL_REVISIONS = 2_000


@dataclass(frozen=True, slots=True)
class LostHead:
    """Another publisher moved the head first; the round has to be repeated."""


@dataclass(frozen=True, slots=True)
class HeadBehind:
    """The platform's head is older than what runs: the platform lost data.

    Nothing is published from it, since that would take the fleet back.
    """

    head_version: int
    running_version: int


PublishError = StoreError | LostHead | HeadBehind


async def publish(
    store: StoreClient,
    statuses: ChangeStatuses,
    running: Snapshot,
    now: float,
) -> Result[Snapshot, PublishError]:
    """Publish the next version if a change can be accepted.

    Safe to run anywhere and any number of times: only the swap of the head
    puts a version in force. Records are read after the head, so that they are
    never older than it. Return the snapshot in force.
    """
    found = await _head_not_behind(store, running)
    if isinstance(found, Err):
        return found
    head = found.ok_value
    base = await read_version(store, head, running)
    if isinstance(base, Err):
        return base
    stored = await store.range(RECORDS_PREFIX)
    if isinstance(stored, Err):
        return stored
    acceptance = accept_changes(base.ok_value, _stored_records(stored.ok_value.items))
    if acceptance.accepted:
        moved = await _put_in_force(store, head, base.ok_value, acceptance)
        if isinstance(moved, Err):
            return moved
        if acceptance.snapshot.version % WHOLE_INTERVAL_VERSIONS == 0:
            await delete_old_versions(store, acceptance.snapshot.version)
            await _delete_removed(store, base.ok_value, stored.ok_value)
    elif head.version:
        await _repeat_statuses(store, statuses, head, now)
    await statuses.report(acceptance, now)
    return Ok(acceptance.snapshot)


async def _head_not_behind(
    store: StoreClient, running: Snapshot
) -> Result[Head, PublishError]:
    found = await read_head(store)
    if isinstance(found, Err):
        return found
    head = found.ok_value
    if head.version < running.version:
        return Err(HeadBehind(head.version, running.version))
    return Ok(head)


async def _put_in_force(
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
    return Ok(None) if moved.ok_value else Err(LostHead())


async def _delete_removed(
    store: StoreClient, base: Snapshot, stored: RangeReply
) -> None:
    """Delete keys of records whose removal has long been in force.

    The next version then drops them as well. A change that is still being
    written may count on such a key, so that recent ones are kept.
    """
    oldest = stored.revision - KEPT_REMOVAL_REVISIONS
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


async def _repeat_statuses(
    store: StoreClient, statuses: ChangeStatuses, head: Head, now: float
) -> None:
    """Report the head's changes: its publisher may have died before that."""
    entry = await read_entry(store, head.version, head.digest)
    if not isinstance(entry, Err):
        await statuses.report_accepted(entry.ok_value.changes, head.version, now)


def _stored_records(items: Iterable[KeyValue]) -> dict[RecordKey, StoredRecord]:
    records: dict[RecordKey, StoredRecord] = {}
    for item in items:
        key = parse_key(item.key)
        record = decode_stored_record(item.value, item.mod_revision)
        if key is None or isinstance(record, Err):
            reason = record.err_value if isinstance(record, Err) else "bad key"
            emit(Event.RECORD_UNREADABLE, key=item.key, reason=reason)
            continue
        records[key] = record.ok_value
    return records


__all__ = ["HeadBehind", "LostHead", "PublishError", "publish"]
