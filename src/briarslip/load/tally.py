"""Outcome counts and latency histograms of a load run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from briarslip.load.response import Verdict


if TYPE_CHECKING:
    from typing import Any

    from briarslip.load.schedule import Arrival


MICROSECONDS_PER_SECOND = 1_000_000
MAX_LATENCY_MICROSECONDS = 3600 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


@dataclass(frozen=True, slots=True)
class OutcomeKey:
    """The key by which outcomes are counted, one row of the outcome table."""

    target: str
    kind: str
    verdict: str
    status: int
    outcome: str


class Tally:
    """Collects the results of the measured requests.

    Latency is measured from the scheduled arrival to the last byte of the response.
    It thus includes the time that a request waited for a connection, which avoids
    coordinated omission.
    """

    def __init__(self) -> None:
        self.latencies: dict[tuple[str, str], Any] = {}
        self.start_delays: Any = _new_histogram()
        self.outcome_counts: Counter[OutcomeKey] = Counter()

    def record_result(
        self,
        arrival: Arrival,
        verdict: Verdict,
        latency_seconds: float,
        status: int = 0,
        outcome: str = "",
    ) -> None:
        """Record the result of one request; requests of the warm-up are ignored."""
        if not arrival.is_measured:
            return
        target, kind = arrival.target.name, arrival.kind.name
        self.outcome_counts[
            OutcomeKey(target, kind, verdict.value, status, outcome)
        ] += 1
        if verdict is Verdict.COMPLETE:
            histogram = self.latencies.get((target, kind))
            if histogram is None:
                histogram = self.latencies[target, kind] = _new_histogram()
            histogram.record_value(_microseconds(latency_seconds))

    def record_start(self, arrival: Arrival, delay_seconds: float) -> None:
        """Record how late the load generator itself started a request."""
        if arrival.is_measured:
            self.start_delays.record_value(_microseconds(delay_seconds))

    def count(self, verdict: Verdict, target: str | None = None) -> int:
        """Return the number of requests with a verdict, at one target or at all."""
        return sum(
            number
            for row, number in self.outcome_counts.items()
            if row.verdict == verdict.value and target in (None, row.target)
        )

    @property
    def total_requests(self) -> int:
        """The number of measured requests that have ended."""
        return self.outcome_counts.total()

    def merged_latencies(self, target: str) -> Any:
        """Return the latency histogram of a target, over all kinds of request."""
        histogram = _new_histogram()
        for (name, _), part in self.latencies.items():
            if name == target:
                histogram.add(part)
        return histogram


def percentiles(histogram: Any) -> dict[float, float]:
    """Return latencies in milliseconds by percentile."""
    return {p: histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}


def _new_histogram() -> Any:
    return HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)


def _microseconds(seconds: float) -> int:
    """Return a time in microseconds, limited to the range of the histograms."""
    return min(
        MAX_LATENCY_MICROSECONDS, max(1, round(seconds * MICROSECONDS_PER_SECOND))
    )


__all__ = ["PERCENTILES", "OutcomeKey", "Tally", "percentiles"]
