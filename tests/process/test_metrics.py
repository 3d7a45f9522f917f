"""Tests of the metrics that a daemon serves."""

from __future__ import annotations

import unittest

from briarslip.address import Address
from briarslip.process.metrics import MAX_SERVICES
from briarslip.process.metrics import Metrics
from briarslip.request.attempt_result import AttemptResult
from briarslip.request.outcome import Outcome


FAILED = '{outcome="ran",result="failed",service="holds"}'


def attempt(
    service: str = "holds", latency: float = 0.02, failed: bool = False
) -> AttemptResult:
    """Return the result of an attempt."""
    server = Address("127.0.0.1", 1)
    return AttemptResult(service, "1", "r", server, Outcome.RAN, failed, latency)


class MetricsTest(unittest.TestCase):
    """Counters, histograms and gauges in the Prometheus text format."""

    def setUp(self) -> None:
        self.metrics = Metrics(
            {402: 3},
            {402: 1},
            {"live_members": lambda: 7},
            {(404, "no route matches"): 2},
        )

    def test_text(self) -> None:
        self.metrics.record(attempt())
        self.metrics.record(attempt(latency=0.3, failed=True))
        text = self.metrics.text()
        for line in (
            f"briarslip_attempts_total{FAILED} 1.0",
            'briarslip_attempt_seconds_bucket{le="0.025",service="holds"} 1.0',
            'briarslip_attempt_seconds_bucket{le="+Inf",service="holds"} 2.0',
            'briarslip_attempt_seconds_count{service="holds"} 2.0',
            'briarslip_events_total{event="402"} 3.0',
            'briarslip_log_left_out_total{event="402"} 1.0',
            "briarslip_live_members 7.0",
            'briarslip_client_errors_total{reason="no route matches",status="404"} 2.0',
        ):
            self.assertIn(line, text.splitlines())

    def test_number_of_services_is_bounded(self) -> None:
        for number in range(3 * MAX_SERVICES):
            self.metrics.record(attempt(f"s{number}"))
        self.assertEqual(MAX_SERVICES + 1, len(self.metrics.latencies))
        self.assertIn('service="other"', self.metrics.text())


if __name__ == "__main__":
    unittest.main()
