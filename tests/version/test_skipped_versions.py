"""Tests of deltas that were made from another version than the one that runs."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from briarslip.version.configuration_codec import compress
from briarslip.version.delta import delta_between
from briarslip.version.distribution import DistributionState
from briarslip.version.distribution import apply_deltas
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


if __name__ == "__main__":
    unittest.main()
