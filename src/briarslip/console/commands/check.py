"""``briarslip check``: check record files without writing to the store."""

from __future__ import annotations

from briarslip.console.options import FilesArgument  # noqa: TC001  # read by typer
from briarslip.console.record_files import read_record_files


def check(files: FilesArgument) -> None:
    """Check record files and print every finding."""
    records = read_record_files(files)
    print(f"{len(records)} records are valid")


__all__ = ["check"]
