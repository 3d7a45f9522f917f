"""The value that a record has on the platform."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result


if TYPE_CHECKING:
    from collections.abc import Mapping


MAX_LINEAGE = 16


@dataclass(frozen=True, slots=True)
class Change:
    """The set of records that one operator's command wrote together."""

    id: str
    size: int


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record's fields with the change that wrote them.

    ``fields`` is None for a removed record. ``lineage`` names the changes the
    key went through before, newest first, so that a change counts as complete
    when a later one has already overwritten a part of it.
    """

    fields: Mapping[str, str] | None
    change: Change
    nonce: str
    lineage: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Return the value as JSON."""
        return json.dumps(
            {
                "fields": None if self.fields is None else dict(self.fields),
                "change": self.change.id,
                "change_size": self.change.size,
                "nonce": self.nonce,
                "lineage": list(self.lineage[:MAX_LINEAGE]),
            },
            sort_keys=True,
        ).encode()


def decode_stored_record(value: bytes) -> Result[StoredRecord, str]:
    """Read a record's value; the error is a reason."""
    try:
        document = json.loads(value)
        raw_fields = document["fields"]
        parsed = StoredRecord(
            fields=None if raw_fields is None else _text_fields(raw_fields),
            change=Change(str(document["change"]), int(document["change_size"])),
            nonce=str(document["nonce"]),
            lineage=tuple(str(change) for change in document["lineage"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(f"is not a stored record: {error!r}")
    return Ok(parsed)


def _text_fields(raw: Mapping[str, object]) -> dict[str, str]:
    for key, value in raw.items():
        if not isinstance(value, str):
            raise TypeError(f"field {key} is not text")
    return {key: str(value) for key, value in raw.items()}


__all__ = ["Change", "StoredRecord", "decode_stored_record"]
