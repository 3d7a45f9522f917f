"""Writing of an operator's change to the store, each record by compare-and-swap."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from briarslip.process.distribution.change_status import CHANGE_STATUS_PREFIX
from briarslip.process.distribution.change_status import is_accepted
from briarslip.process.distribution.swap_retry import swap_with_retries
from briarslip.version.stored_record import MAX_HISTORY_WRITES
from briarslip.version.stored_record import Change
from briarslip.version.stored_record import StoredRecord
from briarslip.version.stored_record import Write
from briarslip.version.stored_record import decode_stored_record


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from briarslip.process.store.client import KeyValue
    from briarslip.process.store.client import StoreClient
    from briarslip.process.store.client import StoreError
    from briarslip.version.record import RecordKey


# Rewritten after each change, so that one read shows whether a watch missed a change.
RECORDS_MARKER_KEY = "records-marker"


@dataclass(frozen=True, slots=True)
class RecordWrite:
    """A record to write, or to remove if ``fields`` is None.

    ``read_at`` is the store revision at which the writer read the record. The
    record is written only if it has not been written since then; None skips this
    check.
    """

    key: RecordKey
    fields: Mapping[str, str] | None
    read_at: int | None = None


@dataclass(frozen=True, slots=True)
class WrittenChange:
    """A change written to the store; ``keys`` are the records it wrote."""

    change: str
    keys: tuple[RecordKey, ...]


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """Another operator wrote ``key`` first; no record of this change is in force.

    ``not_restored`` are records whose previous value could not be restored. They
    belong to a change that never becomes complete, so they have no effect, and the
    next write replaces them.
    """

    key: RecordKey
    not_restored: tuple[RecordKey, ...] = ()


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """The store did not reply; ``maybe_written`` are keys that may be written.

    ``reason`` is the store's error. If the change became complete all the same, its
    status is reported in the store.
    """

    reason: str
    maybe_written: tuple[RecordKey, ...]
    change: str = ""


ChangeError = WriteConflict | WriteFailed


@dataclass(frozen=True, slots=True)
class _PlannedWrite:
    key: RecordKey
    stored: StoredRecord
    previous: KeyValue | None

    @property
    def revision(self) -> int:
        return self.previous.mod_revision if self.previous else 0

    @property
    def restored_value(self) -> bytes | None:
        """The value that restores the previous write with its revision, if any."""
        if self.previous is None:
            return None
        stored = decode_stored_record(self.previous.value, self.previous.mod_revision)
        return stored.map(lambda s: s.encode(include_revision=True)).unwrap_or(
            self.previous.value
        )


async def write_change(
    store: StoreClient,
    records: Sequence[RecordWrite],
    new_id: Callable[[], str],
) -> Result[WrittenChange, ChangeError]:
    """Write records as one change.

    A record that an accepted change has already set to the requested fields is not
    written again. ``new_id`` returns unique ids for the change and its writes.
    """
    change_id = new_id()
    planned: list[_PlannedWrite] = []
    for record in records:
        reply = await store.get(str(record.key))
        if isinstance(reply, Err):
            return Err(WriteFailed(reply.err_value.reason, ()))
        current = reply.ok_value
        if _is_changed_since_read(record, current):
            return Err(WriteConflict(record.key))
        plan = _plan(record, current, new_id())
        if not await _is_in_force(store, record, current):
            planned.append(plan)
    change = Change(change_id, len(planned))
    result = await _write_all(store, change, planned)
    if planned:
        await _update_marker(store, change_id)
    return result


def _is_changed_since_read(record: RecordWrite, current: KeyValue | None) -> bool:
    if record.read_at is None or current is None:
        return False
    return current.mod_revision > record.read_at


def _plan(record: RecordWrite, current: KeyValue | None, nonce: str) -> _PlannedWrite:
    history: tuple[Write, ...] = ()
    if current is not None:
        stored = decode_stored_record(current.value, current.mod_revision)
        if not isinstance(stored, Err):
            history = stored.ok_value.writes[:MAX_HISTORY_WRITES]
    write = Write(record.fields, Change("", 0))
    return _PlannedWrite(record.key, StoredRecord(write, nonce, history), current)


async def _is_in_force(
    store: StoreClient, record: RecordWrite, current: KeyValue | None
) -> bool:
    """Return whether the requested fields of a record are already in force."""
    if current is None:
        return record.fields is None
    stored = decode_stored_record(current.value, current.mod_revision)
    if isinstance(stored, Err) or stored.ok_value.newest_write.fields != record.fields:
        return False
    key = f"{CHANGE_STATUS_PREFIX}{stored.ok_value.newest_write.change.id}"
    status = await store.get(key)
    if isinstance(status, Err) or status.ok_value is None:
        return False
    return is_accepted(status.ok_value.value)


async def _write_all(
    store: StoreClient, change: Change, planned: Sequence[_PlannedWrite]
) -> Result[WrittenChange, ChangeError]:
    written: list[tuple[_PlannedWrite, int]] = []
    for plan in planned:
        write = replace(plan.stored.newest_write, change=change)
        value = replace(plan.stored, newest_write=write).encode()
        revision = await _write_one(store, plan, value, change)
        if isinstance(revision, Err):
            reason = revision.err_value.reason
            keys = tuple(p.key for p, _ in written)
            return Err(WriteFailed(reason, (*keys, plan.key), change.id))
        if not revision.ok_value:
            return Err(WriteConflict(plan.key, await _restore(store, written)))
        written.append((plan, revision.ok_value))
    return Ok(WrittenChange(change.id, tuple(plan.key for plan in planned)))


async def _write_one(
    store: StoreClient, plan: _PlannedWrite, value: bytes, change: Change
) -> Result[int, StoreError]:
    """Return the revision of the write, or 0 if another writer was first."""
    reply = await swap_with_retries(store, str(plan.key), value, plan.revision)
    if isinstance(reply, Err):
        return reply
    if reply.ok_value.swapped:
        return Ok(reply.ok_value.revision)
    # This write may have succeeded and been overwritten before its retry.
    current = reply.ok_value.current
    if current is not None:
        stored = decode_stored_record(current.value, current.mod_revision)
        if not isinstance(stored, Err):
            for write in stored.ok_value.writes:
                if write.change.id == change.id:
                    return Ok(write.revision)
    return Ok(0)


async def _restore(
    store: StoreClient, written: Sequence[tuple[_PlannedWrite, int]]
) -> tuple[RecordKey, ...]:
    """Restore the previous values; return the keys whose restoring swap failed.

    A key that another operator has written since keeps the new value.
    """
    not_restored: list[RecordKey] = []
    for plan, revision in reversed(written):
        value = plan.restored_value
        reply = await swap_with_retries(store, str(plan.key), value, revision)
        if isinstance(reply, Err):
            not_restored.append(plan.key)
    return tuple(not_restored)


async def _update_marker(store: StoreClient, change_id: str) -> None:
    """Rewrite the marker; the swap fails if another writer has just rewritten it."""
    reply = await store.get(RECORDS_MARKER_KEY)
    if not isinstance(reply, Err):
        current = reply.ok_value
        revision = current.mod_revision if current else 0
        await store.swap(RECORDS_MARKER_KEY, change_id.encode(), revision)


__all__ = [
    "RECORDS_MARKER_KEY",
    "ChangeError",
    "RecordWrite",
    "WriteConflict",
    "WriteFailed",
    "WrittenChange",
    "write_change",
]
