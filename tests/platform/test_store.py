"""Tests of the client of the users' store, against the stand-in."""

from __future__ import annotations

import random
import unittest
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import Any

from result import Ok
from twisted.internet.defer import Deferred

from briarslip.address import Address
from briarslip.platform.store import PlatformStore
from briarslip.process.distribution.stored_configuration import StoredConfiguration
from briarslip.version.snapshot import Snapshot
from standins.users_store import Reply
from standins.users_store import UsersStore
from standins.users_store_server import listen
from tests.support.reactor import run_in_reactor


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from briarslip.process.store.client import WatchClosed
    from briarslip.process.store.client import WatchEvent


TIMEOUT = timedelta(seconds=0.4)


class World:
    """A client and the store that it speaks to."""

    def __init__(self, reactor: Any, **limits: int) -> None:
        self.reactor = reactor
        self.store = UsersStore(reactor.seconds, **limits)
        self.server, self.port = listen(reactor, self.store)
        address = Address("127.0.0.1", self.port.getHost().port)
        self.client = PlatformStore.from_address(reactor, address, TIMEOUT)

    async def sleep(self, seconds: float) -> None:
        """Let time pass."""
        waiting: Deferred[None] = Deferred()
        self.reactor.callLater(seconds, waiting.callback, None)
        await waiting


def within(steps: Callable[[World], Awaitable[None]], **limits: int) -> None:
    """Run the steps of a test in a world of its own."""

    async def steps_then_close(reactor: Any) -> None:
        world = World(reactor, **limits)
        try:
            await steps(world)
        finally:
            await world.port.stopListening()

    run_in_reactor(steps_then_close)


class Seen:
    """What a watch has told."""

    def __init__(self) -> None:
        self.events: list[WatchEvent] = []
        self.closed: list[WatchClosed] = []

    def take(self, events: tuple[WatchEvent, ...]) -> None:
        """Note events."""
        self.events.extend(events)


class PlatformStoreTest(unittest.TestCase):
    """The store's rules reach the daemon in the project's own terms."""

    def test_read_write_and_lost_races(self) -> None:
        async def steps(world: World) -> None:
            client = world.client
            self.assertIsNone((await client.get("a")).unwrap())
            written = (await client.swap("a", b"\x00\xff", 0)).unwrap()
            self.assertTrue(written.swapped)
            lost = (await client.swap("a", b"2", 0)).unwrap()
            self.assertFalse(lost.swapped)
            assert lost.current is not None
            self.assertEqual(b"\x00\xff", lost.current.value)
            self.assertEqual(written.revision, lost.current.mod_revision)
            (await client.swap("a", None, written.revision)).unwrap()
            gone = (await client.swap("a", b"3", written.revision)).unwrap()
            self.assertEqual((False, None), (gone.swapped, gone.current))

        within(steps)

    def test_ranges_of_many_pages(self) -> None:
        async def steps(world: World) -> None:
            for number in range(1201):
                world.store.put(f"k/{number:04}", b"x")
            found = (await world.client.range("k/")).unwrap()
            self.assertEqual(1201, len({item.key for item in found.items}))
            self.assertEqual(world.store.revision, found.revision)

        within(steps)

    def test_reserved_keys_are_refused_as_not_written(self) -> None:
        async def steps(world: World) -> None:
            error = (await world.client.swap("op/config", b"", 0)).unwrap_err()
            self.assertFalse(error.maybe_applied)

        within(steps)

    def test_what_an_outage_leaves_open(self) -> None:
        # Whether a failed write may have been applied.
        cases = {"silent": True, "reset": True, "busy": False, "many": False}

        async def steps(world: World) -> None:
            for fault, unclear in cases.items():
                with self.subTest(fault):
                    world.server.faults = {"127.0.0.1": fault}
                    error = (await world.client.swap("a", b"", 0)).unwrap_err()
                    self.assertIs(unclear, error.maybe_applied)
                    error = (await world.client.get("a")).unwrap_err()
                    self.assertFalse(error.maybe_applied)
            world.server.faults = {}
            world.server.drops_write_answers = True
            error = (await world.client.swap("a", b"", 0)).unwrap_err()
            self.assertTrue(error.maybe_applied)
            self.assertIn("a", world.store.items)

        within(steps)

    def test_calls_beyond_the_rate_are_not_done(self) -> None:
        async def steps(world: World) -> None:
            replies = [await world.client.swap(f"{n}", b"", 0) for n in range(9)]
            refused = [reply for reply in replies if reply.is_err()]
            self.assertTrue(refused)
            self.assertFalse(any(r.unwrap_err().maybe_applied for r in refused))

        within(steps, writes_per_s=3)

    def test_leases_take_their_keys_along(self) -> None:
        async def steps(world: World) -> None:
            client = world.client
            lease = (await client.grant_lease(timedelta(seconds=0.3))).unwrap()
            (await client.swap("a", b"", 0, lease)).unwrap()
            (await client.keep_alive(lease)).unwrap()
            await world.sleep(0.4)
            self.assertIsNone((await client.keep_alive(lease)).unwrap())
            self.assertIsNone((await client.get("a")).unwrap())
            (await client.revoke_lease(lease)).unwrap()

        within(steps)

    def test_watch_goes_on_from_call_to_call(self) -> None:
        async def steps(world: World) -> None:
            seen = Seen()
            watch = world.client.watch("k/", 2, seen.take, seen.closed.append)
            await world.sleep(0.05)
            world.store.put("k/a", b"1")
            world.store.put("other", b"")
            await world.sleep(0.05)
            world.store.remove("k/a")
            await world.sleep(0.05)
            watch.stop()
            world.store.put("k/b", b"2")
            await world.sleep(0.05)
            self.assertEqual([b"1", None], [event.value for event in seen.events])
            self.assertEqual([], seen.closed)

        within(steps)

    def test_changes_in_quick_succession_cost_few_calls(self) -> None:
        # The pattern: a change each 50 ms for 2 s, heard by every daemon.
        async def steps(world: World) -> None:
            versions: list[int] = []
            source = StoredConfiguration(
                world.reactor,
                random.Random(1),
                world.client,
                "op/",
                lambda items: Ok(Snapshot(items["op/a"].mod_revision, {}, {})),
                lambda snapshot: versions.append(snapshot.version),
            )
            world.store.put("op/a", b"0")
            source.set_active(False)
            await world.sleep(0.1)
            for number in range(40):
                last = world.store.put("op/a", b"%d" % number)
                await world.sleep(0.05)
            await world.sleep(1.0)
            self.assertEqual(last, versions[-1])
            await world.sleep(1.2)
            # The watch is back.
            last = world.store.put("op/a", b"last")
            await world.sleep(0.1)
            self.assertEqual(last, versions[-1])
            source.watch.stop()
            # Two changes that the watch brings, and a read a rest of 0.75 s at
            # least; the last one finds nothing new.
            self.assertLessEqual(world.store.calls["kv-watch"], 4)
            self.assertLessEqual(world.store.calls["kv-range"], 6)

        within(steps)

    def test_an_answer_without_events_does_not_move_the_watch_on(self) -> None:
        async def steps(world: World) -> None:
            seen = Seen()
            world.store.put("k/a", b"1")
            asked: list[str] = []
            call = world.store.call

            def deaf(method: str, path: str, query: Any, body: Any) -> Any:
                asked.append(query.get("after", ""))
                if len(asked) == 1:
                    return Reply(200, {"events": [], "current-rev": 2})
                return call(method, path, query, body)

            world.store.call = deaf  # type: ignore[method-assign]  # hears nothing
            world.client.watch("k/", 2, seen.take, seen.closed.append)
            await world.sleep(0.1)
            self.assertEqual("1", asked[1])
            self.assertEqual([b"1"], [event.value for event in seen.events])

        within(steps)

    def test_watch_tells_of_dropped_history_and_of_its_loss(self) -> None:
        async def steps(world: World) -> None:
            seen = Seen()
            world.store.put("k/a", b"1")
            world.store.compact_history()
            world.client.watch("k/", 1, seen.take, seen.closed.append)
            await world.sleep(0.05)
            world.server.faults = {"": "reset"}
            world.client.watch("k/", 9, seen.take, seen.closed.append)
            await world.sleep(0.05)
            self.assertEqual(
                [True, False], [closed.compacted for closed in seen.closed]
            )

        within(steps)

    def test_malformed_answers_are_errors(self) -> None:
        async def steps(world: World) -> None:
            odd: Any = Reply(200, {"key": 1, "items": 3})
            world.store.call = lambda *_: odd  # type: ignore[method-assign]  # a broken store
            error = (await world.client.get("a")).unwrap_err()
            self.assertIn("malformed", error.reason)
            error = (await world.client.range("a")).unwrap_err()
            self.assertIn("malformed", error.reason)
            error = (await world.client.swap("a", b"", 0)).unwrap_err()
            self.assertTrue(error.maybe_applied)

        within(steps)


if __name__ == "__main__":
    unittest.main()
