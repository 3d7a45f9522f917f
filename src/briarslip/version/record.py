"""Configuration records written by operators, and their parsing into typed records."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from briarslip import fields
from briarslip.fields import read_fields
from briarslip.finding import Finding
from briarslip.ini import IniField
from briarslip.ini import IniSection
from briarslip.ini import parse_ini
from briarslip.version.record_schema import RECORD_SCHEMAS
from briarslip.version.typed_record import DEADLINE_NOT_AGREED
from briarslip.version.typed_record import DEFAULT_MAX_ATTEMPTS
from briarslip.version.typed_record import Evacuation
from briarslip.version.typed_record import Limits
from briarslip.version.typed_record import Objective
from briarslip.version.typed_record import Organisation
from briarslip.version.typed_record import Rollout
from briarslip.version.typed_record import Route
from briarslip.version.typed_record import Service
from briarslip.version.typed_record import TypedRecord
from briarslip.version.typed_record import WeightedService


if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarslip.ini import IniDocument


RECORDS_PREFIX = "records/"
SCHEMA_FIELD = "schema"
MAX_SCHEMA = 1 << 31
MAX_SCHEMA_DIGITS = len(str(MAX_SCHEMA))
CONTENT_DIGEST_BYTES = 8


class RecordKey(NamedTuple):
    """The identity of a record in one schema version.

    One kind and name may exist in several schemas side by side.
    """

    kind: str
    name: str
    schema: int

    def __str__(self) -> str:
        return f"{RECORDS_PREFIX}{self.kind}/{self.name}/{self.schema}"


@dataclass(frozen=True)
class Record:
    """An unparsed record in one schema version: its key and its fields as text.

    Versions share the records that did not change, so what is derived from a record
    is computed once.
    """

    key: RecordKey
    fields: Mapping[str, str]

    @cached_property
    def encoded_fields(self) -> str:
        """The fields as canonical JSON."""
        return json.dumps(dict(self.fields), sort_keys=True, separators=(",", ":"))

    @cached_property
    def content_digest(self) -> str:
        """A digest of the fields in hexadecimal."""
        text = repr(sorted(self.fields.items()))
        digest = hashlib.blake2b(text.encode(), digest_size=CONTENT_DIGEST_BYTES)
        return digest.hexdigest()

    @cached_property
    def parsed(self) -> Result[TypedRecord, tuple[Finding, ...]]:
        """The typed record; the error holds all findings of the record."""
        section = IniSection(
            f"{self.key.kind} {self.key.name}",
            0,
            {name: IniField(name, value, 0) for name, value in self.fields.items()},
        )
        return _parse_section(self.key, section, str(self.key))


KINDS = frozenset(kind for kind, _ in RECORD_SCHEMAS)


def parse_key(text: str) -> RecordKey | None:
    """Parse a key ``records/<kind>/<name>/<schema>``; return None if malformed."""
    parts = text.removeprefix(RECORDS_PREFIX).split("/")
    if not text.startswith(RECORDS_PREFIX) or len(parts) != 3:
        return None
    kind, name, schema = parts
    if not schema.isascii() or not schema.isdigit():
        return None
    if len(schema) > MAX_SCHEMA_DIGITS:
        return None
    return RecordKey(kind, name, int(schema))


def parse_snapshot_key(text: str) -> RecordKey | None:
    """Parse the text of a record key whose name may have slashes.

    Names in the operators' documents of a platform may; those of operators' records
    in the store may not.
    """
    kind, _, rest = text.removeprefix(RECORDS_PREFIX).partition("/")
    name, _, schema = rest.rpartition("/")
    key = parse_key(f"{RECORDS_PREFIX}{kind}//{schema}")
    return None if key is None else key._replace(name=name)


def parse_record(record: Record) -> Result[TypedRecord, tuple[Finding, ...]]:
    """Parse a record into a typed record.

    The error holds all findings of the record.
    """
    return record.parsed


def records_from_ini(
    text: str, source: str
) -> Result[tuple[Record, ...], tuple[Finding, ...]]:
    """Read the records of an INI file with ``[kind name]`` sections.

    Each record is validated by its kind and schema; the error holds all findings
    of the file.
    """
    document = parse_ini(text, source)
    if isinstance(document, Err):
        return document
    return _records_from_document(document.ok_value)


def _records_from_document(
    document: IniDocument,
) -> Result[tuple[Record, ...], tuple[Finding, ...]]:
    records: list[Record] = []
    findings: list[Finding] = []
    for section in document.sections:
        result = _record_from_section(section, document.source)
        if isinstance(result, Err):
            findings.extend(result.err_value)
        else:
            records.append(result.ok_value)
    return Err(tuple(findings)) if findings else Ok(tuple(records))


def _record_from_section(
    section: IniSection, source: str
) -> Result[Record, tuple[Finding, ...]]:
    kind, _, raw_name = section.name.partition(" ")
    name = fields.name(raw_name)
    if kind not in KINDS or isinstance(name, Err):
        reason = f"expected '[kind name]' with a kind of {', '.join(sorted(KINDS))}"
        return Err((Finding(source, section.line, section.name, "", reason),))
    ini_fields = dict(section.fields)
    schema_field = ini_fields.pop(
        SCHEMA_FIELD, IniField(SCHEMA_FIELD, "1", section.line)
    )
    schema = fields.integer(1, MAX_SCHEMA)(schema_field.value)
    if isinstance(schema, Err):
        reason = schema.err_value
        line = schema_field.line
        return Err((Finding(source, line, section.name, SCHEMA_FIELD, reason),))
    key = RecordKey(kind, name.ok_value, schema.ok_value)
    parsed = _parse_section(
        key, IniSection(section.name, section.line, ini_fields), source
    )
    if isinstance(parsed, Err):
        return parsed
    return Ok(Record(key, {field.key: field.value for field in ini_fields.values()}))


def _parse_section(
    key: RecordKey, section: IniSection, source: str
) -> Result[TypedRecord, tuple[Finding, ...]]:
    schema = RECORD_SCHEMAS.get((key.kind, key.schema))
    if schema is None:
        reason = f"unknown kind or schema: {key.kind} {key.schema}"
        return Err((Finding(source, section.line, section.name, "", reason),))
    values = read_fields(source, section, schema.fields)
    if isinstance(values, Err):
        return values
    return Ok(schema.record_type(name=key.name, **schema.convert(values.ok_value)))


__all__ = [
    "DEADLINE_NOT_AGREED",
    "DEFAULT_MAX_ATTEMPTS",
    "KINDS",
    "RECORDS_PREFIX",
    "RECORD_SCHEMAS",
    "Evacuation",
    "Limits",
    "Objective",
    "Organisation",
    "Record",
    "RecordKey",
    "Rollout",
    "Route",
    "Service",
    "TypedRecord",
    "WeightedService",
    "parse_key",
    "parse_record",
    "parse_snapshot_key",
    "records_from_ini",
]
