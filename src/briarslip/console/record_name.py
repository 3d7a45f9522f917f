"""Record names as operators write them on the command line."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Annotated

import typer

from briarslip.console.runtime import EXIT_INVALID_INPUT
from briarslip.console.runtime import exit_with_error
from briarslip.version.record import KINDS


if TYPE_CHECKING:
    from briarslip.version.record import RecordKey


RecordArgument = Annotated[
    str,
    typer.Argument(
        metavar="KIND/NAME",
        help="record in all its schemas, or in one with KIND/NAME/SCHEMA",
    ),
]
RecordsArgument = Annotated[
    list[str],
    typer.Argument(
        metavar="KIND/NAME...",
        help="records in all their schemas, or in one with KIND/NAME/SCHEMA",
    ),
]


@dataclass(frozen=True, slots=True)
class RecordName:
    """The name of a record in one schema, or in all schemas if ``schema`` is None."""

    kind: str
    name: str
    schema: int | None

    @classmethod
    def from_argument(cls, text: str) -> RecordName:
        """Parse a command-line argument, or exit with an error."""
        parts = text.split("/")
        schema = parts[2] if len(parts) == 3 else "0"
        if len(parts) not in {2, 3} or parts[0] not in KINDS or not parts[1]:
            exit_with_error(
                EXIT_INVALID_INPUT, f"{text!r} is not KIND/NAME or KIND/NAME/SCHEMA"
            )
        if not schema.isascii() or not schema.isdigit():
            exit_with_error(
                EXIT_INVALID_INPUT, f"schema {schema!r} in {text!r} is not a number"
            )
        return cls(parts[0], parts[1], int(schema) or None)

    @property
    def prefix(self) -> str:
        """The prefix of the record's keys, without the leading ``records/``."""
        return f"{self.kind}/{self.name}/"

    def matches(self, key: RecordKey) -> bool:
        """Return whether a key belongs to the record."""
        if (key.kind, key.name) != (self.kind, self.name):
            return False
        return self.schema in (None, key.schema)


__all__ = ["RecordArgument", "RecordName", "RecordsArgument"]
