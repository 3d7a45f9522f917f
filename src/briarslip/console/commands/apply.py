"""``briarslip apply``: write record files as one change."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any
from typing import Optional

import typer
from result import Err

from briarslip.console.options import FilesArgument  # noqa: TC001  # read by typer
from briarslip.console.options import PlatformOption  # noqa: TC001  # read by typer
from briarslip.console.record_files import read_files
from briarslip.console.session import EXIT_LOST_RACE
from briarslip.console.session import EXIT_NO_ANSWER
from briarslip.console.session import fail
from briarslip.console.session import read_address
from briarslip.console.session import run
from briarslip.process.change_writer import LostRace
from briarslip.process.change_writer import RecordWrite
from briarslip.process.change_writer import WriteFailed
from briarslip.process.change_writer import write_change


if TYPE_CHECKING:
    from result import Result

    from briarslip.process.change_writer import ChangeError
    from briarslip.process.change_writer import WrittenChange


ReadAtOption = Annotated[
    Optional[int],  # noqa: UP045  # read by typer
    typer.Option(help="refuse if a record was written after this revision"),
]


def apply(
    files: FilesArgument, platform: PlatformOption, read_at: ReadAtOption = None
) -> None:
    """Write the records of INI files to the platform as one change."""
    records = [
        RecordWrite(record.key, record.fields, read_at) for record in read_files(files)
    ]
    address = read_address(platform)

    async def work(reactor: Any) -> Result[WrittenChange, ChangeError]:
        from briarslip.process.etcd_gateway import EtcdGatewayClient

        client = EtcdGatewayClient.from_address(reactor, address.host, address.port)
        return await write_change(client, records, lambda: uuid.uuid4().hex)

    report_change(run(work))


def report_change(result: Result[WrittenChange, ChangeError]) -> None:
    """Print what became of the writing of a change, and exit if it failed."""
    if isinstance(result, Err):
        error = result.err_value
        if isinstance(error, LostRace):
            fail(EXIT_LOST_RACE, _lost_race(error))
        fail(EXIT_NO_ANSWER, _write_failed(error))
    written = result.ok_value
    if not written.keys:
        print("nothing to change")
        return
    print(f"change {written.change}: wrote {len(written.keys)} records")


def _lost_race(error: LostRace) -> str:
    text = f"another operator wrote {error.key} first; nothing of this is in force"
    if error.left:
        left = ", ".join(str(key) for key in error.left)
        text = f"{text}; without effect, but still there: {left}"
    return text


def _write_failed(error: WriteFailed) -> str:
    if not error.in_doubt:
        return f"{error.reason}; nothing was written"
    keys = ", ".join(str(key) for key in error.in_doubt)
    return (
        f"{error.reason}; may be written: {keys}; nothing of it is in force"
        f" unless 'briarslip change {error.change}' says so"
    )


__all__ = ["apply", "report_change"]
