"""Snapshots: the whole accepted configuration at one version."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from briarslip.version.record import Record
from briarslip.version.record import parse_key


if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarslip.version.record import RecordKey


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The accepted records of one version.

    ``changes`` maps each record to the change it was accepted from, so that a
    publisher can tell what is new.
    """

    version: int
    records: Mapping[RecordKey, Record]
    changes: Mapping[RecordKey, str]

    @property
    def digest(self) -> str:
        """The SHA-256 of the encoded snapshot, in hexadecimal."""
        return hashlib.sha256(self.encode()).hexdigest()

    def encode(self) -> bytes:
        """Return the canonical JSON of the snapshot."""
        body = {
            "version": self.version,
            "records": {
                str(key): {
                    "fields": dict(record.fields),
                    "change": self.changes.get(key, ""),
                }
                for key, record in self.records.items()
            },
        }
        return json.dumps(body, sort_keys=True, separators=(",", ":")).encode()


EMPTY_SNAPSHOT = Snapshot(0, {}, {})


def decode_snapshot(value: bytes) -> Result[Snapshot, str]:
    """Read an encoded snapshot; the error is a reason."""
    records: dict[RecordKey, Record] = {}
    changes: dict[RecordKey, str] = {}
    try:
        document = json.loads(value)
        for text, body in document["records"].items():
            key = parse_key(text)
            if key is None:
                return Err(f"{text!r} is not a record key")
            records[key] = Record(
                key, {str(k): str(v) for k, v in body["fields"].items()}
            )
            changes[key] = str(body["change"])
        version = int(document["version"])
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(f"is not a snapshot: {error!r}")
    return Ok(Snapshot(version, records, changes))


__all__ = ["EMPTY_SNAPSHOT", "Snapshot", "decode_snapshot"]
