"""Deltas: the changes from one configuration version to the next."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from briarslip.malformed_json import MALFORMED_JSON_ERRORS
from briarslip.version.record import parse_snapshot_key
from briarslip.version.snapshot import Snapshot
from briarslip.version.snapshot import decode_entries
from briarslip.version.snapshot import encode_entries


if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarslip.version.record import Record
    from briarslip.version.record import RecordKey
    from briarslip.version.snapshot import Origin


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes that lead from a base snapshot to the snapshot of ``version``.

    ``digest`` is the digest of the resulting snapshot. A key in ``origins`` without
    a record is the tombstone of a removed record. ``dropped_keys`` are the keys of
    the base that have neither a record nor a tombstone in the resulting snapshot.
    """

    version: int
    digest: str
    base_version: int
    base_digest: str
    records: Mapping[RecordKey, Record]
    origins: Mapping[RecordKey, Origin]
    dropped_keys: tuple[RecordKey, ...] = ()

    def encode(self) -> bytes:
        """Encode the delta as canonical JSON."""
        body = {
            "version": self.version,
            "digest": self.digest,
            "base_version": self.base_version,
            "base_digest": self.base_digest,
            "records": encode_entries(self.records, self.origins),
            "forgotten": [str(key) for key in self.dropped_keys],
        }
        return json.dumps(body, sort_keys=True, separators=(",", ":")).encode()


def delta_between(base: Snapshot, snapshot: Snapshot) -> Delta:
    """Compute the delta that leads from ``base`` to ``snapshot``."""
    origins = {
        key: origin
        for key, origin in snapshot.origins.items()
        if base.origins.get(key) != origin
    }
    records = {key: snapshot.records[key] for key in origins if key in snapshot.records}
    return Delta(
        snapshot.version,
        snapshot.digest,
        base.version,
        base.digest,
        records,
        origins,
        tuple(sorted(base.origins.keys() - snapshot.origins.keys())),
    )


def decode_delta(value: bytes) -> Result[Delta, str]:
    """Decode a delta; the error is the reason why it cannot be decoded."""
    try:
        document = json.loads(value)
        records, origins = decode_entries(document["records"])
        delta = Delta(
            int(document["version"]),
            str(document["digest"]),
            int(document["base_version"]),
            str(document["base_digest"]),
            records,
            origins,
            tuple(_parse_required_key(text) for text in document["forgotten"]),
        )
    except MALFORMED_JSON_ERRORS as error:
        return Err(f"delta cannot be decoded: {error!r}")
    return Ok(delta)


def _parse_required_key(text: str) -> RecordKey:
    key = parse_snapshot_key(text)
    if key is None:
        raise ValueError(f"{text!r} is not a key records/<kind>/<name>/<schema>")
    return key


def apply_delta(base: Snapshot, delta: Delta) -> Result[Snapshot, str]:
    """Apply a delta and verify the digest of the resulting snapshot.

    The error says how the base or the resulting digest differs from the expected one.
    """
    if (delta.base_version, delta.base_digest) != (base.version, base.digest):
        return Err(_wrong_base(base, delta))
    return _apply(base, delta)


def apply_delta_to_later(snapshot: Snapshot, delta: Delta) -> Result[Snapshot, str]:
    """Apply a delta to its base or to a later version, and verify the digest.

    A delta has every record that its base and its result do not share, so it mostly
    leads there from a version in between as well. The error says why it does not.
    """
    if snapshot.version < delta.base_version:
        return Err(_wrong_base(snapshot, delta))
    return _apply(snapshot, delta)


def _wrong_base(base: Snapshot, delta: Delta) -> str:
    return (
        f"delta applies to version {delta.base_version}"
        f" with digest {delta.base_digest},"
        f" got version {base.version} with digest {base.digest}"
    )


def _apply(base: Snapshot, delta: Delta) -> Result[Snapshot, str]:
    records = {k: v for k, v in base.records.items() if k not in delta.origins}
    records.update(delta.records)
    origins = {**base.origins, **delta.origins}
    for key in delta.dropped_keys:
        origins.pop(key, None)
        records.pop(key, None)
    snapshot = Snapshot(delta.version, records, origins)
    if snapshot.digest != delta.digest:
        return Err(
            f"digest mismatch for version {delta.version}:"
            f" expected {delta.digest}, got {snapshot.digest}"
        )
    return Ok(snapshot)


__all__ = [
    "Delta",
    "apply_delta",
    "apply_delta_to_later",
    "decode_delta",
    "delta_between",
]
