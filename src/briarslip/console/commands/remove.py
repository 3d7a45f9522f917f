"""``briarslip remove``: remove records, in one or all schemas, as one change."""

from __future__ import annotations

import uuid
from typing import Annotated
from typing import Any

import typer
from result import Err
from result import Result

from briarslip.console.commands.apply import report_change
from briarslip.console.options import PlatformOption  # noqa: TC001  # read by typer
from briarslip.console.session import EXIT_BAD_INPUT
from briarslip.console.session import fail
from briarslip.console.session import read_address
from briarslip.console.session import run
from briarslip.process.change_writer import ChangeError
from briarslip.process.change_writer import RecordWrite
from briarslip.process.change_writer import WriteFailed
from briarslip.process.change_writer import WrittenChange
from briarslip.process.change_writer import write_change
from briarslip.version.record import KINDS
from briarslip.version.record import RECORDS_PREFIX
from briarslip.version.record import RecordKey
from briarslip.version.record import parse_key


RecordsArgument = Annotated[
    list[str], typer.Argument(help="records as KIND/NAME, or KIND/NAME/SCHEMA")
]


def remove(records: RecordsArgument, platform: PlatformOption) -> None:
    """Remove records from the platform as one change."""
    for record in records:
        parts = record.split("/")
        if parts[0] not in KINDS or len(parts) not in {2, 3} or not all(parts):
            fail(EXIT_BAD_INPUT, f"{record!r} is not KIND/NAME or KIND/NAME/SCHEMA")
    address = read_address(platform)

    async def work(reactor: Any) -> Result[WrittenChange, ChangeError]:
        from briarslip.process.etcd_gateway import EtcdGatewayClient

        client = EtcdGatewayClient.from_address(reactor, address.host, address.port)
        writes: list[RecordWrite] = []
        for record in records:
            found = await client.range(f"{RECORDS_PREFIX}{record}")
            if isinstance(found, Err):
                return Err(WriteFailed(found.err_value.reason, ()))
            for item in found.ok_value.items:
                key = parse_key(item.key)
                if key is not None and _is_named(key, record):
                    writes.append(RecordWrite(key, None, found.ok_value.revision))
        return await write_change(client, writes, lambda: uuid.uuid4().hex)

    report_change(run(work))


def _is_named(key: RecordKey, record: str) -> bool:
    return record in {f"{key.kind}/{key.name}", f"{key.kind}/{key.name}/{key.schema}"}


__all__ = ["remove"]
