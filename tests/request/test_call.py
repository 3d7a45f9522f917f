"""Tests of Call."""

from __future__ import annotations

import dataclasses
import unittest

from tests.request.support import make_call


class ForServerTest(unittest.TestCase):
    """Tests of Call.for_server."""

    def test_only_version_and_headers_change(self) -> None:
        original = make_call()
        sent = original.for_server("7", b"A: 1\r\n")
        self.assertEqual((sent.service_version, sent.headers), ("7", b"A: 1\r\n"))
        changed = {"service_version", "headers"}
        for name in {f.name for f in dataclasses.fields(original)} - changed:
            self.assertIs(getattr(sent, name), getattr(original, name), name)
