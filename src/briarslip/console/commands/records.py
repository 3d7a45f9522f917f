"""``briarslip records``: the records on the platform, as INI."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any

import typer
from result import Err

from briarslip.console.options import PlatformOption  # noqa: TC001  # read by typer
from briarslip.console.session import EXIT_NO_ANSWER
from briarslip.console.session import fail
from briarslip.console.session import read_address
from briarslip.console.session import run
from briarslip.version.record import RECORDS_PREFIX
from briarslip.version.record import parse_key
from briarslip.version.stored_record import decode_stored_record


if TYPE_CHECKING:
    from result import Result

    from briarslip.process.platform import KeyValue
    from briarslip.process.platform import PlatformError
    from briarslip.process.platform import RangeReply


PrefixArgument = Annotated[str, typer.Argument(help="KIND/ or KIND/NAME to begin with")]


def records(platform: PlatformOption, prefix: PrefixArgument = "") -> None:
    """Print records as operators wrote them last, with the revision read at."""
    address = read_address(platform)

    async def work(reactor: Any) -> Result[RangeReply, PlatformError]:
        from briarslip.process.etcd_gateway import EtcdGatewayClient

        client = EtcdGatewayClient.from_address(reactor, address.host, address.port)
        return await client.range(f"{RECORDS_PREFIX}{prefix}")

    reply = run(work)
    if isinstance(reply, Err):
        fail(EXIT_NO_ANSWER, reply.err_value.reason)
    print(f"# --read-at {reply.ok_value.revision}")
    for item in reply.ok_value.items:
        print_record(item)


def print_record(item: KeyValue) -> None:
    """Print one record, unless it is removed."""
    key = parse_key(item.key)
    stored = decode_stored_record(item.value, item.mod_revision)
    if key is None or isinstance(stored, Err):
        print(f"# {item.key} can't be read")
        return
    write = stored.ok_value.write
    if write.fields is None:
        return
    print(f"\n# change {write.change.id}\n[{key.kind} {key.name}]")
    print(f"schema = {key.schema}")
    for name, value in write.fields.items():
        print(f"{name} = {value}")


__all__ = ["records"]
