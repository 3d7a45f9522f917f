"""Snapshots: the whole accepted configuration at one version."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from briarslip.malformed import MALFORMED_ERRORS
from briarslip.version.record import Record
from briarslip.version.record import parse_key


if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarslip.version.record import RecordKey


ORIGIN_BYTES = 8


class Origin(NamedTuple):
    """The write that a record was accepted from."""

    change: str
    revision: int


NO_ORIGIN = Origin("", 0)


@dataclass(frozen=True)
class Snapshot:
    """The accepted records of one version.

    ``origins`` maps each record, removed ones included, to the write it was
    accepted from, so that a publisher can tell what is newer.
    """

    version: int
    records: Mapping[RecordKey, Record]
    origins: Mapping[RecordKey, Origin]

    @classmethod
    def from_records(
        cls, version: int, records: Mapping[RecordKey, Record]
    ) -> Snapshot:
        """Return a snapshot of records that were not accepted one by one.

        Their content stands for their origin.
        """
        origins = {key: _content_origin(record) for key, record in records.items()}
        return cls(version, records, origins)

    @cached_property
    def digest(self) -> str:
        """The SHA-256 of the encoded snapshot, in hexadecimal."""
        return hashlib.sha256(self.encode()).hexdigest()

    def encode(self) -> bytes:
        """Return the canonical JSON of the snapshot."""
        body = {
            "version": self.version,
            "records": encode_entries(self.records, self.origins),
        }
        return json.dumps(body, sort_keys=True, separators=(",", ":")).encode()


def _content_origin(record: Record) -> Origin:
    text = repr(sorted(record.fields.items()))
    digest = hashlib.blake2b(text.encode(), digest_size=ORIGIN_BYTES)
    return Origin(digest.hexdigest(), 0)


EMPTY_SNAPSHOT = Snapshot(0, {}, {})


def decode_snapshot(value: bytes) -> Result[Snapshot, str]:
    """Read an encoded snapshot; the error is a reason."""
    try:
        document = json.loads(value)
        records, origins = decode_entries(document["records"])
        version = int(document["version"])
    except MALFORMED_ERRORS as error:
        return Err(f"is not a snapshot: {error!r}")
    return Ok(Snapshot(version, records, origins))


def encode_entries(
    records: Mapping[RecordKey, Record], origins: Mapping[RecordKey, Origin]
) -> dict[str, list[Any]]:
    """Return records with their origins as JSON values; fields None: removed."""
    return {
        str(key): [
            dict(records[key].fields) if key in records else None,
            *origins.get(key, NO_ORIGIN),
        ]
        for key in records.keys() | origins.keys()
    }


def decode_entries(
    document: Mapping[str, Any],
) -> tuple[dict[RecordKey, Record], dict[RecordKey, Origin]]:
    """Read records with their origins; raise ValueError or TypeError."""
    records: dict[RecordKey, Record] = {}
    origins: dict[RecordKey, Origin] = {}
    for text, (fields, change, revision) in document.items():
        key = parse_key(text)
        if key is None:
            raise ValueError(f"{text!r} is not a record key")
        origins[key] = Origin(str(change), int(revision))
        if fields is not None:
            values = {str(name): str(value) for name, value in fields.items()}
            records[key] = Record(key, values)
    return records, origins


__all__ = [
    "EMPTY_SNAPSHOT",
    "Origin",
    "Snapshot",
    "decode_entries",
    "decode_snapshot",
    "encode_entries",
]
