"""``briarslip members``: print the membership as one daemon sees it."""

from __future__ import annotations

from briarslip.console.options import DaemonOption  # noqa: TC001  # read by typer
from briarslip.console.options import JsonOption  # noqa: TC001  # read by typer
from briarslip.console.runtime import print_json
from briarslip.console.runtime import query_daemons


def members(daemon: DaemonOption, json: JsonOption = False) -> None:
    """Print the members of the mesh as the first daemon given sees them."""
    found = query_daemons(daemon[:1], "/v1/members")[0]
    if json:
        print_json(found)
        return
    for member in found:
        services = ",".join(member["services"])
        print(
            f"{member['peer']:<22} {member['availability_zone']:<12}"
            f" {member['status']:<8} version {member['running_version']} {services}"
        )


__all__ = ["members"]
