"""Tests of deltas, snapshots and their digests."""

from __future__ import annotations

import unittest
from dataclasses import replace

from briarslip.version.delta import apply_delta
from briarslip.version.delta import decode_delta
from briarslip.version.delta import delta_between
from briarslip.version.snapshot import Origin
from briarslip.version.snapshot import Snapshot
from briarslip.version.snapshot import decode_snapshot
from tests.support.records import route
from tests.support.records import service
from tests.support.records import snapshot_of


class DeltaTest(unittest.TestCase):
    """A delta applies to its base only, and only if the resulting digest matches."""

    def setUp(self) -> None:
        self.base = snapshot_of(1, service("a"), service("b"))
        records = dict(self.base.records)
        del records[service("b").key]
        origins = {**self.base.origins, service("b").key: Origin("d", 9)}
        self.snapshot = Snapshot(2, records, origins)
        self.delta = delta_between(self.base, self.snapshot)

    def test_delta_and_snapshot_round_trip(self) -> None:
        delta = decode_delta(self.delta.encode()).unwrap()
        self.assertEqual(apply_delta(self.base, delta).unwrap(), self.snapshot)
        decoded = decode_snapshot(self.snapshot.encode()).unwrap()
        self.assertEqual(decoded, self.snapshot)

    def test_delta_for_another_base_is_rejected(self) -> None:
        for base in (snapshot_of(1, service("a")), snapshot_of(2, service("a"))):
            self.assertIn("applies to", apply_delta(base, self.delta).unwrap_err())

    def test_altered_delta_is_rejected(self) -> None:
        altered = [
            replace(self.delta, records=dict(snapshot_of(1, route("r", "a")).records)),
            replace(self.delta, origins={}),
            replace(self.delta, version=3),
        ]
        for delta in altered:
            reason = apply_delta(self.base, delta).unwrap_err()
            self.assertIn("digest mismatch for version", reason)

    def test_malformed_values_are_errors(self) -> None:
        for value in (b"", b"[]", b"{}", b'{"records": {"x": [1, 2]}}', b"\xff"):
            self.assertTrue(decode_delta(value).is_err())
            self.assertTrue(decode_snapshot(value).is_err())
