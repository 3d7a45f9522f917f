"""The operators' program, ``briarslip``."""

from __future__ import annotations

import typer

from briarslip.console.commands.apply import apply
from briarslip.console.commands.change import change
from briarslip.console.commands.check import check
from briarslip.console.commands.records import records
from briarslip.console.commands.remove import remove
from briarslip.console.commands.status import status


application = typer.Typer(
    name="briarslip", no_args_is_help=True, pretty_exceptions_enable=False
)
for command in (check, apply, remove, records, change, status):
    application.command()(command)


def main() -> None:
    """Run the program."""
    application()


if __name__ == "__main__":
    main()


__all__ = ["application", "main"]
