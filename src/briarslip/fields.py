"""Parsers for the typed fields of settings, records and load plans."""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from functools import lru_cache
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

from briarslip.address import parse_address
from briarslip.finding import Finding


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

    from briarslip.address import Address
    from briarslip.ini import IniField
    from briarslip.ini import IniSection


REQUIRED = object()
NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]+")
# The routes of one configuration have few different durations, counts and splits.
CACHED_TEXTS = 64


@dataclass(frozen=True, slots=True)
class FieldSpec:
    """A field's name, the parser of its text, and its default if it is optional."""

    name: str
    parse: Callable[[str], Result[Any, str]]
    default: Any = REQUIRED

    @property
    def is_required(self) -> bool:
        """Whether the field must be given."""
        return self.default is REQUIRED


def text(value: str) -> Result[str, str]:
    """Parse text that must not be empty."""
    return Ok(value.strip()) if value.strip() else Err("is empty")


def name(value: str) -> Result[str, str]:
    """Parse a name of ASCII letters, digits, dots, dashes and underscores."""
    stripped = value.strip()
    if NAME_PATTERN.fullmatch(stripped):
        return Ok(stripped)
    return Err(f"{value!r} is not a name of letters, digits, '.', '_', '-'")


def integer(minimum: int, maximum: int) -> Callable[[str], Result[int, str]]:
    """Return a parser of integers from ``minimum`` to ``maximum`` inclusive."""

    @lru_cache(CACHED_TEXTS)
    def parse(value: str) -> Result[int, str]:
        try:
            number = int(value)
        except ValueError:
            return Err(f"{value!r} is not a whole number")
        if not minimum <= number <= maximum:
            return Err(f"{number} is not between {minimum} and {maximum}")
        return Ok(number)

    return parse


def fraction(minimum: float, maximum: float) -> Callable[[str], Result[float, str]]:
    """Return a parser of decimals from ``minimum`` to ``maximum`` inclusive."""

    def parse(value: str) -> Result[float, str]:
        try:
            number = float(value)
        except ValueError:
            return Err(f"{value!r} is not a number")
        if not minimum <= number <= maximum:
            return Err(f"{value} is not between {minimum} and {maximum}")
        return Ok(number)

    return parse


def milliseconds(minimum: int, maximum: int) -> Callable[[str], Result[timedelta, str]]:
    """Return a parser of durations given in whole milliseconds."""
    parse = integer(minimum, maximum)

    @lru_cache(CACHED_TEXTS)
    def parse_duration(value: str) -> Result[timedelta, str]:
        return parse(value).map(lambda ms: timedelta(milliseconds=ms))

    return parse_duration


@lru_cache(CACHED_TEXTS)
def boolean(value: str) -> Result[bool, str]:
    """Parse ``true`` or ``false``, in any case."""
    words = {"true": True, "false": False}
    word = value.strip().lower()
    return Ok(words[word]) if word in words else Err(f"{value!r} is not true or false")


def choice(words: Iterable[str]) -> Callable[[str], Result[str, str]]:
    """Return a parser that accepts only the given words."""
    allowed = tuple(words)

    def parse(value: str) -> Result[str, str]:
        word = value.strip()
        if word in allowed:
            return Ok(word)
        return Err(f"{value!r} is none of {', '.join(allowed)}")

    return parse


def timestamp(value: str) -> Result[datetime, str]:
    """Parse an ISO 8601 time with a UTC offset into an aware datetime in UTC."""
    try:
        parsed = datetime.fromisoformat(value.strip())
        if parsed.tzinfo is None:
            return Err(f"{value!r} has no offset from UTC")
        return Ok(parsed.astimezone(UTC))
    except (ValueError, OverflowError):
        return Err(f"{value!r} is not an ISO 8601 time from year 1 to 9999, UTC")


def comma_separated(
    parse_item: Callable[[str], Result[Any, str]],
) -> Callable[[str], Result[tuple[Any, ...], str]]:
    """Return a parser of comma-separated lists; empty items are skipped."""

    @lru_cache(CACHED_TEXTS)
    def parse(value: str) -> Result[tuple[Any, ...], str]:
        results = [parse_item(part) for part in value.split(",") if part.strip()]
        reasons = [result.err_value for result in results if isinstance(result, Err)]
        if reasons:
            return Err("; ".join(reasons))
        return Ok(tuple(result.unwrap() for result in results))

    return parse


def address(value: str) -> Result[Address, str]:
    """Parse an ``IP:PORT``."""
    return parse_address(value)


def read_fields(
    source: str, section: IniSection, specs: Collection[FieldSpec]
) -> Result[dict[str, Any], tuple[Finding, ...]]:
    """Parse the fields of a section; the error holds all findings.

    The result maps each field's name, without a unit suffix ``_ms``, to its
    value: durations in milliseconds are parsed into a timedelta.
    """
    findings: list[Finding] = []
    given = section.fields
    known_count = 0
    values: dict[str, Any] = {}
    for spec in specs:
        field = given.get(spec.name)
        known_count += field is not None
        result = _parse_field(spec, field)
        if isinstance(result, Err):
            line = section.line if field is None else field.line
            findings.append(
                Finding(source, line, section.name, spec.name, result.err_value)
            )
        else:
            values[spec.name.removesuffix("_ms")] = result.ok_value
    if known_count < len(given):
        known = {spec.name for spec in specs}
        findings.extend(
            Finding(source, field.line, section.name, field.key, "unknown field")
            for name, field in given.items()
            if name not in known
        )
    return Err(tuple(findings)) if findings else Ok(values)


def _parse_field(spec: FieldSpec, field: IniField | None) -> Result[Any, str]:
    """Return a field's value or its default; the error says what is wrong."""
    if field is not None:
        return spec.parse(field.value)
    return Err("is missing") if spec.is_required else Ok(spec.default)


__all__ = [
    "REQUIRED",
    "FieldSpec",
    "address",
    "boolean",
    "choice",
    "comma_separated",
    "fraction",
    "integer",
    "milliseconds",
    "name",
    "read_fields",
    "text",
    "timestamp",
]
