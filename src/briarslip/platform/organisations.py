"""The table of organisations in the operators' document, converted to records."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarslip.platform.json_object import MAX_NAME_BYTES
from briarslip.version.key_digest import key_digest
from briarslip.version.record import Record
from briarslip.version.record import RecordKey


if TYPE_CHECKING:
    from briarslip.platform.json_object import JsonObject


ORGANISATIONS_FIELD = "tenants"
KEYS_FIELD = "api-keys"
RATE_FIELD = "rate-per-s"
# An organisation without keys. It stands for a table without a usable entry, in which
# case requests still need a key.
NO_ORGANISATION = "briarslip.none"
# Priorities up to this number are urgent; 0 is the highest.
MAX_URGENT_PRIORITY = 1


@dataclass(frozen=True, slots=True)
class ReadOrganisation:
    """An organisation as the operator wrote it, and the digests of its keys.

    ``places`` maps each digest to the place of its key in the list. An organisation
    that is not usable is left out, so its keys are not accepted.
    """

    name: str
    entry: JsonObject
    places: dict[str, int]
    is_usable: bool

    @classmethod
    def from_entry(cls, name: str, entry: JsonObject) -> ReadOrganisation:
        """Read an organisation; what is invalid is added to the findings."""
        is_usable = _check_name(name, entry) & _check_rate(entry)
        return cls(name, entry, _read_keys(entry), is_usable)

    def make_record(self, shared: frozenset[str]) -> Record:
        """Return the record, without the keys whose digests are ``shared``."""
        entry = self.entry
        values = {
            "key_digests": ",".join(sorted(self.places.keys() - shared)),
            "priority": _read_priority(entry),
            "rate_per_second": _read_number(entry, RATE_FIELD),
            "burst": _read_number(entry, "burst"),
        }
        fields = {name: value for name, value in values.items() if value}
        return Record(RecordKey("organisation", self.name, 1), fields)


def read_organisations(table: JsonObject) -> tuple[Record, ...]:
    """Return the records of a table of organisations, at least one.

    An entry that is invalid is left out and added to the findings, which never hold
    a key. A key of two organisations is accepted for neither.
    """
    organisations = [
        ReadOrganisation.from_entry(name, entry)
        for name, entry in table.objects().items()
    ]
    seen: set[str] = set()
    shared: set[str] = set()
    for organisation in organisations:
        shared.update(organisation.places.keys() & seen)
        seen.update(organisation.places)
    for organisation in organisations:
        for digest, place in organisation.places.items():
            if digest in shared:
                reason = "belongs to two organisations; it is accepted for neither"
                organisation.entry.add_finding(f"{KEYS_FIELD}.{place}", reason)
    records = [o.make_record(frozenset(shared)) for o in organisations if o.is_usable]
    return tuple(records) or (
        Record(RecordKey("organisation", NO_ORGANISATION, 1), {}),
    )


def _check_name(name: str, entry: JsonObject) -> bool:
    """Return whether a header can hold the name; add a finding if not."""
    is_valid = bool(name) and name.isprintable() and name == name.strip()
    if is_valid and len(name.encode()) <= MAX_NAME_BYTES:
        return True
    limit = f"printable text of 1 to {MAX_NAME_BYTES} bytes without outer spaces"
    entry.add_finding("", f"the name is not {limit}; it is left out")
    return False


def _check_rate(entry: JsonObject) -> bool:
    """Return whether the rate is missing or valid; add a finding if it is not."""
    known = len(entry.findings)
    _read_number(entry, RATE_FIELD)
    if len(entry.findings) == known:
        return True
    entry.add_finding("", "is left out, since its rate is invalid")
    return False


def _read_number(entry: JsonObject, name: str) -> str:
    """Return a number as the text of a record's field, empty without one."""
    number = entry.number(name) if entry.has(name) else 0.0
    return repr(number) if number else ""


def _read_priority(entry: JsonObject) -> str:
    """Return the priority, empty if that of the route applies."""
    known = len(entry.findings)
    priority = entry.number("priority") if entry.has("priority") else None
    if priority is None or len(entry.findings) > known:
        return ""
    return "urgent" if priority <= MAX_URGENT_PRIORITY else "bulk"


def _read_keys(entry: JsonObject) -> dict[str, int]:
    """Return the place of each key by its digest; add a finding for invalid ones."""
    keys = entry.values.get(KEYS_FIELD)
    if not isinstance(keys, list):
        reason = "is missing" if keys is None else "is not a list"
        entry.add_finding(KEYS_FIELD, reason)
        return {}
    places: dict[str, int] = {}
    for place, key in enumerate(keys):
        # Half a surrogate pair has no encoding.
        encoded = key.encode("utf-8", "ignore") if isinstance(key, str) else b""
        if not encoded or encoded.decode() != key:
            entry.add_finding(f"{KEYS_FIELD}.{place}", "is not a key; it is left out")
        else:
            places.setdefault(key_digest(encoded), place)
    return places


__all__ = [
    "MAX_URGENT_PRIORITY",
    "NO_ORGANISATION",
    "ORGANISATIONS_FIELD",
    "read_organisations",
]
