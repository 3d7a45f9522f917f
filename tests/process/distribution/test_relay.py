"""Tests of the relay role."""

from __future__ import annotations

import random
import unittest

from bench.fleet_clock import FleetClock
from briarslip.process.distribution.relay import Relay
from briarslip.version.snapshot import EMPTY_SNAPSHOT
from standins.simulated_store import SimulatedStore


class RelayTest(unittest.TestCase):
    """Start and stop of the relay role."""

    def test_role_ended_during_head_read(self) -> None:
        world = SimulatedStore()
        clock = FleetClock(world.clock)
        relay = Relay(
            world.clock,
            clock,
            random.Random(1),
            world.client,
            lambda: EMPTY_SNAPSHOT,
            lambda snapshot: None,
            lambda: None,
        )
        world.store.delay_ms = 100
        relay.set_active(True)
        relay.set_active(False)
        world.clock.pump([0.1] * 50)
        self.assertEqual(world.store.waiting_watches, 0)
        self.assertEqual(world.store.call_counts["watch"], 0)
