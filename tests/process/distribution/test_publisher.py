"""Tests of publishing versions under crashes, races and corrupt data."""

from __future__ import annotations

import json
import random
import unittest
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

from result import Err

from briarslip.process.distribution import publisher
from briarslip.process.distribution.change_status import ChangeStatuses
from briarslip.process.distribution.publisher import HeadBehind
from briarslip.process.distribution.publisher import HeadMoved
from briarslip.process.distribution.publisher import publish
from briarslip.process.distribution.version_store import HEAD_KEY
from briarslip.process.distribution.version_store import VERSIONS_PREFIX
from briarslip.process.distribution.version_store import read_head
from briarslip.process.distribution.version_store import read_version
from briarslip.process.store.client import StoreError
from briarslip.version.snapshot import EMPTY_SNAPSHOT
from standins.simulated_store import HookedClient
from standins.simulated_store import SimulatedStore
from tests.support.records import Operator
from tests.support.records import ids
from tests.support.records import names
from tests.support.records import removed
from tests.support.records import route
from tests.support.records import service


if TYPE_CHECKING:
    from result import Result

    from briarslip.process.distribution.publisher import PublishError
    from briarslip.process.store.client import KeyValue
    from briarslip.version.snapshot import Snapshot


CORRUPT_VALUES = (
    b'{"change": "c", "change_size": 1e999, "fields": {}, "nonce": "", "history": []}',
    b"[" * 100_000,
    b"[]",
    b"\xff",
    b"null",
)


class CrashError(Exception):
    """A simulated crash of the publisher."""


def crash() -> None:
    """Simulate a crash of the running publisher."""
    raise CrashError


class PublisherTest(unittest.TestCase):
    """A version is in force only after the compare-and-swap of the head."""

    def setUp(self) -> None:
        self.world = SimulatedStore()
        self.operator = Operator(self.world, ids())
        self.statuses = ChangeStatuses(self.world.client)

    def publish(
        self, client: Any = None, running: Snapshot = EMPTY_SNAPSHOT
    ) -> Result[Snapshot, PublishError]:
        """Publish once."""
        chosen = client or self.world.client
        return self.world.run(publish(chosen, ChangeStatuses(chosen), running, 0.0))

    def active_snapshot(self, known: Snapshot = EMPTY_SNAPSHOT) -> Snapshot:
        """Return the snapshot that the head refers to, read on top of ``known``."""
        head = self.world.run(read_head(self.world.client)).unwrap()
        return self.world.run(read_version(self.world.client, head, known)).unwrap()

    def change_status(self, change: str) -> Any:
        """Return the status of a change, None if there is none."""
        found = self.world.store.get(f"status/changes/{change}")
        return json.loads(found.value) if found else None

    def last_item(self, prefix: str) -> KeyValue:
        """Return the last key under a prefix, with its value."""
        return self.world.run(self.world.client.range(prefix)).unwrap().items[-1]

    def test_lost_response_of_each_write(self) -> None:
        for count in range(1, 4):
            with self.subTest(lost=count):
                change = self.operator.apply(service(f"s{count}"))
                self.world.store.lose_answers = count
                self.assertEqual(self.publish().unwrap().version, count)
                self.assertEqual(self.active_snapshot().version, count)
                self.publish()
                self.assertEqual(self.change_status(change)["state"], "accepted")

    def test_crashed_publisher_blocks_no_other(self) -> None:
        self.operator.apply(service("a"))
        for swap in range(1, 5):
            with self.subTest(swap=swap), self.assertRaises(CrashError):
                self.publish(HookedClient(self.world, {swap: crash}))
        change = self.operator.apply(service("b"))
        snapshot = self.publish().unwrap()
        self.publish()
        self.assertEqual(names(snapshot.records), ["service a", "service b"])
        self.assertEqual(self.active_snapshot(), snapshot)
        self.assertEqual(self.change_status(change)["state"], "accepted")

    def test_status_missing_after_a_crash_is_written(self) -> None:
        change = self.operator.apply(service("a"))
        with self.assertRaises(CrashError):
            # The swaps write the chunk, the entry, the head and the status.
            self.publish(HookedClient(self.world, {4: crash}))
        self.assertIsNone(self.change_status(change))
        self.publish()
        self.assertEqual(
            self.change_status(change), {"state": "accepted", "version": 1}
        )

    def test_slow_publisher_does_not_overwrite_the_head(self) -> None:
        self.operator.apply(service("a"))

        def meanwhile() -> None:
            self.operator.apply(service("b"))
            self.publish()
            self.operator.apply(service("c"))
            self.publish()

        outcome = self.publish(HookedClient(self.world, {3: meanwhile}))
        self.assertEqual(outcome.unwrap_err(), HeadMoved())
        self.assertEqual(self.active_snapshot().version, 2)
        self.assertEqual(
            names(self.active_snapshot().records),
            ["service a", "service b", "service c"],
        )

    def test_corrupt_entry_of_the_next_version_is_replaced(self) -> None:
        self.operator.apply(service("a"))
        self.publish()
        self.operator.apply(service("b"))
        with self.assertRaises(CrashError):
            self.publish(HookedClient(self.world, {2: crash}))
        item = self.last_item(VERSIONS_PREFIX)
        self.world.store.swap(item.key, item.value[:40], item.mod_revision)
        self.assertEqual(self.publish().unwrap().version, 2)
        self.assertEqual(self.last_item(VERSIONS_PREFIX).value, item.value)
        self.assertEqual(self.active_snapshot().version, 2)

    def test_corrupt_version_is_never_read(self) -> None:
        self.operator.apply(service("a"), route("r", "a"))
        known = self.publish().unwrap()
        self.operator.apply(service("b"))
        self.publish()
        head = self.world.run(read_head(self.world.client)).unwrap()
        for prefix in (f"{VERSIONS_PREFIX}{2:012}", f"{VERSIONS_PREFIX}{1:012}"):
            item = self.last_item(prefix)
            for position in range(0, len(item.value), 7):
                corrupt = bytearray(item.value)
                corrupt[position] ^= 1
                current = self.last_item(prefix)
                self.world.store.swap(item.key, bytes(corrupt), current.mod_revision)
                for base in (EMPTY_SNAPSHOT, known):
                    read = self.world.run(read_version(self.world.client, head, base))
                    if read.is_ok():
                        self.assertEqual(read.unwrap().digest, head.digest)
            current = self.last_item(prefix)
            self.world.store.swap(item.key, item.value, current.mod_revision)

    def test_corrupt_active_version_is_skipped_by_a_daemon_that_runs_it(self) -> None:
        self.operator.apply(service("a"))
        running = self.publish().unwrap()
        item = self.last_item(VERSIONS_PREFIX)
        self.world.store.swap(item.key, b"x", item.mod_revision)
        self.operator.apply(service("b"))
        self.assertTrue(self.publish().is_err())
        self.assertEqual(self.publish(running=running).unwrap().version, 2)

    def test_store_that_lost_data_causes_no_older_version(self) -> None:
        self.operator.apply(service("a"))
        self.publish()
        self.operator.apply(service("b"))
        running = self.publish().unwrap()
        head = self.world.store.get(HEAD_KEY)
        assert head is not None
        old = json.dumps({"version": 1, "digest": "0"}).encode()
        self.world.store.swap(HEAD_KEY, old, head.mod_revision)
        self.assertEqual(self.publish(running=running).unwrap_err(), HeadBehind(1, 2))

    def test_old_versions_are_deleted_and_the_rest_is_readable(self) -> None:
        rng = random.Random(2)
        running = EMPTY_SNAPSHOT
        for number in range(100):
            change = service(f"s{rng.randrange(30)}-{number}")
            self.operator.apply(change)
            running = self.publish(running=running).unwrap()
        self.assertEqual(self.active_snapshot(), running)
        self.assertEqual(running.version, 100)
        keys = self.world.run(self.world.client.range(VERSIONS_PREFIX)).unwrap().items
        self.assertLessEqual(len(keys), 60)

    def test_removed_records_are_deleted(self) -> None:
        keep = service("kept")
        self.operator.apply(keep, service("gone"))
        self.operator.apply(removed(service("gone")))
        running = EMPTY_SNAPSHOT
        with mock.patch.object(publisher, "REMOVAL_RETENTION_REVISIONS", 20):
            for number in range(34):
                self.operator.apply(route("r", "kept", f"/{number}"))
                running = self.publish(running=running).unwrap()
        self.assertEqual(set(running.origins), {keep.key, route("r", "").key})
        self.assertIsNone(self.world.store.get(str(service("gone").key)))
        self.assertEqual(self.active_snapshot(), running)
        self.operator.apply(service("gone"))
        self.assertIn(service("gone").key, self.publish().unwrap().records)

    def test_statuses_are_written_after_their_lease_expired(self) -> None:
        self.operator.apply(service("a"))
        self.world.run(publish(self.world.client, self.statuses, EMPTY_SNAPSHOT, 0.0))
        self.world.store.end_lease(self.statuses.lease_id)
        change = self.operator.apply(service("b"))
        for _ in range(2):
            work = publish(self.world.client, self.statuses, EMPTY_SNAPSHOT, 1.0)
            self.world.run(work).unwrap()
        self.assertEqual(self.change_status(change)["state"], "accepted")

    def test_no_status_is_written_without_a_lease(self) -> None:
        change = self.operator.apply(service("a"))
        no_lease = Err(StoreError("no lease"))
        grant = mock.AsyncMock(return_value=no_lease)
        with mock.patch.object(self.world.client, "grant_lease", grant):
            self.publish()
        self.assertIsNone(self.change_status(change))
        self.publish()
        self.assertEqual(self.change_status(change)["state"], "accepted")

    def test_unreadable_record_does_not_block_others(self) -> None:
        self.world.store.swap("records/route/r/1", b"{}", 0)
        self.world.store.swap("records/odd", b"{}", 0)
        self.world.store.swap(f"records/service/s/{'9' * 5000}", b"{}", 0)
        for number, value in enumerate(CORRUPT_VALUES):
            self.world.store.swap(f"records/service/s{number}/1", value, 0)
        self.operator.apply(service("a"))
        self.assertEqual(names(self.publish().unwrap().records), ["service a"])

    def test_corrupt_head_is_an_error_with_a_reason(self) -> None:
        self.operator.apply(service("a"))
        self.publish()
        for value in (b'{"version": 1e999, "digest": ""}', *CORRUPT_VALUES):
            corrupt = self.last_item(HEAD_KEY)
            self.world.store.swap(HEAD_KEY, value, corrupt.mod_revision)
            found = self.world.run(read_head(self.world.client))
            self.assertIn("cannot be decoded", found.unwrap_err().reason)

    def test_large_snapshots_are_stored_in_chunks(self) -> None:
        rng = random.Random(3)
        fields = {"service": "a", "match_methods": "GET"}
        writes = [service("a")]
        for number in range(1200):
            path = "/" + "".join(
                rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=1200)
            )
            key = route(f"r{number}", "a").key._replace(schema=2)
            writes.append(type(writes[0])(key, fields | {"match_path": path}))
        self.operator.apply(*writes)
        snapshot = self.publish().unwrap()
        keys = self.world.run(self.world.client.range(VERSIONS_PREFIX)).unwrap().items
        self.assertGreater(len(keys), 2)
        self.assertLess(max(len(item.value) for item in keys), 1_000_000)
        self.assertEqual(self.active_snapshot(), snapshot)

    def test_status_of_a_rejected_change_and_of_its_correction(self) -> None:
        change = self.operator.apply(route("r", "a"))
        self.publish()
        status = self.change_status(change)
        self.assertEqual(status["state"], "refused")
        self.assertIn("'a', which does not exist", status["findings"][0])
        self.operator.apply(service("a"))
        self.publish()
        self.assertEqual(
            self.change_status(change), {"state": "accepted", "version": 1}
        )

    def test_incomplete_change_is_reported_after_a_delay(self) -> None:
        def outage() -> None:
            self.world.store.outage = "503"

        operator = Operator(self.world, ids(), HookedClient(self.world, {2: outage}))
        failed = operator.try_apply(service("a"), service("b")).unwrap_err()
        self.world.store.outage = ""
        for now, expected_state in ((0.0, None), (9.0, None), (10.0, "incomplete")):
            work = publish(self.world.client, self.statuses, EMPTY_SNAPSHOT, now)
            self.world.run(work).unwrap()
            status = self.change_status(getattr(failed, "change", ""))
            self.assertEqual(status and status["state"], expected_state, now)

    def test_late_rejection_does_not_replace_an_acceptance(self) -> None:
        change = self.operator.apply(route("r", "a"))
        slow = ChangeStatuses(self.world.client)
        self.world.run(slow.report_accepted([change], 5, 0.0))
        self.publish()
        self.assertEqual(
            self.change_status(change), {"state": "accepted", "version": 5}
        )
