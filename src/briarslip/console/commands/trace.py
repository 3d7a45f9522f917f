"""``briarslip trace``: print the log lines of one request from several processes."""

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


EXIT_NOT_FOUND = 1

RequestArgument = Annotated[str, typer.Argument(help="Id of the request")]
LogsArgument = Annotated[
    list[Path],
    typer.Argument(help="Log files with JSON lines, one file per process", exists=True),
]


@dataclass(frozen=True, order=True, slots=True)
class LogLine:
    """One log line of a process; ``text`` is the line without a collector's prefix."""

    time: str
    source: str
    text: str


def matching_lines(request: str, source: str, log: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of a log that belong to a request.

    Log collectors may put a prefix before the JSON of a line; it is used as the
    line's source. Lines without valid JSON are skipped.
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
    """Print the log lines of a request from several processes, sorted by time.

    The exit status is 1 if there are none.
    """
    found: list[LogLine] = []
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as log:
            found.extend(matching_lines(request, str(path), log))
    for line in sorted(found):
        print(f"{line.source}: {line.text}")
    if not found:
        raise typer.Exit(EXIT_NOT_FOUND)


__all__ = ["LogLine", "matching_lines", "trace"]
