"""Tests of the conversion of operators' items to snapshots."""

from __future__ import annotations

import json
import unittest
from datetime import timedelta
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from result import Err
from result import Ok

from briarslip.platform.configuration import CONFIGURATION_KEY
from briarslip.platform.configuration import read_configuration
from briarslip.version.delta import apply_delta
from briarslip.version.delta import delta_between
from briarslip.version.record import Limits
from briarslip.version.record import RecordKey
from briarslip.version.record import WeightedService
from briarslip.version.routing_table import RoutingTable
from briarslip.version.routing_table import compile_snapshot
from tests.platform.support import configuration
from tests.platform.support import item
from tests.platform.support import items
from tests.platform.support import order


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


def compiled(*stored: Any) -> RoutingTable:
    """Return the routing table compiled from stored items."""
    snapshot = read_configuration(items(*stored)).unwrap()
    assert snapshot is not None
    return compile_snapshot(snapshot).unwrap()


class ConfigurationTest(unittest.TestCase):
    """Valid items become records; invalid ones are rejected or skipped."""

    def test_no_configuration_yet(self) -> None:
        self.assertEqual(Ok(None), read_configuration({}))

    def test_routes_and_limits(self) -> None:
        table = compiled(item(CONFIGURATION_KEY, configuration()))
        self.assertEqual(5, table.version)
        hold = table.match("/puka111/2f?x=1", "POST", "jepu9.example")
        assert hold is not None
        self.assertEqual(("holds", False, 2), (hold.service, hold.idempotent, 2))
        self.assertEqual(timedelta(seconds=2), hold.timeout)
        self.assertEqual(("urgent", "none"), (hold.priority, hold.claims))
        shelf = table.match("/leny950/a/b", "GET", "hulo84.example")
        assert shelf is not None
        self.assertEqual(
            (WeightedService("shelves", 90), WeightedService("lots", 10)), shelf.parts
        )
        self.assertEqual((True, "bulk"), (shelf.idempotent, shelf.priority))
        limits = table.caller_limits
        self.assertIsInstance(limits, Limits)

    def test_prefix_and_host_match_exactly(self) -> None:
        table = compiled(item(CONFIGURATION_KEY, configuration()))
        for host, target in (
            ("jepu9.example", "/puka111"),
            ("jepu9.example", "//puka111/2f"),
            ("jepu9.example", "/puka1112/2f"),
            ("hulo84.example", "/puka111/2f"),
            ("", "/puka111/2f"),
        ):
            with self.subTest(host=host, target=target):
                self.assertIsNone(table.match(target, "GET", host))
        self.assertIsNotNone(table.match("/puka111/", "GET", "jepu9.example:80"))

    def test_rollout_order_becomes_a_rollout_with_its_revision(self) -> None:
        table = compiled(
            item(CONFIGURATION_KEY, configuration(), 5),
            item("op/rollout/holds", order(), 9),
        )
        self.assertEqual(9, table.version)
        rollout = table.rollouts["holds"]
        self.assertEqual(
            ("v2", 9, timedelta(seconds=12)),
            (rollout.version, rollout.order, rollout.window),
        )

    def test_invalid_rollout_order_is_skipped(self) -> None:
        for broken in (
            b"\xff",
            order(**{"duration-s": "soon"}),
            order(service="unknown"),
            order(**{"target-version": 2}),
        ):
            with self.subTest(broken):
                table = compiled(
                    item(CONFIGURATION_KEY, configuration()),
                    item("op/rollout/holds", broken, 9),
                )
                self.assertEqual({}, table.rollouts)
                self.assertEqual(2, len(table.routes))

    def test_all_findings_are_reported_with_their_paths(self) -> None:
        document = configuration()
        document["routes"]["r-hold"]["timeout-ms"] = "2 s"
        document["routes"]["r-shelf"]["kind"] = "odd"
        document["limits"] = []
        found = read_configuration(items(item(CONFIGURATION_KEY, document)))
        assert isinstance(found, Err)
        paths = {f"{f.section} {f.field}".strip() for f in found.err_value}
        self.assertLessEqual(
            {"routes.r-hold timeout-ms", "routes.r-shelf kind", "limits"}, paths
        )

    def test_route_to_an_unknown_service_is_rejected(self) -> None:
        document = configuration(services={})
        snapshot = read_configuration(items(item(CONFIGURATION_KEY, document)))
        self.assertTrue(compile_snapshot(snapshot.unwrap()).is_err())  # type: ignore[arg-type]  # there is one

    def test_changes_can_be_sent_to_peers_as_a_delta(self) -> None:
        before = read_configuration(items(item(CONFIGURATION_KEY, configuration())))
        document = configuration()
        document["routes"]["r-hold"]["service"] = "lots"
        del document["routes"]["r-shelf"]
        stored = (item(CONFIGURATION_KEY, document, 8), item("op/rollout/lots", {}, 9))
        after = read_configuration(items(*stored))
        base, changed = before.unwrap(), after.unwrap()
        assert base is not None
        assert changed is not None
        delta = delta_between(base, changed)
        self.assertEqual(1, len(delta.records))
        self.assertEqual(changed.digest, apply_delta(base, delta).unwrap().digest)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(strategies.binary(max_size=40), JSON_VALUES)
    def test_any_bytes_are_read_or_refused(self, raw: bytes, value: Any) -> None:
        for stored in (raw, json.dumps(value).encode()):
            found = read_configuration(
                items(item(CONFIGURATION_KEY, stored), item("op/rollout/holds", stored))
            )
            self.assertTrue(found.is_err())

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        strategies.sampled_from(
            ("version", "routes", "services", "limits", "r-hold", "parts")
        ),
        JSON_VALUES,
    )
    def test_any_field_is_read_or_refused(self, field: str, value: Any) -> None:
        document = configuration()
        if field == "r-hold":
            document["routes"]["r-hold"] = value
        elif field == "parts":
            document["routes"]["r-shelf"]["traffic-split"] = value
        else:
            document[field] = value
        found = read_configuration(items(item(CONFIGURATION_KEY, document)))
        if isinstance(found, Ok) and found.ok_value is not None:
            compile_snapshot(found.ok_value)
            self.assertIn(RecordKey("limits", "callers", 1), found.ok_value.records)


if __name__ == "__main__":
    unittest.main()
