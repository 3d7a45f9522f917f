"""Writing a change and telling the operator what became of it."""

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

from briarslip.console.runtime import EXIT_LOST_RACE
from briarslip.console.runtime import EXIT_NO_ANSWER
from briarslip.console.runtime import EXIT_REFUSED
from briarslip.console.runtime import EXIT_TIMED_OUT
from briarslip.console.runtime import fail
from briarslip.console.runtime import pause
from briarslip.console.runtime import platform_client
from briarslip.console.runtime import run
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


POLL_SECONDS = 0.1


def write_and_report(
    platform: str,
    plan: Callable[[StoreClient], Coroutine[Any, Any, list[RecordWrite]]],
    wait_s: float,
) -> None:
    """Write the planned records as one change; print the outcome or exit.

    With ``wait_s``, wait until the change is accepted or refused.
    """

    async def work(
        reactor: Any,
    ) -> tuple[Result[WrittenChange, ChangeError], dict[str, Any] | None]:
        client = platform_client(reactor, platform)
        records = await plan(client)
        written = await write_change(client, records, lambda: uuid.uuid4().hex)
        if isinstance(written, Err) or not written.ok_value.keys or not wait_s:
            return written, None
        change = written.ok_value.change
        return written, await _await_status(reactor, client, change, wait_s)

    written, status = run(work)
    if isinstance(written, Err):
        _fail_write(written.err_value)
    change = written.ok_value
    if not change.keys:
        print("nothing to change")
        return
    print(f"change {change.change}: wrote {len(change.keys)} records")
    if wait_s:
        _report_status(change.change, status, wait_s)


async def _await_status(
    reactor: Any, client: StoreClient, change: str, wait_s: float
) -> dict[str, Any] | None:
    deadline = time.monotonic() + wait_s
    while time.monotonic() < deadline:
        found = await client.get(f"{CHANGE_STATUS_PREFIX}{change}")
        if isinstance(found, Ok) and found.ok_value is not None:
            status: dict[str, Any] = json.loads(found.ok_value.value)
            return status
        await pause(reactor, POLL_SECONDS)
    return None


def _report_status(change: str, status: dict[str, Any] | None, wait_s: float) -> None:
    if status is None:
        fail(EXIT_TIMED_OUT, f"change {change}: no answer within {wait_s:g} s")
    if status["state"] != "accepted":
        findings = "\n".join(status.get("findings", ()))
        fail(EXIT_REFUSED, f"change {change} is {status['state']}:\n{findings}")
    print(f"accepted in version {status['version']}")


def _fail_write(error: ChangeError) -> NoReturn:
    if isinstance(error, WriteConflict):
        fail(EXIT_LOST_RACE, _lost_race(error))
    fail(EXIT_NO_ANSWER, f"the platform failed: {_write_failed(error)}")


def _lost_race(error: WriteConflict) -> str:
    text = f"another operator wrote {error.key} first; nothing of this is in force"
    if error.not_restored:
        not_restored = ", ".join(str(key) for key in error.not_restored)
        text = f"{text}; without effect, but still there: {not_restored}"
    return text


def _write_failed(error: WriteFailed) -> str:
    if not error.maybe_written:
        return f"{error.reason}; nothing was written"
    keys = ", ".join(str(key) for key in error.maybe_written)
    return (
        f"{error.reason}; may be written: {keys}; nothing of it is in force"
        f" unless 'briarslip change {error.change}' says so"
    )


__all__ = ["write_and_report"]
