"""``briarslip change``: what became of a change."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any

import typer
from result import Err

from briarslip.console.options import PlatformOption  # noqa: TC001  # read by typer
from briarslip.console.runtime import EXIT_FAILED
from briarslip.console.runtime import EXIT_NO_ANSWER
from briarslip.console.runtime import fail
from briarslip.console.runtime import platform_client
from briarslip.console.runtime import print_json
from briarslip.console.runtime import run
from briarslip.process.distribution.change_status import CHANGE_STATUS_PREFIX


if TYPE_CHECKING:
    from result import Result

    from briarslip.process.store.client import KeyValue
    from briarslip.process.store.client import StoreError


ChangeArgument = Annotated[str, typer.Argument(help="the id that apply printed")]


def change(change_id: ChangeArgument, platform: PlatformOption) -> None:
    """Print whether a change was accepted, and if not, why."""

    async def work(reactor: Any) -> Result[KeyValue | None, StoreError]:
        client = platform_client(reactor, platform)
        return await client.get(f"{CHANGE_STATUS_PREFIX}{change_id}")

    result = run(work)
    if isinstance(result, Err):
        fail(EXIT_NO_ANSWER, result.err_value.reason)
    if result.ok_value is None:
        fail(EXIT_FAILED, "not looked at yet, or too long ago")
    print_json(json.loads(result.ok_value.value))


__all__ = ["change"]
