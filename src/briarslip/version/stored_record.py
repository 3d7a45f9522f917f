"""Encoding of the value of a record in the store, with the history of its writes."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

from briarslip.malformed_json import MALFORMED_JSON_ERRORS


if TYPE_CHECKING:
    from collections.abc import Mapping


MAX_HISTORY_WRITES = 16


@dataclass(frozen=True, slots=True)
class Change:
    """A set of records that one operator command writes together.

    ``size`` is the number of records in the set.
    """

    id: str
    size: int


@dataclass(frozen=True, slots=True)
class Write:
    """One write of a record as part of a change.

    ``fields`` is None for a removal. ``revision`` is the store revision of the
    write; for the newest write it is the modification revision of its key.
    """

    fields: Mapping[str, str] | None
    change: Change
    revision: int = 0


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """The newest write of a record and the earlier writes that it replaced.

    ``history`` holds the replaced writes with their fields, newest first, so
    that a change can still be accepted when a later change has overwritten some
    of its records and is rejected.
    """

    newest_write: Write
    nonce: str
    history: tuple[Write, ...] = ()

    @property
    def writes(self) -> tuple[Write, ...]:
        """The newest write and the history, newest first."""
        return (self.newest_write, *self.history)

    def encode(self, include_revision: bool = False) -> bytes:
        """Encode the stored record as JSON.

        ``include_revision`` also writes the revision of the newest write. This is
        needed when an earlier value is restored: its key then has a later
        modification revision than the write.
        """
        body = _write_body(self.newest_write)
        if include_revision:
            body["revision"] = self.newest_write.revision
        body["nonce"] = self.nonce
        body["history"] = [
            _write_body(write) | {"revision": write.revision}
            for write in self.history[:MAX_HISTORY_WRITES]
        ]
        return json.dumps(body, sort_keys=True).encode()


def decode_stored_record(value: bytes, revision: int) -> Result[StoredRecord, str]:
    """Decode a value that was read from the store.

    ``revision`` is the modification revision of the key. It is the revision of
    the newest write unless the value states another one. The error is the reason
    why the value cannot be decoded.
    """
    try:
        document = json.loads(value)
        parsed = StoredRecord(
            newest_write=_parse_write(
                document, int(document.get("revision", revision))
            ),
            nonce=str(document["nonce"]),
            history=tuple(
                _parse_write(body, int(body["revision"]))
                for body in document["history"]
            ),
        )
    except MALFORMED_JSON_ERRORS as error:
        return Err(f"stored record cannot be decoded: {error!r}")
    return Ok(parsed)


def _write_body(write: Write) -> dict[str, Any]:
    return {
        "fields": None if write.fields is None else dict(write.fields),
        "change": write.change.id,
        "change_size": write.change.size,
    }


def _parse_write(body: Mapping[str, Any], revision: int) -> Write:
    raw = body["fields"]
    change = Change(str(body["change"]), int(body["change_size"]))
    return Write(None if raw is None else _text_fields(raw), change, revision)


def _text_fields(raw: Mapping[str, object]) -> dict[str, str]:
    for key, value in raw.items():
        if not isinstance(value, str):
            raise TypeError(f"field {key!r} is not a string")
    return {key: str(value) for key, value in raw.items()}


__all__ = [
    "MAX_HISTORY_WRITES",
    "Change",
    "StoredRecord",
    "Write",
    "decode_stored_record",
]
