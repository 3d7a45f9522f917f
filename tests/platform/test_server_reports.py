"""Tests of the endpoints for backend servers and for the readiness check."""

from __future__ import annotations

import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from result import Err

from briarslip.address import Address
from briarslip.platform.server_reports import read_report
from briarslip.platform.server_reports import readiness_endpoints
from briarslip.platform.server_reports import server_endpoints
from briarslip.process.adapters import ServerCallbacks
from briarslip.process.announcements import Announcement
from tests.platform.support import report
from tests.platform.test_configuration import JSON_VALUES


class ReportTest(unittest.TestCase):
    """Reports are converted to announcements or rejected."""

    def test_report(self) -> None:
        announcement = read_report("i-7", json.dumps(report()).encode()).unwrap()
        self.assertEqual(Address("10.128.0.9", 8080), announcement.address)
        endpoint = announcement.endpoint
        self.assertEqual(
            ("holds", "v1", 12, False),
            (endpoint.service, endpoint.version, endpoint.slots, endpoint.draining),
        )
        self.assertEqual(
            ("i-7", 1_700_000_000_000, 4),
            (announcement.server_id, announcement.incarnation, announcement.sequence),
        )
        self.assertEqual(0.0, announcement.warm_up_left_seconds)

    def test_report_of_an_unknown_start_replaces_that_of_the_server(self) -> None:
        """Guards against a report of another writer that changes the service."""
        without_start = report()
        del without_start["born"]
        for odd in (without_start, report(born=0), report(born=-1), report(born=None)):
            with self.subTest(odd):
                read = read_report("i-7", json.dumps(odd).encode())
                self.assertEqual("born", read.unwrap_err()[0].field)

    def test_remaining_warm_up(self) -> None:
        status = {"state": "ready", "sequence": 1}
        for fields, seconds in (({"warmup-left-ms": 2500}, 2.5), ({}, None)):
            raw = json.dumps(report(status={**status, **fields})).encode()
            self.assertEqual(
                seconds, read_report("i-7", raw).unwrap().warm_up_left_seconds
            )

    def test_malformed_reports_are_rejected_with_the_field(self) -> None:
        for broken in (
            report(address="here"),
            report(info={}),
            report(status={"state": "asleep", "sequence": 1}),
            report(status={"state": "ready", "sequence": "1"}),
            report(born="today"),
        ):
            with self.subTest(broken):
                read = read_report("i-7", json.dumps(broken).encode())
                assert isinstance(read, Err)
                self.assertTrue(read.err_value[0].field)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(strategies.sampled_from(sorted(report())), JSON_VALUES)
    def test_any_field_is_read_or_refused(self, field: str, value: Any) -> None:
        raw = json.dumps(report(**{field: value})).encode()
        read = read_report("i-7", raw)
        if read.is_ok():
            self.assertIsInstance(read.unwrap(), Announcement)


class EndpointTest(unittest.TestCase):
    """Endpoints answer after the daemon's callbacks have run."""

    def setUp(self) -> None:
        self.announced: list[Announcement] = []
        self.ended: list[tuple[str, int]] = []
        self.problem = ""
        self.endpoints = server_endpoints(
            ServerCallbacks(
                self.record_announcement,
                lambda name, born: self.ended.append((name, born)),
            )
        )

    def record_announcement(self, announcement: Announcement) -> str:
        """Record an announcement; return the reason of its rejection, or empty."""
        self.announced.append(announcement)
        return self.problem

    def call(self, path: str, raw: bytes) -> int:
        """Call an endpoint for the server i-7."""
        return self.endpoints["POST", path]("i-7", raw).status

    def test_report(self) -> None:
        path = "/-/Instances.Heartbeat/"
        raw = json.dumps(report()).encode()
        self.assertEqual(200, self.call(path, raw))
        self.assertEqual(400, self.call(path, b"{}"))
        self.problem = "too many"
        self.assertEqual(400, self.call(path, raw))
        self.assertEqual(2, len(self.announced))

    def test_deregistration_with_valid_invalid_and_no_body(self) -> None:
        path = "/-/Instances.Deregister/"
        self.assertEqual(200, self.call(path, b""))
        self.assertEqual(200, self.call(path, b'{"born": 12}'))
        self.assertEqual(200, self.call(path, b"\xff"))
        self.assertEqual([("i-7", 0), ("i-7", 12), ("i-7", 0)], self.ended)

    def test_readiness(self) -> None:
        for is_ready, status in ((True, 200), (False, 503)):
            endpoints = readiness_endpoints(lambda answer=is_ready: answer)  # type: ignore[misc]  # binds the loop's value
            reply = endpoints["GET", "/-/ready"](b"")
            self.assertEqual(status, reply.status)


if __name__ == "__main__":
    unittest.main()
