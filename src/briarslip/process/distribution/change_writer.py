"""Writing an operator's change: each record by compare-and-swap."""

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
from briarslip.version.stored_record import MAX_HISTORY
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


# Rewritten after each change, so that a silent watch can be found out cheaply.
MARKER_KEY = "records-marker"


@dataclass(frozen=True, slots=True)
class RecordWrite:
    """A record to be written; fields None removes it.

    ``read_at`` is the platform's revision at which its writer read it: it is
    written only if nobody has written it since.
    """

    key: RecordKey
    fields: Mapping[str, str] | None
    read_at: int | None = None


@dataclass(frozen=True, slots=True)
class WrittenChange:
    """A change that is on the platform; ``keys`` are those that it moved."""

    change: str
    keys: tuple[RecordKey, ...]


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """Another operator wrote ``key`` first; nothing of this change is in force.

    ``not_restored`` are records whose old value could not be put back. They belong to
    a change that is never complete, so they have no effect, and the next write
    replaces them.
    """

    key: RecordKey
    not_restored: tuple[RecordKey, ...] = ()


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """The platform did not answer; ``maybe_written`` are keys that may be written.

    A change that did become complete is reported in its status.
    """

    reason: str
    maybe_written: tuple[RecordKey, ...]
    change: str = ""


ChangeError = WriteConflict | WriteFailed


@dataclass(frozen=True, slots=True)
class _Planned:
    key: RecordKey
    stored: StoredRecord
    before: KeyValue | None

    @property
    def revision(self) -> int:
        return self.before.mod_revision if self.before else 0

    @property
    def undo_value(self) -> bytes | None:
        """The value that puts the earlier write back, with its revision."""
        if self.before is None:
            return None
        stored = decode_stored_record(self.before.value, self.before.mod_revision)
        return stored.map(lambda s: s.encode(include_revision=True)).unwrap_or(
            self.before.value
        )


async def write_change(
    store: StoreClient,
    records: Sequence[RecordWrite],
    new_id: Callable[[], str],
) -> Result[WrittenChange, ChangeError]:
    """Write records together.

    A record that already stands as asked, from an accepted change, is left
    alone.
    """
    change_id = new_id()
    planned: list[_Planned] = []
    for record in records:
        current = await store.get(str(record.key))
        if isinstance(current, Err):
            return Err(WriteFailed(current.err_value.reason, ()))
        found = current.ok_value
        if _is_moved(record, found):
            return Err(WriteConflict(record.key))
        plan = _plan(record, found, new_id())
        if not await _stands(store, record, found):
            planned.append(plan)
    change = Change(change_id, len(planned))
    result = await _write_all(store, change, planned)
    if planned:
        await _move_marker(store, change_id)
    return result


def _is_moved(record: RecordWrite, found: KeyValue | None) -> bool:
    if record.read_at is None or found is None:
        return False
    return found.mod_revision > record.read_at


def _plan(record: RecordWrite, found: KeyValue | None, nonce: str) -> _Planned:
    history: tuple[Write, ...] = ()
    if found is not None:
        stored = decode_stored_record(found.value, found.mod_revision)
        if not isinstance(stored, Err):
            history = stored.ok_value.writes[:MAX_HISTORY]
    write = Write(record.fields, Change("", 0))
    return _Planned(record.key, StoredRecord(write, nonce, history), found)


async def _stands(
    store: StoreClient, record: RecordWrite, found: KeyValue | None
) -> bool:
    """Tell whether a record is in force already as it is asked for."""
    if found is None:
        return record.fields is None
    stored = decode_stored_record(found.value, found.mod_revision)
    if isinstance(stored, Err) or stored.ok_value.newest_write.fields != record.fields:
        return False
    key = f"{CHANGE_STATUS_PREFIX}{stored.ok_value.newest_write.change.id}"
    status = await store.get(key)
    if isinstance(status, Err) or status.ok_value is None:
        return False
    return is_accepted(status.ok_value.value)


async def _write_all(
    store: StoreClient, change: Change, planned: Sequence[_Planned]
) -> Result[WrittenChange, ChangeError]:
    written: list[tuple[_Planned, int]] = []
    for plan in planned:
        write = replace(plan.stored.newest_write, change=change)
        value = replace(plan.stored, newest_write=write).encode()
        revision = await _write_one(store, plan, value, change)
        if isinstance(revision, Err):
            reason = revision.err_value.reason
            keys = tuple(p.key for p, _ in written)
            return Err(WriteFailed(reason, (*keys, plan.key), change.id))
        if not revision.ok_value:
            return Err(WriteConflict(plan.key, await _undo(store, written)))
        written.append((plan, revision.ok_value))
    return Ok(WrittenChange(change.id, tuple(plan.key for plan in planned)))


async def _write_one(
    store: StoreClient, plan: _Planned, value: bytes, change: Change
) -> Result[int, StoreError]:
    """Return the revision written, 0 if another writer was first."""
    reply = await swap_with_retries(store, str(plan.key), value, plan.revision)
    if isinstance(reply, Err):
        return reply
    if reply.ok_value.swapped:
        return Ok(reply.ok_value.revision)
    # Ours may have been written, and been overwritten before it was seen.
    current = reply.ok_value.current
    if current is not None:
        stored = decode_stored_record(current.value, current.mod_revision)
        if not isinstance(stored, Err):
            for write in stored.ok_value.writes:
                if write.change.id == change.id:
                    return Ok(write.revision)
    return Ok(0)


async def _undo(
    store: StoreClient, written: Sequence[tuple[_Planned, int]]
) -> tuple[RecordKey, ...]:
    """Put the earlier values back; return the keys where that was not possible.

    A key that another operator has written since is theirs.
    """
    not_restored: list[RecordKey] = []
    for plan, revision in reversed(written):
        value = plan.undo_value
        reply = await swap_with_retries(store, str(plan.key), value, revision)
        if isinstance(reply, Err):
            not_restored.append(plan.key)
    return tuple(not_restored)


async def _move_marker(store: StoreClient, change_id: str) -> None:
    """Rewrite the marker; when that fails another writer has just done so."""
    current = await store.get(MARKER_KEY)
    if not isinstance(current, Err):
        found = current.ok_value
        revision = found.mod_revision if found else 0
        await store.swap(MARKER_KEY, change_id.encode(), revision)


__all__ = [
    "MARKER_KEY",
    "ChangeError",
    "RecordWrite",
    "WriteConflict",
    "WriteFailed",
    "WrittenChange",
    "write_change",
]
