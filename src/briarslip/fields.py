"""Typed fields of settings and records, read from text."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

from briarslip.address import parse_address
from briarslip.finding import Finding


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarslip.address import Address
    from briarslip.ini import IniField
    from briarslip.ini import IniSection


REQUIRED = object()


@dataclass(frozen=True, slots=True)
class FieldSpec:
    """A field's name, how its text is read, and what stands in when absent."""

    name: str
    parse: Callable[[str], Result[Any, str]]
    default: Any = REQUIRED

    @property
    def required(self) -> bool:
        """Whether the field must be given."""
        return self.default is REQUIRED


def text(value: str) -> Result[str, str]:
    """Read text that is not empty."""
    return Ok(value.strip()) if value.strip() else Err("is empty")


def name(value: str) -> Result[str, str]:
    """Read a name: letters, digits, dot, dash and underscore."""
    stripped = value.strip()
    if stripped and all(c.isascii() and (c.isalnum() or c in "._-") for c in stripped):
        return Ok(stripped)
    return Err(f"{value!r} is not a name of letters, digits, '.', '_', '-'")


def integer(minimum: int, maximum: int) -> Callable[[str], Result[int, str]]:
    """Return a reader of whole numbers within bounds, both included."""

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
    """Return a reader of fractions within bounds, both included."""

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
    """Return a reader of durations given as whole milliseconds."""
    read = integer(minimum, maximum)
    return lambda value: read(value).map(lambda ms: timedelta(milliseconds=ms))


def boolean(value: str) -> Result[bool, str]:
    """Read ``true`` or ``false``."""
    words = {"true": True, "false": False}
    word = value.strip().lower()
    return Ok(words[word]) if word in words else Err(f"{value!r} is not true or false")


def choice(words: Iterable[str]) -> Callable[[str], Result[str, str]]:
    """Return a reader that admits only some words."""
    allowed = tuple(words)

    def parse(value: str) -> Result[str, str]:
        word = value.strip()
        if word in allowed:
            return Ok(word)
        return Err(f"{value!r} is none of {', '.join(allowed)}")

    return parse


def timestamp(value: str) -> Result[datetime, str]:
    """Read an ISO 8601 time with its offset, as an aware UTC datetime."""
    try:
        parsed = datetime.fromisoformat(value.strip())
        if parsed.tzinfo is None:
            return Err(f"{value!r} has no offset from UTC")
        return Ok(parsed.astimezone(UTC))
    except (ValueError, OverflowError):
        return Err(f"{value!r} is not an ISO 8601 time from year 1 to 9999, UTC")


def comma_separated(
    read: Callable[[str], Result[Any, str]],
) -> Callable[[str], Result[tuple[Any, ...], str]]:
    """Return a reader of a comma-separated list."""

    def parse(value: str) -> Result[tuple[Any, ...], str]:
        results = [read(part) for part in value.split(",") if part.strip()]
        reasons = [result.err_value for result in results if isinstance(result, Err)]
        if reasons:
            return Err("; ".join(reasons))
        return Ok(tuple(result.unwrap() for result in results))

    return parse


def address(value: str) -> Result[Address, str]:
    """Read an ``IP:PORT``."""
    return parse_address(value)


def read_fields(
    source: str, section: IniSection, specs: Iterable[FieldSpec]
) -> Result[dict[str, Any], tuple[Finding, ...]]:
    """Read a section by its specs; the error holds all findings.

    The values stand under the field's name without its unit ``_ms``, since a
    duration is read into a timedelta.
    """
    findings: list[Finding] = []
    given = dict(section.fields)
    values: dict[str, Any] = {}
    for spec in specs:
        field = given.pop(spec.name, None)
        result = _read_field(spec, field)
        if isinstance(result, Err):
            line = section.line if field is None else field.line
            findings.append(
                Finding(source, line, section.name, spec.name, result.err_value)
            )
        else:
            values[spec.name.removesuffix("_ms")] = result.ok_value
    findings.extend(
        Finding(source, field.line, section.name, field.key, "unknown field")
        for field in given.values()
    )
    return Err(tuple(findings)) if findings else Ok(values)


def _read_field(spec: FieldSpec, field: IniField | None) -> Result[Any, str]:
    """Return a field's value or its default; the error is a reason."""
    if field is not None:
        return spec.parse(field.value)
    return Err("is missing") if spec.required else Ok(spec.default)


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
