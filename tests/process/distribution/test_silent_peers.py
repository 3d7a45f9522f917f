"""Tests of a change that peers which don't answer keep from a daemon."""

from __future__ import annotations

import random
import unittest

from tests.process.distribution.test_lost_routes import HOST
from tests.process.distribution.test_lost_routes import LossyDay


STORM_SECONDS = 1.5
CHANGE_INTERVAL_SECONDS = 0.06
SECONDS = 5.0
# The shortest time in which a change is in force in deployments with relays.
CONVERGE_SECONDS = 2.5
# With these, a daemon was late before the pulls were mended.
SEEDS = (9, 10, 11)


class StormDay(LossyDay):
    """A zone in which one relay is paused while changes follow one another."""

    zones = {"klang": 24}  # noqa: RUF012 (replaces that of the parent class)

    def play_storm(self, seed: int) -> list[str]:
        """Return the daemons that lack a change which must be in force."""
        rng = random.Random(seed)
        relay = next(d for d in self.fleet.running if d.distribution.is_relay)
        started_at = self.now
        paused_at = started_at + rng.uniform(0.9, 1.4)
        late: list[str] = []
        while self.now < started_at + SECONDS:
            if self.now < started_at + STORM_SECONDS:
                self.write()
            if self.now >= paused_at and not relay.reactor.is_paused:
                self.fleet.pause(relay)
            self.fleet.run(CHANGE_INTERVAL_SECONDS)
            late.extend(self.late_daemons())
        return late

    def late_daemons(self) -> list[str]:
        """Return the running daemons that lack a change which must be in force."""
        due = [v for at, v in self.written if self.now > at + CONVERGE_SECONDS]
        return [
            f"{daemon.address} lacks version {version} at {self.now:.2f}"
            for daemon in self.fleet.running
            for version in due
            if daemon.distribution.table.match(f"/v{version}/", "GET", HOST) is None
        ]


class SilentPeersTest(unittest.TestCase):
    """A relay is paused while a zone pulls what it has offered."""

    def test_pull_waits_for_a_relay_that_is_paused(self) -> None:
        """Guards against a change that is in force late, so that its routes get 404."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual([], StormDay(seed).play_storm(seed)[:5])


if __name__ == "__main__":
    unittest.main()
