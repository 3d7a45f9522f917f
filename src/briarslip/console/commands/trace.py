"""``briarslip trace``: the log lines of one request from several processes."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path  # read by typer
from typing import TYPE_CHECKING
from typing import Annotated

import typer


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator


NOT_FOUND = 1

RequestArgument = Annotated[str, typer.Argument(help="The request's id")]
LogsArgument = Annotated[
    list[Path], typer.Argument(help="Logs in JSON, one for each process", exists=True)
]


@dataclass(frozen=True, order=True, slots=True)
class LogLine:
    """One event of one process; ``text`` is the line without what precedes it."""

    time: str
    source: str
    text: str


def lines_of(request: str, source: str, log: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of a log that are about a request.

    A line may have something before its JSON, as collectors put it there; a
    line that is no JSON is passed over.
    """
    for line in log:
        start = line.find("{")
        if request not in line or start < 0:
            continue
        try:
            document = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(document, dict) and document.get("request") == request:
            origin = line[:start].strip() or source
            yield LogLine(str(document.get("time", "")), origin, line[start:].strip())


def trace(request: RequestArgument, logs: LogsArgument) -> None:
    """Print, in the order of time, what several processes logged of a request."""
    found: list[LogLine] = []
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as log:
            found.extend(lines_of(request, str(path), log))
    for line in sorted(found):
        print(f"{line.source}: {line.text}")
    if not found:
        raise typer.Exit(NOT_FOUND)


__all__ = ["LogLine", "lines_of", "trace"]
