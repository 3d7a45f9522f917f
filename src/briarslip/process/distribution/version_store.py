"""Published configuration versions in the store.

The key ``head`` holds the number and digest of the version in force. The key of a
version contains its number and digest, so that publishers with different results
write different keys, and versions that were never activated do no harm.
"""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from briarslip.malformed_json import MALFORMED_JSON_ERRORS
from briarslip.process.distribution.swap_retry import swap_with_retries
from briarslip.process.store.client import StoreError
from briarslip.version.configuration_codec import FullSnapshot
from briarslip.version.configuration_codec import compress
from briarslip.version.configuration_codec import decompress
from briarslip.version.delta import apply_delta
from briarslip.version.delta import decode_delta
from briarslip.version.delta import delta_between
from briarslip.version.distribution import decode_full_snapshot
from briarslip.version.snapshot import EMPTY_SNAPSHOT


if TYPE_CHECKING:
    from briarslip.process.store.client import KeyValue
    from briarslip.process.store.client import StoreClient
    from briarslip.version.snapshot import Snapshot


HEAD_KEY = "head"
VERSIONS_PREFIX = "versions/"
MAX_VALUE_BYTES = 700_000
FULL_SNAPSHOT_INTERVAL_VERSIONS = 16
RETAINED_VERSIONS = 2 * FULL_SNAPSHOT_INTERVAL_VERSIONS
MAX_DELTA_CHAIN = 4 * FULL_SNAPSHOT_INTERVAL_VERSIONS


@dataclass(frozen=True, slots=True)
class Head:
    """The version in force, its digest and the revision of the head key."""

    version: int
    digest: str
    revision: int


@dataclass(frozen=True, slots=True)
class VersionEntry:
    """A published version: the delta from its base, and its number of chunks.

    ``delta`` is compressed, and empty if it is too large for one value. ``chunks`` is
    the number of keys that hold the full snapshot, 0 if it is not stored.
    ``changes`` are the ids of the changes accepted in this version.
    """

    base_version: int
    base_digest: str
    delta: bytes
    chunks: int
    changes: tuple[str, ...]

    def encode(self) -> bytes:
        """Return the entry as canonical JSON."""
        body = {
            "base": [self.base_version, self.base_digest],
            "delta": base64.b64encode(self.delta).decode(),
            "chunks": self.chunks,
            "changes": list(self.changes),
        }
        return json.dumps(body, sort_keys=True).encode()


NO_HEAD = Head(0, EMPTY_SNAPSHOT.digest, 0)


def parse_head(item: KeyValue | None) -> Result[Head, StoreError]:
    """Decode the value of the head key; return ``NO_HEAD`` if there is no such key."""
    if item is None:
        return Ok(NO_HEAD)
    try:
        document = json.loads(item.value)
        version, digest = int(document["version"]), str(document["digest"])
    except MALFORMED_JSON_ERRORS as error:
        return Err(StoreError(f"head cannot be decoded: {error!r}"))
    return Ok(Head(version, digest, item.mod_revision))


async def read_head(store: StoreClient) -> Result[Head, StoreError]:
    """Read the head from the store."""
    return (await store.get(HEAD_KEY)).and_then(parse_head)


async def read_version(
    store: StoreClient, head: Head, local_snapshot: Snapshot
) -> Result[Snapshot, StoreError]:
    """Read the snapshot that ``head`` refers to, and check its digest.

    Deltas are read backwards until one of them applies to ``local_snapshot``, or
    until a version with a full snapshot is found.
    """
    deltas: list[bytes] = []
    version, digest = head.version, head.digest
    for _ in range(MAX_DELTA_CHAIN):
        if (version, digest) == (local_snapshot.version, local_snapshot.digest):
            return _apply_deltas(local_snapshot, deltas)
        if not version:
            return _apply_deltas(EMPTY_SNAPSHOT, deltas)
        entry_result = await read_entry(store, version, digest)
        if isinstance(entry_result, Err):
            return entry_result
        entry = entry_result.ok_value
        if entry.chunks:
            full_snapshot = await _read_chunks(store, version, digest, entry.chunks)
            return full_snapshot.and_then(lambda base: _apply_deltas(base, deltas))
        deltas.append(entry.delta)
        version, digest = entry.base_version, entry.base_digest
    return Err(
        StoreError(
            f"version {head.version}: no full snapshot in {MAX_DELTA_CHAIN} versions"
        )
    )


async def read_entry(
    store: StoreClient, version: int, digest: str
) -> Result[VersionEntry, StoreError]:
    """Read the entry of a version."""
    reply = await store.get(_entry_key(version, digest))
    if isinstance(reply, Err):
        return reply
    if reply.ok_value is None:
        return Err(StoreError(f"version {version} is missing"))
    try:
        document = json.loads(reply.ok_value.value)
        base_version, base_digest = document["base"]
        entry = VersionEntry(
            int(base_version),
            str(base_digest),
            base64.b64decode(document["delta"], validate=True),
            int(document["chunks"]),
            tuple(str(change) for change in document["changes"]),
        )
    except MALFORMED_JSON_ERRORS as error:
        return Err(StoreError(f"version {version} cannot be decoded: {error!r}"))
    return Ok(entry)


async def write_version(
    store: StoreClient, base: Snapshot, snapshot: Snapshot, changes: list[str]
) -> Result[None, StoreError]:
    """Write a version without activating it, which only ``move_head`` does."""
    delta = compress(delta_between(base, snapshot).encode())
    is_small = len(delta) <= MAX_VALUE_BYTES
    is_full_snapshot_due = snapshot.version % FULL_SNAPSHOT_INTERVAL_VERSIONS == 0
    chunks = (
        _chunks(snapshot)
        if is_full_snapshot_due or not is_small or not base.version
        else []
    )
    key = _entry_key(snapshot.version, snapshot.digest)
    for number, chunk in enumerate(chunks):
        written = await _write_content_addressed(store, f"{key}/{number}", chunk)
        if isinstance(written, Err):
            return written
    entry = VersionEntry(
        base.version,
        base.digest,
        delta if is_small else b"",
        len(chunks),
        tuple(sorted(changes)),
    )
    return await _write_content_addressed(store, key, entry.encode())


async def move_head(
    store: StoreClient, head: Head, snapshot: Snapshot
) -> Result[bool, StoreError]:
    """Put a version in force; return False if another publisher moved the head."""
    body = {"version": snapshot.version, "digest": snapshot.digest}
    value = json.dumps(body, sort_keys=True).encode()
    reply = await swap_with_retries(store, HEAD_KEY, value, head.revision)
    return reply.map(lambda r: r.swapped)


async def delete_old_versions(
    store: StoreClient, head_version: int
) -> Result[int, StoreError]:
    """Delete versions that are no longer needed; return the number of deleted keys."""
    versions = await store.range(VERSIONS_PREFIX)
    if isinstance(versions, Err):
        return versions
    oldest = head_version - RETAINED_VERSIONS
    deleted = 0
    for item in versions.ok_value.items:
        number = item.key.removeprefix(VERSIONS_PREFIX).partition("/")[0]
        if number.isdigit() and int(number) >= oldest:
            continue
        reply = await store.swap(item.key, None, item.mod_revision)
        if isinstance(reply, Err):
            return reply
        deleted += reply.ok_value.swapped
    return Ok(deleted)


async def _read_chunks(
    store: StoreClient, version: int, digest: str, count: int
) -> Result[Snapshot, StoreError]:
    parts: list[bytes] = []
    for number in range(count):
        reply = await store.get(f"{_entry_key(version, digest)}/{number}")
        if isinstance(reply, Err):
            return reply
        if reply.ok_value is None:
            return Err(
                StoreError(f"version {version}: chunk {number} of {count} is missing")
            )
        parts.append(reply.ok_value.value)
    return decode_full_snapshot(FullSnapshot(digest, b"".join(parts))).map_err(
        StoreError
    )


async def _write_content_addressed(
    store: StoreClient, key: str, value: bytes
) -> Result[None, StoreError]:
    """Write a key whose name determines its value.

    Another publisher may have written it already. A different value is corrupt and
    is replaced.
    """
    reply = await swap_with_retries(store, key, value, 0)
    if isinstance(reply, Err):
        return reply
    current = reply.ok_value.current
    if not reply.ok_value.swapped and current and current.value != value:
        replaced = await swap_with_retries(store, key, value, current.mod_revision)
        return replaced.map(lambda _: None)
    return Ok(None)


def _apply_deltas(base: Snapshot, deltas: list[bytes]) -> Result[Snapshot, StoreError]:
    """Apply compressed deltas to ``base``, starting with the last one in the list."""
    snapshot = base
    for compressed_delta in reversed(deltas):
        delta = decompress(compressed_delta).and_then(decode_delta)
        if isinstance(delta, Err):
            return Err(StoreError(delta.err_value))
        applied = apply_delta(snapshot, delta.ok_value)
        if isinstance(applied, Err):
            return Err(StoreError(applied.err_value))
        snapshot = applied.ok_value
    return Ok(snapshot)


def _chunks(snapshot: Snapshot) -> list[bytes]:
    data = compress(snapshot.encode())
    offsets = range(0, len(data), MAX_VALUE_BYTES)
    return [data[start : start + MAX_VALUE_BYTES] for start in offsets]


def _entry_key(version: int, digest: str) -> str:
    return f"{VERSIONS_PREFIX}{version:012}/{digest}"


__all__ = [
    "FULL_SNAPSHOT_INTERVAL_VERSIONS",
    "HEAD_KEY",
    "NO_HEAD",
    "VERSIONS_PREFIX",
    "Head",
    "delete_old_versions",
    "move_head",
    "parse_head",
    "read_entry",
    "read_head",
    "read_version",
    "write_version",
]
