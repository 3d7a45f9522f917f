"""The gateway client and the local client against the stand-in."""

from __future__ import annotations

import json
import unittest
from contextlib import asynccontextmanager
from datetime import timedelta
from io import BytesIO
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone
from twisted.internet.task import Clock
from twisted.internet.task import deferLater
from twisted.web import client as web_client

from briarslip.process.store.client import KeyValue
from briarslip.process.store.client import StoreError
from briarslip.process.store.client import WatchClosed
from briarslip.process.store.client import WatchEvent
from briarslip.process.store.etcd_gateway import EtcdGatewayClient
from standins.in_memory_store import InMemoryStore
from standins.local_store_client import LocalStoreClient
from standins.platform import make_site
from tests.support.reactor import run_in_reactor


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from briarslip.process.store.client import StoreClient


TIMEOUT = timedelta(seconds=1)
SILENCE = timedelta(seconds=1.5)
POLL_SECONDS = 0.01

# Twisted leaves its HTTP client without types.
_http: Any = web_client


class Setting:
    """A stand-in, its client, and what its watches said."""

    def __init__(
        self,
        state: InMemoryStore,
        client: StoreClient,
        sleep: Callable[[float], Awaitable[None]],
        port: int = 0,
    ) -> None:
        self.state = state
        self.client = client
        self.sleep = sleep
        self.port = port
        self.events: list[WatchEvent] = []
        self.closed: list[WatchClosed] = []

    def watch(self, prefix: str, start: int) -> Any:
        """Watch and gather what comes."""
        return self.client.watch(prefix, start, self.events.extend, self.closed.append)

    async def until(self, condition: Callable[[], object]) -> None:
        """Wait for a condition; the test's own limit ends a vain wait."""
        while not condition():
            await self.sleep(POLL_SECONDS)


@asynccontextmanager
async def gateway(reactor: Any, history: int = 100) -> AsyncIterator[Setting]:
    """Serve a stand-in on a free port."""
    state = InMemoryStore(reactor, history)
    listening = reactor.listenTCP(0, make_site(state), interface="127.0.0.1")
    port = listening.getHost().port
    client = EtcdGatewayClient.from_address(
        reactor, "127.0.0.1", port, TIMEOUT, SILENCE
    )

    async def sleep(seconds: float) -> None:
        await deferLater(reactor, seconds)

    try:
        yield Setting(state, client, sleep, port)
    finally:
        await listening.stopListening()


@asynccontextmanager
async def local(clock: Any, history: int = 100) -> AsyncIterator[Setting]:
    """Make a stand-in in virtual time; sleeping moves the clock."""
    state = InMemoryStore(clock, history)

    async def sleep(seconds: float) -> None:
        clock.advance(seconds)

    yield Setting(state, LocalStoreClient(state, clock.callLater), sleep)


class SharedCases:
    """What holds for both clients."""

    def check(self, case: Callable[[Setting], Any], history: int = 100) -> None:
        raise NotImplementedError

    def test_create_swap_delete(self) -> None:
        async def case(at: Setting) -> None:
            made = (await at.client.swap("a/1", b"x", 0)).unwrap()
            assert made.swapped
            empty = (await at.client.swap("a/2", b"", made.revision)).unwrap()
            assert (empty.swapped, empty.current) == (False, None)
            assert (await at.client.swap("a/1", b"", made.revision)).unwrap().swapped
            found = (await at.client.get("a/1")).unwrap()
            assert found == KeyValue("a/1", b"", made.revision + 1)
            gone = await at.client.swap("a/1", None, found.mod_revision)
            assert gone.unwrap().swapped
            assert (await at.client.get("a/1")).unwrap() is None

        self.check(case)

    def test_lost_race_brings_current_value(self) -> None:
        async def case(at: Setting) -> None:
            made = (await at.client.swap("k", b"first", 0)).unwrap()
            lost = (await at.client.swap("k", b"second", 0)).unwrap()
            assert not lost.swapped
            assert lost.current == KeyValue("k", b"first", made.revision)

        self.check(case)

    def test_range_is_ordered_and_bounded(self) -> None:
        async def case(at: Setting) -> None:
            for key in ("p/b", "p/a", "p0", "o", "p/é"):
                (await at.client.swap(key, b"v", 0)).unwrap()
            reply = (await at.client.range("p/")).unwrap()
            assert [item.key for item in reply.items] == ["p/a", "p/b", "p/é"]
            assert reply.revision == at.state.revision
            assert len((await at.client.range("")).unwrap().items) == 5

        self.check(case)

    def test_lost_answer_then_read_back(self) -> None:
        async def case(at: Setting) -> None:
            at.state.lose_answers = 1
            problem = (await at.client.swap("k", b"nonce", 0)).unwrap_err()
            assert problem.maybe_applied
            found = (await at.client.get("k")).unwrap()
            assert found is not None
            assert found.value == b"nonce"
            assert (await at.client.swap("j", b"", 0)).unwrap().swapped

        self.check(case)

    def test_outage_and_recovery(self) -> None:
        async def case(at: Setting) -> None:
            at.watch("", 1)
            await at.until(lambda: at.state.waiting_watches == 1)
            for how in ("close", "503"):
                at.state.outage = how
                problem = (await at.client.get("k")).unwrap_err()
                assert not problem.maybe_applied
                assert (await at.client.swap("k", b"", 0)).unwrap_err().maybe_applied
            await at.until(lambda: at.closed)
            assert not at.closed[0].compacted
            at.watch("", 1)
            await at.until(lambda: len(at.closed) == 2)
            at.state.outage = ""
            assert (await at.client.get("k")).unwrap() is None

        self.check(case)

    def test_lease_lapse_deletes_its_keys(self) -> None:
        async def case(at: Setting) -> None:
            lease = (await at.client.grant_lease(timedelta(seconds=1))).unwrap()
            (await at.client.swap("k", b"", 0, lease)).unwrap()
            left = (await at.client.keep_alive(lease)).unwrap()
            assert left == timedelta(seconds=1)
            await at.until(lambda: at.state.get("k") is None)
            assert (await at.client.keep_alive(lease)).unwrap() is None
            assert (await at.client.revoke_lease(lease)).is_ok()
            late = (await at.client.swap("k", b"", 0, lease)).unwrap_err()
            assert not late.maybe_applied

        self.check(case)

    def test_lapse_switch_and_revoke(self) -> None:
        async def case(at: Setting) -> None:
            for end in ("lapse", "revoke"):
                lease = (await at.client.grant_lease(timedelta(seconds=60))).unwrap()
                (await at.client.swap(end, b"", 0, lease)).unwrap()
                if end == "lapse":
                    at.state.end_lease(lease)
                else:
                    (await at.client.revoke_lease(lease)).unwrap()
                assert (await at.client.get(end)).unwrap() is None

        self.check(case)

    def test_watch_from_revision(self) -> None:
        async def case(at: Setting) -> None:
            (await at.client.swap("a/0", b"old", 0)).unwrap()
            first = (await at.client.swap("a/1", b"x", 0)).unwrap().revision
            (await at.client.swap("b/1", b"other", 0)).unwrap()
            watch = at.watch("a/", first)
            await at.until(lambda: at.events)
            (await at.client.swap("a/1", None, first)).unwrap()
            await at.until(lambda: len(at.events) == 2)
            assert at.events == [
                WatchEvent("a/1", b"x", first),
                WatchEvent("a/1", None, first + 2),
            ]
            watch.stop()
            await at.until(lambda: at.state.waiting_watches == 0)
            assert at.closed == []
            assert at.state.call_counts["watch"] == 1

        self.check(case)

    def test_watch_of_compacted_revision(self) -> None:
        async def case(at: Setting) -> None:
            for number in range(5):
                (await at.client.swap(f"k{number}", b"", 0)).unwrap()
            at.watch("k", 2)
            await at.until(lambda: at.closed)
            assert at.closed[0].compacted
            assert at.events == []

        self.check(case, history=2)

    def test_frozen_watch_catches_up(self) -> None:
        async def case(at: Setting) -> None:
            watch = at.watch("k", 1)
            await at.until(lambda: at.state.waiting_watches == 1)
            at.state.freeze_watches = True
            (await at.client.swap("k", b"", 0)).unwrap()
            await at.sleep(0.1)
            assert at.events == []
            at.state.freeze_watches = False
            await at.until(lambda: at.events)
            watch.stop()
            await at.until(lambda: at.state.waiting_watches == 0)

        self.check(case)


class GatewayTest(SharedCases, unittest.TestCase):
    """The client over HTTP."""

    def check(self, case: Callable[[Setting], Any], history: int = 100) -> None:
        async def whole(reactor: Any) -> None:
            async with gateway(reactor, history) as at:
                await case(at)

        run_in_reactor(whole)

    def test_refused_connection_never_applied(self) -> None:
        async def whole(reactor: Any) -> StoreError:
            async with gateway(reactor) as at:
                client = at.client
            return (await client.swap("k", b"", 0)).unwrap_err()

        self.assertFalse(run_in_reactor(whole).maybe_applied)

    def test_timeout_leaves_a_write_unclear(self) -> None:
        async def case(at: Setting) -> None:
            at.state.delay_ms = 1500
            assert (await at.client.swap("k", b"", 0)).unwrap_err().maybe_applied
            assert not (await at.client.get("k")).unwrap_err().maybe_applied
            await at.until(lambda: at.state.get("k"))
            await at.sleep(1)

        self.check(case)

    def test_body_broken_off_leaves_a_write_unclear(self) -> None:
        class Stalling(Protocol):
            """Sends the head and a part of the body, then nothing."""

            ended = False

            def dataReceived(self, data: bytes) -> None:
                transport: Any = self.transport
                transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{")

            def connectionLost(self, reason: Failure = connectionDone) -> None:
                Stalling.ended = True

        async def whole(reactor: Any) -> None:
            factory = Factory.forProtocol(Stalling)
            listening = reactor.listenTCP(0, factory, interface="127.0.0.1")
            port = listening.getHost().port
            client = EtcdGatewayClient.from_address(
                reactor, "127.0.0.1", port, TIMEOUT, SILENCE
            )
            assert (await client.swap("k", b"", 0)).unwrap_err().maybe_applied
            while not Stalling.ended:
                await deferLater(reactor, POLL_SECONDS)
            await listening.stopListening()

        run_in_reactor(whole)

    def test_silent_watch_counts_as_closed(self) -> None:
        async def case(at: Setting) -> None:
            at.watch("k", 1)
            await at.sleep(SILENCE.total_seconds() * 1.4)
            assert at.closed == []
            at.state.freeze_watches = True
            await at.until(lambda: at.closed)

        self.check(case)

    def test_switches_and_counts_over_http(self) -> None:
        async def whole(reactor: Any) -> None:
            async with gateway(reactor) as at:
                base = f"http://127.0.0.1:{at.port}/standin/".encode()
                agent = _http.Agent(reactor)
                body = _http.FileBodyProducer(BytesIO(b'{"lose_answers": 2}'))
                put = await agent.request(b"PUT", base + b"switches", bodyProducer=body)
                await _http.readBody(put)
                assert (put.code, at.state.lose_answers) == (200, 2)
                (await at.client.get("k")).unwrap()
                answer = await agent.request(b"GET", base + b"counts")
                counts = json.loads(await _http.readBody(answer))
                assert counts["calls"] == {"range": 1}
                assert counts["gauges"] == {"waiting_watches": 0}

        run_in_reactor(whole)


class LocalTest(SharedCases, unittest.TestCase):
    """The client without sockets, in virtual time."""

    def check(self, case: Callable[[Setting], Any], history: int = 100) -> None:
        clock = Clock()

        async def whole() -> None:
            async with local(clock, history) as at:
                await case(at)

        done: list[object] = []
        Deferred.fromCoroutine(whole()).addBoth(done.append)
        self.assertEqual(done, [None])

    def test_delay_beyond_timeout(self) -> None:
        clock = Clock()
        state = InMemoryStore(clock)
        client = LocalStoreClient(state, clock.callLater, TIMEOUT)
        state.delay_ms = 1500
        done: list[Any] = []
        Deferred.fromCoroutine(client.swap("k", b"", 0)).addBoth(done.append)
        clock.advance(1)
        self.assertTrue(done[0].unwrap_err().maybe_applied)
        self.assertIsNone(state.get("k"))
        clock.advance(0.5)
        self.assertIsNotNone(state.get("k"))
