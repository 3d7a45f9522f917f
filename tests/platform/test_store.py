"""Tests of the client of the platform's store, against its stand-in."""

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


class Fixture:
    """A store client and the stand-in store that it is connected to."""

    def __init__(self, reactor: Any, **limits: int) -> None:
        self.reactor = reactor
        self.store = UsersStore(reactor.seconds, **limits)
        self.server, self.port = listen(reactor, self.store)
        address = Address("127.0.0.1", self.port.getHost().port)
        self.client = PlatformStore.from_address(reactor, address, TIMEOUT)

    async def sleep(self, seconds: float) -> None:
        """Wait for some seconds of real time."""
        waiting: Deferred[None] = Deferred()
        self.reactor.callLater(seconds, waiting.callback, None)
        await waiting


def run_with_fixture(
    steps: Callable[[Fixture], Awaitable[None]], **limits: int
) -> None:
    """Run the steps of a test with a client and a store of its own."""

    async def steps_then_close(reactor: Any) -> None:
        fixture = Fixture(reactor, **limits)
        try:
            await steps(fixture)
        finally:
            await fixture.port.stopListening()

    run_in_reactor(steps_then_close)


class WatchRecorder:
    """Events and closings that a watch has reported."""

    def __init__(self) -> None:
        self.events: list[WatchEvent] = []
        self.closed: list[WatchClosed] = []

    def record_events(self, events: tuple[WatchEvent, ...]) -> None:
        """Record events."""
        self.events.extend(events)


class PlatformStoreTest(unittest.TestCase):
    """Requests, errors, leases and watches of the client."""

    def test_get_and_compare_and_swap(self) -> None:
        async def steps(fixture: Fixture) -> None:
            client = fixture.client
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

        run_with_fixture(steps)

    def test_watch_goes_on_after_changes_that_can_not_be_applied(self) -> None:
        async def steps(fixture: Fixture) -> None:
            client, recorder = fixture.client, WatchRecorder()

            def fail_once(events: tuple[WatchEvent, ...]) -> None:
                recorder.record_events(events)
                if len(recorder.events) == 1:
                    raise RecursionError("nested too deeply")

            watch = client.watch("k/", 1, fail_once, recorder.closed.append)
            (await client.swap("k/1", b"1", 0)).unwrap()
            await fixture.sleep(0.2)
            (await client.swap("k/2", b"2", 0)).unwrap()
            await fixture.sleep(0.3)
            watch.stop()
            self.assertEqual(["k/1", "k/2"], [e.key for e in recorder.events])
            self.assertEqual([], recorder.closed)

        run_with_fixture(steps)

    def test_range_of_many_pages(self) -> None:
        async def steps(fixture: Fixture) -> None:
            for number in range(1201):
                fixture.store.put(f"k/{number:04}", b"x")
            found = (await fixture.client.range("k/")).unwrap()
            self.assertEqual(1201, len({item.key for item in found.items}))
            self.assertEqual(fixture.store.revision, found.revision)

        run_with_fixture(steps)

    def test_rejected_write_to_a_reserved_key_is_not_applied(self) -> None:
        async def steps(fixture: Fixture) -> None:
            error = (await fixture.client.swap("op/config", b"", 0)).unwrap_err()
            self.assertFalse(error.maybe_applied)

        run_with_fixture(steps)

    def test_failed_writes_that_may_have_been_applied(self) -> None:
        # Whether a failed write may have been applied.
        cases = {"silent": True, "reset": True, "busy": False, "many": False}

        async def steps(fixture: Fixture) -> None:
            for fault, may_be_applied in cases.items():
                with self.subTest(fault):
                    fixture.server.faults = {"127.0.0.1": fault}
                    error = (await fixture.client.swap("a", b"", 0)).unwrap_err()
                    self.assertIs(may_be_applied, error.maybe_applied)
                    error = (await fixture.client.get("a")).unwrap_err()
                    self.assertFalse(error.maybe_applied)
            fixture.server.faults = {}
            fixture.server.drops_write_answers = True
            error = (await fixture.client.swap("a", b"", 0)).unwrap_err()
            self.assertTrue(error.maybe_applied)
            self.assertIn("a", fixture.store.items)

        run_with_fixture(steps)

    def test_writes_beyond_the_rate_limit_are_not_applied(self) -> None:
        async def steps(fixture: Fixture) -> None:
            replies = [await fixture.client.swap(f"{n}", b"", 0) for n in range(9)]
            rejected = [reply for reply in replies if reply.is_err()]
            self.assertTrue(rejected)
            self.assertFalse(any(r.unwrap_err().maybe_applied for r in rejected))

        run_with_fixture(steps, writes_per_s=3)

    def test_expired_lease_removes_its_keys(self) -> None:
        async def steps(fixture: Fixture) -> None:
            client = fixture.client
            lease = (await client.grant_lease(timedelta(seconds=0.3))).unwrap()
            (await client.swap("a", b"", 0, lease)).unwrap()
            (await client.keep_alive(lease)).unwrap()
            await fixture.sleep(0.4)
            self.assertIsNone((await client.keep_alive(lease)).unwrap())
            self.assertIsNone((await client.get("a")).unwrap())
            (await client.revoke_lease(lease)).unwrap()

        run_with_fixture(steps)

    def test_watch_continues_from_poll_to_poll(self) -> None:
        async def steps(fixture: Fixture) -> None:
            recorder = WatchRecorder()
            watch = fixture.client.watch(
                "k/", 2, recorder.record_events, recorder.closed.append
            )
            await fixture.sleep(0.05)
            fixture.store.put("k/a", b"1")
            fixture.store.put("other", b"")
            await fixture.sleep(0.05)
            fixture.store.remove("k/a")
            await fixture.sleep(0.05)
            watch.stop()
            fixture.store.put("k/b", b"2")
            await fixture.sleep(0.05)
            self.assertEqual([b"1", None], [event.value for event in recorder.events])
            self.assertEqual([], recorder.closed)

        run_with_fixture(steps)

    def test_changes_in_quick_succession_cost_few_requests(self) -> None:
        # A change every 50 ms for 2 s, as seen by each daemon.
        async def steps(fixture: Fixture) -> None:
            versions: list[int] = []
            source = StoredConfiguration(
                fixture.reactor,
                random.Random(1),
                fixture.client,
                "op/",
                lambda items: Ok(Snapshot(items["op/a"].mod_revision, {}, {})),
                lambda snapshot: versions.append(snapshot.version),
            )
            fixture.store.put("op/a", b"0")
            source.set_active(True)
            await fixture.sleep(0.1)
            for number in range(40):
                last = fixture.store.put("op/a", b"%d" % number)
                await fixture.sleep(0.05)
            await fixture.sleep(1.0)
            self.assertEqual(last, versions[-1])
            await fixture.sleep(1.2)
            # The watch is open again.
            last = fixture.store.put("op/a", b"last")
            await fixture.sleep(0.1)
            self.assertEqual(last, versions[-1])
            source.watch.stop()
            # The watch delivers two changes; then there is one read per interval
            # of at least 0.75 s, of which the last finds nothing new.
            self.assertLessEqual(fixture.store.calls["kv-watch"], 4)
            self.assertLessEqual(fixture.store.calls["kv-range"], 6)

        run_with_fixture(steps)

    def test_response_without_events_does_not_advance_the_watch(self) -> None:
        async def steps(fixture: Fixture) -> None:
            recorder = WatchRecorder()
            fixture.store.put("k/a", b"1")
            after_values: list[str] = []
            call = fixture.store.call

            def without_events_at_first(
                method: str, path: str, query: Any, body: Any
            ) -> Any:
                after_values.append(query.get("after", ""))
                if len(after_values) == 1:
                    return Reply(200, {"events": [], "current-rev": 2})
                return call(method, path, query, body)

            fixture.store.call = without_events_at_first  # type: ignore[method-assign]  # stubbed
            fixture.client.watch(
                "k/", 2, recorder.record_events, recorder.closed.append
            )
            await fixture.sleep(0.1)
            self.assertEqual("1", after_values[1])
            self.assertEqual([b"1"], [event.value for event in recorder.events])

        run_with_fixture(steps)

    def test_swap_by_a_revision_from_before_a_restore_is_applied(self) -> None:
        async def steps(fixture: Fixture) -> None:
            client, store = fixture.client, fixture.store
            copy = store.copy()
            mine = (await client.swap("k", b"mine", 0)).unwrap()
            store.restore(copy)
            store.put("k", b"theirs")
            # The revision is given out again for another value.
            unaware = (await client.swap("k", b"wrong", mine.revision)).unwrap_err()
            self.assertTrue(unaware.maybe_applied)
            store.put("k", b"theirs")
            aware = (await client.swap("k", b"wrong", mine.revision)).unwrap_err()
            self.assertFalse(aware.maybe_applied)
            current = (await client.get("k")).unwrap()
            assert current is not None
            self.assertEqual(b"theirs", current.value)
            self.assertGreater(current.mod_revision, mine.revision)

        run_with_fixture(steps)

    def test_response_from_before_a_restore_is_an_error(self) -> None:
        async def steps(fixture: Fixture) -> None:
            restored: list[bool] = []
            fixture.client.restore_listeners.append(lambda: restored.append(True))
            (await fixture.client.get("k")).unwrap()
            fixture.store.restore(fixture.store.copy())
            (await fixture.client.get("k")).unwrap()
            fixture.store.era -= 1
            self.assertTrue((await fixture.client.get("k")).is_err())
            self.assertEqual([True], restored)

        run_with_fixture(steps)

    def test_watch_reports_compaction_and_a_lost_connection(self) -> None:
        async def steps(fixture: Fixture) -> None:
            recorder = WatchRecorder()
            fixture.store.put("k/a", b"1")
            fixture.store.compact_history()
            fixture.client.watch(
                "k/", 1, recorder.record_events, recorder.closed.append
            )
            await fixture.sleep(0.05)
            fixture.server.faults = {"": "reset"}
            fixture.client.watch(
                "k/", 9, recorder.record_events, recorder.closed.append
            )
            await fixture.sleep(0.05)
            self.assertEqual(
                [True, False], [closed.compacted for closed in recorder.closed]
            )

        run_with_fixture(steps)

    def test_malformed_responses_are_errors(self) -> None:
        async def steps(fixture: Fixture) -> None:
            malformed: Any = Reply(200, {"key": 1, "items": 3})
            fixture.store.call = lambda *_: malformed  # type: ignore[method-assign]  # a broken store
            error = (await fixture.client.get("a")).unwrap_err()
            self.assertIn("malformed", error.reason)
            error = (await fixture.client.range("a")).unwrap_err()
            self.assertIn("malformed", error.reason)
            error = (await fixture.client.swap("a", b"", 0)).unwrap_err()
            self.assertTrue(error.maybe_applied)

        run_with_fixture(steps)


if __name__ == "__main__":
    unittest.main()
