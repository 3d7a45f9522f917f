"""Which operators' changes become part of the configuration."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err

from briarslip.version.record import Record
from briarslip.version.record import parse_record
from briarslip.version.routing_table import compile_snapshot
from briarslip.version.snapshot import Snapshot


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from briarslip.finding import Finding
    from briarslip.version.record import RecordKey
    from briarslip.version.stored_record import StoredRecord


@dataclass(frozen=True, slots=True)
class Refusal:
    """A change that was not accepted, and why."""

    change: str
    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class Acceptance:
    """The next snapshot with what became of the changes since the last one.

    ``incomplete`` names changes whose records are not all there.
    """

    snapshot: Snapshot
    accepted: tuple[str, ...]
    refused: tuple[Refusal, ...]
    incomplete: tuple[str, ...]


def accept(base: Snapshot, stored: Mapping[RecordKey, StoredRecord]) -> Acceptance:
    """Add to ``base`` each complete change that keeps it valid and closed.

    Changes are tried until none is accepted any more, so that the order in
    which operators wrote them does not matter.
    """
    pending = _new_changes(base, stored)
    complete = _complete_changes(stored)
    incomplete = tuple(sorted(change for change in pending if change not in complete))
    waiting = {change: keys for change, keys in pending.items() if change in complete}
    snapshot = base
    accepted: list[str] = []
    refusals: dict[str, tuple[Finding, ...]] = {}
    progress = True
    while progress:
        progress = False
        for change in sorted(waiting):
            candidate = _apply(snapshot, stored, change, waiting[change])
            findings = _check(candidate, waiting[change])
            if findings:
                refusals[change] = findings
                continue
            snapshot = candidate
            accepted.append(change)
            refusals.pop(change, None)
            del waiting[change]
            progress = True
    if accepted:
        snapshot = Snapshot(base.version + 1, snapshot.records, snapshot.changes)
    refused = tuple(Refusal(change, refusals[change]) for change in sorted(refusals))
    return Acceptance(snapshot, tuple(accepted), refused, incomplete)


def _new_changes(
    base: Snapshot, stored: Mapping[RecordKey, StoredRecord]
) -> dict[str, list[RecordKey]]:
    changes: dict[str, list[RecordKey]] = {}
    for key in sorted(stored):
        record = stored[key]
        if base.changes.get(key) == record.change.id:
            continue
        if record.fields is None and key not in base.records:
            continue
        changes.setdefault(record.change.id, []).append(key)
    return changes


def _complete_changes(stored: Mapping[RecordKey, StoredRecord]) -> frozenset[str]:
    seen: Counter[str] = Counter()
    for record in stored.values():
        seen.update({record.change.id, *record.lineage})
    sizes = {record.change.id: record.change.size for record in stored.values()}
    return frozenset(change for change, size in sizes.items() if seen[change] >= size)


def _apply(
    snapshot: Snapshot,
    stored: Mapping[RecordKey, StoredRecord],
    change: str,
    keys: Iterable[RecordKey],
) -> Snapshot:
    records = dict(snapshot.records)
    changes = dict(snapshot.changes)
    for key in keys:
        fields = stored[key].fields
        if fields is None:
            records.pop(key, None)
            changes.pop(key, None)
        else:
            records[key] = Record(key, fields)
            changes[key] = change
    return Snapshot(snapshot.version, records, changes)


def _check(snapshot: Snapshot, keys: Iterable[RecordKey]) -> tuple[Finding, ...]:
    findings: list[Finding] = []
    for key in keys:
        if key in snapshot.records:
            result = parse_record(snapshot.records[key])
            if isinstance(result, Err):
                findings.extend(result.err_value)
    table = compile_snapshot(snapshot)
    if isinstance(table, Err):
        findings.extend(table.err_value)
    return tuple(dict.fromkeys(findings))


__all__ = ["Acceptance", "Refusal", "accept"]
