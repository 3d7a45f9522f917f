"""The program that reports burn rates of objectives, ``briarslip-burn``."""

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

from briarslip.burn.html_page import render_page
from briarslip.burn.report import merge_answers
from briarslip.burn.text_table import render_table
from briarslip.console.options import DaemonOption  # noqa: TC001  # read by typer
from briarslip.console.options import JsonOption  # noqa: TC001  # read by typer
from briarslip.console.runtime import DAEMON_TIMEOUT_SECONDS
from briarslip.console.runtime import EXIT_NO_ANSWER
from briarslip.console.runtime import address_or_exit
from briarslip.console.runtime import print_json
from briarslip.console.runtime import query_daemon
from briarslip.console.runtime import run_in_reactor
from briarslip.process.service_levels import WINDOWS_SECONDS


if TYPE_CHECKING:
    from briarslip.address import Address
    from briarslip.burn.report import BurnReport


HtmlOption = Annotated[
    Path | None,
    typer.Option("--html", help="Write the report to this file as an HTML page"),
]

application = typer.Typer(
    name="briarslip-burn", add_completion=False, pretty_exceptions_enable=False
)


@application.command()
def burn(
    daemon: DaemonOption, json: JsonOption = False, html: HtmlOption = None
) -> None:
    """Report burn rates and error budgets, merged over the given daemons.

    The exit status is 4 if a daemon does not answer; the report names it.
    """
    addresses = [address_or_exit(text) for text in daemon]
    report = run_in_reactor(lambda reactor: collect_report(reactor, addresses))
    if html is not None:
        html.write_text(render_page(report, datetime.now(UTC)), encoding="utf-8")
    if json:
        print_json(asdict(report))
    else:
        print(render_table(report))
    if report.silent:
        raise SystemExit(EXIT_NO_ANSWER)


async def collect_report(reactor: Any, addresses: list[Address]) -> BurnReport:
    """Query all daemons concurrently and merge their answers into a report."""
    from twisted.internet.defer import Deferred
    from twisted.internet.defer import gatherResults

    queries = []
    for address in addresses:
        query = Deferred.fromCoroutine(
            query_daemon(reactor, address, "/v1/service-levels")
        )
        query.addTimeout(DAEMON_TIMEOUT_SECONDS, reactor)
        query.addErrback(lambda failure: Err(str(failure.value)))
        queries.append(query)
    results = await gatherResults(queries)
    answers = [result.ok_value for result in results if not isinstance(result, Err)]
    silent = [
        str(address)
        for address, result in zip(addresses, results, strict=True)
        if isinstance(result, Err)
    ]
    return merge_answers(answers, silent, WINDOWS_SECONDS[-1])


def main() -> None:
    """Run the program."""
    application()


if __name__ == "__main__":
    main()


__all__ = ["application", "main"]
