"""Tests of odd entries that another writer leaves among those that daemons read.

Each value of a valid entry is replaced in turn: very deeply nested, a number too large,
a port out of range, text that can't be encoded. The entry is refused or usable, the
others hold, and nothing is raised.
"""

from __future__ import annotations

import json
import unittest
from typing import TYPE_CHECKING
from typing import Any

from result import Ok

from briarslip.address import Address
from briarslip.connection.frame import RequestFrame
from briarslip.connection.frame_codec import decode_frame
from briarslip.connection.frame_codec import encode_frame
from briarslip.platform.configuration import CONFIGURATION_KEY
from briarslip.platform.configuration import ConfigurationReader
from briarslip.platform.rollouts import PLATFORM_ROLLOUT_CODEC
from briarslip.platform.server_reports import read_report
from briarslip.platform.server_reports import server_endpoints
from briarslip.platform.store_messages import parse_changes
from briarslip.platform.store_messages import parse_page
from briarslip.platform.store_messages import parse_response
from briarslip.process.adapters import ServerCallbacks
from briarslip.process.membership.codec import decode_datagram
from briarslip.process.membership.codec import encode_datagram
from briarslip.process.membership.contact_points import decode_contact_points
from briarslip.process.membership.dissemination import MAX_DATAGRAM_BYTES
from briarslip.process.membership.member import Member
from briarslip.process.membership.member import Status
from briarslip.process.membership.messages import Datagram
from briarslip.process.membership.messages import DatagramKind
from briarslip.process.store.http import HttpResponse
from briarslip.version.rollout_document import decision_from_document
from briarslip.version.rollout_document import decode_document
from briarslip.version.routing_table import compile_snapshot
from tests.platform.support import configuration
from tests.platform.support import item
from tests.platform.support import items
from tests.platform.support import order
from tests.platform.support import report


if TYPE_CHECKING:
    from collections.abc import Iterator


NESTED_TOO_DEEPLY = "[" * 100_000 + "]" * 100_000
# Deep enough that encoding the value again may fail though it was decoded.
NESTED_DEEPLY = '{"a":' * 900 + "1" + "}" * 900
ODD_VALUES = (
    NESTED_TOO_DEEPLY,
    NESTED_DEEPLY,
    "1" + "0" * 400,
    "-1" + "0" * 400,
    "1" + "0" * 5000,
    "9" * 20,
    "1e308",
    "1e999",
    "-1e999",
    "NaN",
    "1e-320",
    "-1",
    "0",
    "null",
    "true",
    "[]",
    "{}",
    '""',
    '"\\ud800"',
    '"a\\nb"',
    '"\\u0000"',
    '"' + "x" * 5000 + '"',
    '"10.0.0.1:99999"',
    '"10.0.0.1:-1"',
    '"10.0.0.1:1e9"',
    '"[::1]:65536"',
    '"9999-12-31T23:59:59+00:00"',
)
PLACEHOLDER = "@odd@"
LOCALITY = ("klang", "default")


def odd_documents(document: Any) -> Iterator[tuple[str, bytes]]:
    """Yield the place and the JSON of the document with each value replaced."""
    for place, changed in _with_placeholder(document):
        text = json.dumps(changed)
        for value in ODD_VALUES:
            odd = text.replace(json.dumps(PLACEHOLDER), value)
            yield f"{place}: {value[:20]}", odd.encode()


def _with_placeholder(value: Any, place: str = "") -> Iterator[tuple[str, Any]]:
    yield place, PLACEHOLDER
    if isinstance(value, dict):
        for name, inner in value.items():
            for inner_place, changed in _with_placeholder(inner, f"{place}.{name}"):
                yield inner_place, {**value, name: changed}
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            for inner_place, changed in _with_placeholder(inner, f"{place}.{index}"):
                yield inner_place, [*value[:index], changed, *value[index + 1 :]]


class OddEntryTest(unittest.TestCase):
    """One odd entry ends no process, and none stops following the others."""

    def test_odd_report_is_refused_or_can_be_published(self) -> None:
        usable_count = 0
        for place, raw in odd_documents(report()):
            with self.subTest(place):
                read = read_report("i-7", raw)
                if isinstance(read, Ok):
                    usable_count += 1
                    self.assert_publishable(read.ok_value.endpoint)
        self.assertGreater(usable_count, 0)

    def assert_publishable(self, endpoint: Any) -> None:
        """Assert that other daemons read the same server, and calls can name it."""
        address = Address("10.1.0.8", 7620)
        member = Member(address, *LOCALITY, 1, Status.ALIVE, 1, (endpoint,))
        datagram = Datagram(DatagramKind.PUSH, 1, 1, (member,))
        encoded = encode_datagram(datagram, LOCALITY)
        self.assertLessEqual(len(encoded), MAX_DATAGRAM_BYTES)
        self.assertEqual(Ok(datagram), decode_datagram(encoded, LOCALITY))
        frame = RequestFrame(
            stream=1,
            timeout_ms=1,
            urgent=False,
            idempotent=True,
            depth=1,
            service=endpoint.service,
            service_version=endpoint.version,
            route="r",
            method="GET",
            target="/",
            headers=b"",
            body=b"",
            last=True,
        )
        self.assertEqual(Ok(frame), decode_frame(encode_frame(frame)))

    def test_odd_deregistration_is_acknowledged(self) -> None:
        ended: list[tuple[str, int]] = []
        callbacks = ServerCallbacks(
            lambda announcement: "", lambda name, start: ended.append((name, start))
        )
        endpoints = server_endpoints(callbacks)
        deregister = endpoints["POST", "/-/Instances.Deregister/"]
        for place, raw in odd_documents({"born": 5}):
            with self.subTest(place):
                self.assertEqual(200, deregister("i-7", raw).status)
        self.assertTrue(all(start < 1 << 63 for _, start in ended))

    def test_odd_rollout_order_leaves_the_others_in_force(self) -> None:
        good = item("op/rollout/lots", order(service="lots"))
        for place, raw in odd_documents(order()):
            with self.subTest(place):
                odd = item("op/rollout/holds", raw)
                config = item(CONFIGURATION_KEY, configuration())
                snapshot = ConfigurationReader()(items(config, odd, good)).unwrap()
                assert snapshot is not None
                table = compile_snapshot(snapshot).unwrap()
                rollouts = {r.service: r for r in table.rollouts.values()}
                self.assertIn("lots", rollouts)
                for rollout in rollouts.values():
                    self.assertGreater(rollout.window.total_seconds(), 0)

    def test_odd_route_leaves_the_others_in_force(self) -> None:
        document = configuration()
        for name, route in document["routes"].items():
            other = next(n for n in document["routes"] if n != name)
            for place, raw in odd_documents(route):
                with self.subTest(f"{name}{place}"):
                    changed = json.dumps(
                        {
                            **document,
                            "routes": {**document["routes"], name: PLACEHOLDER},
                        }
                    )
                    text = changed.replace(json.dumps(PLACEHOLDER), raw.decode())
                    self.assert_route_holds(text.encode(), document["routes"][other])

    def assert_route_holds(self, raw: bytes, route: dict[str, Any]) -> None:
        """Assert that the configuration is unreadable or has a route in force."""
        read = ConfigurationReader()(items(item(CONFIGURATION_KEY, raw)))
        if not isinstance(read, Ok):
            # Bytes that are no JSON leave the previous configuration in force.
            with self.assertRaises((ValueError, RecursionError)):
                json.loads(raw)
            return
        assert read.ok_value is not None
        table = compile_snapshot(read.ok_value).unwrap()
        matched = table.match(route["prefix"], "GET", route["host"])
        assert matched is not None
        timeout_seconds = matched.timeout.total_seconds()
        self.assertEqual(route["timeout-ms"] / 1000, timeout_seconds)

    def test_odd_value_of_the_configuration_is_refused_or_usable(self) -> None:
        document = configuration()
        rest = {"version": document["version"], "limits": document["limits"]}
        for place, raw in odd_documents(rest):
            with self.subTest(place):
                try:
                    changed = json.loads(raw)
                except (ValueError, RecursionError):
                    continue
                if not isinstance(changed, dict):
                    continue
                stored = items(item(CONFIGURATION_KEY, {**document, **changed}))
                read = ConfigurationReader()(stored)
                if isinstance(read, Ok) and read.ok_value is not None:
                    compile_snapshot(read.ok_value).unwrap()

    def test_odd_rollout_status_is_refused_or_has_a_decision(self) -> None:
        status = {
            "rollout": "holds",
            "digest": "d",
            "service": "holds",
            "version": "v2",
            "deadline": "2026-01-01T00:00:00+00:00",
            "state": "rolled_back",
            "reason": "",
            "since": "2026-01-01T00:00:00+00:00",
            "started_ms": 1_700_000_000_000,
            "configuration_version": 3,
            "zones_not_heard": [],
            "fault": {
                "route": "r",
                "figure": "failure_share",
                "new_value": 0.5,
                "old_value": 0.0,
                "decided_ms": 1_700_000_000_000,
                "availability_zone": "klang",
                "after_done": False,
            },
        }
        for place, raw in odd_documents(status):
            with self.subTest(place):
                wrapped = b'{"service":"holds","report":' + raw + b"}"
                for decoded in (
                    decode_document(raw),
                    PLATFORM_ROLLOUT_CODEC.decode(wrapped),
                ):
                    if isinstance(decoded, Ok):
                        decision_from_document(decoded.ok_value)

    def test_odd_page_or_change_of_the_store_is_refused_or_usable(self) -> None:
        stored = {"key": "k", "value": "", "revision": 5, "created": 5, "lease": 0}
        removed = {"key": "k", "revision": 6, "removed": True}
        page = {"items": [stored], "has-more": False, "current-rev": 9}
        changes = {"events": [stored, removed], "current-rev": 9}
        for place, raw in odd_documents(page):
            with self.subTest(place):
                response = HttpResponse(200, raw)
                parse_response(response, lambda d: parse_page(0, d), is_write=False)
        for place, raw in odd_documents(changes):
            with self.subTest(place):
                response = HttpResponse(200, raw)
                parse_response(response, lambda d: parse_changes(0, d), is_write=False)

    def test_odd_contact_points_name_no_address(self) -> None:
        for value in (*ODD_VALUES, "10.0.0.1:0", "10.0.0.1:99999", "\udcff:1"):
            raw = value.encode("utf-8", "surrogateescape")
            for address in decode_contact_points(raw):
                self.assertTrue(0 < address.port < 1 << 16)


if __name__ == "__main__":
    unittest.main()
