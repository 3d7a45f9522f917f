"""Options and arguments shared by several commands."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer


PlatformOption = Annotated[
    str,
    typer.Option(
        "--platform", envvar="BRIARSLIP_PLATFORM", help="IP:PORT of the store"
    ),
]
DaemonOption = Annotated[
    list[str],
    typer.Option(
        "--daemon", envvar="BRIARSLIP_DAEMON", help="IP:PORT of a daemon's admin port"
    ),
]
FilesArgument = Annotated[
    list[Path], typer.Argument(help="INI files with records", exists=True)
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print the result as JSON")]

WaitOption = Annotated[
    float,
    typer.Option(
        "--wait-s", min=0.0, help="Wait up to this many seconds for the outcome"
    ),
]
VersionOption = Annotated[
    int,
    typer.Option(
        "--version", min=0, help="Configuration version to wait for, or a newer one"
    ),
]


__all__ = [
    "DaemonOption",
    "FilesArgument",
    "JsonOption",
    "PlatformOption",
    "VersionOption",
    "WaitOption",
]
