"""One trial: a deployment under load and faults, checked by invariants."""

from __future__ import annotations

import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

from bench.chaos import invariants
from bench.chaos.deployment import SMALL
from bench.chaos.faults import FaultInjector
from bench.chaos.faults import Relays
from bench.chaos.status_poller import StatusPoller
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

    from bench.chaos.deployment import Deployment
    from bench.chaos.fault_log import FaultLog
    from bench.chaos.status_poller import StatusSample
    from bench.chaos.traffic import SentRequest


QUICK_SEED = 1
QUICK_SECONDS = 5.0
CONCURRENT_FAULTS = 3
# Long enough that every fault meets requests in flight.
SERVICE_TIME_MS = "40"
MAX_CONVERGENCE_SECONDS = 19.0
FINAL_CHANGE = "[service final]\n"


def run(quick: bool) -> list[Measurement]:
    """Run a trial of a small deployment: 5 seconds of faults if quick, otherwise 60."""
    return run_trial(SMALL, QUICK_SEED, QUICK_SECONDS if quick else 60.0)


def run_trial(
    deployment: Deployment,
    seed: int,
    seconds: float,
    concurrent_faults: int = CONCURRENT_FAULTS,
) -> list[Measurement]:
    """Run one trial and return its figures.

    Faults are injected for ``seconds``, ``concurrent_faults`` of them at a time.
    """
    with tempfile.TemporaryDirectory() as directory, Mesh(Path(directory)) as mesh:
        mesh.start_store()
        relays, backends = _start_deployment(mesh, deployment)
        caller_addresses = {
            daemon: relay.address for daemon, relay in relays.callers.items()
        }
        callers = start_callers(seed, deployment, caller_addresses)
        poller = StatusPoller([node.admin for node in mesh.nodes])
        poller.start()
        fault_log = FaultInjector(mesh, relays, backends, seed).run(
            seconds, concurrent_faults
        )
        convergence_seconds = _measure_final_convergence(mesh)
        sent = stop_callers(callers)
        samples = poller.stop()
        exit_statuses = mesh.stop_all()
        relays.stop()
        fault_log.unconnected_ports = {
            daemon: frozenset(relay.unconnected_ports)
            for daemon, relay in relays.callers.items()
        }
        for line in (*fault_log.action_descriptions, *fault_log.failed_actions):
            print(line)
        daemon_exit_statuses = {
            status
            for name, status in exit_statuses.items()
            if name.startswith("daemon")
        }
        figures = _request_figures(sent, fault_log, mesh.directory)
        figures += _version_figures(samples, fault_log)
        figures.append(
            Measurement(
                "final change running on all daemons after",
                convergence_seconds,
                "s",
                MAX_CONVERGENCE_SECONDS,
            )
        )
        figures.append(
            Measurement(
                "nonzero exit statuses of daemons",
                len(daemon_exit_statuses - {0}),
                "",
                0,
            )
        )
        figures.append(
            _zero_expected(
                "fault actions that raised an error", fault_log.failed_actions
            )
        )
        return figures


def _start_deployment(mesh: Mesh, deployment: Deployment) -> tuple[Relays, list[str]]:
    store_relays = {zone: _start_relay(mesh.store_address) for zone in deployment.zones}
    mesh.store_address_by_zone = {
        zone: relay.address for zone, relay in store_relays.items()
    }
    locations = [
        (zone, service) for zone in deployment.zones for service in deployment.services
    ]
    mesh.add_nodes((zone for zone, _ in locations), deployment.region)
    mesh.start_daemons()
    addresses = [free_address() for _ in locations]
    backend_relays = [_start_relay(address) for address in addresses]
    backends = [
        mesh.start_backend(
            number,
            service.name,
            "1",
            "--announced",
            backend_relays[number].address,
            "--log-runs",
            "--service-time-ms",
            SERVICE_TIME_MS,
            "--slots",
            str(deployment.slots),
            "--connections",
            str(deployment.connections),
            address=addresses[number],
        )
        for number, (_, service) in enumerate(locations)
    ]
    mesh.apply(deployment.records)
    mesh.wait_for_version(1)
    for service in deployment.services:
        mesh.wait_for_success(0, f"/{service.name}/0")
    caller_relays = {node.callers: _start_relay(node.callers) for node in mesh.nodes}
    return Relays(store_relays, caller_relays, backend_relays), backends


def _start_relay(address: str) -> TcpRelay:
    host, _, port = address.rpartition(":")
    return TcpRelay((host, int(port)))


def _measure_final_convergence(mesh: Mesh) -> float:
    """Apply one more change; return the seconds until all daemons run it."""
    mesh.apply(FINAL_CHANGE)
    applied_at = time.monotonic()
    wait_until(lambda: _runs_final_change_everywhere(mesh), 3 * MAX_CONVERGENCE_SECONDS)
    return time.monotonic() - applied_at


def _runs_final_change_everywhere(mesh: Mesh) -> bool:
    try:
        status_documents = [get_json(node.admin, "/v1/status") for node in mesh.nodes]
    except OSError:
        return False
    return all("final" in document["services"] for document in status_documents)


def _request_figures(
    sent: list[SentRequest], fault_log: FaultLog, directory: Path
) -> list[Measurement]:
    runs = invariants.runs_by_id(directory)
    attempts = [attempt for request in sent for attempt in request.attempts]
    succeeded = sum(
        request.attempts[-1].status == 200 for request in sent if request.attempts
    )
    for outcome, count in sorted(
        Counter((attempt.outcome, attempt.status) for attempt in attempts).items()
    ):
        print(f"attempts with outcome {outcome[0]}, status {outcome[1]}: {count}")
    return [
        Measurement("requests", len(sent), ""),
        Measurement(
            "requests answered with success", succeeded / max(1, len(sent)), "of all"
        ),
        _zero_expected(
            "non-idempotent requests that ran more than once",
            invariants.run_more_than_once(sent, runs),
        ),
        _zero_expected(
            "requests that ran although answered as not run",
            invariants.run_despite_not_run_outcome(sent, runs),
        ),
        _zero_expected(
            "successfully answered requests that never ran",
            invariants.successful_without_run(sent, runs),
        ),
        _zero_expected(
            "2xx answers cut short or for another request",
            invariants.incomplete_or_foreign_answers(sent),
        ),
        _zero_expected(
            "requests without an answer during a graceful stop",
            invariants.requests_without_answer(sent, fault_log, by_graceful_stop=True),
        ),
        _zero_expected(
            "requests without an answer or a known cause",
            invariants.requests_without_answer(sent, fault_log, by_graceful_stop=False),
        ),
        _zero_expected(
            "graceful stops with nonzero exit status",
            [stop for stop in fault_log.graceful_stops if stop[3] != 0],
        ),
    ]


def _version_figures(
    samples: list[StatusSample], fault_log: FaultLog
) -> list[Measurement]:
    return [
        Measurement("status samples of daemons", len(samples), ""),
        _zero_expected(
            "daemons seen returning to an older configuration version",
            invariants.version_regressions(samples),
        ),
        _zero_expected(
            "configuration versions with differing digests",
            invariants.versions_with_differing_digests(samples),
        ),
        _zero_expected(
            "status samples with a route of an invalid change",
            invariants.samples_with_invalid_route(samples),
        ),
        _zero_expected(
            "invalid changes that were not rejected",
            [c for c in fault_log.invalid_change_exit_statuses if c in (0,)],
        ),
    ]


def _zero_expected(name: str, found: Sequence[object]) -> Measurement:
    for item in found[:5]:
        print(f"{name}: {item}")
    return Measurement(name, len(found), "", 0)


__all__ = ["run", "run_trial"]
