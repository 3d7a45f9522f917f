"""Which operators' changes become part of the configuration."""

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
    """A change that was not accepted, and why."""

    change: str
    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class Acceptance:
    """The next snapshot with what became of the changes since the last one.

    ``incomplete`` names changes whose records are not all there. ``shadowed``
    names accepted records that stand beside a newer schema of theirs, which
    is the one in force.
    """

    snapshot: Snapshot
    accepted: tuple[str, ...]
    rejected: tuple[Rejection, ...]
    incomplete: tuple[str, ...]
    shadowed: tuple[RecordKey, ...] = ()


@dataclass(slots=True)
class _Candidate:
    """A change: its writes, of which some may be overwritten by now."""

    id: str
    size: int
    writes: dict[RecordKey, Write] = field(default_factory=dict)

    @property
    def complete(self) -> bool:
        return len(self.writes) >= self.size

    @property
    def order(self) -> tuple[int, str]:
        """When the change became complete."""
        return max(write.revision for write in self.writes.values()), self.id


def accept_changes(
    base: Snapshot, stored: Mapping[RecordKey, StoredRecord]
) -> Acceptance:
    """Add to ``base`` each complete change that keeps it valid and closed.

    Changes are tried in the order in which they became complete, until none
    is accepted any more; then those left over are tried together, so that
    changes which need one another are accepted. A write that is older than
    the accepted one of its record has been superseded and has no effect.
    ``stored`` must have been read after ``base`` was in force.
    """
    pending = _pending(base, stored)
    incomplete = tuple(sorted(c.id for c in pending if not c.complete))
    waiting = sorted((c for c in pending if c.complete), key=lambda c: c.order)
    snapshot, accepted, refusals = _accept_one_by_one(base, waiting)
    left = [change for change in waiting if change.id in refusals]
    together = _closed_together(snapshot, left)
    if together:
        snapshot = _merge(snapshot, together)
        accepted.extend(change.id for change in together)
        left = [change for change in left if change not in together]
        snapshot, more, refusals = _accept_one_by_one(snapshot, left)
        accepted.extend(more)
    if accepted:
        origins = {
            key: origin
            for key, origin in snapshot.origins.items()
            if key in snapshot.records or key in stored
        }
        snapshot = Snapshot(base.version + 1, snapshot.records, origins)
    refused = tuple(Rejection(change, refusals[change]) for change in sorted(refusals))
    written = {key for c in waiting if c.id in accepted for key in c.writes}
    shadowed = tuple(sorted(filter(_is_shadowed_in(snapshot), written)))
    return Acceptance(snapshot, tuple(accepted), refused, incomplete, shadowed)


def _pending(
    base: Snapshot, stored: Mapping[RecordKey, StoredRecord]
) -> Iterable[_Candidate]:
    """Return the changes with a write newer than what is accepted."""
    changes: dict[str, _Candidate] = {}
    pending: set[str] = set()
    for key, record in stored.items():
        accepted = _accepted_revision(base, key)
        for write in record.writes:
            change = write.change
            found = changes.setdefault(change.id, _Candidate(change.id, change.size))
            found.writes.setdefault(key, write)
            if write.revision > accepted:
                pending.add(change.id)
    return [change for id_, change in changes.items() if id_ in pending]


def _accepted_revision(snapshot: Snapshot, key: RecordKey) -> int:
    origin = snapshot.origins.get(key)
    return origin.revision if origin else 0


def _accept_one_by_one(
    snapshot: Snapshot, changes: Sequence[_Candidate]
) -> tuple[Snapshot, list[str], dict[str, tuple[Finding, ...]]]:
    accepted: list[str] = []
    refusals: dict[str, tuple[Finding, ...]] = {}
    waiting = list(changes)
    services = service_names(snapshot.records)
    progress = True
    while progress:
        progress = False
        for change in tuple(waiting):
            findings = _findings_by_itself(snapshot, services, change)
            candidate = snapshot if findings else _merge(snapshot, (change,))
            findings = findings or check_records(candidate.records)
            if findings:
                refusals[change.id] = findings
                continue
            snapshot = candidate
            services = service_names(snapshot.records)
            accepted.append(change.id)
            refusals.pop(change.id, None)
            waiting.remove(change)
            progress = True
    return snapshot, accepted, refusals


def _findings_by_itself(
    snapshot: Snapshot, services: frozenset[str], change: _Candidate
) -> tuple[Finding, ...]:
    """Return what is wrong with a change without looking at all records.

    Refused changes are looked at in every round, so this has to be cheap.
    """
    findings = list(_own_findings(change))
    known = services | service_names(
        k for k, w in change.writes.items() if w.fields is not None
    )
    for key, write in change.writes.items():
        if write.fields is None or write.revision <= _accepted_revision(snapshot, key):
            continue
        findings.extend(check_service_reference(key, Record(key, write.fields), known))
    return tuple(dict.fromkeys(findings))


def _closed_together(
    snapshot: Snapshot, changes: Sequence[_Candidate]
) -> tuple[_Candidate, ...]:
    """Return changes that are valid only when they are taken together.

    Changes that a finding names are left out until no finding is left.
    """
    chosen = [change for change in changes if not _own_findings(change)]
    while len(chosen) > 1:
        candidate = _merge(snapshot, chosen)
        findings = check_records(candidate.records)
        if not findings:
            return tuple(chosen)
        faulty = {finding.source for finding in findings}
        kept = [c for c in chosen if not faulty & _sources(c)]
        if len(kept) == len(chosen):
            # A finding on an older record: what was removed last is at fault.
            kept = chosen[:-1]
        chosen = kept
    return ()


def _sources(change: _Candidate) -> set[str]:
    return {f"{key.kind} {key.name}" for key in change.writes}


def _merge(snapshot: Snapshot, changes: Iterable[_Candidate]) -> Snapshot:
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


def _own_findings(change: _Candidate) -> tuple[Finding, ...]:
    """Return what is wrong with the records of a change by themselves."""
    findings: list[Finding] = []
    for key, write in sorted(change.writes.items(), key=lambda item: item[0]):
        if write.fields is None:
            continue
        parsed = parse_record(Record(key, write.fields))
        if isinstance(parsed, Err):
            findings.extend(parsed.err_value)
    return tuple(findings)


def _is_shadowed_in(snapshot: Snapshot) -> Callable[[RecordKey], bool]:
    newest: dict[tuple[str, str], int] = {}
    for key in snapshot.records:
        if (key.kind, key.schema) in RECORD_SCHEMAS:
            identity = (key.kind, key.name)
            newest[identity] = max(key.schema, newest.get(identity, 0))
    return lambda key: newest.get((key.kind, key.name), 0) > key.schema


__all__ = ["Acceptance", "Rejection", "accept_changes"]
