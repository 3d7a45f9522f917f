"""Typed access to the fields of the platform's JSON documents."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from result import Err
from result import Ok
from result import Result

from briarslip.address import Address
from briarslip.address import parse_address
from briarslip.finding import Finding
from briarslip.malformed_json import MALFORMED_JSON_ERRORS


if TYPE_CHECKING:
    from collections.abc import Callable


T = TypeVar("T")

# Two of them and a zone fit into a membership datagram.
MAX_NAME_BYTES = 200


class JsonObject:
    """Typed access to a JSON object; invalid fields are collected as findings.

    An invalid field adds a finding with its path to ``findings``, which nested
    objects share, and reads as a neutral value of its type. One pass thus finds
    all errors of a document.
    """

    def __init__(
        self,
        values: dict[str, Any],
        source: str,
        path: str = "",
        findings: list[Finding] | None = None,
    ) -> None:
        self.values = values
        self.source = source
        self.path = path
        self.findings: list[Finding] = [] if findings is None else findings

    @classmethod
    def from_bytes(cls, raw: bytes, source: str) -> Result[JsonObject, Finding]:
        """Parse the bytes of one JSON object."""
        try:
            values = json.loads(raw)
        except MALFORMED_JSON_ERRORS as error:
            return Err(Finding(source, 0, "", "", f"is not JSON: {error}"))
        if not isinstance(values, dict):
            return Err(Finding(source, 0, "", "", "is not a JSON object"))
        return Ok(cls(values, source))

    def add_finding(self, name: str, reason: str) -> None:
        """Record a finding for a field."""
        self.findings.append(Finding(self.source, 0, self.path, name, reason))

    def has(self, name: str) -> bool:
        """Return whether a field is present and not null."""
        return self.values.get(name) is not None

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string field."""
        value = self.values.get(name, default)
        if isinstance(value, str):
            return value
        self.add_finding(name, "is missing" if value is None else "is not a string")
        return ""

    def short_name(self, name: str) -> str:
        """Return a string field that can be published as the name of something.

        A line break would end it in a frame, and half a surrogate pair has no encoding.
        """
        value = self.text(name)
        if value.isprintable() and len(value.encode()) <= MAX_NAME_BYTES:
            return value
        reason = f"is not printable text of at most {MAX_NAME_BYTES} bytes"
        self.add_finding(name, reason)
        return ""

    def choice(self, name: str, choices: frozenset[str]) -> str:
        """Return a string field that must be one of the choices."""
        value = self.text(name)
        if value and value not in choices:
            self.add_finding(name, f"{value!r} is none of {', '.join(sorted(choices))}")
        return value

    def integer(self, name: str, default: int | None = None, minimum: int = 0) -> int:
        """Return an integer field that must not be below ``minimum``."""
        value = self.values.get(name, default)
        is_whole = isinstance(value, float) and value.is_integer()
        if not isinstance(value, int | float) or isinstance(value, bool):
            self.add_finding(name, "is missing" if value is None else "is not a number")
            return minimum
        if not isinstance(value, int) and not is_whole:
            self.add_finding(name, f"{value} is not a whole number")
            return minimum
        if value < minimum:
            self.add_finding(name, f"{value} is below {minimum}")
            return minimum
        return int(value)

    def whole_part(
        self, name: str, default: float | None = None, minimum: int = 0
    ) -> int:
        """Return the whole part of a number field that is at least ``minimum``."""
        value = self.number(name, default)
        if value < minimum:
            if self.has(name):
                self.add_finding(name, f"{value} is below {minimum}")
            return minimum
        return int(value)

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number field that must be finite and not negative."""
        value = self.values.get(name, default)
        if not isinstance(value, int | float) or isinstance(value, bool):
            self.add_finding(name, "is missing" if value is None else "is not a number")
            return 0.0
        # JSON has whole numbers of any size.
        if not 0 <= value <= sys.float_info.max:
            self.add_finding(name, "is not a finite number of at least 0")
            return 0.0
        return float(value)

    def boolean(self, name: str) -> bool:
        """Return a field that is true or false, false if it is absent."""
        value = self.values.get(name)
        if value is not None and not isinstance(value, bool):
            self.add_finding(name, "is not true or false")
        return value is True

    def address(self, name: str) -> Address:
        """Return the address of an ``IP:PORT`` field."""
        parsed = parse_address(self.text(name))
        if isinstance(parsed, Err):
            if self.has(name):
                self.add_finding(name, parsed.err_value)
            return Address("0.0.0.0", 0)  # placeholder for the invalid address
        return parsed.ok_value

    def nested(self, name: str) -> JsonObject:
        """Return a nested object."""
        value = self.values.get(name)
        if not isinstance(value, dict):
            self.add_finding(
                name, "is missing" if value is None else "is not an object"
            )
            value = {}
        return self._child(name, value)

    def objects(self) -> dict[str, JsonObject]:
        """Return the fields that are objects, by their names."""
        for key, value in self.values.items():
            if not isinstance(value, dict):
                self.add_finding(key, "is not an object")
        return {
            key: self._child(key, value)
            for key, value in self.values.items()
            if isinstance(value, dict)
        }

    def nested_list(self, name: str) -> list[JsonObject]:
        """Return a list of nested objects, empty if the field is absent."""
        value = self.values.get(name, [])
        if not isinstance(value, list) or not all(isinstance(v, dict) for v in value):
            self.add_finding(name, "is not a list of objects")
            return []
        return [
            self._child(f"{name}.{index}", item) for index, item in enumerate(value)
        ]

    def _child(self, name: str, values: dict[str, Any]) -> JsonObject:
        path = f"{self.path}.{name}" if self.path else name
        return JsonObject(values, self.source, path, self.findings)


def read_json_object(
    raw: bytes, source: str, convert: Callable[[JsonObject], T]
) -> Result[T, tuple[Finding, ...]]:
    """Parse an object and pass it to ``convert``; the error holds all findings."""
    document = JsonObject.from_bytes(raw, source)
    if isinstance(document, Err):
        return Err((document.err_value,))
    value = convert(document.ok_value)
    findings = document.ok_value.findings
    return Err(tuple(findings)) if findings else Ok(value)


__all__ = ["JsonObject", "read_json_object"]
