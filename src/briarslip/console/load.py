"""The load generator, ``briarslip-load``."""

from __future__ import annotations

import gc
import json
from pathlib import Path
from typing import Annotated
from typing import Any

import typer
from result import Err

from briarslip.finding import format_findings
from briarslip.load.plan import LoadPlan
from briarslip.load.report import report_html
from briarslip.load.report import report_json
from briarslip.load.response import Verdict
from briarslip.load.runner import LoadRunner
from briarslip.load.tally import Tally


EXIT_FAULTY_RESPONSES = 1
EXIT_INVALID_PLAN = 2


PlanArgument = Annotated[
    Path, typer.Argument(help="INI file with the load plan", exists=True)
]
JsonOption = Annotated[
    Path | None, typer.Option("--json", help="Write the result to this file")
]
HtmlOption = Annotated[
    Path | None,
    typer.Option("--html", help="Write an HTML page with a plot to this file"),
]


def load(
    plan: PlanArgument, json_file: JsonOption = None, html_file: HtmlOption = None
) -> None:
    """Run a load plan and report its results as JSON.

    The exit status is 1 if any response was cut short or did not match its request,
    and 2 if the plan is invalid.
    """
    parsed = LoadPlan.from_ini(plan.read_text(encoding="utf-8"), str(plan))
    if isinstance(parsed, Err):
        typer.echo(format_findings(parsed.err_value), err=True)
        raise typer.Exit(EXIT_INVALID_PLAN)
    tally = run_plan(parsed.ok_value)
    text = json.dumps(report_json(parsed.ok_value, tally), indent=2)
    if json_file is None:
        typer.echo(text)
    else:
        json_file.write_text(text, encoding="utf-8")
    if html_file is not None:
        page = report_html(parsed.ok_value, tally)
        html_file.write_text(page, encoding="utf-8")
    if tally.count(Verdict.MISMATCHED) or tally.count(Verdict.TRUNCATED):
        raise typer.Exit(EXIT_FAULTY_RESPONSES)


def run_plan(plan: LoadPlan) -> Tally:
    """Run a plan on the process's reactor, which can run only once per process."""
    from twisted.internet import reactor as default_reactor

    reactor: Any = default_reactor
    tallies: list[Tally] = []

    def finish(tally: Tally) -> None:
        tallies.append(tally)
        reactor.stop()

    reactor.callWhenRunning(LoadRunner(plan, reactor, finish).start)
    gc.freeze()
    reactor.run()
    return tallies[0] if tallies else Tally()


def main() -> None:
    """Run the program."""
    typer.run(load)


if __name__ == "__main__":
    main()


__all__ = ["load", "main", "run_plan"]
