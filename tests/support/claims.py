"""Claims of daemons that can be paused, at one platform in virtual time."""

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
from standins.local_platform import LocalStoreClient
from standins.platform_store import PlatformStandIn
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


class Time(Clock):
    """Virtual time with the names of both of its users."""

    def monotonic(self) -> float:
        seconds: float = self.seconds()
        return seconds

    def call_later(self, delay: float, function: Any, *arguments: Any) -> Any:
        return self.callLater(delay, function, *arguments)

    def run(self, seconds: float) -> None:
        """Move on in small steps, as answers set further timers."""
        for _ in range(round(seconds / 0.05)):
            self.advance(0.05)


class Daemon:
    """Claims of one daemon, which can be paused as by SIGSTOP."""

    def __init__(
        self, time: Time, state: PlatformStandIn, network: dict[Address, Daemon]
    ) -> None:
        self.time = time
        self.network = network
        own_address = address(len(network))
        network[own_address] = self
        self.paused = False
        self.rng = random.Random(SEED + own_address.port)
        self.held_back: list[Callable[[], None]] = []
        self.client = LocalStoreClient(state, time.call_later)
        self.claims = StoreClaims(
            PausableClient(self),
            time,
            self.rng,
            self.call_later,
            own_address,
            self.send_query,
        )

    def send_query(
        self, peer: Address, call: Call, sink: ResponseSink
    ) -> Callable[[], None]:
        """Pass a question to another daemon, which may be paused or gone."""
        other = self.network.get(peer)
        if other is None:
            sink.failed(NOT_RUN, None)
        else:
            other.do(lambda: other.serve(call, sink))
        return lambda: None

    def call_later(self, delay: float, function: Callable[[], None]) -> Any:
        timer = VirtualTimer(function)
        self.time.callLater(delay, self.do, lambda: fire(timer))
        return timer

    def serve(self, call: Call, sink: ResponseSink) -> None:
        """Answer a question of another daemon."""
        self.claims.serve(call, sink)

    def do(self, function: Callable[[], None]) -> None:
        """Run a function now, or once the daemon goes on."""
        if self.paused:
            self.held_back.append(function)
        else:
            function()

    def resume(self) -> None:
        self.paused = False
        functions, self.held_back = self.held_back, []
        self.rng.shuffle(functions)
        for function in functions:
            function()

    def acquire(self, digest: str = "d", timeout: float = 2.0) -> list[ClaimDecision]:
        """Ask for a claim; the list gets the decision."""
        got: list[ClaimDecision] = []
        deadline = self.time.monotonic() + timeout
        self.claims.acquire(ClaimRequest(KEY, digest, deadline), got.append)
        return got


def fire(timer: VirtualTimer) -> None:
    """Run a timer's function, unless it was cancelled."""
    if timer.function is not None:
        timer.function()


@dataclass
class PausableClient:
    """Hands replies on only while its daemon runs."""

    daemon: Daemon

    def __getattr__(self, name: str) -> Any:
        method = getattr(self.daemon.client, name)

        async def call(*arguments: Any) -> Any:
            reply = await method(*arguments)
            if self.daemon.paused:
                waiting: Deferred[None] = Deferred()
                self.daemon.held_back.append(lambda: waiting.callback(None))
                await waiting
            return reply

        return call


class ClaimCase(unittest.TestCase):
    """Two daemons at one platform."""

    def setUp(self) -> None:
        self.time = Time()
        self.state = PlatformStandIn(self.time)
        self.network: dict[Address, Daemon] = {}
        self.one = Daemon(self.time, self.state, self.network)
        self.two = Daemon(self.time, self.state, self.network)

    def hold(self) -> AcquiredClaim:
        """Let the first daemon hold the claim."""
        (held,) = self.one.acquire()
        assert isinstance(held, AcquiredClaim)
        return held


@dataclass
class PausedTime:
    """The time of a daemon that can be paused."""

    daemon: Daemon

    def monotonic(self) -> float:
        return self.daemon.time.monotonic()

    def call_later(self, delay: float, function: Callable[[], None]) -> Any:
        return self.daemon.call_later(delay, function)


__all__ = ["KEY", "ClaimCase", "Daemon", "PausedTime"]
