"""Counters and latencies of a daemon, in the text format that Prometheus reads."""

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


# Upper ends of the latency buckets, in seconds.
BUCKET_BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
# Services beyond this many are counted together.
MAX_SERVICES = 64
OTHER_SERVICES = "other"


@dataclass(slots=True)
class LatencyHistogram:
    """How many attempts took up to each bucket's end, and their sum."""

    counts: list[int] = field(
        default_factory=lambda: [0] * (len(BUCKET_BOUNDS_SECONDS) + 1)
    )
    total: float = 0.0

    def record(self, seconds: float) -> None:
        """Count one attempt."""
        self.counts[bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.total += seconds

    def cumulative_buckets(self) -> list[tuple[str, float]]:
        """Return each bucket's end with how many were at most that long."""
        ends = [*map(str, BUCKET_BOUNDS_SECONDS), "+Inf"]
        running = 0
        found: list[tuple[str, float]] = []
        for end, count in zip(ends, self.counts, strict=True):
            running += count
            found.append((end, running))
        return found


class Metrics:
    """What a daemon counts. ``gauges`` are read when somebody asks.

    ``events`` counts the log events by number, also those that were not written.
    """

    def __init__(
        self,
        events: Mapping[int, int],
        dropped_lines: Mapping[int, int],
        gauges: Mapping[str, Callable[[], float]],
    ) -> None:
        self.events = events
        self.dropped_lines = dropped_lines
        self.gauges = gauges
        self.attempts: Counter[tuple[str, str, str]] = Counter()
        self.latencies: dict[str, LatencyHistogram] = {}

    def record(self, attempt: AttemptResult) -> None:
        """Count the end of one attempt."""
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
        """Return everything in the text format."""
        # Only who asks for metrics pays for the library.
        from prometheus_client import CollectorRegistry
        from prometheus_client import generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry).decode()

    def collect(self) -> Iterator[Any]:
        """Yield the families of metrics, as the library asks for them."""
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
        for service, known in self.latencies.items():
            seconds.add_metric((service,), known.cumulative_buckets(), known.total)
        yield seconds
        for name, text, counts in (
            ("briarslip_events", "Decisions and events by number", self.events),
            ("briarslip_log_left_out", "Log lines left out", self.dropped_lines),
        ):
            family = CounterMetricFamily(name, text, labels=("event",))
            for number, count in sorted(counts.items()):
                family.add_metric((str(number),), count)
            yield family
        for name, read in self.gauges.items():
            yield GaugeMetricFamily(f"briarslip_{name}", name, value=read())


__all__ = ["BUCKET_BOUNDS_SECONDS", "MAX_SERVICES", "LatencyHistogram", "Metrics"]
