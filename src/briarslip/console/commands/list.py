"""``briarslip list``: print the records there are."""

from __future__ import annotations

from typing import Annotated

import typer

from briarslip.console.options import JsonOption  # noqa: TC001  # read by typer
from briarslip.console.options import PlatformOption  # noqa: TC001  # read by typer
from briarslip.console.runtime import print_json
from briarslip.console.stored import as_json
from briarslip.console.stored import read_stored


def list_records(
    platform: PlatformOption,
    kind: Annotated[str, typer.Argument(help="Only this kind")] = "",
    json: JsonOption = False,
) -> None:
    """Print the key and the change of each record."""
    stored = read_stored(platform, None)
    forms = [form for form in stored if kind in ("", form.key.kind)]
    if json:
        print_json([as_json(form) for form in forms])
        return
    for form in forms:
        key = form.key
        print(f"{key.kind:<10} {key.name:<32} schema {key.schema} {form.change}")


__all__ = ["list_records"]
