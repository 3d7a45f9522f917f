"""Counters, latencies and gauges of a daemon in the Prometheus text format."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from briarslip.request.attempt_result import AttemptResult


BUCKET_BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
# Further services are counted together, under the name "other".
MAX_SERVICES = 64
OTHER_SERVICES = "other"


@dataclass(slots=True)
class LatencyHistogram:
    """Histogram of attempt latencies: the count of each bucket, and the sum."""

    counts: list[int] = field(
        default_factory=lambda: [0] * (len(BUCKET_BOUNDS_SECONDS) + 1)
    )
    total_seconds: float = 0.0

    def record(self, seconds: float) -> None:
        """Count one attempt."""
        self.counts[bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.total_seconds += seconds

    def cumulative_buckets(self) -> list[tuple[str, float]]:
        """Return each bucket's upper bound with the count of attempts up to it."""
        bounds = [*map(str, BUCKET_BOUNDS_SECONDS), "+Inf"]
        total = 0
        buckets: list[tuple[str, float]] = []
        for bound, count in zip(bounds, self.counts, strict=True):
            total += count
            buckets.append((bound, total))
        return buckets


class Metrics:
    """Metrics of a daemon; the gauges are read at each scrape.

    ``events`` counts the log events by number, including dropped ones, and
    ``dropped_lines`` those whose lines were dropped. ``client_errors`` counts the
    requests that the daemon itself ended with 3xx or 4xx, by status and reason.
    """

    def __init__(
        self,
        events: Mapping[int, int],
        dropped_lines: Mapping[int, int],
        gauges: Mapping[str, Callable[[], float]],
        client_errors: Mapping[tuple[int, str], int],
    ) -> None:
        self.events = events
        self.dropped_lines = dropped_lines
        self.gauges = gauges
        self.client_errors = client_errors
        self.attempts: Counter[tuple[str, str, str]] = Counter()
        self.latencies: dict[str, LatencyHistogram] = {}

    def record(self, attempt: AttemptResult) -> None:
        """Record the result of one attempt."""
        service = attempt.service
        latencies = self.latencies.get(service)
        if latencies is None:
            if len(self.latencies) >= MAX_SERVICES:
                service = OTHER_SERVICES
            latencies = self.latencies.setdefault(service, LatencyHistogram())
        latencies.record(attempt.latency_seconds)
        result = "failed" if attempt.failed else "answered"
        self.attempts[service, attempt.outcome.value, result] += 1

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        # Imported on first use, so that a daemon without scrapes does not load it.
        from prometheus_client import CollectorRegistry
        from prometheus_client import generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry).decode()

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; called by the registry of prometheus_client."""
        from prometheus_client.core import CounterMetricFamily
        from prometheus_client.core import GaugeMetricFamily
        from prometheus_client.core import HistogramMetricFamily

        attempts = CounterMetricFamily(
            "briarslip_attempts",
            "Attempts at servers by service, outcome and result",
            labels=("service", "outcome", "result"),
        )
        for labels, count in self.attempts.items():
            attempts.add_metric(labels, count)
        yield attempts
        seconds = HistogramMetricFamily(
            "briarslip_attempt_seconds",
            "Time of attempts, waiting and both ways included",
            labels=("service",),
        )
        for service, histogram in self.latencies.items():
            seconds.add_metric(
                (service,), histogram.cumulative_buckets(), histogram.total_seconds
            )
        yield seconds
        for name, help_text, counts in (
            ("briarslip_events", "Decisions and events by number", self.events),
            ("briarslip_log_left_out", "Log lines left out", self.dropped_lines),
        ):
            family = CounterMetricFamily(name, help_text, labels=("event",))
            for number, count in sorted(counts.items()):
                family.add_metric((str(number),), count)
            yield family
        client_errors = CounterMetricFamily(
            "briarslip_client_errors",
            "Requests ended with 3xx or 4xx by the daemon itself",
            labels=("status", "reason"),
        )
        for (status, reason), count in sorted(self.client_errors.items()):
            client_errors.add_metric((str(status), reason), count)
        yield client_errors
        for name, read_gauge in self.gauges.items():
            yield GaugeMetricFamily(f"briarslip_{name}", name, value=read_gauge())


__all__ = ["BUCKET_BOUNDS_SECONDS", "MAX_SERVICES", "LatencyHistogram", "Metrics"]
