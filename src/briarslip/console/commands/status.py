"""``briarslip status``: print the configuration version that daemons run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

from result import Ok

from briarslip.console.options import DaemonOption  # noqa: TC001  # read by typer
from briarslip.console.options import JsonOption  # noqa: TC001  # read by typer
from briarslip.console.options import VersionOption  # noqa: TC001  # read by typer
from briarslip.console.options import WaitOption  # noqa: TC001  # read by typer
from briarslip.console.runtime import EXIT_TIMED_OUT
from briarslip.console.runtime import address_or_exit
from briarslip.console.runtime import answers_or_exit
from briarslip.console.runtime import exit_with_error
from briarslip.console.runtime import print_json
from briarslip.console.runtime import query_all
from briarslip.console.runtime import run_in_reactor
from briarslip.console.runtime import sleep


if TYPE_CHECKING:
    from result import Result


POLL_INTERVAL_SECONDS = 0.2


def status(
    daemon: DaemonOption,
    json: JsonOption = False,
    wait_s: WaitOption = 0.0,
    version: VersionOption = 0,
) -> None:
    """Print the configuration version that each daemon runs.

    Orders to evacuate a zone follow, each with the time for which the daemon has known
    it, and requests that are quarantined because they crash backend servers.

    With --wait-s, wait until all run the same version, at least --version.
    """
    addresses = [address_or_exit(text) for text in daemon]

    async def poll(reactor: Any) -> list[Result[Any, str]]:
        deadline = time.monotonic() + wait_s
        results = await query_all(reactor, addresses, "/v1/status")
        while not _has_converged(results, version) and time.monotonic() < deadline:
            await sleep(reactor, POLL_INTERVAL_SECONDS)
            results = await query_all(reactor, addresses, "/v1/status")
        return results

    results = run_in_reactor(poll)
    bodies = answers_or_exit(results)
    if wait_s and not _has_converged(results, version):
        exit_with_error(
            EXIT_TIMED_OUT,
            f"the daemons did not all run one version of at least {version}"
            f" within {wait_s:g} s",
        )
    if json:
        print_json(bodies)
        return
    for body in bodies:
        print(
            f"{body['peer']:<22} {body['availability_zone']:<12}"
            f" version {body['running_version']} digest {body['digest'][:12]}"
        )
        for order in body.get("evacuations", ()):
            print(
                f"{'':<22} evacuated zone {order['zone']} order {order['order']}"
                f" for {order['age_s']:g} s"
            )
        for fingerprint in body.get("quarantined_requests", ()):
            print(f"{'':<22} quarantined request {fingerprint}")


def _has_converged(results: list[Result[Any, str]], version: int) -> bool:
    running = {
        r.ok_value["running_version"] if isinstance(r, Ok) else -1 for r in results
    }
    return len(running) == 1 and min(running) >= version


__all__ = ["status"]
