"""``briarslip get``: print one record."""

from __future__ import annotations

from briarslip.console.current_records import as_ini
from briarslip.console.current_records import as_json
from briarslip.console.current_records import read_current_records
from briarslip.console.options import JsonOption  # noqa: TC001  # read by typer
from briarslip.console.options import PlatformOption  # noqa: TC001  # read by typer
from briarslip.console.record_name import RecordArgument  # by typer
from briarslip.console.record_name import RecordName
from briarslip.console.runtime import EXIT_FAILED
from briarslip.console.runtime import exit_with_error
from briarslip.console.runtime import print_json


def get(
    record: RecordArgument, platform: PlatformOption, json: JsonOption = False
) -> None:
    """Print a record from the store, in each of its schemas."""
    name = RecordName.from_argument(record)
    found = read_current_records(platform, name)
    if not found:
        exit_with_error(EXIT_FAILED, f"no record {name.kind}/{name.name} in the store")
    if json:
        print_json([as_json(item) for item in found])
        return
    print("\n".join(as_ini(item) for item in found), end="")


__all__ = ["get"]
