"""The command line of operators, ``briarslip``."""

from __future__ import annotations

import typer

from briarslip.console.commands.apply import apply
from briarslip.console.commands.change import change
from briarslip.console.commands.check import check
from briarslip.console.commands.get import get
from briarslip.console.commands.list import list_records
from briarslip.console.commands.members import members
from briarslip.console.commands.remove import remove
from briarslip.console.commands.rollouts import rollouts
from briarslip.console.commands.status import status
from briarslip.console.commands.trace import trace


application = typer.Typer(
    name="briarslip",
    help="Write and read configuration records, and show what the daemons run.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
for command in (check, apply, change, get, members, remove, rollouts, status, trace):
    application.command()(command)
application.command("list")(list_records)


def main() -> None:
    """Run the command line."""
    application()


if __name__ == "__main__":
    main()


__all__ = ["application", "main"]
