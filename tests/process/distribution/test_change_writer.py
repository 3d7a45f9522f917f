"""Tests of writing changes under conflicts, outages and lost responses."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from result import Err
from twisted.internet.defer import Deferred

from briarslip.process.distribution.change_status import ChangeStatuses
from briarslip.process.distribution.change_writer import RecordWrite
from briarslip.process.distribution.change_writer import WriteConflict
from briarslip.process.distribution.change_writer import WriteFailed
from briarslip.process.distribution.change_writer import write_change
from briarslip.process.distribution.publisher import publish
from briarslip.process.store.client import StoreError
from briarslip.version.snapshot import EMPTY_SNAPSHOT
from standins.simulated_store import HookedClient
from standins.simulated_store import SimulatedStore
from standins.simulated_store import SimulatedStore as VirtualPlatform
from tests.support.records import Operator
from tests.support.records import ids
from tests.support.records import names
from tests.support.records import removed
from tests.support.records import route
from tests.support.records import service


if TYPE_CHECKING:
    from collections.abc import Callable

    from briarslip.version.snapshot import Snapshot


class ChangeWriterTest(unittest.TestCase):
    """A failed change reports the conflict or outage and is never partly in force."""

    def setUp(self) -> None:
        self.world = SimulatedStore()
        self.new_id = ids()
        self.operator = Operator(self.world, self.new_id)

    def operator_with_hooks(self, hooks: dict[int, Callable[[], Any]]) -> Operator:
        """Return an operator; ``hooks`` run before the swaps with these numbers."""
        client: Any = HookedClient(self.world, hooks)
        return Operator(self.world, self.new_id, client)

    def published_snapshot(self) -> Snapshot:
        """Publish, and return the snapshot in force."""
        client = self.world.client
        statuses = ChangeStatuses(client)
        return self.world.run(publish(client, statuses, EMPTY_SNAPSHOT, 0.0)).unwrap()

    def test_losing_writer_gets_the_conflicting_record(self) -> None:
        self.operator.apply(service("a"), route("r", "a"))
        mine = (service("b"), route("r", "b", "/mine"))
        other = self.operator_with_hooks(
            {2: lambda: self.operator.apply(route("r", "a", "/other"))}
        )
        lost = other.try_apply(*mine).unwrap_err()
        self.assertEqual(lost, WriteConflict(route("r", "").key))
        snapshot = self.published_snapshot()
        self.assertEqual(names(snapshot.records), ["route r", "service a"])
        self.assertIsNone(self.world.store.get(str(service("b").key)))

    def test_restored_records_are_not_published_again(self) -> None:
        self.operator.apply(service("a"), route("r", "a"))
        before = self.published_snapshot()
        race = self.operator_with_hooks(
            {2: lambda: self.operator.apply(route("q", "a", "/q"))}
        )
        lost = race.try_apply(route("r", "a", "/new"), route("q", "a", "/mine"))
        self.assertTrue(lost.is_err())
        after = self.published_snapshot()
        self.assertEqual(after.version, before.version + 1)
        key = route("r", "").key
        self.assertEqual(after.origins[key], before.origins[key])
        self.assertEqual(after.records[key], before.records[key])

    def test_outage_during_restore_leaves_no_record_in_force(self) -> None:
        def race() -> None:
            self.operator.apply(service("b"))

        def outage() -> None:
            self.world.store.outage = "503"

        other = self.operator_with_hooks({2: race, 3: outage})
        lost = other.try_apply(service("new"), service("b"), route("r", "b"))
        self.world.store.outage = ""
        expected = WriteConflict(service("b").key, (service("new").key,))
        self.assertEqual(lost.unwrap_err(), expected)
        self.assertEqual(names(self.published_snapshot().records), ["service b"])
        # On a retry, the remaining record counts as part of the new change.
        self.operator.apply(service("new"))
        self.assertEqual(
            names(self.published_snapshot().records), ["service b", "service new"]
        )

    def test_lost_responses(self) -> None:
        for count in range(1, 5):
            with self.subTest(lost=count):
                self.world.store.lose_answers = count
                self.operator.apply(service(f"a{count}"), service(f"b{count}"))
                self.world.store.lose_answers = 0
                self.assertEqual(len(self.published_snapshot().records), 2 * count)

    def test_own_write_overwritten_before_its_retry(self) -> None:
        lost = HookedClient(self.world, {})

        async def swap(key: str, value: bytes | None, revision: int) -> Any:
            lost.swaps += 1
            reply = await self.world.client.swap(key, value, revision)
            if lost.swaps == 1:
                # The response is lost, and another operator overwrites the record.
                self.world.run(
                    write_change(
                        self.world.client, [route("r", "a", "/other")], self.new_id
                    )
                )
                return Err(StoreError("lost", True))
            return reply

        client: Any = lost
        client.swap = swap
        written = Operator(self.world, self.new_id, client).try_apply(
            route("r", "a", "/mine"), service("a")
        )
        self.assertEqual(len(written.unwrap().keys), 2)
        snapshot = self.published_snapshot()
        self.assertEqual(
            snapshot.records[route("r", "").key].fields["path_prefix"], "/other"
        )

    def test_record_written_since_it_was_read_is_a_conflict(self) -> None:
        self.operator.apply(service("a"))
        read_at = self.world.store.revision
        self.operator.apply(route("r", "a", "/other"))
        mine = RecordWrite(route("r", "").key, {"service": "a"}, read_at)
        lost = self.operator.try_apply(service("b"), mine).unwrap_err()
        self.assertEqual(lost, WriteConflict(mine.key))
        self.assertIsNone(self.world.store.get(str(service("b").key)))
        self.operator.apply(RecordWrite(service("a").key, None, read_at))
        again = RecordWrite(service("a").key, {}, read_at)
        self.assertEqual(
            self.operator.try_apply(again).unwrap_err(), WriteConflict(again.key)
        )

    def test_record_already_in_force_is_not_written(self) -> None:
        self.operator.apply(service("a"))
        self.published_snapshot()
        self.assertEqual(self.operator.try_apply(service("a")).unwrap().keys, ())
        self.operator.apply(removed(service("a")))
        self.published_snapshot()
        again = self.operator.try_apply(removed(service("a"))).unwrap()
        self.assertEqual(again.keys, ())

    def test_outage_reports_records_that_may_be_written(self) -> None:
        def outage() -> None:
            self.world.store.outage = "503"

        result = self.operator_with_hooks({2: outage}).try_apply(
            service("a"), service("b")
        )
        error = result.unwrap_err()
        assert isinstance(error, WriteFailed)
        self.assertEqual(error.maybe_written, (service("a").key, service("b").key))
        self.world.store.outage = ""
        self.assertEqual(names(self.published_snapshot().records), [])


class RacingTest(unittest.TestCase):
    """Several operators write the same records concurrently, under faults."""

    # Hypothesis derives its seed from this function's source, including its names.
    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(st.data())
    def test_every_change_is_whole(self, data: Any) -> None:
        world = VirtualPlatform()
        new_id = ids()
        statuses = ChangeStatuses(world.client)
        snapshot = EMPTY_SNAPSHOT
        order = st.permutations(("a", "b", "c"))
        results: dict[str, Any] = {}

        def begin(number: int) -> None:
            mark = str(1000 + number)
            writes = [
                route(name, "s", f"/{name}", timeout_ms=mark)
                for name in data.draw(order)[: data.draw(st.integers(1, 3))]
            ]
            work = Deferred.fromCoroutine(write_change(world.client, writes, new_id))
            work.addBoth(lambda result: results.update({mark: result}))

        Operator(world, new_id).apply(service("s"))
        for number in range(data.draw(st.integers(2, 5))):
            world.store.delay_ms = data.draw(st.sampled_from((10, 20, 35)))
            begin(number)
            world.store.lose_answers = data.draw(st.integers(0, 2))
            world.clock.advance(data.draw(st.sampled_from((0.0, 0.01, 0.05, 2.0))))
        world.clock.pump([0.01] * 400)
        world.store.lose_answers = world.store.delay_ms = 0
        running = world.run(publish(world.client, statuses, snapshot, 0.0)).unwrap()
        won = {m: r.ok_value for m, r in results.items() if r.is_ok()}
        in_force = {
            record.fields["timeout_ms"]
            for key, record in running.records.items()
            if key.kind == "route"
        }
        self.assertLessEqual(in_force, set(won))
        for written in won.values():
            for key in written.keys:
                self.assertIn(key, running.records)
