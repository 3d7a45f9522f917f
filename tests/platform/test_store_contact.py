"""Tests of how long a daemon goes without the news of a slow, silent or busy store."""

from __future__ import annotations

import random
import unittest
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.task import Clock

from briarslip.address import Address
from briarslip.platform.store import PlatformStore
from briarslip.process.distribution.source_activation import SourceActivation
from briarslip.process.distribution.stored_configuration import RETRY_CAP_SECONDS
from briarslip.process.distribution.watch_duty import MAX_WATCHING_ZONE_MEMBERS
from briarslip.process.distribution.watch_duty import RELAY_HEARTBEAT_SECONDS
from briarslip.process.distribution.watch_duty import RELAY_SILENCE_SECONDS
from briarslip.process.store.client import WatchClosed
from briarslip.process.store.client import WatchEvent
from briarslip.process.store.watch import StoreWatch
from standins.users_store import UsersStore
from standins.users_store_server import StoreRequest
from standins.users_store_server import StoreServer
from tests.platform.test_restored_store import WatchingDaemon
from tests.platform.test_restored_store import write_version
from tests.platform.test_store import Fixture
from tests.support.reactor import run_in_reactor


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from twisted.web import http


# As in briarslip.platform.settings.
STORE_TIMEOUT = timedelta(seconds=2)
# A daemon that has been undisturbed for this long has each change in time.
UNDISTURBED_SECONDS = 3.0
CONVERGE_SECONDS = 2.5


class SilenceableRequest(StoreRequest):
    """A call that gets no answer if its connection is silent, or 503 if it may wait."""

    def process(self) -> None:
        """Count the call, then answer it unless its connection is silent."""
        server: Any = self.channel.factory
        server.call_count += 1
        if self.channel in server.silent:
            self.is_finished = True
            return
        is_waiting = b"kv-watch" in self.uri and not self.uri.endswith(b"wait-ms=1")
        if server.refuses_waiting and is_waiting:
            self.setResponseCode(503)
            self.setHeader(b"store-era", b"%d" % server.store.era)
            self.setHeader(b"content-length", b"0")
            self.finish()
            return
        super().process()


class SilenceableServer(StoreServer):
    """A store whose open connections can go silent while new ones work."""

    def __init__(self, reactor: Any, store: UsersStore) -> None:
        super().__init__(reactor, store)
        self.silent: set[http.HTTPChannel] = set()
        self.call_count = 0
        self.refuses_waiting = False

    def silence_connections(self) -> None:
        """Never answer again on any of the open connections."""
        self.lose_waiting()
        self.silent.update(self.channels)

    def buildProtocol(self, addr: Any) -> http.HTTPChannel:
        """Build a channel that can go silent."""
        channel = super().buildProtocol(addr)
        channel.requestFactory = SilenceableRequest
        return channel


class SilenceableFixture(Fixture):
    """A store and its client with the timeout of the deployments."""

    server: Any

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.store = UsersStore(reactor.seconds)
        self.server = SilenceableServer(reactor, self.store)
        self.port = reactor.listenTCP(0, self.server, interface="127.0.0.1")
        address = Address("127.0.0.1", self.port.getHost().port)
        self.client = PlatformStore.from_address(reactor, address, STORE_TIMEOUT)

    async def longest_out_of_touch(
        self, daemon: WatchingDaemon, seconds: float
    ) -> float:
        """Return the longest time out of touch with the store within some seconds."""
        longest, since = 0.0, None
        end = self.reactor.seconds() + seconds
        while self.reactor.seconds() < end:
            now = self.reactor.seconds()
            if daemon.source.is_in_touch:
                since = None
            else:
                since = now if since is None else since
                longest = max(longest, now - since)
            await self.sleep(0.02)
        return longest


def run_steps(steps: Callable[[SilenceableFixture], Awaitable[None]]) -> None:
    """Run the steps of a test with a client and a store of its own."""

    async def steps_then_close(reactor: Any) -> None:
        fixture = SilenceableFixture(reactor)
        try:
            await steps(fixture)
        finally:
            await fixture.port.stopListening()

    run_in_reactor(steps_then_close)


class ReactorClock:
    """The clock of the daemon, from the reactor."""

    def __init__(self, reactor: Any) -> None:
        self.monotonic = reactor.seconds


class StoreContactTest(unittest.TestCase):
    """Each test guards against a change that comes too late, or too many calls."""

    def test_slow_store_counts_as_lost(self) -> None:
        """Polls of a store that answers in 1 s are given up before their answer."""

        async def steps(fixture: SilenceableFixture) -> None:
            write_version(fixture, 3)
            daemon = WatchingDaemon(fixture)
            await fixture.sleep(0.2)
            fixture.server.delay_seconds = 1.0
            longest = await fixture.longest_out_of_touch(daemon, 10.0)
            daemon.source.set_active(False)
            # Later, all daemons of the zone read the store themselves.
            self.assertLess(longest, RELAY_SILENCE_SECONDS - RELAY_HEARTBEAT_SECONDS)

        run_steps(steps)

    def test_refused_polls_are_repeated_without_back_off(self) -> None:
        """A store that refuses to wait gets more calls, since short polls succeed."""

        async def steps(fixture: SilenceableFixture) -> None:
            write_version(fixture, 3)
            daemon = WatchingDaemon(fixture)
            await fixture.sleep(0.2)
            fixture.server.refuses_waiting = True
            fixture.server.drop_connections()
            await fixture.sleep(2.0)
            before = fixture.server.call_count
            await fixture.sleep(6.0)
            calls = fixture.server.call_count - before
            daemon.source.set_active(False)
            # With the back-off of failures in a row, whose mean soon is 2 s.
            self.assertLessEqual(calls, 12)

        run_steps(steps)

    def test_relay_vouches_for_a_store_that_went_silent(self) -> None:
        """Daemons that rely on it read a change only 1.2 s after its last heartbeat."""

        async def steps(fixture: SilenceableFixture) -> None:
            write_version(fixture, 3)
            daemon = WatchingDaemon(fixture)
            await fixture.sleep(0.05)
            fixture.server.faults = {"": "silent"}
            fixture.server.silence_connections()
            began_at = fixture.reactor.seconds()
            while daemon.source.is_in_touch:
                await fixture.sleep(0.02)
            vouched = fixture.reactor.seconds() - began_at
            daemon.source.set_active(False)
            self.assertLessEqual(vouched + RELAY_SILENCE_SECONDS, CONVERGE_SECONDS)

        run_steps(steps)

    def test_daemon_that_relied_on_relays_reads_on_a_silent_connection(self) -> None:
        """All open connections go silent, those to relays too; new ones work."""

        async def steps(fixture: SilenceableFixture) -> None:
            write_version(fixture, 3)
            daemon = WatchingDaemon(fixture)
            reactor = fixture.reactor
            duty = SourceActivation(reactor, ReactorClock(reactor), daemon.source)  # type: ignore[arg-type]  # monotonic time only
            zone = MAX_WATCHING_ZONE_MEMBERS + 1
            for _ in range(8):
                duty.record_relay()
                duty.update(False, zone)
                await fixture.sleep(RELAY_HEARTBEAT_SECONDS)
            duty.record_relay()
            duty.update(False, zone)
            self.assertFalse(daemon.source.active)
            fixture.server.silence_connections()
            write_version(fixture, 5)
            began_at = reactor.seconds()
            while daemon.timeout_ms != 1005 and reactor.seconds() - began_at < 8.0:
                await fixture.sleep(0.02)
            took = reactor.seconds() - began_at
            daemon.source.set_active(False)
            self.assertLessEqual(took, UNDISTURBED_SECONDS)

        run_steps(steps)

    def test_storm_of_changes_is_read_on_a_connection_that_went_silent_before(
        self,
    ) -> None:
        """The read between close changes waits 2 s for a connection silent for 4 s."""

        async def steps(fixture: SilenceableFixture) -> None:
            write_version(fixture, 3)
            daemon = WatchingDaemon(fixture)
            await fixture.sleep(0.2)
            fixture.server.silence_connections()
            await fixture.sleep(4.0)
            write_version(fixture, 4)
            await fixture.sleep(0.2)
            write_version(fixture, 5)
            await fixture.sleep(0.05)
            write_version(fixture, 6)
            began_at = fixture.reactor.seconds()
            while daemon.timeout_ms != 1006:
                await fixture.sleep(0.02)
            took = fixture.reactor.seconds() - began_at
            daemon.source.set_active(False)
            self.assertLessEqual(took, CONVERGE_SECONDS)

        run_steps(steps)

    def test_relay_stays_out_of_touch_after_it_has_read_a_restored_store(self) -> None:
        """The failures of the watch outlast the read, until its first poll ends."""

        async def steps(fixture: SilenceableFixture) -> None:
            write_version(fixture, 3)
            daemon = WatchingDaemon(fixture)
            await fixture.sleep(0.2)
            copy = fixture.store.copy()
            fixture.server.faults = {"": "reset"}
            fixture.server.drop_connections()
            fixture.store.restore(copy)
            write_version(fixture, 5)
            await fixture.sleep(0.1)
            fixture.server.faults = {}
            while daemon.timeout_ms != 1005:
                await fixture.sleep(0.01)
            read_at = fixture.reactor.seconds()
            while not daemon.source.is_in_touch:
                await fixture.sleep(0.01)
            took = fixture.reactor.seconds() - read_at
            daemon.source.set_active(False)
            self.assertLess(took, RELAY_SILENCE_SECONDS - RELAY_HEARTBEAT_SECONDS)

        run_steps(steps)


class UnavailableStore:
    """A store in virtual time that ends each watch after a while, until it is up."""

    def __init__(self, clock: Clock, seconds: float) -> None:
        self.clock = clock
        self.seconds = seconds
        self.up_at = 0.0
        self.reached_at: float | None = None
        self.opened = 0

    def watch(
        self,
        prefix: str,
        start_revision: int,
        on_events: Callable[[tuple[WatchEvent, ...]], None],
        on_closed: Callable[[WatchClosed], None],
        is_resumed: bool = False,
    ) -> UnavailableStore:
        """Open a watch, which ends at once or after some seconds of silence."""
        del prefix, start_revision, on_events, is_resumed
        self.opened += 1
        if self.clock.seconds() < self.up_at:
            self.clock.callLater(self.seconds, on_closed, WatchClosed("no response"))
        elif self.reached_at is None:
            self.reached_at = self.clock.seconds()
        return self

    def stop(self) -> None:
        """Stop the watch."""


class ReopeningTest(unittest.TestCase):
    """A store that is up again is reached while its daemons get in touch with it."""

    def late_seeds(self, watch_seconds: float, outage_seconds: float) -> list[int]:
        """Return the seeds of 200 with which the store is reached too late."""
        late = []
        for seed in range(200):
            clock = Clock()
            store: Any = UnavailableStore(clock, watch_seconds)
            store.up_at = outage_seconds
            watch = StoreWatch(
                clock,
                random.Random(seed),
                store,
                "op/",
                lambda _: None,
                lambda: None,
                RETRY_CAP_SECONDS,
            )
            watch.start(1)
            while store.reached_at is None:
                clock.advance(0.01)
            if store.reached_at - store.up_at > UNDISTURBED_SECONDS:
                late.append(seed)
        return late

    def test_store_is_reached_late_after_an_outage(self) -> None:
        late = self.late_seeds(0.01, 10.0)
        self.assertEqual([], late)

    def test_back_off_grows_with_polls_that_were_silent(self) -> None:
        late = self.late_seeds(2.25, 12.0)
        self.assertEqual([], late)


if __name__ == "__main__":
    unittest.main()
