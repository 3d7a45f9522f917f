"""``briarslip apply``: write record files as one change."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated
from typing import Optional

import typer

from briarslip.console.options import FilesArgument  # noqa: TC001  # read by typer
from briarslip.console.options import PlatformOption  # noqa: TC001  # read by typer
from briarslip.console.options import WaitOption  # noqa: TC001  # read by typer
from briarslip.console.record_files import read_record_files
from briarslip.console.write_change import write_and_report
from briarslip.process.distribution.change_writer import RecordWrite


if TYPE_CHECKING:
    from briarslip.process.store.client import StoreClient


ReadAtOption = Annotated[
    Optional[int],  # noqa: UP045  # read by typer
    typer.Option(
        help="reject the change if a record was written after this store revision"
    ),
]


def apply(
    files: FilesArgument,
    platform: PlatformOption,
    wait_s: WaitOption = 0.0,
    read_at: ReadAtOption = None,
) -> None:
    """Write the records of INI files to the store as one change."""
    writes = [
        RecordWrite(record.key, record.fields, read_at)
        for record in read_record_files(files)
    ]

    async def plan_writes(_: StoreClient) -> list[RecordWrite]:
        return writes

    write_and_report(platform, plan_writes, wait_s)


__all__ = ["apply"]
