"""``briarslip remove``: remove one record."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated

import typer

from briarslip.console.change import write_and_report
from briarslip.console.options import PlatformOption  # noqa: TC001  # read by typer
from briarslip.console.options import WaitOption  # noqa: TC001  # read by typer
from briarslip.console.session import EXIT_FAILED
from briarslip.console.session import fail
from briarslip.console.stored import fetch_stored
from briarslip.process.change_writer import RecordWrite


if TYPE_CHECKING:
    from briarslip.process.platform import PlatformClient


def remove(
    kind: Annotated[str, typer.Argument(help="Kind of the record")],
    name: Annotated[str, typer.Argument(help="Name of the record")],
    platform: PlatformOption,
    wait_s: WaitOption = 0.0,
) -> None:
    """Remove every schema's form of a record as one change."""

    async def plan(client: PlatformClient) -> list[RecordWrite]:
        forms = await fetch_stored(client, f"{kind}/{name}/")
        if not forms:
            fail(EXIT_FAILED, f"no record {kind} {name}")
        return [RecordWrite(form.key, None) for form in forms]

    write_and_report(platform, plan, wait_s)


__all__ = ["remove"]
