"""Reading of the INI files in which operators write records."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from result import Err

from briarslip.console.runtime import EXIT_INVALID_INPUT
from briarslip.finding import Finding
from briarslip.finding import format_findings
from briarslip.version.record import records_from_ini


if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from briarslip.version.record import Record
    from briarslip.version.record import RecordKey


def read_record_files(paths: Iterable[Path]) -> list[Record]:
    """Return the records of all files, or print all findings and exit."""
    records: dict[RecordKey, Record] = {}
    findings: list[Finding] = []
    for path in paths:
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            findings.append(Finding(str(path), 0, "", "", f"cannot be read: {error}"))
            continue
        result = records_from_ini(text, str(path))
        if isinstance(result, Err):
            findings.extend(result.err_value)
            continue
        for record in result.ok_value:
            if record.key in records:
                reason = "duplicate record, also in another file"
                findings.append(Finding(str(path), 0, str(record.key), "", reason))
            records[record.key] = record
    if findings:
        print(format_findings(tuple(findings)), file=sys.stderr)
        raise SystemExit(EXIT_INVALID_INPUT)
    return list(records.values())


__all__ = ["read_record_files"]
