"""The value that a record has on the platform."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

from briarslip.malformed import MALFORMED_ERRORS


if TYPE_CHECKING:
    from collections.abc import Mapping


MAX_HISTORY = 16


@dataclass(frozen=True, slots=True)
class Change:
    """The set of records that one operator's command wrote together."""

    id: str
    size: int


@dataclass(frozen=True, slots=True)
class Write:
    """One write of a record: what was written, by which change, and when.

    ``fields`` is None for a removal. ``revision`` is the platform's revision
    of the write; the newest write of a key takes it from the key itself.
    """

    fields: Mapping[str, str] | None
    change: Change
    revision: int = 0


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record's newest write, with the writes that it replaced.

    ``history`` holds the replaced writes, newest first. They are kept whole,
    so that a change can still be taken when a later one has overwritten a
    part of it and is refused.
    """

    newest_write: Write
    nonce: str
    history: tuple[Write, ...] = ()

    @property
    def writes(self) -> tuple[Write, ...]:
        """Every write that is kept, newest first."""
        return (self.newest_write, *self.history)

    def encode(self, include_revision: bool = False) -> bytes:
        """Return the value as JSON.

        ``include_revision`` keeps the revision of the newest write, for when an earlier
        value is put back.
        """
        body = _write_body(self.newest_write)
        if include_revision:
            body["revision"] = self.newest_write.revision
        body["nonce"] = self.nonce
        body["history"] = [
            _write_body(write) | {"revision": write.revision}
            for write in self.history[:MAX_HISTORY]
        ]
        return json.dumps(body, sort_keys=True).encode()


def decode_stored_record(value: bytes, revision: int) -> Result[StoredRecord, str]:
    """Read the value found at a revision; the error is a reason."""
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
    except MALFORMED_ERRORS as error:
        return Err(f"is not a stored record: {error!r}")
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
            raise TypeError(f"field {key} is not text")
    return {key: str(value) for key, value in raw.items()}


__all__ = ["MAX_HISTORY", "Change", "StoredRecord", "Write", "decode_stored_record"]
