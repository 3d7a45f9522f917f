"""Tests of the gateway client and the local client with the store stand-in."""

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
SILENCE_TIMEOUT = timedelta(seconds=1.5)
POLL_INTERVAL_SECONDS = 0.01

# Twisted leaves its HTTP client without types.
_http: Any = web_client


class StoreContext:
    """A store stand-in, a client of it, and the events received by its watches."""

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
        """Open a watch whose events and end are recorded."""
        return self.client.watch(prefix, start, self.events.extend, self.closed.append)

    async def until(self, condition: Callable[[], object]) -> None:
        """Wait for a condition, without a timeout other than that of the test."""
        while not condition():
            await self.sleep(POLL_INTERVAL_SECONDS)


@asynccontextmanager
async def gateway_context(
    reactor: Any, history: int = 100
) -> AsyncIterator[StoreContext]:
    """Serve a stand-in over HTTP on a free port."""
    state = InMemoryStore(reactor, history)
    listening = reactor.listenTCP(0, make_site(state), interface="127.0.0.1")
    port = listening.getHost().port
    client = EtcdGatewayClient.from_address(
        reactor, "127.0.0.1", port, TIMEOUT, SILENCE_TIMEOUT
    )

    async def sleep(seconds: float) -> None:
        await deferLater(reactor, seconds)

    try:
        yield StoreContext(state, client, sleep, port)
    finally:
        await listening.stopListening()


@asynccontextmanager
async def local_context(clock: Any, history: int = 100) -> AsyncIterator[StoreContext]:
    """Create a stand-in in virtual time; ``sleep`` advances the clock."""
    state = InMemoryStore(clock, history)

    async def sleep(seconds: float) -> None:
        clock.advance(seconds)

    yield StoreContext(state, LocalStoreClient(state, clock.callLater), sleep)


class ClientCases:
    """Test cases for both clients."""

    def check(self, case: Callable[[StoreContext], Any], history: int = 100) -> None:
        raise NotImplementedError

    def test_create_swap_delete(self) -> None:
        async def case(context: StoreContext) -> None:
            created = (await context.client.swap("a/1", b"x", 0)).unwrap()
            assert created.swapped
            empty = (await context.client.swap("a/2", b"", created.revision)).unwrap()
            assert (empty.swapped, empty.current) == (False, None)
            assert (
                (await context.client.swap("a/1", b"", created.revision))
                .unwrap()
                .swapped
            )
            found = (await context.client.get("a/1")).unwrap()
            assert found == KeyValue("a/1", b"", created.revision + 1)
            deleted = await context.client.swap("a/1", None, found.mod_revision)
            assert deleted.unwrap().swapped
            assert (await context.client.get("a/1")).unwrap() is None

        self.check(case)

    def test_failed_swap_returns_the_current_value(self) -> None:
        async def case(context: StoreContext) -> None:
            created = (await context.client.swap("k", b"first", 0)).unwrap()
            lost = (await context.client.swap("k", b"second", 0)).unwrap()
            assert not lost.swapped
            assert lost.current == KeyValue("k", b"first", created.revision)

        self.check(case)

    def test_range_is_ordered_and_bounded(self) -> None:
        async def case(context: StoreContext) -> None:
            for key in ("p/b", "p/a", "p0", "o", "p/é"):
                (await context.client.swap(key, b"v", 0)).unwrap()
            reply = (await context.client.range("p/")).unwrap()
            assert [item.key for item in reply.items] == ["p/a", "p/b", "p/é"]
            assert reply.revision == context.state.revision
            assert len((await context.client.range("")).unwrap().items) == 5

        self.check(case)

    def test_lost_response_then_read_back(self) -> None:
        async def case(context: StoreContext) -> None:
            context.state.lose_answers = 1
            error = (await context.client.swap("k", b"nonce", 0)).unwrap_err()
            assert error.maybe_applied
            found = (await context.client.get("k")).unwrap()
            assert found is not None
            assert found.value == b"nonce"
            assert (await context.client.swap("j", b"", 0)).unwrap().swapped

        self.check(case)

    def test_outage_and_recovery(self) -> None:
        async def case(context: StoreContext) -> None:
            context.watch("", 1)
            await context.until(lambda: context.state.waiting_watches == 1)
            for how in ("close", "503"):
                context.state.outage = how
                error = (await context.client.get("k")).unwrap_err()
                assert not error.maybe_applied
                assert (
                    (await context.client.swap("k", b"", 0)).unwrap_err().maybe_applied
                )
            await context.until(lambda: context.closed)
            assert not context.closed[0].compacted
            context.watch("", 1)
            await context.until(lambda: len(context.closed) == 2)
            context.state.outage = ""
            assert (await context.client.get("k")).unwrap() is None

        self.check(case)

    def test_lease_expiry_deletes_its_keys(self) -> None:
        async def case(context: StoreContext) -> None:
            lease = (await context.client.grant_lease(timedelta(seconds=1))).unwrap()
            (await context.client.swap("k", b"", 0, lease)).unwrap()
            remaining = (await context.client.keep_alive(lease)).unwrap()
            assert remaining == timedelta(seconds=1)
            await context.until(lambda: context.state.get("k") is None)
            assert (await context.client.keep_alive(lease)).unwrap() is None
            assert (await context.client.revoke_lease(lease)).is_ok()
            late = (await context.client.swap("k", b"", 0, lease)).unwrap_err()
            assert not late.maybe_applied

        self.check(case)

    def test_expiry_switch_and_revoke(self) -> None:
        async def case(context: StoreContext) -> None:
            for end in ("expire", "revoke"):
                lease = (
                    await context.client.grant_lease(timedelta(seconds=60))
                ).unwrap()
                (await context.client.swap(end, b"", 0, lease)).unwrap()
                if end == "expire":
                    context.state.end_lease(lease)
                else:
                    (await context.client.revoke_lease(lease)).unwrap()
                assert (await context.client.get(end)).unwrap() is None

        self.check(case)

    def test_watch_from_revision(self) -> None:
        async def case(context: StoreContext) -> None:
            (await context.client.swap("a/0", b"old", 0)).unwrap()
            first = (await context.client.swap("a/1", b"x", 0)).unwrap().revision
            (await context.client.swap("b/1", b"other", 0)).unwrap()
            watch = context.watch("a/", first)
            await context.until(lambda: context.events)
            (await context.client.swap("a/1", None, first)).unwrap()
            await context.until(lambda: len(context.events) == 2)
            assert context.events == [
                WatchEvent("a/1", b"x", first),
                WatchEvent("a/1", None, first + 2),
            ]
            watch.stop()
            await context.until(lambda: context.state.waiting_watches == 0)
            assert context.closed == []
            assert context.state.call_counts["watch"] == 1

        self.check(case)

    def test_watch_of_compacted_revision(self) -> None:
        async def case(context: StoreContext) -> None:
            for number in range(5):
                (await context.client.swap(f"k{number}", b"", 0)).unwrap()
            context.watch("k", 2)
            await context.until(lambda: context.closed)
            assert context.closed[0].compacted
            assert context.events == []

        self.check(case, history=2)

    def test_watch_catches_up_after_a_freeze(self) -> None:
        async def case(context: StoreContext) -> None:
            watch = context.watch("k", 1)
            await context.until(lambda: context.state.waiting_watches == 1)
            context.state.freeze_watches = True
            (await context.client.swap("k", b"", 0)).unwrap()
            await context.sleep(0.1)
            assert context.events == []
            context.state.freeze_watches = False
            await context.until(lambda: context.events)
            watch.stop()
            await context.until(lambda: context.state.waiting_watches == 0)

        self.check(case)


class GatewayTest(ClientCases, unittest.TestCase):
    """The gateway client, over HTTP."""

    def check(self, case: Callable[[StoreContext], Any], history: int = 100) -> None:
        async def with_gateway(reactor: Any) -> None:
            async with gateway_context(reactor, history) as context:
                await case(context)

        run_in_reactor(with_gateway)

    def test_refused_connection_never_applies_a_write(self) -> None:
        async def with_gateway(reactor: Any) -> StoreError:
            async with gateway_context(reactor) as context:
                client = context.client
            return (await client.swap("k", b"", 0)).unwrap_err()

        self.assertFalse(run_in_reactor(with_gateway).maybe_applied)

    def test_write_that_times_out_may_be_applied(self) -> None:
        async def case(context: StoreContext) -> None:
            context.state.delay_ms = 1500
            assert (await context.client.swap("k", b"", 0)).unwrap_err().maybe_applied
            assert not (await context.client.get("k")).unwrap_err().maybe_applied
            await context.until(lambda: context.state.get("k"))
            await context.sleep(1)

        self.check(case)

    def test_write_with_truncated_response_may_be_applied(self) -> None:
        class StallingProtocol(Protocol):
            """Sends the head and a part of the body, and then nothing more."""

            ended = False

            def dataReceived(self, data: bytes) -> None:
                transport: Any = self.transport
                transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{")

            def connectionLost(self, reason: Failure = connectionDone) -> None:
                StallingProtocol.ended = True

        async def with_gateway(reactor: Any) -> None:
            factory = Factory.forProtocol(StallingProtocol)
            listening = reactor.listenTCP(0, factory, interface="127.0.0.1")
            port = listening.getHost().port
            client = EtcdGatewayClient.from_address(
                reactor, "127.0.0.1", port, TIMEOUT, SILENCE_TIMEOUT
            )
            assert (await client.swap("k", b"", 0)).unwrap_err().maybe_applied
            while not StallingProtocol.ended:
                await deferLater(reactor, POLL_INTERVAL_SECONDS)
            await listening.stopListening()

        run_in_reactor(with_gateway)

    def test_silent_watch_is_closed(self) -> None:
        async def case(context: StoreContext) -> None:
            context.watch("k", 1)
            await context.sleep(SILENCE_TIMEOUT.total_seconds() * 1.4)
            assert context.closed == []
            context.state.freeze_watches = True
            await context.until(lambda: context.closed)

        self.check(case)

    def test_switches_and_counts_over_http(self) -> None:
        async def with_gateway(reactor: Any) -> None:
            async with gateway_context(reactor) as context:
                base = f"http://127.0.0.1:{context.port}/standin/".encode()
                agent = _http.Agent(reactor)
                body = _http.FileBodyProducer(BytesIO(b'{"lose_answers": 2}'))
                put = await agent.request(b"PUT", base + b"switches", bodyProducer=body)
                await _http.readBody(put)
                assert (put.code, context.state.lose_answers) == (200, 2)
                (await context.client.get("k")).unwrap()
                response = await agent.request(b"GET", base + b"counts")
                counts = json.loads(await _http.readBody(response))
                assert counts["calls"] == {"range": 1}
                assert counts["gauges"] == {"waiting_watches": 0}

        run_in_reactor(with_gateway)


class LocalTest(ClientCases, unittest.TestCase):
    """The local client, without sockets and in virtual time."""

    def check(self, case: Callable[[StoreContext], Any], history: int = 100) -> None:
        clock = Clock()

        async def run_case() -> None:
            async with local_context(clock, history) as context:
                await case(context)

        done: list[object] = []
        Deferred.fromCoroutine(run_case()).addBoth(done.append)
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
