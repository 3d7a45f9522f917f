"""Demonstrate a mesh on this machine, from store to backend servers."""

from __future__ import annotations

import signal
import tempfile
from pathlib import Path

from standins.mesh import Mesh
from standins.mesh import wait_until


RECORDS = """\
[service holds]

[route holds]
service = holds
path_prefix = /holds
priority = urgent
timeout_ms = {timeout_ms}
claims = none
"""
EXPECTED_EXIT_STATUSES = (0, -signal.SIGTERM)


def print_step(text: str) -> None:
    """Print one step."""
    print(f"* {text}", flush=True)


def run(mesh: Mesh) -> None:
    """Start the mesh, send a request across zones and change its configuration."""
    print_step(f"starting the store stand-in on {mesh.store_address}")
    mesh.start_store()
    mesh.add_nodes(("klang", "klang", "penang"))
    for node in mesh.nodes:
        print_step(f"starting daemon {node.peers} in availability zone {node.zone}")
    mesh.start_daemons()
    for number, node in enumerate(mesh.nodes):
        service = "holds" if node.zone == "penang" else "shelves"
        backend = mesh.start_backend(number, service)
        print_step(
            f"started backend server {backend} of service {service} in {node.zone}"
        )
    print_step(mesh.apply(RECORDS.format(timeout_ms=2000)))
    print_step(f"running on all daemons {mesh.wait_for_version(1):.2f} s later")
    wait_until(lambda: mesh.send_request(0, "/holds/17").status == 200)
    answer = mesh.send_request(0, "/holds/17", headers={"Request-Id": "demo"})
    print_step(
        f"a caller in klang was answered by penang: {answer.outcome} {answer.status}"
    )
    print_step(answer.body.decode())
    print_step(mesh.apply(RECORDS.format(timeout_ms=1500)))
    print_step(f"running on all daemons {mesh.wait_for_version(2):.2f} s later")
    options = [text for node in mesh.nodes for text in ("--daemon", node.admin)]
    print(mesh.run_command("status", *options), flush=True)


def main() -> int:
    """Run the demonstration and return the exit status."""
    with tempfile.TemporaryDirectory() as directory, Mesh(Path(directory)) as mesh:
        run(mesh)
        print_step("stopping every process with SIGTERM")
        statuses = mesh.stop_all()
    stopped = all(status in EXPECTED_EXIT_STATUSES for status in statuses.values())
    print_step("all stopped" if stopped else f"unexpected exit status: {statuses}")
    return 0 if stopped else 1


if __name__ == "__main__":
    raise SystemExit(main())
