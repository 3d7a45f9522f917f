"""Writing an operator's change: each record by compare-and-swap."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from briarslip.version.stored_record import Change
from briarslip.version.stored_record import StoredRecord
from briarslip.version.stored_record import decode_stored_record


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from briarslip.process.platform import KeyValue
    from briarslip.process.platform import PlatformClient
    from briarslip.process.platform import PlatformError
    from briarslip.version.record import RecordKey


@dataclass(frozen=True, slots=True)
class WrittenChange:
    """A change that is on the platform; ``keys`` are those that it moved."""

    change: str
    keys: tuple[RecordKey, ...]


@dataclass(frozen=True, slots=True)
class LostRace:
    """Another operator wrote ``key`` first; nothing of this change is left."""

    key: RecordKey


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """The platform did not answer; ``in_doubt`` are keys that may be written."""

    reason: str
    in_doubt: tuple[RecordKey, ...]


ChangeError = LostRace | WriteFailed


@dataclass(frozen=True, slots=True)
class _Planned:
    key: RecordKey
    stored: StoredRecord
    before: KeyValue | None


async def write_change(
    platform: PlatformClient,
    records: Sequence[tuple[RecordKey, Mapping[str, str] | None]],
    new_id: Callable[[], str],
) -> Result[WrittenChange, ChangeError]:
    """Write records together; fields None removes a record.

    A record that already stands as asked is left alone.
    """
    change = Change(new_id(), 0)
    planned: list[_Planned] = []
    for key, fields in records:
        current = await platform.get(str(key))
        if isinstance(current, Err):
            return Err(WriteFailed(current.err_value.reason, ()))
        plan = _plan(key, fields, current.ok_value, change, new_id())
        if plan is not None:
            planned.append(plan)
    return await _write_all(platform, change, planned)


def _plan(
    key: RecordKey,
    fields: Mapping[str, str] | None,
    current: KeyValue | None,
    change: Change,
    nonce: str,
) -> _Planned | None:
    lineage: tuple[str, ...] = ()
    if current is None and fields is None:
        return None
    if current is not None:
        stored = decode_stored_record(current.value)
        if not isinstance(stored, Err):
            if stored.ok_value.fields == fields:
                return None
            lineage = (stored.ok_value.change.id, *stored.ok_value.lineage)
    return _Planned(key, StoredRecord(fields, change, nonce, lineage), current)


async def _write_all(
    platform: PlatformClient, change: Change, planned: Sequence[_Planned]
) -> Result[WrittenChange, ChangeError]:
    whole = Change(change.id, len(planned))
    written: list[tuple[_Planned, int]] = []
    for plan in planned:
        value = StoredRecord(
            plan.stored.fields, whole, plan.stored.nonce, plan.stored.lineage
        ).encode()
        revision = await _swap(platform, plan, value)
        if isinstance(revision, Err):
            reason = revision.err_value.reason
            keys = tuple(p.key for p, _ in written)
            return Err(WriteFailed(reason, (*keys, plan.key)))
        if not revision.ok_value:
            await _undo(platform, written)
            return Err(LostRace(plan.key))
        written.append((plan, revision.ok_value))
    return Ok(WrittenChange(change.id, tuple(plan.key for plan in planned)))


async def _swap(
    platform: PlatformClient, plan: _Planned, value: bytes
) -> Result[int, PlatformError]:
    """Return the revision written, 0 if another writer was first."""
    expected = plan.before.mod_revision if plan.before else 0
    reply = await platform.swap(str(plan.key), value, expected)
    if not isinstance(reply, Err):
        return Ok(reply.ok_value.revision if reply.ok_value.swapped else 0)
    if not reply.err_value.maybe_applied:
        return reply
    current = await platform.get(str(plan.key))
    if isinstance(current, Err):
        return reply
    found = current.ok_value
    if found is not None and found.value == value:
        return Ok(found.mod_revision)
    return reply if (found.mod_revision if found else 0) == expected else Ok(0)


async def _undo(
    platform: PlatformClient, written: Sequence[tuple[_Planned, int]]
) -> None:
    for plan, revision in reversed(written):
        before = plan.before.value if plan.before else None
        await platform.swap(str(plan.key), before, revision)


__all__ = ["ChangeError", "LostRace", "WriteFailed", "WrittenChange", "write_change"]
