"""Tests of records and their schema versions."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from briarslip.version.record import RECORD_SCHEMAS
from briarslip.version.record import Record
from briarslip.version.record import RecordKey
from briarslip.version.record import Route
from briarslip.version.record import parse_record
from briarslip.version.record import records_from_ini
from briarslip.version.routing_table import compile_snapshot
from tests.support.records import route
from tests.support.records import service
from tests.support.records import snapshot_of


FIELD_NAMES = sorted(
    {spec.name for kind in RECORD_SCHEMAS.values() for spec in kind.fields}
)


def parsed(schema: int, **fields: str) -> Route:
    """Parse a route record in a schema."""
    record = parse_record(Record(RecordKey("route", "r", schema), fields)).unwrap()
    assert isinstance(record, Route)
    return record


class SchemaTest(unittest.TestCase):
    """All schema versions of a kind are parsed into the same record type."""

    def test_route_schemas_give_equal_records(self) -> None:
        old = parsed(1, service="a", path_prefix="/x/", idempotent="true")
        new = parsed(2, service="a", match_path="/x", retry="unknown")
        self.assertEqual(old, new)

    def test_schema_2_restricts_methods(self) -> None:
        new = parsed(2, service="a", match_path="/x", match_methods="GET, PUT")
        self.assertEqual(new.methods, {"GET", "PUT"})
        self.assertFalse(new.idempotent)

    def test_all_findings_of_a_file_are_reported(self) -> None:
        text = (
            "[route r]\nschema = 2\nmatch_path = x\nmatch_methods = get\n"
            "service = a\npath_prefix = /x\n[route q]\nschema = 9\nservice = a\n"
        )
        findings = records_from_ini(text, "file").unwrap_err()
        found = [(f.line, f.field) for f in sorted(findings)]
        self.assertEqual(
            found,
            [(3, "match_path"), (4, "match_methods"), (6, "path_prefix"), (7, "")],
        )

    def test_newest_known_schema_is_used(self) -> None:
        schema_1 = route("r", "a", "/old")
        fields = {"service": "a", "match_path": "/new"}
        key = RecordKey("route", "r", 2)
        snapshot = snapshot_of(1, service("a"), schema_1)
        snapshot = snapshot_of(
            2,
            service("a"),
            schema_1,
            type(schema_1)(key, fields),
            type(schema_1)(key._replace(schema=9), {}),
        )
        table = compile_snapshot(snapshot).unwrap()
        self.assertEqual([r.path_prefix for r in table.routes], ["/new"])

    def test_record_of_unknown_schema_is_retained(self) -> None:
        before = compile_snapshot(
            snapshot_of(1, service("a"), route("r", "a"))
        ).unwrap()
        unknown = type(service("a"))(RecordKey("route", "r", 9), {"service": "a"})
        snapshot = snapshot_of(2, service("a"), unknown)
        table = compile_snapshot(snapshot, before).unwrap()
        self.assertEqual(table.routes, before.routes)
        self.assertEqual([f.source for f in table.retained], ["records/route/r/9"])
        self.assertIn("unknown", str(compile_snapshot(snapshot).unwrap_err()[0]))

    def test_retained_record_needs_its_service(self) -> None:
        before = compile_snapshot(
            snapshot_of(1, service("a"), route("r", "a"))
        ).unwrap()
        unknown = type(service("a"))(RecordKey("route", "r", 9), {"service": "b"})
        result = compile_snapshot(snapshot_of(2, service("b"), unknown), before)
        self.assertIn("'a'", str(result.unwrap_err()[0]))


class FuzzTest(unittest.TestCase):
    """Record files with random content."""

    @settings(derandomize=True, max_examples=300)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("service", "route", "rollout", "objective", "x")),
                st.text(alphabet="ab /é", max_size=4),
                st.dictionaries(
                    st.sampled_from((*FIELD_NAMES, "schema", "y")),
                    st.text(alphabet="0129.-:T+/,truefalsnonePOST%é", max_size=24),
                    max_size=6,
                ),
            ),
            max_size=4,
        )
    )
    def test_any_file_gives_records_or_findings(
        self, sections: list[tuple[str, str, dict[str, str]]]
    ) -> None:
        text = "".join(
            f"[{kind} {name}]\n" + "".join(f"{k} = {v}\n" for k, v in fields.items())
            for kind, name, fields in sections
        )
        result = records_from_ini(text, "a.ini")
        if result.is_err():
            places = [finding.source for finding in result.unwrap_err()]
            self.assertEqual({"a.ini"}, set(places))
            return
        for record in result.unwrap():
            self.assertTrue(parse_record(record).is_ok(), record)
