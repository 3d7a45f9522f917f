"""``briarslip remove``: remove records, in one or all schemas, as one change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.console.change import write_and_report
from briarslip.console.options import PlatformOption  # noqa: TC001  # read by typer
from briarslip.console.options import WaitOption  # noqa: TC001  # read by typer
from briarslip.console.record_name import RecordName
from briarslip.console.record_name import RecordsArgument  # by typer
from briarslip.console.runtime import EXIT_FAILED
from briarslip.console.runtime import fail
from briarslip.console.stored import fetch_stored
from briarslip.process.distribution.change_writer import RecordWrite


if TYPE_CHECKING:
    from briarslip.process.store.client import StoreClient


def remove(
    records: RecordsArgument, platform: PlatformOption, wait_s: WaitOption = 0.0
) -> None:
    """Remove records as one change."""
    names = [RecordName.from_argument(text) for text in records]

    async def plan(client: StoreClient) -> list[RecordWrite]:
        writes: list[RecordWrite] = []
        for name in names:
            forms = await fetch_stored(client, name)
            if not forms:
                fail(EXIT_FAILED, f"no record {name.kind}/{name.name}")
            writes += [RecordWrite(form.key, None, form.revision) for form in forms]
        return writes

    write_and_report(platform, plan, wait_s)


__all__ = ["remove"]
