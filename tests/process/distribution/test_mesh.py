"""Configuration under failure, with real processes."""

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


MAX_RACES = 5
RECORDS = "[service a]\n[route r]\nservice = a\npath_prefix = {path}\nclaims = none\n"


class ConfigurationMeshTest(unittest.TestCase):
    """A platform and four daemons of two zones."""

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
        """Write the route with a path, as the command does."""
        host, _, port = self.mesh.store_address.rpartition(":")
        writes = [service("a"), route("r", "a", path, claims="none")]

        async def work(reactor: Any) -> None:
            client = EtcdGatewayClient.from_address(reactor, host, int(port))
            written = await write_change(client, writes, lambda: uuid4().hex)
            self.assertTrue(written.is_ok(), written)

        run_in_reactor(work)

    def switch(self, **switches: object) -> None:
        """Set switches of the platform stand-in."""
        put_json(self.mesh.store_address, "/standin/switches", switches)

    def test_outage_replacement_lost_answer_and_race(self) -> None:
        self.replace_while_the_platform_is_down()
        self.change_during_an_outage()
        self.lose_answers()
        self.race()
        self.read_and_write()
        self.remove()

    def remove(self) -> None:
        """Remove records in either order; the refusal is told and mended."""
        version = self.mesh.running_version(0)
        platform = ("--platform", self.mesh.store_address)
        words = self.mesh.run_command("remove", "service/a", *platform).split()
        change = ("change", words[1].rstrip(":"), *platform)
        wait_until(lambda: "refused" in self.status(change))
        self.mesh.run_command("remove", "route/r", *platform)
        self.mesh.wait_for_version(version + 1)
        wait_until(lambda: "accepted" in self.status(change))

    def status(self, command: tuple[str, ...]) -> str:
        """Return what the command prints, empty if it fails."""
        try:
            return self.mesh.run_command(*command)
        except subprocess.CalledProcessError:
            return ""

    def replace_while_the_platform_is_down(self) -> None:
        """Replace a daemon, which takes its version from its zone."""
        self.write("/2")
        self.mesh.wait_for_version(2)
        self.switch(outage="503")
        self.mesh.kill("daemon-3")
        self.mesh.start_daemon(3)
        self.mesh.wait_for_version(2, [3])
        self.switch(outage="")

    def change_during_an_outage(self) -> None:
        """Write a change that nobody is told of before the platform is gone."""
        self.switch(freeze_watches=True)
        self.write("/3")
        self.switch(outage="close")
        self.switch(freeze_watches=False)
        wait_until(lambda: self.mesh.running_version(0) >= 2)
        self.switch(outage="")
        self.assertLess(self.mesh.wait_for_version(3), 19.0)

    def lose_answers(self) -> None:
        """Lose answers of a command, and then those of the publisher."""
        self.switch(lose_answers=2)
        self.assertIn("wrote 1 records", self.mesh.apply(RECORDS.format(path="/4")))
        self.switch(lose_answers=0)
        self.mesh.wait_for_version(4)
        self.switch(freeze_watches=True)
        self.write("/5")
        self.switch(lose_answers=3)
        self.switch(freeze_watches=False)
        self.mesh.wait_for_version(5)
        self.switch(lose_answers=0)

    def read_and_write(self) -> None:
        """Read a record, and lose to whoever writes it meanwhile."""
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

    def race(self) -> None:
        """Let two operators race: one wins, and the other is told."""
        self.switch(delay_ms=200)
        for attempt in range(MAX_RACES):
            if self.one_loses(attempt):
                break
        else:
            self.fail("the operators never met")
        self.switch(delay_ms=0)
        self.mesh.wait_for_version(6)
        # Attempts that did not meet may have made more versions than that.
        wait_until(lambda: len(self.digests()) == 1)

    def digests(self) -> set[str]:
        """Return the digests of what the daemons run."""
        return {get_json(n.admin, "/v1/status")["digest"] for n in self.mesh.nodes}

    def one_loses(self, attempt: int) -> bool:
        """Run two commands at once; false if one ended before the other began."""
        commands = [self.begin_apply(f"{name}-{attempt}") for name in ("left", "right")]
        errors = [command.communicate(timeout=60)[1] for command in commands]
        ends = sorted((c.returncode, e) for c, e in zip(commands, errors, strict=True))
        if [status for status, _ in ends] == [0, 0]:
            return False
        self.assertEqual([status for status, _ in ends], [0, 3], ends)
        self.assertIn("records/route/r/1", ends[1][1])
        return True

    def begin_apply(self, name: str) -> subprocess.Popen[str]:
        """Start an operators' command that changes the route."""
        path = self.mesh.directory / f"{name}.ini"
        path.write_text(RECORDS.format(path=f"/{name}"))
        program = [sys.executable, "-m", "briarslip.console.application", "apply"]
        return subprocess.Popen(
            [*program, str(path), "--platform", self.mesh.store_address],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            text=True,
        )
