"""Responses through real processes while the backend server misbehaves."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from standins.mesh import Mesh
from standins.mesh import get_json
from standins.mesh import put_json


RECORDS = """\
[service history]

[route history]
service = history
path_prefix = /history
priority = bulk
timeout_ms = 5000
claims = none
"""
PLAN = """\
[run]
seed = 9
rate = 250
warm_up_ms = 0
measured_ms = 2500
timeout_ms = 9000
connections = 200

[target own-server]
address = {own}

[target two-hop]
address = {far}

[request small]
path = /history/1

[request page]
path = /history/2?size=300000

[request upload]
method = POST
path = /history/3?size=70000
body_bytes = 90000
"""
FAULTS = {"truncate": 0.15, "close_after": 0.1, "seed": 4}


class ResponseIntegrityTest(unittest.TestCase):
    """A run of load through two daemons to one faulty backend server.

    Truncated and lost responses must not reach a caller as complete ones, nor
    as responses to another request.
    """

    def run_load(self, mesh: Mesh) -> list[dict[str, Any]]:
        """Run the load plan and return its table of outcomes."""
        plan, output = mesh.directory / "plan.ini", mesh.directory / "result.json"
        own, far = (node.callers for node in mesh.nodes)
        plan.write_text(PLAN.format(own=own, far=far))
        load = mesh.start(
            "load", "briarslip.console.load", str(plan), "--json", str(output)
        )
        load.wait(timeout=40)
        rows: list[dict[str, Any]] = json.loads(output.read_text())["outcomes"]
        return rows

    def test_truncated_and_lost_responses_are_detected(self) -> None:
        with tempfile.TemporaryDirectory() as directory, Mesh(Path(directory)) as mesh:
            mesh.start_store()
            mesh.add_nodes(("klang", "klang"))
            mesh.start_daemons()
            backend = mesh.start_backend(
                0, "history", "1", "--slots", "40", "--drain-s", "0.1"
            )
            mesh.apply(RECORDS)
            mesh.wait_for_version(1)
            for number in range(2):
                mesh.wait_for_success(number, "/history/1")
            put_json(backend, "/standin/faults", FAULTS)
            rows = self.run_load(mesh)
            runs = get_json(backend, "/standin/requests")
        verdicts = {row["verdict"] for row in rows}
        self.assertLessEqual(verdicts, {"whole", "cut", "refused"}, rows)
        self.assertEqual({"whole", "cut", "refused"}, verdicts, rows)
        # The server ran the requests whose responses it truncated or lost, so the
        # error responses for them must not claim that they were not run.
        for row in rows:
            if row["verdict"] == "refused" and row["status"] == 502:
                self.assertEqual("unknown", row["outcome"], rows)
        posts = [run["id"] for run in runs if run["method"] == "POST"]
        self.assertEqual(len(set(posts)), len(posts))
        self.assertGreater(len(posts), 150)
