"""Publishing: from operators' records to the next version."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from briarslip.process.platform import PlatformError
from briarslip.version.acceptance import accept
from briarslip.version.record import RECORDS_PREFIX
from briarslip.version.record import parse_key
from briarslip.version.snapshot import EMPTY_SNAPSHOT
from briarslip.version.snapshot import decode_snapshot
from briarslip.version.stored_record import decode_stored_record


if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarslip.process.platform import KeyValue
    from briarslip.process.platform import PlatformClient
    from briarslip.version.acceptance import Acceptance
    from briarslip.version.record import RecordKey
    from briarslip.version.snapshot import Snapshot
    from briarslip.version.stored_record import StoredRecord


HEAD_KEY = "head"
VERSIONS_PREFIX = "versions/"
CHANGE_STATUS_PREFIX = "status/changes/"


async def read_head(
    platform: PlatformClient,
) -> Result[tuple[Snapshot, int], PlatformError]:
    """Return the published snapshot and the head's revision."""
    head = await platform.get(HEAD_KEY)
    if isinstance(head, Err):
        return head
    found = head.ok_value
    if found is None:
        return Ok((EMPTY_SNAPSHOT, 0))
    snapshot = await read_version(platform, int(found.value))
    return snapshot.map(lambda whole: (whole, found.mod_revision))


async def read_version(
    platform: PlatformClient, version: int
) -> Result[Snapshot, PlatformError]:
    """Read one published version."""
    found = await platform.get(f"{VERSIONS_PREFIX}{version}")
    if isinstance(found, Err):
        return found
    if found.ok_value is None:
        return Err(PlatformError(f"version {version} is missing"))
    return decode_snapshot(found.ok_value.value).map_err(PlatformError)


async def publish(platform: PlatformClient) -> Result[Snapshot, PlatformError]:
    """Publish the next version if a change can be accepted.

    Safe to run anywhere and any number of times: a version is written once
    and only the swap of the head puts it in force.
    """
    head = await read_head(platform)
    if isinstance(head, Err):
        return head
    base, head_revision = head.ok_value
    stored = await platform.range(RECORDS_PREFIX)
    if isinstance(stored, Err):
        return stored
    records = _stored_records(stored.ok_value.items)
    acceptance = accept(base, records)
    if acceptance.accepted:
        written = await _write_version(platform, acceptance.snapshot, head_revision)
        if isinstance(written, Err):
            return written
    await _write_statuses(platform, acceptance)
    return Ok(acceptance.snapshot)


async def _write_version(
    platform: PlatformClient, snapshot: Snapshot, head_revision: int
) -> Result[None, PlatformError]:
    key = f"{VERSIONS_PREFIX}{snapshot.version}"
    created = await platform.swap(key, snapshot.encode(), 0)
    if isinstance(created, Err):
        return created
    value = str(snapshot.version).encode()
    swapped = await platform.swap(HEAD_KEY, value, head_revision)
    return swapped.map(lambda _: None)


async def _write_statuses(platform: PlatformClient, acceptance: Acceptance) -> None:
    version = acceptance.snapshot.version
    for change in acceptance.accepted:
        await _write_status(platform, change, {"state": "accepted", "version": version})
    for refusal in acceptance.refused:
        findings = [str(finding) for finding in refusal.findings]
        await _write_status(
            platform, refusal.change, {"state": "refused", "findings": findings}
        )


async def _write_status(
    platform: PlatformClient, change: str, status: dict[str, object]
) -> None:
    key = f"{CHANGE_STATUS_PREFIX}{change}"
    value = json.dumps(status, sort_keys=True).encode()
    current = await platform.get(key)
    if isinstance(current, Err):
        return
    found = current.ok_value
    if found is None or found.value != value:
        await platform.swap(key, value, found.mod_revision if found else 0)


def _stored_records(items: Iterable[KeyValue]) -> dict[RecordKey, StoredRecord]:
    records: dict[RecordKey, StoredRecord] = {}
    for item in items:
        key = parse_key(item.key)
        record = decode_stored_record(item.value)
        if key is not None and not isinstance(record, Err):
            records[key] = record.ok_value
    return records


__all__ = [
    "CHANGE_STATUS_PREFIX",
    "HEAD_KEY",
    "VERSIONS_PREFIX",
    "publish",
    "read_head",
    "read_version",
]
