"""Invariants of a fleet under seeded random faults, checked at each step."""

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
CONVERGENCE_LIMIT_SECONDS = 19.0


class RandomFaults:
    """Applies random faults and changes to a fleet."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.checked_fleet = CheckedFleet(dict.fromkeys(ZONES, 4), seed)
        self.fleet = self.checked_fleet.fleet
        self.change_count = 0

    def step(self) -> None:
        """Apply one random fault or change, and advance the time."""
        action = self.rng.choice(
            (
                self.write_change_or_removal,
                self.write_change_or_removal,
                self.replace_daemons,
                self.pause_daemon,
                self.resume_daemons,
                self.toggle_outage,
                self.partition_zone,
                self.disturb_store,
                self.heal_partitions,
            )
        )
        action()
        self.checked_fleet.run(self.rng.choice((0.0, 0.1, 1.0, 3.0)))

    def write_change_or_removal(self) -> None:
        """Write a valid or an invalid change, or remove a service in use."""
        if self.fleet.store.outage:
            return
        self.change_count += 1
        name = f"s{self.change_count}"
        kind = self.rng.randrange(4)
        if kind == 0:
            self.checked_fleet.apply(route(f"bad-{name}", "missing"))
        elif kind == 1:
            self.checked_fleet.apply(
                removed(service(f"s{self.rng.randrange(self.change_count)}"))
            )
        else:
            self.checked_fleet.apply(service(name), route(f"r-{name}", name))

    def replace_daemons(self) -> None:
        """Restart one or four daemons at once."""
        daemons = list(self.fleet.daemons.values())
        for daemon in self.rng.sample(daemons, self.rng.choice((1, 4))):
            self.fleet.restart(daemon)

    def pause_daemon(self) -> None:
        """Pause a random daemon."""
        self.fleet.pause(self.rng.choice(list(self.fleet.daemons.values())))

    def resume_daemons(self) -> None:
        """Resume every paused daemon."""
        for daemon in self.fleet.daemons.values():
            if daemon.reactor.is_paused:
                self.fleet.resume(daemon)

    def toggle_outage(self) -> None:
        """Start or end an outage of the store at random."""
        self.fleet.store.outage = self.rng.choice(("", "", "close"))

    def partition_zone(self) -> None:
        """Partition a zone from the store, and perhaps from the other zones."""
        zone = self.rng.choice(ZONES)
        if self.rng.random() < 0.5:
            self.fleet.partition_zone(zone, from_store=True)
        else:
            self.fleet.partition_from_store(zone)

    def disturb_store(self) -> None:
        """Lose responses of the store, silence its watches, or lose messages."""
        self.fleet.store.lose_answers = self.rng.randrange(3)
        self.fleet.store.freeze_watches = self.rng.random() < 0.3
        self.fleet.loss_probability = self.rng.choice((0.0, 0.2))

    def heal_partitions(self) -> None:
        """End the partitions."""
        self.fleet.heal_partitions()

    def end_all_faults(self) -> None:
        """End every fault."""
        self.fleet.store.outage = ""
        self.fleet.store.lose_answers = 0
        self.fleet.store.freeze_watches = False
        self.fleet.loss_probability = 0.0
        self.heal_partitions()
        self.resume_daemons()


class RandomFaultsTest(unittest.TestCase):
    """No daemon ever runs an older or invalid version, and the fleet converges."""

    def test_seeds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                faults = RandomFaults(seed)
                faults.checked_fleet.run(4.0)
                for _ in range(STEPS):
                    faults.step()
                faults.end_all_faults()
                faults.checked_fleet.apply(service("last"))
                checked_fleet = faults.checked_fleet
                checked_fleet.run(CONVERGENCE_LIMIT_SECONDS)
                versions = set(checked_fleet.versions())
                self.assertEqual(len(versions), 1, checked_fleet.versions())
                tables = [d.distribution.table for d in faults.fleet.running]
                self.assertTrue(all("last" in table.services for table in tables))
                self.assertEqual(checked_fleet.violations, [])
