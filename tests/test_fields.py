"""Tests of the parsers of typed fields."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies

from briarslip.fields import FieldSpec
from briarslip.fields import address
from briarslip.fields import integer
from briarslip.fields import name
from briarslip.fields import read_fields
from briarslip.fields import timestamp
from briarslip.ini import IniField
from briarslip.ini import IniSection
from briarslip.version.record import Record
from briarslip.version.record import RecordKey


class TimestampTest(unittest.TestCase):
    """Times with an offset from UTC."""

    def test_a_time_out_of_range_is_rejected(self) -> None:
        for value in ("0001-01-01T00:00:00+14:00", "9999-12-31T23:00:00-14:00"):
            self.assertIn("not an ISO 8601 time", timestamp(value).unwrap_err())


class NameTest(unittest.TestCase):
    """Names, and the characters that hosts and paths may not have."""

    @given(strategies.text(max_size=4))
    def test_names_have_only_the_characters_that_are_listed(self, value: str) -> None:
        stripped = value.strip()
        is_name = bool(stripped) and all(
            c.isascii() and (c.isalnum() or c in "._-") for c in stripped
        )
        self.assertEqual(is_name, name(value).is_ok())

    @given(strategies.characters())
    def test_hosts_and_prefixes_have_no_space_and_no_separator(self, c: str) -> None:
        fields = {"service": "a", "idempotent": "true", "timeout_ms": "1"}
        fields |= {"priority": "bulk", "claims": "none"}
        host = fields | {"path_prefix": "/a/", "host": f"a{c}b"}
        prefix = fields | {"path_prefix": f"/a{c}b/", "host": "a"}
        for given_fields, separators in ((host, "/?#@"), (prefix, "?#")):
            parsed = Record(RecordKey("route", "a", 3), given_fields).parsed
            self.assertEqual(
                not c.isspace() and c not in separators, parsed.is_ok(), parsed
            )


class ReadFieldsTest(unittest.TestCase):
    """Fields of a section: unknown, missing and invalid ones are found together."""

    def test_all_findings_are_reported(self) -> None:
        specs = (FieldSpec("a", integer(0, 9)), FieldSpec("b", integer(0, 9), 3))
        section = IniSection("s", 1, {n: IniField(n, "x", 2) for n in ("b", "c", "d")})
        findings = read_fields("f", section, specs).unwrap_err()
        self.assertEqual(
            [("a", "is missing"), ("b", "'x' is not a whole number")]
            + [(n, "unknown field") for n in ("c", "d")],
            [(finding.field, finding.reason) for finding in findings],
        )


class AddressTest(unittest.TestCase):
    """An IP number and a port."""

    def test_an_invalid_port_is_rejected(self) -> None:
        for port in ("9" * 5000, "65536", "0", ""):
            self.assertIn("not a port", address(f"127.0.0.1:{port}").unwrap_err())
