"""Snapshots: the complete accepted configuration of one version."""

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

from briarslip.malformed_json import MALFORMED_JSON_ERRORS
from briarslip.version.record import Record
from briarslip.version.record import parse_snapshot_key


if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarslip.version.record import RecordKey


class Origin(NamedTuple):
    """The change and the store revision that a record was accepted from."""

    change: str
    revision: int


NO_ORIGIN = Origin("", 0)


@dataclass(frozen=True)
class Snapshot:
    """The accepted records of one version.

    ``origins`` maps each record to the write it was accepted from, so that a
    publisher can recognise newer writes. An origin without a record is the
    tombstone of a removed record.
    """

    version: int
    records: Mapping[RecordKey, Record]
    origins: Mapping[RecordKey, Origin]

    @classmethod
    def from_records(
        cls, version: int, records: Mapping[RecordKey, Record]
    ) -> Snapshot:
        """Build a snapshot of records that have no store revision of their own.

        The origin of each record is a digest of its content, so that a delta
        contains the records that differ.
        """
        origins = {
            key: Origin(record.content_digest, 0) for key, record in records.items()
        }
        return cls(version, records, origins)

    @cached_property
    def digest(self) -> str:
        """The SHA-256 digest of the encoded snapshot in hexadecimal."""
        return hashlib.sha256(self.encode()).hexdigest()

    def encode(self) -> bytes:
        """Encode the snapshot as canonical JSON."""
        entries = ",".join(
            f"{json.dumps(text)}:{self._encode_entry(key)}"
            for text, key in sorted(
                (str(key), key) for key in self.records.keys() | self.origins.keys()
            )
        )
        return f'{{"records":{{{entries}}},"version":{self.version}}}'.encode()

    def _encode_entry(self, key: RecordKey) -> str:
        """Encode a record and its origin as the values of ``encode_entries``."""
        record = self.records.get(key)
        fields = "null" if record is None else record.encoded_fields
        change, revision = self.origins.get(key, NO_ORIGIN)
        return f"[{fields},{json.dumps(change)},{revision}]"


EMPTY_SNAPSHOT = Snapshot(0, {}, {})


def decode_snapshot(value: bytes) -> Result[Snapshot, str]:
    """Decode a snapshot; the error is the reason why it cannot be decoded."""
    try:
        document = json.loads(value)
        records, origins = decode_entries(document["records"])
        version = int(document["version"])
    except MALFORMED_JSON_ERRORS as error:
        return Err(f"snapshot cannot be decoded: {error!r}")
    return Ok(Snapshot(version, records, origins))


def encode_entries(
    records: Mapping[RecordKey, Record], origins: Mapping[RecordKey, Origin]
) -> dict[str, list[Any]]:
    """Convert records and their origins to JSON values by record key.

    Each value is a list of fields, change and revision; the fields of a removed
    record are None.
    """
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
    """Convert the JSON values of ``encode_entries`` to records and origins.

    Raise one of ``MALFORMED_JSON_ERRORS`` if they are malformed.
    """
    records: dict[RecordKey, Record] = {}
    origins: dict[RecordKey, Origin] = {}
    for text, (fields, change, revision) in document.items():
        key = parse_snapshot_key(text)
        if key is None:
            raise ValueError(f"{text!r} is not a key records/<kind>/<name>/<schema>")
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
