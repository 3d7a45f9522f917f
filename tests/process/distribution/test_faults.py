"""Seeded random faults on a fleet: what must always hold, at each step."""

from __future__ import annotations

import random
import unittest

from tests.support.fleet import CheckedFleet
from tests.support.records import removed
from tests.support.records import route
from tests.support.records import service


ZONES = ("klang", "penang", "johor")
SEEDS = range(4)
STEPS = 30
BOUND_SECONDS = 19.0


class RandomFaults:
    """Draws faults and changes for a fleet."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.watched = CheckedFleet(dict.fromkeys(ZONES, 4), seed)
        self.fleet = self.watched.fleet
        self.number = 0

    def step(self) -> None:
        """Do one thing, and let some time pass."""
        action = self.rng.choice(
            (
                self.change,
                self.change,
                self.kill_and_restart,
                self.pause,
                self.resume,
                self.outage,
                self.cut,
                self.lose,
                self.heal,
            )
        )
        action()
        self.watched.run(self.rng.choice((0.0, 0.1, 1.0, 3.0)))

    def change(self) -> None:
        """Write a good or a bad change, or remove a service in use."""
        if self.fleet.platform.outage:
            return
        self.number += 1
        name = f"s{self.number}"
        kind = self.rng.randrange(4)
        if kind == 0:
            self.watched.apply(route(f"bad-{name}", "missing"))
        elif kind == 1:
            self.watched.apply(removed(service(f"s{self.rng.randrange(self.number)}")))
        else:
            self.watched.apply(service(name), route(f"r-{name}", name))

    def kill_and_restart(self) -> None:
        """Replace some daemons at once."""
        daemons = list(self.fleet.daemons.values())
        for daemon in self.rng.sample(daemons, self.rng.choice((1, 4))):
            self.fleet.restart(daemon)

    def pause(self) -> None:
        """Let a daemon stand still."""
        self.fleet.pause(self.rng.choice(list(self.fleet.daemons.values())))

    def resume(self) -> None:
        """Let every daemon go on."""
        for daemon in self.fleet.daemons.values():
            if daemon.reactor.paused:
                self.fleet.resume(daemon)

    def outage(self) -> None:
        """Lose the platform, or get it back."""
        self.fleet.platform.outage = self.rng.choice(("", "", "close"))

    def cut(self) -> None:
        """Cut a zone off the platform, and perhaps off the others."""
        zone = self.rng.choice(ZONES)
        if self.rng.random() < 0.5:
            self.fleet.cut_zone(zone, from_platform=True)
        else:
            self.fleet.cut_platform(zone)

    def lose(self) -> None:
        """Lose answers, slow the platform, or silence its watches."""
        self.fleet.platform.lose_answers = self.rng.randrange(3)
        self.fleet.platform.freeze_watches = self.rng.random() < 0.3
        self.fleet.loss = self.rng.choice((0.0, 0.2))

    def heal(self) -> None:
        """End the cuts."""
        self.fleet.heal()

    def end(self) -> None:
        """End every fault."""
        self.fleet.platform.outage = ""
        self.fleet.platform.lose_answers = 0
        self.fleet.platform.freeze_watches = False
        self.fleet.loss = 0.0
        self.heal()
        self.resume()


class RandomFaultsTest(unittest.TestCase):
    """No daemon goes back or has an open route; the fleet comes together."""

    def test_seeds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                faults = RandomFaults(seed)
                faults.watched.run(4.0)
                for _ in range(STEPS):
                    faults.step()
                faults.end()
                faults.watched.apply(service("last"))
                watched = faults.watched
                watched.run(BOUND_SECONDS)
                versions = set(watched.versions())
                self.assertEqual(len(versions), 1, watched.versions())
                tables = [d.distribution.table for d in faults.fleet.running]
                self.assertTrue(all("last" in table.services for table in tables))
                self.assertEqual(watched.violations, [])
