"""``briarslip change``: print the status of a change."""

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
from briarslip.console.runtime import exit_with_error
from briarslip.console.runtime import print_json
from briarslip.console.runtime import run_in_reactor
from briarslip.console.runtime import store_client
from briarslip.process.distribution.change_status import CHANGE_STATUS_PREFIX


if TYPE_CHECKING:
    from result import Result

    from briarslip.process.store.client import KeyValue
    from briarslip.process.store.client import StoreError


ChangeArgument = Annotated[
    str, typer.Argument(help="id of the change, as printed by apply or remove")
]


def change(change_id: ChangeArgument, platform: PlatformOption) -> None:
    """Print whether a change was accepted, and the findings if it was rejected."""

    async def read_status(reactor: Any) -> Result[KeyValue | None, StoreError]:
        client = store_client(reactor, platform)
        return await client.get(f"{CHANGE_STATUS_PREFIX}{change_id}")

    result = run_in_reactor(read_status)
    if isinstance(result, Err):
        exit_with_error(EXIT_NO_ANSWER, result.err_value.reason)
    if result.ok_value is None:
        exit_with_error(
            EXIT_FAILED,
            f"change {change_id} has no status: not processed yet, expired or unknown",
        )
    print_json(json.loads(result.ok_value.value))


__all__ = ["change"]
