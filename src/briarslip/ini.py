"""INI documents with the line number of each section and field."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from briarslip.finding import Finding


if TYPE_CHECKING:
    import configparser
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class IniField:
    """One ``key = value`` of a section."""

    key: str
    value: str
    line: int


@dataclass(frozen=True, slots=True)
class IniSection:
    """One ``[section]`` with its fields by key; ``line`` is that of its header."""

    name: str
    line: int
    fields: Mapping[str, IniField]


@dataclass(frozen=True, slots=True)
class IniDocument:
    """A parsed INI document; ``source`` is its file name."""

    source: str
    sections: tuple[IniSection, ...]


def parse_ini(text: str, source: str) -> Result[IniDocument, tuple[Finding, ...]]:
    """Parse INI text; the error holds a finding for each syntax error found."""
    # A daemon whose settings and records are not INI text parses none.
    import configparser

    parser = configparser.ConfigParser(
        interpolation=None, strict=True, default_section="", allow_no_value=False
    )
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        return Err(_syntax_findings(error, source))
    lines = _line_numbers(text)
    sections = tuple(
        IniSection(
            name=name,
            line=lines.get((name, ""), 0),
            fields={
                key: IniField(key, value, lines.get((name, key), 0))
                for key, value in parser.items(name)
            },
        )
        for name in parser.sections()
    )
    return Ok(IniDocument(source, sections))


def _syntax_findings(error: configparser.Error, source: str) -> tuple[Finding, ...]:
    import configparser

    if isinstance(error, configparser.MissingSectionHeaderError):
        return (
            Finding(source, error.lineno, "", "", "field before the first [section]"),
        )
    if isinstance(error, configparser.ParsingError):
        return tuple(
            Finding(source, line, "", "", f"expected 'key = value', got {text}")
            for line, text in error.errors
        )
    if isinstance(error, configparser.DuplicateOptionError):
        reason = "duplicate field in this section"
        line = error.lineno or 0
        return (Finding(source, line, error.section, error.option, reason),)
    if isinstance(error, configparser.DuplicateSectionError):
        line = error.lineno or 0
        return (Finding(source, line, error.section, "", "duplicate section"),)
    return (Finding(source, 0, "", "", error.message),)


def _line_numbers(text: str) -> dict[tuple[str, str], int]:
    """Return line numbers by section and key; the key of a header is empty."""
    numbers: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith("[") and "]" in stripped:
            section = stripped[1 : stripped.index("]")]
            numbers.setdefault((section, ""), number)
            continue
        if not stripped or line[0].isspace() or stripped[0] in "#;":
            continue
        key = stripped.replace(":", "=", 1).partition("=")[0].strip().lower()
        numbers.setdefault((section, key), number)
    return numbers


__all__ = ["IniDocument", "IniField", "IniSection", "parse_ini"]
