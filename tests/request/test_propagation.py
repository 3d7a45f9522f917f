"""Tests of the headers that carry the context of a call."""

from __future__ import annotations

import unittest
from dataclasses import replace

from briarslip.request.outcome import Failure
from briarslip.request.outcome import Outcome
from briarslip.request.outcome import Reason
from briarslip.request.propagation import read_context
from tests.request.support import ROUTE
from tests.request.support import ForwarderHarness
from tests.request.support import member


class ContextTest(unittest.TestCase):
    """Context read from a request and sent to a server."""

    def test_context_headers_are_removed_and_other_headers_are_kept(self) -> None:
        context = read_context(
            b"A: 1\r\nbriarslip-depth: 3\r\nIDEMPOTENCY-KEY:  k \r\n"
            b"Briarslip-Deadline-Ms: 5\r\nBriarslip-Retried: 1\r\n"
            b"X-Briarslip-Depth: 9\r\n"
        )
        kept = b"A: 1\r\nX-Briarslip-Depth: 9\r\nIdempotency-Key: k\r\n"
        self.assertEqual((context.headers, context.idempotency_key), (kept, b"k"))
        self.assertEqual((context.is_retry, context.is_bulk), (True, False))

    def test_call_nested_in_a_bulk_call_is_bulk(self) -> None:
        harness = ForwarderHarness(member(1))
        harness.request(headers=b"Briarslip-Priority: bulk\r\n", depth=1)
        harness.request(headers=b"Briarslip-Priority: urgent\r\n", depth=1)
        self.assertEqual([s.call.urgent for s in harness.sent], [False, True])
        lines = b"Briarslip-Depth: 2\r\nBriarslip-Priority: bulk\r\n"
        self.assertEqual(harness.sent[0].call.headers, lines)

    def test_idempotency_key_that_is_too_long_is_rejected(self) -> None:
        harness = ForwarderHarness(member(1), route=replace(ROUTE, claims="required"))
        sink, _ = harness.request(headers=b"Idempotency-Key: %s\r\n" % (b"k" * 256))
        self.assertEqual(sink.failure, Failure(Outcome.NOT_RUN, Reason.BAD_REQUEST))
