"""One trial: a deployment, load, faults, and the check of what must hold."""

from __future__ import annotations

import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

from bench.chaos import invariants
from bench.chaos.deployment import SMALL
from bench.chaos.faults import Faults
from bench.chaos.faults import Links
from bench.chaos.observer import Observer
from bench.chaos.tcp_relay import TcpRelay
from bench.chaos.traffic import start_callers
from bench.chaos.traffic import stop_callers
from bench.measurement import Measurement
from standins.mesh import Mesh
from standins.mesh import free_address
from standins.mesh import get_json
from standins.mesh import wait_until


if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.chaos.account import Account
    from bench.chaos.deployment import Deployment
    from bench.chaos.observer import Reading
    from bench.chaos.traffic import Sent


QUICK_SEED = 1
QUICK_SECONDS = 5.0
SERIES = 3
# Long enough that every fault meets requests in flight.
SERVICE_TIME_MS = "40"
CONVERGENCE_SECONDS = 19.0
FINAL_AMENDMENT = "[service final]\n"


def run(quick: bool) -> list[Measurement]:
    """Run a short trial of a small deployment, or a long one."""
    return run_trial(SMALL, QUICK_SEED, QUICK_SECONDS if quick else 60.0)


def run_trial(
    deployment: Deployment, seed: int, seconds: float, series: int = SERIES
) -> list[Measurement]:
    """Run one trial and return its figures.

    ``series`` is how many faults run at the same time.
    """
    with tempfile.TemporaryDirectory() as name, Mesh(Path(name)) as mesh:
        mesh.start_store()
        links, backends = _start(mesh, deployment)
        entrances = {daemon: relay.address for daemon, relay in links.callers.items()}
        callers = start_callers(seed, deployment, entrances)
        observer = Observer([node.admin for node in mesh.nodes])
        observer.start()
        account = Faults(mesh, links, backends, seed).run(seconds, series)
        convergence = _final_convergence(mesh)
        sent = stop_callers(callers)
        readings = observer.stop()
        statuses = mesh.stop_all()
        links.stop()
        account.refused = {
            daemon: frozenset(relay.refused) for daemon, relay in links.callers.items()
        }
        for line in (*account.lines, *account.errors):
            print(line)
        daemons = {s for n, s in statuses.items() if n.startswith("daemon")}
        figures = _request_figures(sent, account, mesh.directory)
        figures += _version_figures(readings, account)
        figures.append(
            Measurement("last change in force", convergence, "s", CONVERGENCE_SECONDS)
        )
        figures.append(
            Measurement("daemons that ended badly", len(daemons - {0}), "", 0)
        )
        figures.append(_none("faults that failed", account.errors))
        return figures


def _start(mesh: Mesh, deployment: Deployment) -> tuple[Links, list[str]]:
    store = {zone: _relay(mesh.store_address) for zone in deployment.zones}
    mesh.store_address_by_zone = {zone: relay.address for zone, relay in store.items()}
    places = [(z, s) for z in deployment.zones for s in deployment.services]
    mesh.add_nodes((zone for zone, _ in places), deployment.region)
    mesh.start_daemons()
    addresses = [free_address() for _ in places]
    ways = [_relay(address) for address in addresses]
    backends = [
        mesh.start_backend(
            number,
            service.name,
            "1",
            "--announced",
            ways[number].address,
            "--log-runs",
            "--service-time-ms",
            SERVICE_TIME_MS,
            "--slots",
            str(deployment.slots),
            "--connections",
            str(deployment.connections),
            address=addresses[number],
        )
        for number, (_, service) in enumerate(places)
    ]
    mesh.apply(deployment.records)
    mesh.wait_for_version(1)
    for service in deployment.services:
        mesh.wait_for_success(0, f"/{service.name}/0")
    callers = {node.callers: _relay(node.callers) for node in mesh.nodes}
    return Links(store, callers, ways), backends


def _relay(address: str) -> TcpRelay:
    host, _, port = address.rpartition(":")
    return TcpRelay((host, int(port)))


def _final_convergence(mesh: Mesh) -> float:
    """Apply one more change; return the seconds until all daemons run it."""
    mesh.apply(FINAL_AMENDMENT)
    applied = time.monotonic()
    wait_until(lambda: _newest_everywhere(mesh), 3 * CONVERGENCE_SECONDS)
    return time.monotonic() - applied


def _newest_everywhere(mesh: Mesh) -> bool:
    try:
        bodies = [get_json(node.admin, "/v1/status") for node in mesh.nodes]
    except OSError:
        return False
    return all("final" in body["services"] for body in bodies)


def _request_figures(
    sent: list[Sent], account: Account, directory: Path
) -> list[Measurement]:
    runs = invariants.runs_by_id(directory)
    tries = [attempt for request in sent for attempt in request.tries]
    good = sum(request.tries[-1].status == 200 for request in sent if request.tries)
    for outcome, count in sorted(Counter((t.outcome, t.status) for t in tries).items()):
        print(f"answers {outcome[0]} {outcome[1]}: {count}")
    return [
        Measurement("requests", len(sent), ""),
        Measurement(
            "requests answered with success", good / max(1, len(sent)), "of all"
        ),
        _none(
            "non-idempotent requests that ran twice", invariants.run_twice(sent, runs)
        ),
        _none("false refusals", invariants.false_refusals(sent, runs)),
        _none("successes that never ran", invariants.false_successes(sent, runs)),
        _none("answers not whole or not one's own", invariants.wrong_answers(sent)),
        _none(
            "requests cut off by a planned stop",
            invariants.cut_off(sent, account, planned=True),
        ),
        _none(
            "requests cut off without a cause",
            invariants.cut_off(sent, account, planned=False),
        ),
        _none(
            "planned stops that ended badly",
            [stop for stop in account.planned_stops if stop[3] != 0],
        ),
    ]


def _version_figures(readings: list[Reading], account: Account) -> list[Measurement]:
    return [
        Measurement("readings of daemons", len(readings), ""),
        _none("returns to an older version", invariants.older_versions(readings)),
        _none("versions that differ", invariants.differing_digests(readings)),
        _none("parts of a refused change in force", invariants.bad_routes(readings)),
        _none("bad changes not refused", [c for c in account.bad_codes if c in (0,)]),
    ]


def _none(name: str, found: Sequence[object]) -> Measurement:
    for item in found[:5]:
        print(f"{name}: {item}")
    return Measurement(name, len(found), "", 0)


__all__ = ["run", "run_trial"]
