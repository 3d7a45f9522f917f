"""``briarslip get``: print one record."""

from __future__ import annotations

from briarslip.console.options import JsonOption  # noqa: TC001  # read by typer
from briarslip.console.options import PlatformOption  # noqa: TC001  # read by typer
from briarslip.console.record_name import RecordArgument  # by typer
from briarslip.console.record_name import RecordName
from briarslip.console.runtime import EXIT_FAILED
from briarslip.console.runtime import fail
from briarslip.console.runtime import print_json
from briarslip.console.stored import as_ini
from briarslip.console.stored import as_json
from briarslip.console.stored import read_stored


def get(
    record: RecordArgument, platform: PlatformOption, json: JsonOption = False
) -> None:
    """Print every schema's form of a record as it stands on the platform."""
    name = RecordName.from_argument(record)
    forms = read_stored(platform, name)
    if not forms:
        fail(EXIT_FAILED, f"no record {name.kind}/{name.name}")
    if json:
        print_json([as_json(form) for form in forms])
        return
    print("\n".join(as_ini(form) for form in forms), end="")


__all__ = ["get"]
