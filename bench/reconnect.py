"""Reconnect storms on the platform and on peers, with and without pacing."""

from __future__ import annotations

import random
from collections import Counter
from contextlib import ExitStack
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

from twisted.internet.defer import Deferred

from bench.convergence import MAX_FAULT_SECONDS
from bench.convergence import Operators
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
STORM_WINDOWS = 80
FIXED_RETRY_SECONDS = 1.0
# Two thousand reads a second are what the platform handles.
MAX_CALLS_PER_SECOND = 2000.0
RETURN_SECONDS = 10.0


class NaiveFleet:
    """Daemons that each watch the platform and read each version from it."""

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

    def change(self) -> int:
        """Return the calls that one version costs."""
        before = self.store.call_counts.total()
        current = self.store.get(HEAD_KEY)
        self.store.swap(HEAD_KEY, b"1", current.mod_revision if current else 0)
        self.clock.advance(1.0)
        return self.store.call_counts.total() - before

    def peak_after_outage(self) -> float:
        """Return the most calls a second in a window around an outage's end."""
        self.store.outage = "close"
        self.clock.advance(OUTAGE_SECONDS)
        counts = Counter[int]()
        before = self.store.call_counts.total()
        self.store.outage = ""
        for window in range(int(2 * store_watch.BACKOFF_CAP_SECONDS / WINDOW_SECONDS)):
            self.clock.advance(WINDOW_SECONDS)
            counts[window] = self.store.call_counts.total() - before
            before = self.store.call_counts.total()
        return max(counts.values()) / WINDOW_SECONDS


def fixed_delay(rng: random.Random, attempt: int, base: float, cap: float) -> float:
    """Return a wait without jitter, as a comparison."""
    return FIXED_RETRY_SECONDS


def relay_calls_after_outage(size: int) -> float:
    """Return the peak of platform calls a second of a fleet with relays."""
    operators = Operators(size)
    store = operators.fleet.store
    store.outage = "close"
    operators.fleet.run(OUTAGE_SECONDS)
    store.outage = ""
    peak = 0
    for _ in range(STORM_WINDOWS):
        before = store.call_counts.total()
        operators.fleet.run(WINDOW_SECONDS)
        peak = max(peak, store.call_counts.total() - before)
    return peak / WINDOW_SECONDS


def herd_pulls(size: int, paced: bool) -> tuple[float, float]:
    """Let all but a few of each zone return at once.

    Return the peak bytes a second that one daemon sends for configuration,
    and the seconds until all run the version.
    """
    with ExitStack() as stack:
        if not paced:
            for module, name, value in (
                (puller, "INITIAL_JITTER_SECONDS", 0.0),
                (distribution, "SERVED_BURST_BYTES", float("inf")),
            ):
                stack.enter_context(mock.patch.object(module, name, value))
        operators = Operators(size)
        fleet = operators.fleet
        victims = [d for i, d in enumerate(fleet.running) if i % 8]
        for daemon in victims:
            fleet.kill(daemon)
        fleet.run(RETURN_SECONDS)
        for daemon in victims:
            fleet.restart(daemon)
        topic = Topic.CONFIGURATION.name
        sent = {a: t.sent[topic] for a, t in fleet.traffic.items()}
        peak = 0
        seconds = 0.0
        while seconds < 2 * MAX_FAULT_SECONDS:
            fleet.run(WINDOW_SECONDS)
            seconds += WINDOW_SECONDS
            for address, traffic in fleet.traffic.items():
                peak = max(peak, traffic.sent[topic] - sent[address])
                sent[address] = traffic.sent[topic]
            if all(d.distribution.snapshot.version for d in fleet.running):
                break
        return peak / WINDOW_SECONDS, seconds


def run(quick: bool) -> list[Measurement]:
    """Measure."""
    measurements: list[Measurement] = []
    for size in (50, 200) if quick else (50, 200, 800, 2600):
        naive = NaiveFleet(size)
        watches = naive.store.waiting_watches
        measurements += [
            Measurement(f"{size}, each watches: waiting watches", watches, ""),
            Measurement(
                f"{size}, each watches: calls a version", naive.change(), "calls"
            ),
            Measurement(
                f"{size}, each watches: peak after an outage, full jitter",
                naive.peak_after_outage(),
                "calls/s",
            ),
        ]
        with mock.patch.object(store_watch, "full_jitter", fixed_delay):
            peak = NaiveFleet(size).peak_after_outage()
        name = f"{size}, each watches: peak after an outage, fixed wait"
        measurements.append(Measurement(name, peak, "calls/s"))
    for size in (16, 32) if quick else (50, 100, 200):
        peak = relay_calls_after_outage(size)
        name = f"{size}, relays: peak after an outage"
        measurements.append(Measurement(name, peak, "calls/s", MAX_CALLS_PER_SECOND))
    for size in (32,) if quick else (50, 100, 200):
        for paced in (False, True):
            peak, seconds = herd_pulls(size, paced)
            how = "paced" if paced else "not paced"
            name = f"{size}, 7 of 8 return, {how}"
            measurements.append(Measurement(f"{name}: peak of one source", peak, "B/s"))
            bound = MAX_FAULT_SECONDS if paced else None
            measurements.append(
                Measurement(f"{name}: until all run", seconds, "s", bound)
            )
    return measurements


__all__ = ["run"]
