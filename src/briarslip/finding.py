"""Findings: errors in an input, with their location."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One error in an input with its location.

    ``source`` is a file name, a record key or a peer address; ``line`` counts
    from 1 and is 0 if the source has no lines.
    """

    source: str
    line: int
    section: str
    field: str
    reason: str

    def __str__(self) -> str:
        location = f"{self.source}:{self.line}" if self.line else self.source
        element = f"[{self.section}]" if self.section else ""
        if self.field:
            element = f"{element} {self.field}".strip()
        return (
            f"{location}: {element}: {self.reason}"
            if element
            else f"{location}: {self.reason}"
        )


def format_findings(findings: tuple[Finding, ...]) -> str:
    """Return the findings as text, one per line, sorted by location."""
    return "\n".join(str(finding) for finding in sorted(findings))


__all__ = ["Finding", "format_findings"]
