"""Tests of deltas that were made from another version than the one that runs."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

from briarslip.version.configuration_codec import Deltas
from briarslip.version.configuration_codec import compress
from briarslip.version.delta import delta_between
from briarslip.version.distribution import DistributionState
from briarslip.version.distribution import apply_deltas
from briarslip.version.distribution import install_snapshot
from briarslip.version.distribution import serve_pull
from tests.support.records import route
from tests.support.records import service
from tests.support.records import snapshot_of


if TYPE_CHECKING:
    from briarslip.version.snapshot import Snapshot


SERVICE = service("a")


class SkippedVersionsTest(unittest.TestCase):
    """Daemons that read the store at intervals skip different versions."""

    def push(self, running: Snapshot, base: Snapshot, target: Snapshot) -> str:
        """Return why a pushed delta can't be applied, empty if it was."""
        state = DistributionState(snapshot=running)
        delta = compress(delta_between(base, target).encode())
        applied = apply_deltas(state, (delta,))
        if applied.is_err():
            return applied.unwrap_err()
        self.assertEqual(target, applied.unwrap())
        return ""

    def test_delta_is_refused_by_a_daemon_that_runs_a_version_after_its_base(
        self,
    ) -> None:
        base = snapshot_of(1, SERVICE, route("r-1", "a"))
        running = snapshot_of(2, SERVICE, route("r-2", "a"))
        target = snapshot_of(3, SERVICE, route("r-2", "a"), route("r-3", "a"))
        self.assertEqual("", self.push(running, base, target))

    def test_delta_without_a_change_that_was_undone_is_rejected(self) -> None:
        base = snapshot_of(1, SERVICE, route("r-1", "a"))
        running = snapshot_of(2, SERVICE, route("r-1", "a"), route("r-2", "a"))
        target = snapshot_of(3, SERVICE, route("r-1", "a"), route("r-3", "a"))
        self.assertIn("digest mismatch", self.push(running, base, target))

    def test_delta_from_a_later_version_is_rejected(self) -> None:
        running = snapshot_of(1, SERVICE)
        base = snapshot_of(2, SERVICE, route("r-2", "a"))
        target = snapshot_of(3, SERVICE, route("r-2", "a"), route("r-3", "a"))
        self.assertIn("applies to version 2", self.push(running, base, target))

    def test_daemon_between_two_versions_is_sent_the_full_snapshot(self) -> None:
        """Guards against large replies, of which a peer serves few a second."""
        rng = random.Random(1)
        services = [service(f"{rng.getrandbits(64):x}") for _ in range(99)]
        snapshots = [
            snapshot_of(
                version,
                *services,
                SERVICE,
                *(route(f"r-{number}", "a") for number in range(version)),
            )
            for version in range(1, 6)
        ]
        serving = DistributionState(minimum_version=0)
        for version in (1, 3, 5):
            install_snapshot(serving, snapshots[version - 1])
        for version in (1, 2, 3, 4):
            behind = DistributionState(minimum_version=0)
            install_snapshot(behind, snapshots[version - 1])
            reply = serve_pull(serving, version, 0.0)
            assert isinstance(reply, Deltas)
            applied = apply_deltas(behind, reply.deltas)
            self.assertEqual(snapshots[-1], applied.unwrap())


if __name__ == "__main__":
    unittest.main()
