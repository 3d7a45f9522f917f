"""Reconnect storms on the store and on peers, with and without pacing."""

from __future__ import annotations

import random
from collections import Counter
from contextlib import ExitStack
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

from twisted.internet.defer import Deferred

from bench.convergence import MAX_FAULT_CONVERGENCE_SECONDS
from bench.convergence import ConvergenceHarness
from bench.fleet_clock import HeapClock
from bench.measurement import Measurement
from briarslip.connection.frame import Topic
from briarslip.process.distribution.version_store import HEAD_KEY
from briarslip.process.store import watch as store_watch
from briarslip.process.store.watch import StoreWatch
from briarslip.version import distribution
from briarslip.version import puller
from standins.in_memory_store import InMemoryStore
from standins.local_store_client import LocalStoreClient


if TYPE_CHECKING:
    from briarslip.process.store.client import WatchEvent


WINDOW_SECONDS = 0.1
OUTAGE_SECONDS = 30.0
RECONNECT_WINDOWS = 80
FIXED_RETRY_SECONDS = 1.0
# The store handles two thousand reads per second.
MAX_CALLS_PER_SECOND = 2000.0
DOWNTIME_SECONDS = 10.0


class DirectWatchFleet:
    """Daemons without relays: each watches the store and reads each version from it."""

    def __init__(self, size: int) -> None:
        self.clock: Any = HeapClock()
        self.store = InMemoryStore(self.clock)
        self.rng = random.Random(1)
        self.watches: list[StoreWatch] = []
        for _ in range(size):
            client = LocalStoreClient(self.store, self.clock.callLater)

            def read(
                events: tuple[WatchEvent, ...],
                client: LocalStoreClient = client,
            ) -> None:
                Deferred.fromCoroutine(client.get(HEAD_KEY))

            watch = StoreWatch(
                self.clock, self.rng, client, HEAD_KEY, read, lambda: None
            )
            watch.start(0)
            self.watches.append(watch)
        self.clock.advance(1.0)

    def calls_per_version(self) -> int:
        """Write a version and return the store calls that it causes."""
        before = self.store.call_counts.total()
        current = self.store.get(HEAD_KEY)
        self.store.swap(HEAD_KEY, b"1", current.mod_revision if current else 0)
        self.clock.advance(1.0)
        return self.store.call_counts.total() - before

    def peak_calls_per_second_after_outage(self) -> float:
        """Return the most calls per second in any window after an outage."""
        self.store.outage = "close"
        self.clock.advance(OUTAGE_SECONDS)
        counts = Counter[int]()
        before = self.store.call_counts.total()
        self.store.outage = ""
        for window in range(int(2 * store_watch.RETRY_CAP_SECONDS / WINDOW_SECONDS)):
            self.clock.advance(WINDOW_SECONDS)
            counts[window] = self.store.call_counts.total() - before
            before = self.store.call_counts.total()
        return max(counts.values()) / WINDOW_SECONDS


def fixed_retry_delay(
    rng: random.Random, attempt: int, base: float, cap: float
) -> float:
    """Return a delay without jitter, in place of ``full_jitter``."""
    return FIXED_RETRY_SECONDS


def relay_peak_calls_per_second(size: int) -> float:
    """Return the most store calls per second after an outage, with relays."""
    harness = ConvergenceHarness(size)
    store = harness.fleet.store
    store.outage = "close"
    harness.fleet.run(OUTAGE_SECONDS)
    store.outage = ""
    peak = 0
    for _ in range(RECONNECT_WINDOWS):
        before = store.call_counts.total()
        harness.fleet.run(WINDOW_SECONDS)
        peak = max(peak, store.call_counts.total() - before)
    return peak / WINDOW_SECONDS


def mass_restart_pulls(size: int, paced: bool) -> tuple[float, float]:
    """Restart seven of eight daemons at once.

    Return the most bytes per second that one daemon sends for configuration,
    and the seconds until all run the version.
    """
    with ExitStack() as stack:
        if not paced:
            for module, constant, value in (
                (puller, "INITIAL_JITTER_SECONDS", 0.0),
                (distribution, "SERVED_BURST_BYTES", float("inf")),
            ):
                stack.enter_context(mock.patch.object(module, constant, value))
        harness = ConvergenceHarness(size)
        fleet = harness.fleet
        victims = [d for number, d in enumerate(fleet.running) if number % 8]
        for daemon in victims:
            fleet.kill(daemon)
        fleet.run(DOWNTIME_SECONDS)
        for daemon in victims:
            fleet.restart(daemon)
        topic = Topic.CONFIGURATION.name
        sent = {a: t.sent[topic] for a, t in fleet.traffic.items()}
        peak = 0
        seconds = 0.0
        while seconds < 2 * MAX_FAULT_CONVERGENCE_SECONDS:
            fleet.run(WINDOW_SECONDS)
            seconds += WINDOW_SECONDS
            for address, traffic in fleet.traffic.items():
                peak = max(peak, traffic.sent[topic] - sent[address])
                sent[address] = traffic.sent[topic]
            if all(d.distribution.snapshot.version for d in fleet.running):
                break
        return peak / WINDOW_SECONDS, seconds


def run(quick: bool) -> list[Measurement]:
    """Measure fleets of several sizes."""
    measurements: list[Measurement] = []
    for size in (50, 200) if quick else (50, 200, 800, 2600):
        direct = DirectWatchFleet(size)
        watches = direct.store.waiting_watches
        measurements += [
            Measurement(f"{size}, each daemon watches: waiting watches", watches, ""),
            Measurement(
                f"{size}, each daemon watches: store calls per version",
                direct.calls_per_version(),
                "calls",
            ),
            Measurement(
                f"{size}, each daemon watches: peak after an outage, full jitter",
                direct.peak_calls_per_second_after_outage(),
                "calls/s",
            ),
        ]
        with mock.patch.object(store_watch, "full_jitter", fixed_retry_delay):
            peak = DirectWatchFleet(size).peak_calls_per_second_after_outage()
        title = f"{size}, each daemon watches: peak after an outage, fixed delay"
        measurements.append(Measurement(title, peak, "calls/s"))
    for size in (16, 32) if quick else (50, 100, 200):
        peak = relay_peak_calls_per_second(size)
        title = f"{size}, relays: peak after an outage"
        measurements.append(Measurement(title, peak, "calls/s", MAX_CALLS_PER_SECOND))
    for size in (32,) if quick else (50, 100, 200):
        for paced in (False, True):
            peak, seconds = mass_restart_pulls(size, paced)
            pacing = "paced" if paced else "not paced"
            title = f"{size}, 7 of 8 restart, {pacing}"
            measurements.append(
                Measurement(f"{title}: peak sent by one daemon", peak, "B/s")
            )
            bound = MAX_FAULT_CONVERGENCE_SECONDS if paced else None
            measurements.append(
                Measurement(f"{title}: until all run the version", seconds, "s", bound)
            )
    return measurements


__all__ = ["run"]
