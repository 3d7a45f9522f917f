"""Findings: what is wrong with an input, and where."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One fault of an input with its place.

    ``source`` is a file name, a record key or a peer address; ``line`` counts
    from 1 and is 0 where the source has no lines.
    """

    source: str
    line: int
    section: str
    field: str
    reason: str

    def __str__(self) -> str:
        place = f"{self.source}:{self.line}" if self.line else self.source
        where = f"[{self.section}]" if self.section else ""
        if self.field:
            where = f"{where} {self.field}".strip()
        return (
            f"{place}: {where}: {self.reason}" if where else f"{place}: {self.reason}"
        )


def format_findings(findings: tuple[Finding, ...]) -> str:
    """Return the findings as text, a line each, ordered by place."""
    return "\n".join(str(finding) for finding in sorted(findings))


__all__ = ["Finding", "format_findings"]
