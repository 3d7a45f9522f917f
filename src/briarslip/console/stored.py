"""Records as they stand on the platform."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from result import Err

from briarslip.console.runtime import EXIT_NO_ANSWER
from briarslip.console.runtime import fail
from briarslip.console.runtime import platform_client
from briarslip.console.runtime import run
from briarslip.version.record import RECORDS_PREFIX
from briarslip.version.record import parse_key
from briarslip.version.stored_record import decode_stored_record


if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarslip.console.record_name import RecordName
    from briarslip.process.store.client import StoreClient
    from briarslip.version.record import RecordKey


@dataclass(frozen=True, slots=True)
class StoredForm:
    """One form of a record with the change that wrote it."""

    key: RecordKey
    fields: Mapping[str, str]
    change: str
    revision: int


def read_stored(platform: str, name: RecordName | None) -> list[StoredForm]:
    """Return a record's forms, or those of all records, or exit with an error."""
    return run(lambda reactor: fetch_stored(platform_client(reactor, platform), name))


async def fetch_stored(
    client: StoreClient, name: RecordName | None
) -> list[StoredForm]:
    """Return a record's forms, or those of all records, or exit with an error."""
    prefix = name.prefix if name else ""
    result = await client.range(f"{RECORDS_PREFIX}{prefix}")
    if isinstance(result, Err):
        fail(EXIT_NO_ANSWER, f"the platform failed: {result.err_value.reason}")
    forms = []
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
            forms.append(StoredForm(key, write.fields, change, item.mod_revision))
    return forms


def as_json(form: StoredForm) -> dict[str, Any]:
    """Return a form as JSON can hold it."""
    return {
        "kind": form.key.kind,
        "name": form.key.name,
        "schema": form.key.schema,
        "fields": dict(form.fields),
        "change": form.change,
        "revision": form.revision,
    }


def as_ini(form: StoredForm) -> str:
    """Return a form as an INI section that ``apply`` reads."""
    lines = [f"[{form.key.kind} {form.key.name}]", f"schema = {form.key.schema}"]
    lines += [f"{name} = {value}" for name, value in sorted(form.fields.items())]
    return "\n".join(lines) + "\n"


__all__ = ["StoredForm", "as_ini", "as_json", "fetch_stored", "read_stored"]
