"""Records as they are in the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from result import Err

from briarslip.console.runtime import EXIT_NO_ANSWER
from briarslip.console.runtime import exit_with_error
from briarslip.console.runtime import run_in_reactor
from briarslip.console.runtime import store_client
from briarslip.version.record import RECORDS_PREFIX
from briarslip.version.record import parse_key
from briarslip.version.stored_record import decode_stored_record


if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarslip.console.record_name import RecordName
    from briarslip.process.store.client import StoreClient
    from briarslip.version.record import RecordKey


@dataclass(frozen=True, slots=True)
class CurrentRecord:
    """The fields of a record in one schema, with the change that wrote them.

    ``revision`` is the store revision of the last write.
    """

    key: RecordKey
    fields: Mapping[str, str]
    change: str
    revision: int


def read_current_records(
    store_address: str, name: RecordName | None
) -> list[CurrentRecord]:
    """Return a record in each of its schemas, or all records, or exit with an error.

    Removed and unreadable records are left out.
    """
    return run_in_reactor(
        lambda reactor: fetch_current_records(
            store_client(reactor, store_address), name
        )
    )


async def fetch_current_records(
    client: StoreClient, name: RecordName | None
) -> list[CurrentRecord]:
    """Return a record in each of its schemas, or all records, or exit with an error.

    Removed and unreadable records are left out.
    """
    prefix = name.prefix if name else ""
    result = await client.range(f"{RECORDS_PREFIX}{prefix}")
    if isinstance(result, Err):
        exit_with_error(EXIT_NO_ANSWER, f"the store failed: {result.err_value.reason}")
    records = []
    for item in result.ok_value.items:
        key = parse_key(item.key)
        stored = decode_stored_record(item.value, item.mod_revision)
        if key is None or isinstance(stored, Err):
            continue
        if name is not None and not name.matches(key):
            continue
        write = stored.ok_value.newest_write
        if write.fields is not None:
            change = write.change.id
            records.append(CurrentRecord(key, write.fields, change, item.mod_revision))
    return records


def as_json(record: CurrentRecord) -> dict[str, Any]:
    """Return a record as a JSON object."""
    return {
        "kind": record.key.kind,
        "name": record.key.name,
        "schema": record.key.schema,
        "fields": dict(record.fields),
        "change": record.change,
        "revision": record.revision,
    }


def as_ini(record: CurrentRecord) -> str:
    """Return a record as an INI section that ``apply`` can read."""
    lines = [f"[{record.key.kind} {record.key.name}]", f"schema = {record.key.schema}"]
    lines += [f"{name} = {value}" for name, value in sorted(record.fields.items())]
    return "\n".join(lines) + "\n"


__all__ = [
    "CurrentRecord",
    "as_ini",
    "as_json",
    "fetch_current_records",
    "read_current_records",
]
