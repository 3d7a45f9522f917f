"""Tests of configuration distribution under failures, with real processes."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from contextlib import ExitStack
from pathlib import Path
from typing import Any
from uuid import uuid4

from briarslip.process.distribution.change_writer import write_change
from briarslip.process.store.etcd_gateway import EtcdGatewayClient
from standins.mesh import Mesh
from standins.mesh import get_json
from standins.mesh import put_json
from standins.mesh import wait_until
from tests.support.reactor import run_in_reactor
from tests.support.records import route
from tests.support.records import service


RACE_KEY = "records/route/r/1"
RECORDS = "[service a]\n[route r]\nservice = a\npath_prefix = {path}\nclaims = none\n"


class ConfigurationMeshTest(unittest.TestCase):
    """A store and four daemons in two availability zones."""

    def setUp(self) -> None:
        stack = ExitStack()
        self.addCleanup(stack.close)
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        self.mesh = stack.enter_context(Mesh(Path(directory)))
        self.mesh.start_store()
        self.mesh.add_nodes(("klang", "klang", "penang", "penang"))
        self.mesh.start_daemons()
        self.write("/1")
        self.mesh.wait_for_version(1)

    def write(self, path: str) -> None:
        """Write the route with a path, as the command ``apply`` does."""
        host, _, port = self.mesh.store_address.rpartition(":")
        writes = [service("a"), route("r", "a", path, claims="none")]

        async def write_records(reactor: Any) -> None:
            client = EtcdGatewayClient.from_address(reactor, host, int(port))
            written = await write_change(client, writes, lambda: uuid4().hex)
            self.assertTrue(written.is_ok(), written)

        run_in_reactor(write_records)

    def set_switches(self, **switches: object) -> None:
        """Set switches of the store stand-in."""
        put_json(self.mesh.store_address, "/standin/switches", switches)

    def test_outage_replacement_lost_answer_and_race(self) -> None:
        self.replace_daemon_during_outage()
        self.write_during_outage()
        self.lose_responses()
        self.race_two_commands()
        self.write_after_stale_read()
        self.remove_service_before_route()

    def remove_service_before_route(self) -> None:
        """Remove a service in use, which is rejected until its route is removed."""
        version = self.mesh.running_version(0)
        platform = ("--platform", self.mesh.store_address)
        output_words = self.mesh.run_command("remove", "service/a", *platform).split()
        change = ("change", output_words[1].rstrip(":"), *platform)
        wait_until(lambda: "refused" in self.printed_status(change))
        self.mesh.run_command("remove", "route/r", *platform)
        self.mesh.wait_for_version(version + 1)
        wait_until(lambda: "accepted" in self.printed_status(change))

    def printed_status(self, command: tuple[str, ...]) -> str:
        """Return the output of a command, empty if it fails."""
        try:
            return self.mesh.run_command(*command)
        except subprocess.CalledProcessError:
            return ""

    def replace_daemon_during_outage(self) -> None:
        """Restart a daemon, which must get its version from its zone's peers."""
        self.write("/2")
        self.mesh.wait_for_version(2)
        self.set_switches(outage="503")
        self.mesh.kill("daemon-3")
        self.mesh.start_daemon(3)
        self.mesh.wait_for_version(2, [3])
        self.set_switches(outage="")

    def write_during_outage(self) -> None:
        """Write a change that reaches no daemon before the store fails."""
        self.set_switches(freeze_watches=True)
        self.write("/3")
        self.set_switches(outage="close")
        self.set_switches(freeze_watches=False)
        wait_until(lambda: self.mesh.running_version(0) >= 2)
        self.set_switches(outage="")
        self.assertLess(self.mesh.wait_for_version(3), 19.0)

    def lose_responses(self) -> None:
        """Lose responses to a command, and then those to the publisher."""
        self.set_switches(lose_answers=2)
        self.assertIn("wrote 1 records", self.mesh.apply(RECORDS.format(path="/4")))
        self.set_switches(lose_answers=0)
        self.mesh.wait_for_version(4)
        self.set_switches(freeze_watches=True)
        self.write("/5")
        self.set_switches(lose_answers=3)
        self.set_switches(freeze_watches=False)
        self.mesh.wait_for_version(5)
        self.set_switches(lose_answers=0)

    def write_after_stale_read(self) -> None:
        """Read a record, and fail to write it after another write."""
        platform = ("--platform", self.mesh.store_address)
        printed = self.mesh.run_command("get", "route/r", "--json", *platform)
        read_at = str(json.loads(printed)[0]["revision"])
        path = self.mesh.directory / "mine.ini"
        path.write_text(RECORDS.format(path="/mine"))
        self.write("/theirs")
        command = ("apply", str(path), "--read-at", read_at, *platform)
        with self.assertRaises(subprocess.CalledProcessError) as raised:
            self.mesh.run_command(*command)
        self.assertEqual(raised.exception.returncode, 3)

    def race_two_commands(self) -> None:
        """Let two commands read one revision: one succeeds, the other reports it."""
        self.set_switches(gather_key=RACE_KEY, gather_count=2)
        commands = [self.start_apply(name) for name in ("left", "right")]
        errors = [command.communicate(timeout=60)[1] for command in commands]
        results = sorted(
            (c.returncode, e) for c, e in zip(commands, errors, strict=True)
        )
        self.assertEqual([exit_code for exit_code, _ in results], [0, 3], results)
        self.assertIn(RACE_KEY, results[1][1])
        self.mesh.wait_for_version(6)
        wait_until(lambda: len(self.running_digests()) == 1)

    def running_digests(self) -> set[str]:
        """Return the digests of the versions that the daemons run."""
        return {get_json(n.admin, "/v1/status")["digest"] for n in self.mesh.nodes}

    def start_apply(self, name: str) -> subprocess.Popen[str]:
        """Start the command ``apply`` with a changed route."""
        path = self.mesh.directory / f"{name}.ini"
        path.write_text(RECORDS.format(path=f"/{name}"))
        program = [sys.executable, "-m", "briarslip.console.application", "apply"]
        return subprocess.Popen(
            [*program, str(path), "--platform", self.mesh.store_address],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            text=True,
        )
