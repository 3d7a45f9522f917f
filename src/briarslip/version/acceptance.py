"""Acceptance of operators' changes into the next configuration version."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from result import Err

from briarslip.version.record import RECORD_SCHEMAS
from briarslip.version.record import Record
from briarslip.version.record import parse_record
from briarslip.version.routing_table import check_records
from briarslip.version.routing_table import check_service_reference
from briarslip.version.routing_table import service_names
from briarslip.version.snapshot import Origin
from briarslip.version.snapshot import Snapshot


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from briarslip.finding import Finding
    from briarslip.version.record import RecordKey
    from briarslip.version.stored_record import StoredRecord
    from briarslip.version.stored_record import Write


@dataclass(frozen=True, slots=True)
class Rejection:
    """A change that was not accepted, with the findings that prevent it."""

    change: str
    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class Acceptance:
    """The next snapshot, and the outcome of each change newer than the base snapshot.

    ``accepted`` and ``incomplete`` hold ids of changes; of an incomplete change
    not all records have been written yet. ``shadowed`` holds accepted records
    that have no effect because the record also exists in a newer known schema.
    """

    snapshot: Snapshot
    accepted: tuple[str, ...]
    rejected: tuple[Rejection, ...]
    incomplete: tuple[str, ...]
    shadowed: tuple[RecordKey, ...] = ()


@dataclass(slots=True)
class _StoredChange:
    """A change with its writes found in the store, including overwritten ones."""

    id: str
    size: int
    writes: dict[RecordKey, Write] = field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        return len(self.writes) >= self.size

    @property
    def completion_order(self) -> tuple[int, str]:
        """The sort key by time of completion: the newest revision, then the id."""
        return max(write.revision for write in self.writes.values()), self.id


def accept_changes(
    base: Snapshot, stored: Mapping[RecordKey, StoredRecord]
) -> Acceptance:
    """Apply to ``base`` each complete change that leaves the configuration valid.

    Changes are tried one by one in the order of their completion, repeatedly until
    no further change is accepted. The remaining ones are then tried together, so
    that changes that depend on each other are accepted. A write that is older than
    the accepted write of the same record is superseded and has no effect.
    ``stored`` must have been read after ``base`` became active.
    """
    pending = _find_pending_changes(base, stored)
    incomplete = tuple(sorted(c.id for c in pending if not c.is_complete))
    candidates = sorted(
        (c for c in pending if c.is_complete), key=lambda c: c.completion_order
    )
    snapshot, accepted, findings_by_change = _accept_one_by_one(base, candidates)
    remaining = [change for change in candidates if change.id in findings_by_change]
    joint_changes = _find_jointly_valid(snapshot, remaining)
    if joint_changes:
        snapshot = _merge_changes(snapshot, joint_changes)
        accepted.extend(change.id for change in joint_changes)
        remaining = [change for change in remaining if change not in joint_changes]
        snapshot, also_accepted, findings_by_change = _accept_one_by_one(
            snapshot, remaining
        )
        accepted.extend(also_accepted)
    if accepted:
        origins = {
            key: origin
            for key, origin in snapshot.origins.items()
            if key in snapshot.records or key in stored
        }
        snapshot = Snapshot(base.version + 1, snapshot.records, origins)
    rejected = tuple(
        Rejection(change, findings_by_change[change])
        for change in sorted(findings_by_change)
    )
    written_keys = {key for c in candidates if c.id in accepted for key in c.writes}
    shadowed = tuple(sorted(filter(_has_newer_schema_in(snapshot), written_keys)))
    return Acceptance(snapshot, tuple(accepted), rejected, incomplete, shadowed)


def _find_pending_changes(
    base: Snapshot, stored: Mapping[RecordKey, StoredRecord]
) -> Iterable[_StoredChange]:
    """Return the changes with a write that is newer than the accepted one."""
    changes: dict[str, _StoredChange] = {}
    pending: set[str] = set()
    for key, record in stored.items():
        accepted_revision = _accepted_revision(base, key)
        for write in record.writes:
            change = write.change
            stored_change = changes.setdefault(
                change.id, _StoredChange(change.id, change.size)
            )
            stored_change.writes.setdefault(key, write)
            if write.revision > accepted_revision:
                pending.add(change.id)
    return [change for id_, change in changes.items() if id_ in pending]


def _accepted_revision(snapshot: Snapshot, key: RecordKey) -> int:
    origin = snapshot.origins.get(key)
    return origin.revision if origin else 0


def _accept_one_by_one(
    snapshot: Snapshot, changes: Sequence[_StoredChange]
) -> tuple[Snapshot, list[str], dict[str, tuple[Finding, ...]]]:
    accepted: list[str] = []
    findings_by_change: dict[str, tuple[Finding, ...]] = {}
    candidates = list(changes)
    services = service_names(snapshot.records)
    made_progress = True
    while made_progress:
        made_progress = False
        for change in tuple(candidates):
            findings = _check_change(snapshot, services, change)
            candidate = snapshot if findings else _merge_changes(snapshot, (change,))
            findings = findings or check_records(candidate.records)
            if findings:
                findings_by_change[change.id] = findings
                continue
            snapshot = candidate
            services = service_names(snapshot.records)
            accepted.append(change.id)
            findings_by_change.pop(change.id, None)
            candidates.remove(change)
            made_progress = True
    return snapshot, accepted, findings_by_change


def _check_change(
    snapshot: Snapshot, services: frozenset[str], change: _StoredChange
) -> tuple[Finding, ...]:
    """Return the findings of a change that can be made without checking all records.

    Rejected changes are checked again in every round, so this has to be cheap.
    """
    findings = list(_check_fields(change))
    known_services = services | service_names(
        k for k, w in change.writes.items() if w.fields is not None
    )
    for key, write in change.writes.items():
        if write.fields is None or write.revision <= _accepted_revision(snapshot, key):
            continue
        findings.extend(
            check_service_reference(key, Record(key, write.fields), known_services)
        )
    return tuple(dict.fromkeys(findings))


def _find_jointly_valid(
    snapshot: Snapshot, changes: Sequence[_StoredChange]
) -> tuple[_StoredChange, ...]:
    """Return changes that are valid only when they are applied together.

    Changes with a record that has a finding are excluded, repeatedly until there
    are no findings.
    """
    remaining = [change for change in changes if not _check_fields(change)]
    while len(remaining) > 1:
        candidate = _merge_changes(snapshot, remaining)
        findings = check_records(candidate.records)
        if not findings:
            return tuple(remaining)
        invalid_sources = {finding.source for finding in findings}
        unaffected = [c for c in remaining if not invalid_sources & _finding_sources(c)]
        if len(unaffected) == len(remaining):
            # The finding is on an accepted record, which some change has made invalid
            # by a removal: exclude the last change.
            unaffected = remaining[:-1]
        remaining = unaffected
    return ()


def _finding_sources(change: _StoredChange) -> set[str]:
    """Return the sources that findings on the records of a change have."""
    return {f"{key.kind} {key.name}" for key in change.writes}


def _merge_changes(snapshot: Snapshot, changes: Iterable[_StoredChange]) -> Snapshot:
    records = dict(snapshot.records)
    origins = dict(snapshot.origins)
    for change in changes:
        for key, write in change.writes.items():
            if key in origins and write.revision <= origins[key].revision:
                continue
            origins[key] = Origin(change.id, write.revision)
            if write.fields is None:
                records.pop(key, None)
            else:
                records[key] = Record(key, write.fields)
    return Snapshot(snapshot.version, records, origins)


def _check_fields(change: _StoredChange) -> tuple[Finding, ...]:
    """Return the findings of each record of a change on its own."""
    findings: list[Finding] = []
    for key, write in sorted(change.writes.items(), key=lambda item: item[0]):
        if write.fields is None:
            continue
        parsed = parse_record(Record(key, write.fields))
        if isinstance(parsed, Err):
            findings.extend(parsed.err_value)
    return tuple(findings)


def _has_newer_schema_in(snapshot: Snapshot) -> Callable[[RecordKey], bool]:
    """Return a test of whether a record also exists in a newer known schema."""
    newest: dict[tuple[str, str], int] = {}
    for key in snapshot.records:
        if (key.kind, key.schema) in RECORD_SCHEMAS:
            identity = (key.kind, key.name)
            newest[identity] = max(key.schema, newest.get(identity, 0))
    return lambda key: newest.get((key.kind, key.name), 0) > key.schema


__all__ = ["Acceptance", "Rejection", "accept_changes"]
