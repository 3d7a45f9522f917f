"""``briarslip get``: print one record."""

from __future__ import annotations

from typing import Annotated

import typer

from briarslip.console.options import JsonOption  # noqa: TC001  # read by typer
from briarslip.console.options import PlatformOption  # noqa: TC001  # read by typer
from briarslip.console.session import EXIT_FAILED
from briarslip.console.session import fail
from briarslip.console.session import print_json
from briarslip.console.stored import as_ini
from briarslip.console.stored import as_json
from briarslip.console.stored import read_stored


def get(
    kind: Annotated[str, typer.Argument(help="Kind of the record")],
    name: Annotated[str, typer.Argument(help="Name of the record")],
    platform: PlatformOption,
    json: JsonOption = False,
) -> None:
    """Print every schema's form of a record as it stands on the platform."""
    forms = read_stored(platform, f"{kind}/{name}/")
    if not forms:
        fail(EXIT_FAILED, f"no record {kind} {name}")
    if json:
        print_json([as_json(form) for form in forms])
        return
    print("\n".join(as_ini(form) for form in forms), end="")


__all__ = ["get"]
