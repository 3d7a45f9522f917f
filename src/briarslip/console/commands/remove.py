"""``briarslip remove``: remove records as one change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarslip.console.current_records import fetch_current_records
from briarslip.console.options import PlatformOption  # noqa: TC001  # read by typer
from briarslip.console.options import WaitOption  # noqa: TC001  # read by typer
from briarslip.console.record_name import RecordName
from briarslip.console.record_name import RecordsArgument  # by typer
from briarslip.console.runtime import EXIT_FAILED
from briarslip.console.runtime import exit_with_error
from briarslip.console.write_change import write_and_report
from briarslip.process.distribution.change_writer import RecordWrite


if TYPE_CHECKING:
    from briarslip.process.store.client import StoreClient


def remove(
    records: RecordsArgument, platform: PlatformOption, wait_s: WaitOption = 0.0
) -> None:
    """Remove records, in one or all of their schemas, as one change."""
    names = [RecordName.from_argument(text) for text in records]

    async def plan_writes(client: StoreClient) -> list[RecordWrite]:
        writes: list[RecordWrite] = []
        for name in names:
            found = await fetch_current_records(client, name)
            if not found:
                exit_with_error(
                    EXIT_FAILED, f"no record {name.kind}/{name.name} in the store"
                )
            writes += [
                RecordWrite(record.key, None, record.revision) for record in found
            ]
        return writes

    write_and_report(platform, plan_writes, wait_s)


__all__ = ["remove"]
