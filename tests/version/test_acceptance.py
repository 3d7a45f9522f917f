"""Tests of the acceptance of changes."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from briarslip.process.distribution.change_writer import RecordWrite
from briarslip.version.acceptance import Acceptance
from briarslip.version.acceptance import accept_changes
from briarslip.version.record import Record
from briarslip.version.record import RecordKey
from briarslip.version.routing_table import check_records
from briarslip.version.routing_table import compile_snapshot
from briarslip.version.snapshot import EMPTY_SNAPSHOT
from briarslip.version.snapshot import Snapshot
from briarslip.version.stored_record import Change
from briarslip.version.stored_record import StoredRecord
from briarslip.version.stored_record import Write
from tests.support.records import names
from tests.support.records import removed
from tests.support.records import route
from tests.support.records import service


@dataclass
class Store:
    """Stored records; each write gets the next revision."""

    records: dict[RecordKey, StoredRecord] = field(default_factory=dict)
    revision: int = 0

    def put(self, record: RecordWrite, change: str, size: int) -> Write:
        """Write one record of a change of ``size`` records."""
        self.revision += 1
        stored = self.records.get(record.key)
        write = Write(record.fields, Change(change, size), self.revision)
        history = stored.writes if stored else ()
        self.records[record.key] = StoredRecord(write, "", history)
        return write

    def change(self, change: str, *writes: RecordWrite) -> None:
        """Write all records of a change."""
        for write in writes:
            self.put(write, change, len(writes))

    def accept(self, base: Snapshot = EMPTY_SNAPSHOT) -> Acceptance:
        """Accept the changes stored so far."""
        return accept_changes(base, self.records)


INVALID_ROUTE = route("r", "a", priority="whenever")


class AcceptanceTest(unittest.TestCase):
    """A change is accepted completely or not at all, independently of others."""

    def test_change_is_accepted_completely_when_an_invalid_one_overwrites_a_record(
        self,
    ) -> None:
        store = Store()
        store.change("good", service("a"), route("r", "a"), route("q", "a"))
        store.change("bad", INVALID_ROUTE)
        result = store.accept()
        self.assertEqual(
            names(result.snapshot.records), ["route q", "route r", "service a"]
        )
        self.assertEqual([r.change for r in result.rejected], ["bad"])
        self.assertIn("whenever", str(result.rejected[0].findings[0]))

    def test_incomplete_change_does_not_block_others(self) -> None:
        store = Store()
        store.put(service("a"), "cut", 2)
        store.change("other", service("b"))
        result = store.accept()
        self.assertEqual(result.incomplete, ("cut",))
        self.assertEqual(names(result.snapshot.records), ["service b"])

    def test_changes_that_depend_on_each_other(self) -> None:
        store = Store()
        store.change("1", service("a"), route("r", "b"))
        store.change("2", service("b"), route("q", "a"))
        store.change("3", route("z", "missing"))
        result = store.accept()
        self.assertEqual(result.accepted, ("1", "2"))
        self.assertEqual([r.change for r in result.rejected], ["3"])

    def test_service_and_route_are_accepted_in_either_order(self) -> None:
        store = Store()
        store.change("route", route("r", "a"))
        first = store.accept()
        self.assertEqual([r.change for r in first.rejected], ["route"])
        store.change("service", service("a"))
        second = store.accept(first.snapshot)
        self.assertEqual(second.accepted, ("service", "route"))
        store.change("remove service", removed(service("a")))
        third = store.accept(second.snapshot)
        self.assertEqual([r.change for r in third.rejected], ["remove service"])
        store.change("remove route", removed(route("r", "a")))
        fourth = store.accept(third.snapshot)
        self.assertEqual(fourth.accepted, ("remove route", "remove service"))
        self.assertEqual(names(fourth.snapshot.records), [])

    def test_stale_read_does_not_restore_a_removed_record(self) -> None:
        store = Store()
        store.change("1", service("a"))
        stale = dict(store.records)
        store.change("2", removed(service("a")))
        head = store.accept().snapshot
        self.assertEqual(accept_changes(head, stale).accepted, ())

    def test_change_with_an_unknown_schema_is_rejected(self) -> None:
        store = Store()
        store.change("1", service("a"), route("r", "a"))
        base = store.accept().snapshot
        unknown = RecordWrite(RecordKey("route", "r", 9), {"service": "a"})
        store.change("2", unknown, removed(route("r", "a")))
        result = store.accept(base)
        self.assertEqual(result.snapshot, base)
        self.assertIn("unknown kind or schema", str(result.rejected[0].findings[0]))

    def test_accepted_unknown_schema_blocks_only_removal_of_its_service(self) -> None:
        unknown = RecordWrite(RecordKey("route", "r", 9), {"service": "a"})
        store = Store()
        store.change("1", service("a"))
        base = store.accept().snapshot
        records = dict(base.records)
        records[unknown.key] = Record(unknown.key, {"service": "a"})
        head = Snapshot(2, records, base.origins)
        store.change("2", service("b"))
        store.change("3", removed(service("a")))
        result = store.accept(head)
        self.assertEqual(result.accepted, ("2",))
        self.assertEqual([r.change for r in result.rejected], ["3"])

    def test_service_of_an_older_schema_cannot_be_removed(self) -> None:
        """Daemons that know only the older schema still route by it."""
        store = Store()
        new = RecordWrite(
            RecordKey("route", "r", 2), {"service": "b", "match_path": "/r"}
        )
        store.change("1", service("a"), service("b"), route("r", "a"), new)
        base = store.accept().snapshot
        store.change("2", removed(service("a")))
        self.assertEqual([r.change for r in store.accept(base).rejected], ["2"])

    def test_record_shadowed_by_a_newer_schema_is_reported(self) -> None:
        store = Store()
        new = RecordWrite(
            RecordKey("route", "r", 2), {"service": "a", "match_path": "/r"}
        )
        store.change("1", service("a"), route("r", "a"), new)
        base = store.accept().snapshot
        store.change("2", route("r", "a", "/other"))
        self.assertEqual(store.accept(base).shadowed, (route("r", "a").key,))


SERVICES = st.sampled_from(("a", "b"))
WRITES = st.one_of(
    st.builds(service, SERVICES),
    st.builds(lambda s: removed(service(s)), SERVICES),
    st.builds(route, st.sampled_from(("r", "q")), st.sampled_from(("a", "b", "gone"))),
    st.builds(lambda n: removed(route(n, "a")), st.sampled_from(("r", "q"))),
    st.just(INVALID_ROUTE),
    st.builds(
        lambda s: RecordWrite(
            RecordKey("route", "r", 2), {"service": s, "match_path": "/r"}
        ),
        SERVICES,
    ),
    st.just(RecordWrite(RecordKey("route", "r", 2), None)),
)
CHANGES = st.lists(
    st.tuples(
        st.lists(WRITES, min_size=1, max_size=3, unique_by=lambda w: w.key),
        st.booleans(),
    ),
    min_size=1,
    max_size=6,
)


class InterleavingTest(unittest.TestCase):
    """Changes stay atomic in any order of writes and acceptances."""

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(CHANGES, st.data())
    def test_any_interleaving(self, changes: list[Any], data: Any) -> None:
        store = Store()
        sizes = {
            f"c{number}": len(writes) + cut
            for number, (writes, cut) in enumerate(changes)
        }
        left = {f"c{n}": list(writes) for n, (writes, _) in enumerate(changes)}
        done: dict[str, list[tuple[RecordKey, Write]]] = {name: [] for name in left}
        base = EMPTY_SNAPSHOT
        accepted: set[str] = set()
        while left:
            name = data.draw(st.sampled_from(sorted(left)))
            record = left[name].pop(0)
            done[name].append((record.key, store.put(record, name, sizes[name])))
            if not left[name]:
                del left[name]
            if not left or data.draw(st.booleans()):
                result = store.accept(base)
                self.check(base, result, done, sizes, accepted)
                accepted |= set(result.accepted)
                base = result.snapshot
        again = store.accept(base)
        self.assertEqual((again.accepted, again.snapshot), ((), base))

    def check(
        self,
        base: Snapshot,
        result: Acceptance,
        written: dict[str, list[tuple[RecordKey, Write]]],
        sizes: dict[str, int],
        accepted: set[str],
    ) -> None:
        """Check one acceptance against the writes so far."""
        snapshot = result.snapshot
        compile_snapshot(snapshot).unwrap()
        self.assertFalse(accepted & set(result.accepted))
        accepted_so_far = accepted | set(result.accepted)
        self.assertLessEqual(
            {o.change for o in snapshot.origins.values()}, accepted_so_far
        )
        for key, origin in base.origins.items():
            self.assertGreaterEqual(snapshot.origins[key].revision, origin.revision)
        for change in result.accepted:
            self.assertEqual(len(written[change]), sizes[change])
            for key, write in written[change]:
                self.assertGreaterEqual(snapshot.origins[key].revision, write.revision)
        for refusal in result.rejected:
            records = dict(snapshot.records)
            findings: list[Any] = []
            for key, write in written[refusal.change]:
                if write.revision <= snapshot.origins.get(key, ("", 0))[1]:
                    continue
                records.pop(key, None)
                if write.fields is not None:
                    records[key] = Record(key, write.fields)
            findings.extend(check_records(records))
            is_invalid = any(
                w.fields == INVALID_ROUTE.fields for _, w in written[refusal.change]
            )
            self.assertTrue(findings or is_invalid, refusal)
