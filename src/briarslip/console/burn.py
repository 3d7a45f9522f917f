"""The report program, ``briarslip-burn``."""

from __future__ import annotations

from dataclasses import asdict
from datetime import UTC
from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any

import typer
from result import Err

from briarslip.burn.measurement import merge
from briarslip.burn.page import page
from briarslip.burn.table import table
from briarslip.console.options import DaemonOption  # noqa: TC001  # read by typer
from briarslip.console.options import JsonOption  # noqa: TC001  # read by typer
from briarslip.console.runtime import DAEMON_TIMEOUT_SECONDS
from briarslip.console.runtime import EXIT_NO_ANSWER
from briarslip.console.runtime import ask_daemon
from briarslip.console.runtime import print_json
from briarslip.console.runtime import read_address
from briarslip.console.runtime import run
from briarslip.process.service_levels import WINDOWS_SECONDS


if TYPE_CHECKING:
    from briarslip.address import Address
    from briarslip.burn.measurement import BurnReport


HtmlOption = Annotated[
    Path | None, typer.Option("--html", help="Write the report as an HTML page")
]

application = typer.Typer(
    name="briarslip-burn", add_completion=False, pretty_exceptions_enable=False
)


@application.command()
def burn(
    daemon: DaemonOption, json: JsonOption = False, html: HtmlOption = None
) -> None:
    """Report on service-level burn over the daemons that are named.

    The exit status is 4 if a daemon does not answer: it is named.
    """
    addresses = [read_address(text) for text in daemon]
    report = run(lambda reactor: collect(reactor, addresses))
    if html is not None:
        html.write_text(page(report, datetime.now(UTC)), encoding="utf-8")
    if json:
        print_json(asdict(report))
    else:
        print(table(report))
    if report.silent:
        raise SystemExit(EXIT_NO_ANSWER)


async def collect(reactor: Any, addresses: list[Address]) -> BurnReport:
    """Ask every daemon and merge what they answer."""
    from twisted.internet.defer import Deferred
    from twisted.internet.defer import gatherResults

    asked = []
    for address in addresses:
        answer = Deferred.fromCoroutine(
            ask_daemon(reactor, address, "/v1/service-levels")
        )
        answer.addTimeout(DAEMON_TIMEOUT_SECONDS, reactor)
        answer.addErrback(lambda failure: Err(str(failure.value)))
        asked.append(answer)
    results = await gatherResults(asked)
    answers = [result.ok_value for result in results if not isinstance(result, Err)]
    silent = [
        str(address)
        for address, result in zip(addresses, results, strict=True)
        if isinstance(result, Err)
    ]
    return merge(answers, silent, WINDOWS_SECONDS[-1])


def main() -> None:
    """Run the program."""
    application()


if __name__ == "__main__":
    main()


__all__ = ["application", "main"]
