"""Options that several commands share."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer


PlatformOption = Annotated[
    str,
    typer.Option(
        "--platform", envvar="BRIARSLIP_PLATFORM", help="IP:PORT of the platform"
    ),
]
DaemonOption = Annotated[
    list[str],
    typer.Option(
        "--daemon", envvar="BRIARSLIP_DAEMON", help="IP:PORT of a daemon's admin port"
    ),
]
FilesArgument = Annotated[
    list[Path], typer.Argument(help="INI files of records", exists=True)
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON")]

WaitOption = Annotated[
    float, typer.Option("--wait-s", min=0.0, help="Wait up to this many seconds")
]
VersionOption = Annotated[
    int, typer.Option("--version", min=0, help="The least version to wait for")
]


__all__ = [
    "DaemonOption",
    "FilesArgument",
    "JsonOption",
    "PlatformOption",
    "VersionOption",
    "WaitOption",
]
