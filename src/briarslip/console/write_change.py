"""Write a change to the store and report its outcome to the operator."""

from __future__ import annotations

import json
import time
import uuid
from typing import TYPE_CHECKING
from typing import Any
from typing import NoReturn

from result import Err
from result import Ok
from result import Result

from briarslip.console.runtime import EXIT_CONFLICT
from briarslip.console.runtime import EXIT_NO_ANSWER
from briarslip.console.runtime import EXIT_REJECTED
from briarslip.console.runtime import EXIT_TIMED_OUT
from briarslip.console.runtime import exit_with_error
from briarslip.console.runtime import run_in_reactor
from briarslip.console.runtime import sleep
from briarslip.console.runtime import store_client
from briarslip.process.distribution.change_status import CHANGE_STATUS_PREFIX
from briarslip.process.distribution.change_writer import WriteConflict
from briarslip.process.distribution.change_writer import write_change


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from briarslip.process.distribution.change_writer import ChangeError
    from briarslip.process.distribution.change_writer import RecordWrite
    from briarslip.process.distribution.change_writer import WriteFailed
    from briarslip.process.distribution.change_writer import WrittenChange
    from briarslip.process.store.client import StoreClient


POLL_INTERVAL_SECONDS = 0.1


def write_and_report(
    store_address: str,
    plan_writes: Callable[[StoreClient], Coroutine[Any, Any, list[RecordWrite]]],
    wait_seconds: float,
) -> None:
    """Write the planned records as one change; print the outcome or exit.

    If ``wait_seconds`` is not 0, wait up to that long for the daemons to accept
    or reject the change.
    """

    async def write_and_wait(
        reactor: Any,
    ) -> tuple[Result[WrittenChange, ChangeError], dict[str, Any] | None]:
        client = store_client(reactor, store_address)
        writes = await plan_writes(client)
        written = await write_change(client, writes, lambda: uuid.uuid4().hex)
        if isinstance(written, Err) or not written.ok_value.keys or not wait_seconds:
            return written, None
        change = written.ok_value.change
        return written, await _await_status(reactor, client, change, wait_seconds)

    written, status = run_in_reactor(write_and_wait)
    if isinstance(written, Err):
        _exit_write_failed(written.err_value)
    change = written.ok_value
    if not change.keys:
        print("nothing to change: the records in the store already match")
        return
    print(f"change {change.change}: wrote {len(change.keys)} records")
    if wait_seconds:
        _print_status(change.change, status, wait_seconds)


async def _await_status(
    reactor: Any, client: StoreClient, change: str, wait_seconds: float
) -> dict[str, Any] | None:
    deadline = time.monotonic() + wait_seconds
    while time.monotonic() < deadline:
        found = await client.get(f"{CHANGE_STATUS_PREFIX}{change}")
        if isinstance(found, Ok) and found.ok_value is not None:
            status: dict[str, Any] = json.loads(found.ok_value.value)
            return status
        await sleep(reactor, POLL_INTERVAL_SECONDS)
    return None


def _print_status(
    change: str, status: dict[str, Any] | None, wait_seconds: float
) -> None:
    if status is None:
        exit_with_error(
            EXIT_TIMED_OUT,
            f"change {change}: no status reported within {wait_seconds:g} s",
        )
    if status["state"] != "accepted":
        findings = "\n".join(status.get("findings", ()))
        exit_with_error(
            EXIT_REJECTED, f"change {change} is {status['state']}:\n{findings}"
        )
    print(f"accepted in version {status['version']}")


def _exit_write_failed(error: ChangeError) -> NoReturn:
    if isinstance(error, WriteConflict):
        exit_with_error(EXIT_CONFLICT, _conflict_message(error))
    exit_with_error(EXIT_NO_ANSWER, f"the store failed: {_failure_message(error)}")


def _conflict_message(error: WriteConflict) -> str:
    text = (
        f"another operator wrote {error.key} first;"
        " no record of this change is in force"
    )
    if error.not_restored:
        not_restored = ", ".join(str(key) for key in error.not_restored)
        text = f"{text}; not restored, but without effect: {not_restored}"
    return text


def _failure_message(error: WriteFailed) -> str:
    if not error.maybe_written:
        return f"{error.reason}; nothing was written"
    keys = ", ".join(str(key) for key in error.maybe_written)
    return (
        f"{error.reason}; possibly written: {keys}; no record of this change is in"
        f" force unless 'briarslip change {error.change}' reports it as accepted"
    )


__all__ = ["write_and_report"]
