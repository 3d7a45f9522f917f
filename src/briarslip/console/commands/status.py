"""``briarslip status``: the configuration that daemons run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

from result import Ok

from briarslip.console.options import DaemonOption  # noqa: TC001  # read by typer
from briarslip.console.options import JsonOption  # noqa: TC001  # read by typer
from briarslip.console.options import VersionOption  # noqa: TC001  # read by typer
from briarslip.console.options import WaitOption  # noqa: TC001  # read by typer
from briarslip.console.runtime import EXIT_TIMED_OUT
from briarslip.console.runtime import answers_or_fail
from briarslip.console.runtime import ask_all
from briarslip.console.runtime import fail
from briarslip.console.runtime import pause
from briarslip.console.runtime import print_json
from briarslip.console.runtime import read_address
from briarslip.console.runtime import run


if TYPE_CHECKING:
    from result import Result


POLL_SECONDS = 0.2


def status(
    daemon: DaemonOption,
    json: JsonOption = False,
    wait_s: WaitOption = 0.0,
    version: VersionOption = 0,
) -> None:
    """Print the version that each daemon runs.

    With --wait-s, wait until all run one version that is at least --version.
    """
    addresses = [read_address(text) for text in daemon]

    async def work(reactor: Any) -> list[Result[Any, str]]:
        deadline = time.monotonic() + wait_s
        results = await ask_all(reactor, addresses, "/v1/status")
        while not _agree(results, version) and time.monotonic() < deadline:
            await pause(reactor, POLL_SECONDS)
            results = await ask_all(reactor, addresses, "/v1/status")
        return results

    results = run(work)
    bodies = answers_or_fail(results)
    if wait_s and not _agree(results, version):
        fail(EXIT_TIMED_OUT, f"the daemons do not agree after {wait_s:g} s")
    if json:
        print_json(bodies)
        return
    for body in bodies:
        print(
            f"{body['peer']:<22} {body['availability_zone']:<12}"
            f" version {body['running_version']} digest {body['digest'][:12]}"
        )


def _agree(results: list[Result[Any, str]], version: int) -> bool:
    running = {
        r.ok_value["running_version"] if isinstance(r, Ok) else -1 for r in results
    }
    return len(running) == 1 and min(running) >= version


__all__ = ["status"]
