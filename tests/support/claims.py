"""Claims of daemons that can be paused, over one store in virtual time."""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from briarslip.process.claims.claims import StoreClaims
from briarslip.request.claim import AcquiredClaim
from briarslip.request.claim import ClaimRequest
from standins.in_memory_store import InMemoryStore
from standins.local_store_client import LocalStoreClient
from standins.virtual_time import VirtualTimer
from tests.request.support import NOT_RUN
from tests.request.support import SEED
from tests.request.support import address


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.address import Address
    from briarslip.request.call import Call
    from briarslip.request.call import ResponseSink
    from briarslip.request.claim import ClaimDecision


KEY = "claims/holds/1"


class VirtualClock(Clock):
    """Virtual time with the methods of Twisted's clock and of the daemon's clock."""

    def monotonic(self) -> float:
        seconds: float = self.seconds()
        return seconds

    def call_later(self, delay: float, function: Any, *arguments: Any) -> Any:
        return self.callLater(delay, function, *arguments)

    def run(self, seconds: float) -> None:
        """Advance in small steps, because replies schedule further timers."""
        for _ in range(round(seconds / 0.05)):
            self.advance(0.05)


class ClaimsDaemon:
    """The claims of one daemon, which can be paused as by SIGSTOP."""

    def __init__(
        self,
        time: VirtualClock,
        store: InMemoryStore,
        network: dict[Address, ClaimsDaemon],
    ) -> None:
        self.time = time
        self.network = network
        own_address = address(len(network))
        network[own_address] = self
        self.is_paused = False
        self.rng = random.Random(SEED + own_address.port)
        self.deferred_functions: list[Callable[[], None]] = []
        self.store_client = LocalStoreClient(store, time.call_later)
        self.claims = StoreClaims(
            PausableStoreClient(self),
            time,
            self.rng,
            self.call_later,
            own_address,
            self.send_query,
        )

    def send_query(
        self, peer: Address, call: Call, sink: ResponseSink
    ) -> Callable[[], None]:
        """Send a result query to another daemon, which may be paused or gone."""
        other = self.network.get(peer)
        if other is None:
            sink.failed(NOT_RUN, None)
        else:
            other.run_or_defer(lambda: other.serve(call, sink))
        return lambda: None

    def call_later(self, delay: float, function: Callable[[], None]) -> Any:
        timer = VirtualTimer(function)
        self.time.callLater(delay, self.run_or_defer, lambda: run_timer(timer))
        return timer

    def serve(self, call: Call, sink: ResponseSink) -> None:
        """Answer a result query of another daemon."""
        self.claims.serve(call, sink)

    def run_or_defer(self, function: Callable[[], None]) -> None:
        """Run a function now, or after the daemon resumes."""
        if self.is_paused:
            self.deferred_functions.append(function)
        else:
            function()

    def resume(self) -> None:
        self.is_paused = False
        functions, self.deferred_functions = self.deferred_functions, []
        self.rng.shuffle(functions)
        for function in functions:
            function()

    def acquire(self, digest: str = "d", timeout: float = 2.0) -> list[ClaimDecision]:
        """Acquire a claim; the decision is appended to the returned list."""
        decisions: list[ClaimDecision] = []
        deadline = self.time.monotonic() + timeout
        self.claims.acquire(ClaimRequest(KEY, digest, deadline), decisions.append)
        return decisions


def run_timer(timer: VirtualTimer) -> None:
    """Run a timer's function unless the timer was cancelled."""
    if timer.function is not None:
        timer.function()


@dataclass
class PausableStoreClient:
    """A store client that delivers replies only while its daemon runs."""

    daemon: ClaimsDaemon

    def __getattr__(self, name: str) -> Any:
        method = getattr(self.daemon.store_client, name)

        async def call(*arguments: Any) -> Any:
            reply = await method(*arguments)
            if self.daemon.is_paused:
                waiting: Deferred[None] = Deferred()
                self.daemon.deferred_functions.append(lambda: waiting.callback(None))
                await waiting
            return reply

        return call


class ClaimTestCase(unittest.TestCase):
    """Two daemons that use one store."""

    def setUp(self) -> None:
        self.time = VirtualClock()
        self.state = InMemoryStore(self.time)
        self.network: dict[Address, ClaimsDaemon] = {}
        self.first_daemon = ClaimsDaemon(self.time, self.state, self.network)
        self.second_daemon = ClaimsDaemon(self.time, self.state, self.network)

    def acquire_claim(self) -> AcquiredClaim:
        """Acquire the claim on ``KEY`` at the first daemon."""
        (acquired,) = self.first_daemon.acquire()
        assert isinstance(acquired, AcquiredClaim)
        return acquired


@dataclass
class PausableClock:
    """The clock of a daemon that can be paused."""

    daemon: ClaimsDaemon

    def monotonic(self) -> float:
        return self.daemon.time.monotonic()

    def call_later(self, delay: float, function: Callable[[], None]) -> Any:
        return self.daemon.call_later(delay, function)


__all__ = ["KEY", "ClaimTestCase", "ClaimsDaemon", "PausableClock"]
