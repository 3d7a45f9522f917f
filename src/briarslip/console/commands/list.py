"""``briarslip list``: list the records in the store."""

from __future__ import annotations

from typing import Annotated

import typer

from briarslip.console.current_records import as_json
from briarslip.console.current_records import read_current_records
from briarslip.console.options import JsonOption  # noqa: TC001  # read by typer
from briarslip.console.options import PlatformOption  # noqa: TC001  # read by typer
from briarslip.console.runtime import print_json


def list_records(
    platform: PlatformOption,
    kind: Annotated[str, typer.Argument(help="List only records of this kind")] = "",
    json: JsonOption = False,
) -> None:
    """Print the key of each record and the change that wrote it."""
    stored = read_current_records(platform, None)
    records = [record for record in stored if kind in ("", record.key.kind)]
    if json:
        print_json([as_json(record) for record in records])
        return
    for record in records:
        key = record.key
        print(f"{key.kind:<10} {key.name:<32} schema {key.schema} {record.change}")


__all__ = ["list_records"]
