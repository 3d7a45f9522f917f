"""How operators name records on the command line."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Annotated

import typer

from briarslip.console.runtime import EXIT_BAD_INPUT
from briarslip.console.runtime import fail
from briarslip.version.record import KINDS


if TYPE_CHECKING:
    from briarslip.version.record import RecordKey


RecordArgument = Annotated[
    str, typer.Argument(metavar="KIND/NAME", help="a record, or KIND/NAME/SCHEMA")
]
RecordsArgument = Annotated[
    list[str],
    typer.Argument(metavar="KIND/NAME...", help="records, or KIND/NAME/SCHEMA"),
]


@dataclass(frozen=True, slots=True)
class RecordName:
    """A record in one schema, or in all of them where ``schema`` is None."""

    kind: str
    name: str
    schema: int | None

    @classmethod
    def from_argument(cls, text: str) -> RecordName:
        """Read a name or exit with an error."""
        parts = text.split("/")
        schema = parts[2] if len(parts) == 3 else "0"
        if len(parts) not in {2, 3} or parts[0] not in KINDS or not parts[1]:
            fail(EXIT_BAD_INPUT, f"{text!r} is not KIND/NAME or KIND/NAME/SCHEMA")
        if not schema.isascii() or not schema.isdigit():
            fail(EXIT_BAD_INPUT, f"{schema!r} is not a schema's number")
        return cls(parts[0], parts[1], int(schema) or None)

    @property
    def prefix(self) -> str:
        """The prefix of its keys below ``records/``."""
        return f"{self.kind}/{self.name}/"

    def matches(self, key: RecordKey) -> bool:
        """Whether a key is one of the record's."""
        if (key.kind, key.name) != (self.kind, self.name):
            return False
        return self.schema in (None, key.schema)


__all__ = ["RecordArgument", "RecordName", "RecordsArgument"]
