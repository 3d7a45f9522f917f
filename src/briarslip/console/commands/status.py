"""``briarslip status``: the configuration that daemons run."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Err

from briarslip.console.options import DaemonOption  # noqa: TC001  # read by typer
from briarslip.console.options import JsonOption  # noqa: TC001  # read by typer
from briarslip.console.session import EXIT_NO_ANSWER
from briarslip.console.session import ask_daemon
from briarslip.console.session import fail
from briarslip.console.session import print_json
from briarslip.console.session import read_address
from briarslip.console.session import run


if TYPE_CHECKING:
    from result import Result


def status(daemon: DaemonOption, json: JsonOption = False) -> None:
    """Print the version that each daemon runs."""
    addresses = [read_address(text) for text in daemon]

    async def work(reactor: Any) -> list[Result[Any, str]]:
        return [await ask_daemon(reactor, a, "/v1/status") for a in addresses]

    results = run(work)
    for result in results:
        if isinstance(result, Err):
            fail(EXIT_NO_ANSWER, result.err_value)
    bodies = [result.unwrap() for result in results]
    if json:
        print_json(bodies)
        return
    for body in bodies:
        print(
            f"{body['peer']:<22} {body['availability_zone']:<12}"
            f" version {body['running_version']} digest {body['digest'][:12]}"
        )


__all__ = ["status"]
